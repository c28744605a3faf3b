package dispatch

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

const (
	// firstMisdirectedPause is how long a unit is not requested from a target that has answered that it lacks it; each further such answer doubles
	// the time. The leader's list normally shows the change by then.
	firstMisdirectedPause = 300 * time.Millisecond
	maxMisdirectedPause   = 2 * time.Second
)

// misdirection is a target's answer that it does not have a unit which the leader lists there.
type misdirection struct {
	pause time.Duration
	until time.Time
}

// RecordMisdirected records that a target has answered that it does not have the unit. Other requests for the unit then spare it for a while:
// each would cost a retry of the budget that all requests share.
func (picker *Picker) RecordMisdirected(now time.Time, target *feed.Target, unit feed.Unit) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	if stats.misdirected == nil {
		stats.misdirected = make(map[feed.Unit]misdirection)
	}
	last, pause := stats.misdirected[unit], firstMisdirectedPause
	if now.Sub(last.until) < maxMisdirectedPause {
		pause = min(max(pause, 2*last.pause), maxMisdirectedPause)
	}
	stats.misdirected[unit] = misdirection{pause: pause, until: now.Add(pause)}
}

// lacks reports whether the target has answered lately that it does not have the unit.
func (stats *targetStats) lacks(now time.Time, unit feed.Unit) bool {
	return now.Before(stats.misdirected[unit].until)
}
