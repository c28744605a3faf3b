package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
	"celerylanding.example/celerylanding/throttle"
)

const (
	// initialBackoff is how long a target gets no requests after a first connection failure; each further one doubles the time.
	initialBackoff = 150 * time.Millisecond
	// maxBackoff bounds the backoff; a crashed target restarts within seconds.
	maxBackoff = 2 * time.Second
	// loadReportTTL is how long a target's report of its load is used.
	loadReportTTL = time.Second
	// silentGrace is how long a target whose heartbeats the leader misses still gets requests after its last answer.
	silentGrace = 3 * time.Second
	// failureHalfLife is the half-life of an observed failure's weight.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of one recent failure, as a share of the target's slots.
	failureCost = 0.35
	// latenessHalfLife is the half-life of the observed lateness of a target's answers, in which another target can prove to be faster.
	latenessHalfLife = 1500 * time.Millisecond
	// latenessWeight is the weight of the newest answer in the average lateness.
	latenessWeight = 0.3
	// maxLateness bounds the lateness of one answer, in latency objectives.
	maxLateness = 4
	// freeLateness is the lateness up to which a target costs nothing more, and latenessCost the cost of one latency objective above it. Two
	// objectives outweigh a miss in the prompt cache: the slots of an engine say little about the time that its waiting prompts take.
	freeLateness = 0.5
	latenessCost = 0.5
	// crossDomainCost is the cost of a target in another failure domain, as a share of its slots: traffic between domains is expensive, and the
	// domains may be partitioned at any moment.
	crossDomainCost = 0.12
	// limitedCost is the cost of a target that announces a limit on requests, as a share of its slots. What it takes is left to the requests that
	// can't run elsewhere.
	limitedCost = 0.5
	// longPrompt is the number of tokens from which the prefill of an uncached prompt takes a large part of the time to the first event.
	longPrompt = 2000
	// cacheMissCost and longCacheMissCost are the costs of a target whose prompt cache lacks a short or a long prompt, as shares of its slots.
	cacheMissCost     = 0.05
	longCacheMissCost = 0.5
)

// Requirements describes the targets that a request can run on.
type Requirements struct {
	Service celerylanding.ServiceID
	// Unit is empty for a plain service.
	Unit feed.Unit
	// PromptKey identifies the part of the prompt that other requests share; it may be "".
	PromptKey    string
	PromptTokens int
	// Prompt is the beginning of the prompt that other requests may share, or nil.
	Prompt *promptcache.Prompt
	// Excluded lists the targets that have refused or failed the request.
	Excluded []celerylanding.TargetID
	// Software is the version that the target must have, for a stream that has begun; "" for any.
	Software celerylanding.SoftwareVersion
	// AvoidsLimits excludes the targets that announce a limit on requests.
	AvoidsLimits bool
}

// allowsSoftware reports whether the target has the software version that the request needs.
func (needs *Requirements) allowsSoftware(target *feed.Target) bool {
	return needs.Software == "" || needs.Software == target.Software
}

// excludes reports whether the target has refused or failed the request, or has another software version than the request needs.
func (needs *Requirements) excludes(target *feed.Target) bool {
	return !needs.allowsSoftware(target) || slices.Contains(needs.Excluded, target.ID)
}

// targetStats holds this router's observations of one incarnation of a target.
type targetStats struct {
	incarnation    celerylanding.Incarnation
	inFlight       int
	load           celerylanding.TargetLoad
	slots          int
	loadReportedAt time.Time
	// sentSinceLoad counts the requests sent since the target last reported its load.
	sentSinceLoad int
	// answered and failed count outcomes since the last report to the leader.
	answered int
	failed   int
	// failures is the decayed number of failures, as of failedAt.
	failures     float64
	failedAt     time.Time
	backoff      time.Duration
	backoffUntil time.Time
	answeredAt   time.Time
	// lateness is the average time to the first byte of an answer, in latency objectives, as of latenessAt.
	lateness   float64
	latenessAt time.Time
	// isLeaving is set once an answer has said that the target leaves, and pausedUntil is when it wants requests again.
	isLeaving   bool
	pausedUntil time.Time
}

// Picker chooses targets; it is safe for concurrent use.
type Picker struct {
	domain celerylanding.FailureDomain
	mutex  sync.Mutex
	stats  map[celerylanding.TargetID]*targetStats
	gate   *throttle.Gate
	cache  *promptcache.Picture
}

// NewPicker returns a picker for the router of a node in the failure domain.
func NewPicker(node celerylanding.NodeID, domain celerylanding.FailureDomain) *Picker {
	return &Picker{domain: domain, stats: make(map[celerylanding.TargetID]*targetStats), gate: throttle.NewGate(node), cache: promptcache.New()}
}

// Pick returns the target with the lowest cost for the request, and counts the request as in flight there until Done. The target is nil if
// none is usable; unreachable then lists the candidates that are in backoff, silent or outliers.
func (picker *Picker) Pick(now time.Time, table *Table, needs Requirements) (target *feed.Target, unreachable []celerylanding.Endpoint) {
	candidates := table.Targets(needs.Service)
	if needs.Unit.Model != "" {
		candidates = table.TargetsForUnit(needs.Service, needs.Unit)
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	target, unreachable = picker.chooseWithinLimits(now, table, candidates, needs, false)
	if target == nil && needs.Unit.Model == "" {
		// No other target of the plain service is usable, so an outlier is tried.
		target, _ = picker.chooseWithinLimits(now, table, candidates, needs, true)
	}
	if target == nil {
		return nil, unreachable
	}
	stats := picker.statsOf(target)
	stats.inFlight++
	stats.sentSinceLoad++
	return target, nil
}

// HasTarget reports whether a target is usable for the request, whatever the limits that targets announce.
func (picker *Picker) HasTarget(now time.Time, table *Table, needs Requirements) bool {
	candidates := table.Targets(needs.Service)
	if needs.Unit.Model != "" {
		candidates = table.TargetsForUnit(needs.Service, needs.Unit)
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	target, _ := picker.choose(now, table, candidates, needs, false)
	return target != nil
}

// chooseWithinLimits returns the candidate with the lowest cost among those whose limits allow the request, and the candidates that are in
// backoff, silent or outliers.
func (picker *Picker) chooseWithinLimits(now time.Time, table *Table, candidates []*feed.Target, needs Requirements, allowOutliers bool) (best *feed.Target,
	unreachable []celerylanding.Endpoint) {
	for {
		best, unreachable = picker.choose(now, table, candidates, needs, allowOutliers)
		if best == nil || picker.gate.Allow(now, best, table.Routers()) {
			return best, unreachable
		}
		needs.Excluded = append(slices.Clip(needs.Excluded), best.ID)
	}
}

// choose returns the candidate with the lowest cost, and the candidates that are in backoff, silent or outliers.
func (picker *Picker) choose(now time.Time, table *Table, candidates []*feed.Target, needs Requirements, allowOutliers bool) (best *feed.Target,
	unreachable []celerylanding.Endpoint) {
	kept := picker.keptTokens(now, candidates, needs)
	var preferred *feed.Target
	if kept == nil {
		preferred = affinityTarget(picker.sameDomain(candidates), needs)
	}
	lowest := math.Inf(1)
	for i, candidate := range candidates {
		stats := picker.statsOf(candidate)
		if !stats.isUsable(now, candidate) || (!allowOutliers && stats.isOutlier(candidate)) {
			unreachable = append(unreachable, candidate.Endpoint())
			continue
		}
		if needs.excludes(candidate) || (needs.AvoidsLimits && picker.isLimited(now, candidate)) {
			continue
		}
		cost := picker.cost(now, table, candidate, stats)
		switch {
		case kept != nil:
			cost += missCost(needs, kept[i])
		case preferred != nil && preferred.ID != candidate.ID:
			cost += cacheMissCostOf(needs)
		}
		if cost < lowest {
			best, lowest = candidate, cost
		}
	}
	return best, unreachable
}

// sameDomain returns the candidates in the router's failure domain, or all if there are none.
func (picker *Picker) sameDomain(candidates []*feed.Target) []*feed.Target {
	var local []*feed.Target
	for _, candidate := range candidates {
		if candidate.Domain == picker.domain {
			local = append(local, candidate)
		}
	}
	if len(local) == 0 {
		return candidates
	}
	return local
}

func cacheMissCostOf(needs Requirements) float64 {
	if needs.PromptTokens >= longPrompt {
		return longCacheMissCost
	}
	return cacheMissCost
}

// affinityTarget returns the target for the shared part of the prompt by rendezvous hashing, or nil if no part is shared. Routers with the
// same candidates choose the same target.
func affinityTarget(candidates []*feed.Target, needs Requirements) *feed.Target {
	if needs.PromptKey == "" {
		return nil
	}
	var preferred *feed.Target
	var highest uint64
	for _, candidate := range candidates {
		if score := xxhash.Sum64String(string(candidate.ID) + "\x00" + needs.PromptKey); preferred == nil || score > highest {
			preferred, highest = candidate, score
		}
	}
	return preferred
}

func (picker *Picker) statsOf(target *feed.Target) *targetStats {
	stats := picker.stats[target.ID]
	if stats == nil || stats.incarnation != target.Incarnation {
		stats = &targetStats{incarnation: target.Incarnation}
		picker.stats[target.ID] = stats
	}
	return stats
}

func (stats *targetStats) isUsable(now time.Time, target *feed.Target) bool {
	if now.Before(stats.backoffUntil) || !stats.wantsRequests(now) {
		return false
	}
	return !target.Silent || now.Sub(stats.answeredAt) < silentGrace
}

// isOutlier reports whether several routers report the target as failing and this router has received no answer since its last failure.
func (stats *targetStats) isOutlier(target *feed.Target) bool {
	return target.Outlier && !stats.answeredAt.After(stats.failedAt)
}

// outcomeReportWindow is how long a target's outcomes are reported to the leader after a failure.
const outcomeReportWindow = 3 * time.Second

// Outcomes returns, for each target with a recent failure, the outcomes of its requests since the last call.
func (picker *Picker) Outcomes(now time.Time) []feed.Outcome {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	var list []feed.Outcome
	for id, stats := range picker.stats {
		if now.Sub(stats.failedAt) <= outcomeReportWindow && stats.answered+stats.failed > 0 {
			list = append(list, feed.Outcome{Target: id, Incarnation: stats.incarnation, Answered: stats.answered, Failed: stats.failed})
		}
		stats.answered, stats.failed = 0, 0
	}
	return list
}

// cost returns the target's expected load as a share of its slots, plus a penalty for recent failures, one for late answers and one if the
// target is in a failure domain other than the router's.
func (picker *Picker) cost(now time.Time, table *Table, target *feed.Target, stats *targetStats) float64 {
	slots := float64(max(1, target.Slots))
	// Without a recent load report, each router is assumed to have as many requests in flight on the target as this one.
	load := float64(stats.inFlight * table.Routers())
	if stats.slots > 0 && now.Sub(stats.loadReportedAt) < loadReportTTL {
		// Requests that other routers have sent since the report are not included.
		load = float64(stats.load.Running + stats.load.Waiting + stats.sentSinceLoad)
	}
	cost := load/slots + failureCost*stats.decayedFailures(now) + latenessCost*max(0, stats.decayedLateness(now)-freeLateness)
	if target.Domain != picker.domain {
		cost += crossDomainCost
	}
	if picker.isLimited(now, target) {
		cost += limitedCost
	}
	return cost
}

func (stats *targetStats) decayedFailures(now time.Time) float64 {
	return stats.failures * math.Exp2(-now.Sub(stats.failedAt).Seconds()/failureHalfLife.Seconds())
}

func (stats *targetStats) decayedLateness(now time.Time) float64 {
	return stats.lateness * math.Exp2(-now.Sub(stats.latenessAt).Seconds()/latenessHalfLife.Seconds())
}

// RecordFirstByte records the time from sending a request to the first byte of its answer; objective is the request's latency objective.
func (picker *Picker) RecordFirstByte(now time.Time, target *feed.Target, took, objective time.Duration) {
	if objective <= 0 {
		return
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	lateness := min(took.Seconds()/objective.Seconds(), maxLateness)
	stats.lateness = (1-latenessWeight)*stats.decayedLateness(now) + latenessWeight*lateness
	stats.latenessAt = now
}

// Result is the result of a request to a target.
type Result int

// The results.
const (
	// ResultAnswered means that the target answered correctly.
	ResultAnswered Result = iota
	// ResultRefused means that the target answered that it has not run the request.
	ResultRefused
	// ResultUnreachable means that no connection could be made, or that the target did not acknowledge the bytes sent.
	ResultUnreachable
	// ResultFailed means that the target failed or that its answer was incomplete.
	ResultFailed
	// ResultCanceled means that the caller disconnected, the deadline passed or the request was not sent.
	ResultCanceled
)

// Done records the result of a request and no longer counts it as in flight.
func (picker *Picker) Done(now time.Time, target *feed.Target, result Result) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	stats.inFlight = max(0, stats.inFlight-1)
	switch result {
	case ResultAnswered:
		stats.answeredAt = now
		stats.answered++
		stats.backoff = 0
	case ResultUnreachable:
		stats.backoff = min(max(initialBackoff, 2*stats.backoff), maxBackoff)
		stats.backoffUntil = now.Add(stats.backoff)
	case ResultFailed:
		stats.failures = stats.decayedFailures(now) + 1
		stats.failed++
		stats.failedAt = now
	case ResultRefused, ResultCanceled:
	}
}

// UpdateLoad records a target's report of its load and its number of slots.
func (picker *Picker) UpdateLoad(now time.Time, target *feed.Target, load celerylanding.TargetLoad, slots int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	stats.load, stats.slots, stats.loadReportedAt, stats.sentSinceLoad = load, slots, now, 0
}

// InFlight returns the number of this router's requests in flight on the target.
func (picker *Picker) InFlight(target *feed.Target) int {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.statsOf(target).inFlight
}
