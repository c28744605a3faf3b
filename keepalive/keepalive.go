package keepalive

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// historyLength is the number of gaps that are remembered for each model.
	historyLength = 64
	// minHistory is the number of gaps below which a model is kept by the fixed time.
	minHistory = 4
	// idleSecondsPerColdSecond is the idle accelerator time that one second of cold start outweighs at equal weights.
	idleSecondsPerColdSecond = 20
	// minGap is the gap below which two requests count as one burst.
	minGap = time.Second
)

// Settings are a site's weighing of cold-start time against idle accelerator time.
type Settings struct {
	// ColdStartWeight goes from 0, where only idle time counts, to 1, where only cold-start time counts.
	ColdStartWeight float64
	// Min and Most bound every keep-alive.
	Min time.Duration
	Max time.Duration
	// Default is the keep-alive of a model with too short a history.
	Default time.Duration
	// ColdStart is the expected load time of a model.
	ColdStart time.Duration
}

// history is what is remembered of one model.
type history struct {
	last time.Time
	gaps []time.Duration
	next int
}

// Policy learns the gaps between requests and decides the keep-alive of each model.
type Policy struct {
	models map[celerylanding.ModelID]*history
}

// New returns a policy without history.
func New() *Policy {
	return &Policy{models: make(map[celerylanding.ModelID]*history)}
}

// RecordUse records that the model was in use at the time.
func (policy *Policy) RecordUse(now time.Time, model celerylanding.ModelID) {
	past, ok := policy.models[model]
	if !ok {
		policy.models[model] = &history{last: now}
		return
	}
	if gap := now.Sub(past.last); gap >= minGap {
		past.add(gap)
	}
	if now.After(past.last) {
		past.last = now
	}
}

// LastUse returns the time of the last use; it is unknown for a model that was never used here.
func (policy *Policy) LastUse(model celerylanding.ModelID) (time.Time, bool) {
	past, ok := policy.models[model]
	if !ok {
		return time.Time{}, false
	}
	return past.last, true
}

// KeepAlive returns how long the model stays loaded after its last use.
func (policy *Policy) KeepAlive(model celerylanding.ModelID, settings Settings) time.Duration {
	past, ok := policy.models[model]
	if !ok || len(past.gaps) < minHistory {
		return clamp(settings.Default, settings)
	}
	best, bestCost := settings.Min, past.cost(settings.Min, settings)
	for _, gap := range past.gaps {
		// A margin above the gap keeps a periodic model loaded through a slightly late request.
		candidate := clamp(gap+gap/16+minGap, settings)
		if cost := past.cost(candidate, settings); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

func clamp(duration time.Duration, settings Settings) time.Duration {
	return min(max(duration, settings.Min), settings.Max)
}

func (past *history) add(gap time.Duration) {
	if len(past.gaps) < historyLength {
		past.gaps = append(past.gaps, gap)
		return
	}
	past.gaps[past.next] = gap
	past.next = (past.next + 1) % historyLength
}

// cost weighs the cold starts and the idle time that the keep-alive would have had over the remembered gaps.
func (past *history) cost(keepAlive time.Duration, settings Settings) float64 {
	var idle, cold float64
	for _, gap := range past.gaps {
		idle += min(gap, keepAlive).Seconds()
		if gap > keepAlive {
			cold += settings.ColdStart.Seconds()
		}
	}
	weight := settings.ColdStartWeight
	return weight*cold*idleSecondsPerColdSecond + (1-weight)*idle
}

// Retain drops the history of models that the predicate does not keep.
func (policy *Policy) Retain(keep func(celerylanding.ModelID) bool) {
	for model := range policy.models {
		if !keep(model) {
			delete(policy.models, model)
		}
	}
}

// Models returns the models with a history, in order.
func (policy *Policy) Models() []celerylanding.ModelID {
	models := make([]celerylanding.ModelID, 0, len(policy.models))
	for model := range policy.models {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}
