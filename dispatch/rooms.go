package dispatch

import (
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/throttle"
)

// RecordBrittle records whether an answer says that its target is brittle: that it crashes when it turns more requests a second away than it
// tolerates. It reports whether this differs from the last answer.
func (picker *Picker) RecordBrittle(now time.Time, target *feed.Target, tolerance int, isBrittle bool) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.rooms.RecordAnswer(now, target, tolerance, isBrittle)
}

// RecordRejection records that a target has turned a request away for want of room; routers is the number of routers. It reports whether the target
// is brittle.
func (picker *Picker) RecordRejection(now time.Time, target *feed.Target, routers int) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.rooms.RecordRejection(now, target, routers)
	_, isBrittle := picker.rooms.Tolerance(now, target)
	return isBrittle
}

// SetBrittle records the leader's list of brittle targets, as of a time.
func (picker *Picker) SetBrittle(at time.Time, list []feed.BrittleTarget) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.rooms.SetPublished(at, list)
}

// BrittleReports returns what the leader needs to keep all routers together within the room of brittle targets.
func (picker *Picker) BrittleReports(now time.Time) []feed.BrittleReport {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.rooms.Report(now)
}

// isBrittle reports whether the target, or a target of its service while nothing is known of this one, says that it is brittle.
func (picker *Picker) isBrittle(now time.Time, target *feed.Target) bool {
	_, isBrittle := picker.rooms.Tolerance(now, target)
	return isBrittle
}

// hasNoRoom counts a request that could be sent to a target, and reports whether the target is brittle and must not get it now.
func (picker *Picker) hasNoRoom(now time.Time, target *feed.Target, routers int, needs *Requirements) bool {
	return !needs.ignoresRooms && picker.rooms.Blocks(now, target, throttle.Bid{Routers: routers, InFlight: picker.statsOf(target).model.InFlight(),
		WasRejected: needs.WasRejected, Chance: needs.Chance})
}
