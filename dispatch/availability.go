package dispatch

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

// Availability is what a target's answer says about the requests that it wants.
type Availability struct {
	// IsLeaving is set if the target is about to shut down.
	IsLeaving bool
	// Pause is the time for which it wants no requests from this node; zero for none.
	Pause time.Duration
}

// RecordAvailability records what a target's answer says. It reports whether that is new: the target leaves, or its pause ends later than known.
// Leaving is final for an incarnation, whatever later answers and the leader's list say.
func (picker *Picker) RecordAvailability(now time.Time, target *feed.Target, availability Availability) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	isNew := availability.IsLeaving && !stats.isLeaving
	stats.isLeaving = stats.isLeaving || availability.IsLeaving
	if until := now.Add(availability.Pause); availability.Pause > 0 && until.After(stats.pausedUntil) {
		isNew = isNew || !now.Before(stats.pausedUntil)
		stats.pausedUntil = until
	}
	return isNew
}

// wantsRequests reports whether the target has not said that it leaves, or that it wants no requests now.
func (stats *targetStats) wantsRequests(now time.Time) bool {
	return !stats.isLeaving && !now.Before(stats.pausedUntil)
}

// PauseRemaining returns the time until the first target that could serve the request ends its pause; zero if none has one.
func (picker *Picker) PauseRemaining(now time.Time, table *Table, needs Requirements) time.Duration {
	candidates := table.Targets(needs.Service)
	if needs.Unit.Model != "" {
		candidates = table.TargetsForUnit(needs.Service, needs.Unit)
	}
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	var shortest time.Duration
	for _, candidate := range candidates {
		stats := picker.statsOf(candidate)
		remaining := stats.pausedUntil.Sub(now)
		if remaining > 0 && !stats.isLeaving && needs.allowsSoftware(candidate) && (shortest == 0 || remaining < shortest) {
			shortest = remaining
		}
	}
	return shortest
}

// Unavailable returns the number of targets that leave, and of those that want no requests now, by their own answers.
func (picker *Picker) Unavailable(now time.Time) (leaving, paused int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	for _, stats := range picker.stats {
		switch {
		case stats.isLeaving:
			leaving++
		case now.Before(stats.pausedUntil):
			paused++
		}
	}
	return leaving, paused
}
