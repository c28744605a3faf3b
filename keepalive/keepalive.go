package keepalive

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// historyLength is the number of most recent gaps that are kept for each model.
	historyLength = 64
	// minHistory is the number of gaps below which a model gets the default keep-alive.
	minHistory = 4
	// idleSecondsPerColdSecond is the idle accelerator time in seconds that costs as much as one second of cold start at equal weights.
	idleSecondsPerColdSecond = 20
	// minGap is the gap below which two requests count as one burst.
	minGap = time.Second
)

// Settings are a site's settings for the trade-off between cold-start time and idle accelerator time.
type Settings struct {
	// ColdStartWeight goes from 0, where only idle time counts, to 1, where only cold-start time counts.
	ColdStartWeight float64
	// Min and Max bound every keep-alive.
	Min time.Duration
	Max time.Duration
	// Default is the keep-alive of a model with fewer than minHistory gaps.
	Default time.Duration
	// ColdStart is the expected load time of a model.
	ColdStart time.Duration
}

// history is the usage history of one model.
type history struct {
	last time.Time
	gaps []time.Duration
	// next is the index of the gap to overwrite once there are historyLength gaps.
	next int
}

// Policy records the gaps between requests and computes the keep-alive of each model; it is not safe for concurrent use.
type Policy struct {
	models map[celerylanding.ModelID]*history
}

// New returns a policy without history.
func New() *Policy {
	return &Policy{models: make(map[celerylanding.ModelID]*history)}
}

// RecordUse records a use of the model at the given time.
func (policy *Policy) RecordUse(now time.Time, model celerylanding.ModelID) {
	record, ok := policy.models[model]
	if !ok {
		policy.models[model] = &history{last: now}
		return
	}
	if gap := now.Sub(record.last); gap >= minGap {
		record.add(gap)
	}
	if now.After(record.last) {
		record.last = now
	}
}

// LastUse returns the time of the model's last use; it is false for a model without a recorded use.
func (policy *Policy) LastUse(model celerylanding.ModelID) (time.Time, bool) {
	record, ok := policy.models[model]
	if !ok {
		return time.Time{}, false
	}
	return record.last, true
}

// KeepAlive returns how long the model stays loaded after its last use.
func (policy *Policy) KeepAlive(model celerylanding.ModelID, settings Settings) time.Duration {
	record, ok := policy.models[model]
	if !ok || len(record.gaps) < minHistory {
		return clamp(settings.Default, settings)
	}
	best, bestCost := settings.Min, record.cost(settings.Min, settings)
	for _, gap := range record.gaps {
		// A margin above the gap keeps a periodic model loaded if its next request is slightly late.
		candidate := clamp(gap+gap/16+minGap, settings)
		if cost := record.cost(candidate, settings); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

func clamp(duration time.Duration, settings Settings) time.Duration {
	return min(max(duration, settings.Min), settings.Max)
}

func (record *history) add(gap time.Duration) {
	if len(record.gaps) < historyLength {
		record.gaps = append(record.gaps, gap)
		return
	}
	record.gaps[record.next] = gap
	record.next = (record.next + 1) % historyLength
}

// cost returns the weighted sum of the cold-start time and the idle time that the keep-alive would have caused over the recorded gaps.
func (record *history) cost(keepAlive time.Duration, settings Settings) float64 {
	var idle, cold float64
	for _, gap := range record.gaps {
		idle += min(gap, keepAlive).Seconds()
		if gap > keepAlive {
			cold += settings.ColdStart.Seconds()
		}
	}
	weight := settings.ColdStartWeight
	return weight*cold*idleSecondsPerColdSecond + (1-weight)*idle
}

// Retain drops the history of all models for which keep returns false.
func (policy *Policy) Retain(keep func(celerylanding.ModelID) bool) {
	for model := range policy.models {
		if !keep(model) {
			delete(policy.models, model)
		}
	}
}

// Models returns the models with a history, sorted.
func (policy *Policy) Models() []celerylanding.ModelID {
	models := make([]celerylanding.ModelID, 0, len(policy.models))
	for model := range policy.models {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}
