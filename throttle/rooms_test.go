package throttle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/throttle"
)

func brittleTargetOf(id celerylanding.TargetID, incarnation celerylanding.Incarnation) *feed.Target {
	return &feed.Target{ID: id, Incarnation: incarnation, Service: "s", Slots: 4}
}

// TestEndedBrittlenessIsForgotten guards against targets that stay throttled after they have stopped to say that they are brittle.
func TestEndedBrittlenessIsForgotten(t *testing.T) {
	rooms, now := throttle.NewRooms("n"), time.Unix(1000, 0)
	first, restarted := brittleTargetOf("t", 1), brittleTargetOf("u", 2)
	full := throttle.Bid{Routers: 1, InFlight: 4}
	assert.Assert(t, !rooms.Blocks(now, first, full), "no target is brittle")
	assert.Assert(t, rooms.RecordAnswer(now, first, 3, true))
	assert.Assert(t, rooms.Blocks(now, first, full))
	assert.Assert(t, rooms.Blocks(now, restarted, full), "the service is brittle")
	assert.Assert(t, rooms.RecordAnswer(now, first, 0, false))
	assert.Assert(t, !rooms.Blocks(now, first, full), "its own answer ends it")
	rooms.RecordAnswer(now, first, 3, true)
	now = now.Add(5 * time.Second)
	assert.Assert(t, !rooms.Blocks(now, first, full) && !rooms.Blocks(now, restarted, full))
	rooms.Report(now)
	assert.Equal(t, len(rooms.Report(now.Add(5*time.Second))), 0)
}

// TestRejectionsOfOtherRoutersCount guards against routers that each use up what a target tolerates.
func TestRejectionsOfOtherRoutersCount(t *testing.T) {
	now := time.Unix(1000, 0)
	target := brittleTargetOf("t", 1)
	free := throttle.Bid{Routers: 2}
	for justRejected, isBlocked := range map[int]bool{0: false, 1: false, 2: true, 5: true} {
		rooms := throttle.NewRooms("n")
		rooms.SetPublished(now, []feed.BrittleTarget{{Target: "t", Incarnation: 1, Service: "s", Tolerance: 4, Demand: 1, Sent: 100, JustRejected: justRejected}})
		rooms.RecordLoad(now, target, celerylanding.TargetLoad{Running: 1}, 4)
		assert.Equal(t, rooms.Blocks(now.Add(100*time.Millisecond), target, free), isBlocked, "%d", justRejected)
	}
}

// TestTallyAddsUpRouters guards against a leader that loses the figures of some routers, or keeps those of an earlier incarnation.
func TestTallyAddsUpRouters(t *testing.T) {
	tally, now := throttle.NewTally(), time.Unix(1000, 0)
	report := feed.BrittleReport{Target: "t", Incarnation: 1, Service: "s", IsAnswered: true, IsBrittle: true, Tolerance: 4, Wanted: 8, Sent: 4, Rejected: 1}
	assert.Assert(t, tally.Add(now, report))
	report.Rejected = 0
	assert.Assert(t, !tally.Add(now, report), "nothing is new")
	listed := tally.Brittle(now)
	assert.Equal(t, len(listed), 1)
	assert.Assert(t, listed[0].Sent == 8 && listed[0].Rejected == 1 && listed[0].JustRejected == 1 && listed[0].Demand >= 4, "%+v", listed[0])
	assert.Equal(t, tally.Brittle(now.Add(1500 * time.Millisecond))[0].JustRejected, 0)
	assert.Assert(t, tally.Add(now, feed.BrittleReport{Target: "t", Incarnation: 2, Service: "s", IsAnswered: true, IsBrittle: true, Tolerance: 4}))
	assert.Assert(t, !tally.Add(now, report), "the earlier incarnation is gone")
	assert.Equal(t, tally.Brittle(now)[0].Sent, 0)
	assert.Equal(t, len(tally.Brittle(now.Add(4*time.Second))), 0, "no answer says so any more")
}
