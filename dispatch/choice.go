package dispatch

import (
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/promptcache"

	"github.com/cespare/xxhash/v2"
)

// The losses of a choice are in units of the benefit of one request that is answered in time.
const (
	// firstLoss is the loss for each second until the first event, beside that of being late.
	firstLoss = 0.1
	// workLoss is the loss of other requests for each second in which the target reads this one's prompt.
	workLoss = 0.5
	// harmLoss is the loss for each running stream that pauses for too long because of this request.
	harmLoss = 0.7
	// busyLoss is the loss at a target whose slots are all taken, for requests that come later and fit nowhere else.
	busyLoss = 0.05
	// failureLoss is the loss for one recent failure of the target.
	failureLoss = 0.35
	// crossDomainLoss is the loss at a target in another failure domain: traffic between domains is expensive, and the domains may be partitioned
	// at any moment.
	crossDomainLoss = 0.06
	// limitedLoss is the loss at a target that announces a limit on requests. What it takes is left to the requests that can't run elsewhere.
	limitedLoss = 0.5
	// limitCheckInterval is the time after which a limit that no answer has named again costs nothing: requests within the limit are sent to find
	// out whether it still holds. Otherwise a target would stay idle while others can serve all requests.
	limitCheckInterval = 3 * time.Second
	// evenLoss is the difference in losses at which one target gets e times as many requests as another one. Forecasts aren't more exact, and
	// routers that know the same must not all choose the same target.
	evenLoss = 0.02
	// worstShare is the share of the best target's chance below which a target isn't chosen.
	worstShare = 0.05
	// maxAssessed is the number of targets among which a request's target is chosen. Where there are more, chance decides which ones are looked at;
	// more would hardly be better.
	maxAssessed = 12
	// maxKeepers is the number of them that are looked at because they keep a part of the prompt.
	maxKeepers = 8
)

// Choice is the target of a request and what the request is expected to see there.
type Choice struct {
	// Target is nil if no target is usable.
	Target  *feed.Target
	Outlook forecast.Outlook
	// Size is the work that the request is for the target.
	Size forecast.Size
}

// option is one usable target of a request.
type option struct {
	choice Choice
	loss   float64
}

// candidates returns the targets that can run a request.
func (table *Table) candidates(needs *Requirements) []*feed.Target {
	if needs.Unit.Model != "" {
		return table.TargetsForUnit(needs.Service, needs.Unit)
	}
	return table.Targets(needs.Service)
}

// chooseWithinLimits returns the choice among the candidates whose limits allow the request, and the candidates that are in backoff, silent or
// outliers.
func (picker *Picker) chooseWithinLimits(now time.Time, table *Table, candidates []*feed.Target, needs Requirements, allowOutliers bool) (choice Choice,
	unreachable []celerylanding.Endpoint) {
	for {
		choice, unreachable = picker.choose(now, table, candidates, needs, allowOutliers)
		if choice.Target == nil || picker.gate.Allow(now, choice.Target, table.Routers()) {
			return choice, unreachable
		}
		needs.Excluded = append(slices.Clip(needs.Excluded), choice.Target.ID)
	}
}

// choose returns the choice among the candidates, and the candidates that are in backoff, silent or outliers.
func (picker *Picker) choose(now time.Time, table *Table, candidates []*feed.Target, needs Requirements, allowOutliers bool) (choice Choice,
	unreachable []celerylanding.Endpoint) {
	assessment := picker.newAssessment(now, table, candidates, &needs)
	assessment.allowsOutliers = allowOutliers
	picker.options = picker.options[:0]
	unreachable = picker.assessKeepers(&assessment, table, unreachable)
	if assessment.preferred != nil {
		unreachable = picker.assess(&assessment, assessment.preferred, unreachable)
	}
	start, chance := 0, needs.Chance
	if len(candidates) > maxAssessed {
		// The rest of the chance is as evenly distributed as the whole.
		position := needs.Chance * float64(len(candidates))
		start = int(position)
		chance = position - float64(start)
	}
	for i := range candidates {
		if len(picker.options) >= maxAssessed {
			break
		}
		if candidate := candidates[(start+i)%len(candidates)]; candidate != assessment.preferred && assessment.keptTokens(candidate) == 0 {
			unreachable = picker.assess(&assessment, candidate, unreachable)
		}
	}
	return pickOption(picker.options, chance), unreachable
}

// pickOption returns the option with the lowest loss for a chance of zero. Larger chances spread the choice over the options: each gets a share that
// falls with its loss.
func pickOption(options []option, chance float64) Choice {
	if len(options) == 0 {
		return Choice{}
	}
	best := 0
	for i := range options {
		if options[i].loss < options[best].loss {
			best = i
		}
	}
	if chance <= 0 {
		return options[best].choice
	}
	lowest, total := options[best].loss, 0.0
	for i := range options {
		// The loss is replaced by the option's weight.
		options[i].loss = weightOf(options[i].loss - lowest)
		total += options[i].loss
	}
	rest := chance * total
	for i := range options {
		if rest -= options[i].loss; rest < 0 {
			return options[i].choice
		}
	}
	return options[best].choice
}

// weightOf returns the weight of an option whose loss exceeds the lowest one.
func weightOf(excess float64) float64 {
	weight := math.Exp(-excess / evenLoss)
	if weight < worstShare {
		return 0
	}
	return weight
}

// assessment holds what is common to the options of one choice.
type assessment struct {
	now     time.Time
	routers int
	needs   *Requirements
	bounds  forecast.Bounds
	// preferred is the target that the shared part of the prompt is assigned to, or nil.
	preferred *feed.Target
	// keepers are the candidates that are known to keep a part of the prompt.
	keepers []promptcache.Keeper
	// capacity is the size of a target's memory for prompts in tokens; zero if unknown.
	capacity       int
	allowsOutliers bool
}

func (picker *Picker) newAssessment(now time.Time, table *Table, candidates []*feed.Target, needs *Requirements) assessment {
	assessment := assessment{now: now, routers: table.Routers(), needs: needs, bounds: forecast.NewBounds(needs.Slack, needs.MaxEventGap),
		capacity: table.promptCapacity(needs.Service), keepers: picker.findKeepers(now, table, candidates, needs)}
	if len(assessment.keepers) == 0 {
		assessment.preferred = picker.affinityTarget(candidates, needs)
	}
	return assessment
}

// assess adds a candidate to the options if it can run the request, or to the unreachable ones if it is in backoff, silent or an outlier.
func (picker *Picker) assess(assessment *assessment, target *feed.Target, unreachable []celerylanding.Endpoint) []celerylanding.Endpoint {
	now, needs, stats := assessment.now, assessment.needs, picker.statsOf(target)
	if !stats.isUsable(now, target) || (!assessment.allowsOutliers && stats.isOutlier(target)) {
		return append(unreachable, target.Endpoint())
	}
	if needs.excludes(target) || stats.lacks(now, needs.Unit) {
		return unreachable
	}
	isLimited := picker.isLimited(now, target)
	if (needs.AvoidsLimits && isLimited) || picker.hasNoRoom(now, target, assessment.routers, needs) {
		return unreachable
	}
	picker.options = append(picker.options, option{choice: Choice{Target: target}})
	option := &picker.options[len(picker.options)-1]
	terms := picker.weigh(assessment, option, stats, isLimited)
	option.loss = terms.sum()
	return unreachable
}

// weigh sets the size and the outlook of an option, and returns the parts of its loss.
func (picker *Picker) weigh(assessment *assessment, option *option, stats *targetStats, isLimited bool) lossTerms {
	now, needs, target := assessment.now, assessment.needs, option.choice.Target
	option.choice.Size = forecast.NewSize(needs.PromptTokens-picker.cachedTokens(assessment, target), needs.OutputTokens)
	outlook := &option.choice.Outlook
	stats.model.Expect(now, option.choice.Size, assessment.routers, outlook)
	first, pauses := outlook.InTime(assessment.bounds)
	terms := lossTerms{late: 1 - first*pauses, first: firstLoss * outlook.First, work: workLoss * outlook.Work, harm: harmLoss * outlook.Harm(pauses),
		busy: busyLoss * outlook.Busy, failures: failureLoss * stats.decayedFailures(now),
		displaced: workLoss * picker.displacedTime(assessment, target, stats, outlook)}
	if target.Domain != picker.domain {
		terms.domain = crossDomainLoss
	}
	if isLimited && picker.gate.LimitAge(now, target) <= limitCheckInterval {
		terms.limit = limitedLoss
	}
	return terms
}

// affinityTarget returns the target for the shared part of the prompt by rendezvous hashing among the candidates of the router's failure domain, or
// among all if there are none there; nil if no part is shared. Routers with the same candidates choose the same target.
func (picker *Picker) affinityTarget(candidates []*feed.Target, needs *Requirements) *feed.Target {
	if needs.PromptKey == "" {
		return nil
	}
	key := xxhash.Sum64String(needs.PromptKey)
	var preferred *feed.Target
	var highest uint64
	isLocal := false
	for _, candidate := range candidates {
		if candidate.Domain == picker.domain && !isLocal {
			preferred, isLocal = nil, true
		}
		if isLocal && candidate.Domain != picker.domain {
			continue
		}
		if score := mix(xxhash.Sum64String(string(candidate.ID)) ^ key); preferred == nil || score > highest {
			preferred, highest = candidate, score
		}
	}
	return preferred
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
