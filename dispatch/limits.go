package dispatch

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// RecordLimit records the limit on requests per second that a target's answer names, or that it names none. It reports whether this differs
// from the last answer.
func (picker *Picker) RecordLimit(now time.Time, target *feed.Target, limit float64, hasLimit bool) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.gate.RecordAnswer(now, target, limit, hasLimit)
}

// SetLimits records the leader's list of the targets that announce limits, as of a time.
func (picker *Picker) SetLimits(at time.Time, limits []feed.TargetLimit) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.gate.SetPublished(at, limits)
}

// LimitReports returns what the leader needs to keep all routers together within the targets' limits.
func (picker *Picker) LimitReports(now time.Time) []feed.LimitReport {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.gate.Report(now)
}

func (picker *Picker) isLimited(now time.Time, target *feed.Target) bool {
	_, isLimited := picker.gate.Limit(now, target)
	return isLimited
}

// isHeldBack reports whether requests may be kept back from a target because of what it says of those that it takes.
func (picker *Picker) isHeldBack(now time.Time, target *feed.Target) bool {
	return picker.isLimited(now, target) || picker.isBrittle(now, target)
}

// Throttled describes the targets whose limits keep a request back for which Pick has found no target.
type Throttled struct {
	// Targets have the unit of the request loaded, and announce a limit or are brittle.
	Targets []celerylanding.Endpoint
	// RetryDelay is the delay after which a client should return, and Spread what chance may add to it.
	RetryDelay, Spread time.Duration
	// IsBrittle is set if a target is brittle.
	IsBrittle bool
	// HasAlternative is set if a target of the same service announces no limit and is not brittle.
	HasAlternative bool
}

// Throttled returns the targets whose limits keep a request back for which Pick has found no target.
func (picker *Picker) Throttled(now time.Time, table *Table, needs Requirements) Throttled {
	all := table.Targets(needs.Service)
	candidates := all
	if needs.Unit.Model != "" {
		candidates = table.TargetsForUnit(needs.Service, needs.Unit)
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	var throttled Throttled
	var limited, brittle []*feed.Target
	for _, candidate := range candidates {
		if needs.excludes(candidate) {
			continue
		}
		if !picker.isHeldBack(now, candidate) || !picker.statsOf(candidate).isUsable(now, candidate) {
			continue
		}
		throttled.Targets = append(throttled.Targets, candidate.Endpoint())
		if picker.isLimited(now, candidate) {
			limited = append(limited, candidate)
		} else {
			brittle = append(brittle, candidate)
		}
	}
	if len(throttled.Targets) == 0 {
		return throttled
	}
	if len(limited) > 0 {
		throttled.RetryDelay = picker.gate.RetryDelay(now, limited, table.Routers())
	}
	if throttled.IsBrittle = len(brittle) > 0; throttled.IsBrittle {
		throttled.RetryDelay = max(throttled.RetryDelay, picker.rooms.RetryDelay(now, brittle))
		throttled.Spread = throttled.RetryDelay / 2
	}
	throttled.HasAlternative = slices.ContainsFunc(all, func(target *feed.Target) bool {
		return needs.allowsSoftware(target) && !picker.isHeldBack(now, target) && picker.statsOf(target).isUsable(now, target)
	})
	return throttled
}
