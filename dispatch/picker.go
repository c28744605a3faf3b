package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// firstPause is how long a target gets no work after a first failure to connect; each further one doubles it.
	firstPause = 150 * time.Millisecond
	// longestPause bounds that time; a crashed target is back within seconds.
	longestPause = 2 * time.Second
	// reportTime is how long a target's own word of its load counts.
	reportTime = time.Second
	// silentTrust is how long a target that the leader has lost is still used after an answer of it.
	silentTrust = 3 * time.Second
	// failureHalfLife is the time after which an observed failure counts half.
	failureHalfLife = 2 * time.Second
	// failureCost is the load, in shares of all slots, that one recent failure counts as.
	failureCost = 0.35
	// foreignCost is the load that another failure domain counts as: its bytes are dear, and it may be cut off at any moment.
	foreignCost = 0.12
	// longPrompt is the number of tokens from which reading a prompt again takes a large part of the time to the first event.
	longPrompt = 2000
	// strangeCost and longStrangeCost are the loads that a target counts as whose prompt cache does not know the prompt.
	strangeCost     = 0.05
	longStrangeCost = 0.5
)

// Requirements describes what a request needs of a target.
type Requirements struct {
	Service celerylanding.ServiceID
	// Unit is empty for a plain service.
	Unit feed.Unit
	// PromptKey names the part of the prompt that other requests share, or "".
	PromptKey    string
	PromptTokens int
	// Excluded are the targets that have refused or failed the request.
	Excluded []celerylanding.TargetID
}

// standing is what this router has seen of one incarnation of a target.
type standing struct {
	incarnation celerylanding.Incarnation
	inFlight    int
	load        celerylanding.TargetLoad
	slots       int
	loadAt      time.Time
	// sinceLoad counts the requests sent since the target last told its load.
	sinceLoad int
	// answered and failed count outcomes since they were last reported.
	answered   int
	failed     int
	failures   float64
	failedAt   time.Time
	pause      time.Duration
	pauseUntil time.Time
	answeredAt time.Time
}

// Picker chooses targets; it is safe for concurrent use.
type Picker struct {
	domain celerylanding.FailureDomain
	mutex  sync.Mutex
	known  map[celerylanding.TargetID]*standing
}

// NewPicker returns a picker for a router in the failure domain.
func NewPicker(domain celerylanding.FailureDomain) *Picker {
	return &Picker{domain: domain, known: make(map[celerylanding.TargetID]*standing)}
}

// Pick returns the target where the request is expected to be served soonest, and counts it as in flight there until Done. It is
// nil when no target can take it; unreachable are then the ones that this router has no connection to.
func (picker *Picker) Pick(now time.Time, table *Table, ask Requirements) (target *feed.Target, unreachable []celerylanding.Endpoint) {
	candidates := table.Targets(ask.Service)
	if ask.Unit.Model != "" {
		candidates = table.TargetsForUnit(ask.Service, ask.Unit)
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	target, unreachable = picker.choose(now, table, candidates, ask, false)
	if target == nil && ask.Unit.Model == "" {
		// Nothing else can take the request, so that an ailing target may as well try.
		target, _ = picker.choose(now, table, candidates, ask, true)
	}
	if target == nil {
		return nil, unreachable
	}
	known := picker.standing(target)
	known.inFlight++
	known.sinceLoad++
	return target, nil
}

// choose returns the candidate with the lowest cost, and those that can't be reached.
func (picker *Picker) choose(now time.Time, table *Table, candidates []*feed.Target, ask Requirements, takesAiling bool) (best *feed.Target,
	unreachable []celerylanding.Endpoint) {
	home := homeOf(picker.near(candidates), ask)
	lowest := math.Inf(1)
	for _, candidate := range candidates {
		known := picker.standing(candidate)
		if !known.isUsable(now, candidate) || (!takesAiling && known.isAiling(candidate)) {
			unreachable = append(unreachable, candidate.Endpoint())
			continue
		}
		if slices.Contains(ask.Excluded, candidate.ID) {
			continue
		}
		cost := picker.cost(now, table, candidate, known)
		if home != nil && home.ID != candidate.ID {
			cost += strangerCost(ask)
		}
		if cost < lowest {
			best, lowest = candidate, cost
		}
	}
	return best, unreachable
}

// near returns the candidates in the own failure domain, or all if there are none.
func (picker *Picker) near(candidates []*feed.Target) []*feed.Target {
	var near []*feed.Target
	for _, candidate := range candidates {
		if candidate.Domain == picker.domain {
			near = append(near, candidate)
		}
	}
	if len(near) == 0 {
		return candidates
	}
	return near
}

func strangerCost(ask Requirements) float64 {
	if ask.PromptTokens >= longPrompt {
		return longStrangeCost
	}
	return strangeCost
}

// homeOf returns the target that all routers agree on for the shared part of the prompt, by rendezvous hashing.
func homeOf(candidates []*feed.Target, ask Requirements) *feed.Target {
	if ask.PromptKey == "" {
		return nil
	}
	var home *feed.Target
	var highest uint64
	for _, candidate := range candidates {
		if score := xxhash.Sum64String(string(candidate.ID) + "\x00" + ask.PromptKey); home == nil || score > highest {
			home, highest = candidate, score
		}
	}
	return home
}

func (picker *Picker) standing(target *feed.Target) *standing {
	known := picker.known[target.ID]
	if known == nil || known.incarnation != target.Incarnation {
		known = &standing{incarnation: target.Incarnation}
		picker.known[target.ID] = known
	}
	return known
}

func (known *standing) isUsable(now time.Time, target *feed.Target) bool {
	if now.Before(known.pauseUntil) {
		return false
	}
	return !target.Silent || now.Sub(known.answeredAt) < silentTrust
}

// isAiling reports whether the target fails what it gets, by the word of several routers unless this one has seen better.
func (known *standing) isAiling(target *feed.Target) bool {
	return target.Outlier && !known.answeredAt.After(known.failedAt)
}

// outcomeTime is how long after a failure a target's outcomes are reported.
const outcomeTime = 3 * time.Second

// Outcomes returns what became of the requests to the targets that have failed some lately, since the last call.
func (picker *Picker) Outcomes(now time.Time) []feed.Outcome {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	var list []feed.Outcome
	for id, known := range picker.known {
		if now.Sub(known.failedAt) <= outcomeTime && known.answered+known.failed > 0 {
			list = append(list, feed.Outcome{Target: id, Incarnation: known.incarnation, Answered: known.answered, Failed: known.failed})
		}
		known.answered, known.failed = 0, 0
	}
	return list
}

// cost returns the expected load of the target in shares of its slots, with its failures and distance.
func (picker *Picker) cost(now time.Time, table *Table, target *feed.Target, known *standing) float64 {
	slots := float64(max(1, target.Slots))
	load := float64(known.inFlight * table.Routers())
	if known.slots > 0 && now.Sub(known.loadAt) < reportTime {
		// Other routers send about as many requests as this one in the time since the report.
		load = float64(known.load.Running + known.load.Waiting + known.sinceLoad)
	}
	cost := load/slots + failureCost*known.decayed(now)
	if target.Domain != picker.domain {
		cost += foreignCost
	}
	return cost
}

func (known *standing) decayed(now time.Time) float64 {
	return known.failures * math.Exp2(-now.Sub(known.failedAt).Seconds()/failureHalfLife.Seconds())
}

// Result is how a request to a target has ended.
type Result int

// The results.
const (
	// ResultAnswered means that the target has answered as it should.
	ResultAnswered Result = iota
	// ResultRefused means that the target has not run the request, by its own word.
	ResultRefused
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultFailed means that the target failed or broke off.
	ResultFailed
	// ResultCanceled means that the caller left or the time was up.
	ResultCanceled
)

// Done counts the request as ended.
func (picker *Picker) Done(now time.Time, target *feed.Target, result Result) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	known := picker.standing(target)
	known.inFlight = max(0, known.inFlight-1)
	switch result {
	case ResultAnswered:
		known.answeredAt = now
		known.answered++
		known.pause = 0
	case ResultUnreachable:
		known.pause = min(max(firstPause, 2*known.pause), longestPause)
		known.pauseUntil = now.Add(known.pause)
	case ResultFailed:
		known.failures = known.decayed(now) + 1
		known.failed++
		known.failedAt = now
	case ResultRefused, ResultCanceled:
	}
}

// UpdateLoad takes a target's own word of its load.
func (picker *Picker) UpdateLoad(now time.Time, target *feed.Target, load celerylanding.TargetLoad, slots int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	known := picker.standing(target)
	known.load, known.slots, known.loadAt, known.sinceLoad = load, slots, now, 0
}

// InFlight returns the number of requests that run on the target for this router.
func (picker *Picker) InFlight(target *feed.Target) int {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.standing(target).inFlight
}
