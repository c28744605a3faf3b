package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
)

// availabilityTable lists two targets that hold the model.
func availabilityTable(now time.Time, incarnation celerylanding.Incarnation) (*dispatch.Table, []feed.Target) {
	targets := []feed.Target{target("a", incarnation, "m"), target("b", incarnation, "m")}
	return dispatch.NewRoster().Apply(now, reply(1, 1, targets...)), targets
}

var unitM = dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}}

// TestTargetThatSaysItLeavesGetsNoRequests guards against requests that reach a target which leaves, while its announcements and the leader's list
// still say that it is ready.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	table, targets := availabilityTable(now, 1)
	picker := dispatch.NewPicker("n", "d")
	assert.Assert(t, picker.RecordAvailability(now, &targets[0], dispatch.Availability{IsLeaving: true}))
	assert.Assert(t, !picker.RecordAvailability(now, &targets[0], dispatch.Availability{IsLeaving: true}), "not new")
	// A later answer without the field does not bring it back.
	picker.RecordAvailability(now, &targets[0], dispatch.Availability{})
	for range 20 {
		picked, _ := picker.Pick(now, table, unitM)
		assert.Equal(t, picked.ID, targets[1].ID)
	}
	picker.RecordAvailability(now, &targets[1], dispatch.Availability{IsLeaving: true})
	for _, needs := range []dispatch.Requirements{unitM, {Service: "s"}} {
		picked, unreachable := picker.Pick(now.Add(time.Hour), table, needs)
		assert.Assert(t, picked == nil, "a leaving target is no last resort")
		assert.Equal(t, len(unreachable), 2)
	}
	restarted, _ := availabilityTable(now, 2)
	picked, _ := picker.Pick(now, restarted, unitM)
	assert.Assert(t, picked != nil, "another incarnation has not said that it leaves")
}

// TestPausesAreKept plays answers and choices at random: a target gets no request before the end of its longest pause.
func TestPausesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		table, targets := availabilityTable(now, 1)
		picker := dispatch.NewPicker("n", "d")
		var until [2]time.Time
		var isLeaving [2]bool
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, 1).Draw(t, "target")
			pause := time.Duration(rapid.SampledFrom([]int{0, 0, 100, 1000, 5000}).Draw(t, "pause")) * time.Millisecond
			leaves := rapid.IntRange(0, 40).Draw(t, "leaves") == 0
			picker.RecordAvailability(now, &targets[at], dispatch.Availability{IsLeaving: leaves, Pause: pause})
			isLeaving[at] = isLeaving[at] || leaves
			if end := now.Add(pause); end.After(until[at]) {
				until[at] = end
			}
			picked, _ := picker.Pick(now, table, unitM)
			wanted := 0
			for i := range targets {
				wants := !isLeaving[i] && !now.Before(until[i])
				if wants {
					wanted++
				}
				if picked != nil && picked.ID == targets[i].ID && !wants {
					t.Fatalf("%s gets a request at %v, paused until %v, leaving %v", picked.ID, now, until[i], isLeaving[i])
				}
			}
			if picked == nil && wanted > 0 {
				t.Fatalf("%d targets want requests and none is chosen", wanted)
			}
			if remaining := picker.PauseRemaining(now, table, unitM); remaining < 0 || (wanted == 0 && !(isLeaving[0] && isLeaving[1]) && remaining == 0) {
				t.Fatalf("remaining pause %v", remaining)
			}
			if picked != nil {
				picker.Done(now, picked, dispatch.ResultAnswered)
			}
		}
	})
}

// TestEndOfAnOldRequestForgetsNothing guards against requests to a target that leaves or pauses, or over its limit, since what its answers said is dropped
// when a request to an earlier incarnation under the same ID ends.
func TestEndOfAnOldRequestForgetsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	before, old := availabilityTable(now, 1)
	after, restarted := availabilityTable(now, 2)
	picker := dispatch.NewPicker("n", "d")
	picker.Update(before)
	for range 8 {
		picked, _ := picker.Pick(now, before, unitM)
		assert.Assert(t, picked != nil)
	}
	picker.Update(after)
	picker.RecordAvailability(now, &restarted[0], dispatch.Availability{IsLeaving: true})
	picker.RecordAvailability(now, &restarted[1], dispatch.Availability{Pause: time.Second})
	picker.RecordLimit(now, &restarted[1], 0.001, true)
	for i := range old {
		picker.Done(now, &old[i], dispatch.ResultAnswered)
		picker.Done(now, &old[i], dispatch.ResultFailed)
		picker.RecordAvailability(now, &old[i], dispatch.Availability{})
		picker.RecordLimit(now, &old[i], 1000, true)
		picker.RecordLimit(now, &old[i], 0, false)
		assert.Equal(t, picker.InFlight(&restarted[i]), 0)
	}
	picked, _ := picker.Pick(now, after, unitM)
	assert.Assert(t, picked == nil)
	leaving, paused := picker.Unavailable(now)
	assert.Equal(t, leaving, 1)
	assert.Equal(t, paused, 1)
	now = now.Add(1500 * time.Millisecond)
	sent := 0
	for range 20 {
		if picked, _ = picker.Pick(now, after, unitM); picked != nil {
			assert.Equal(t, picked.ID, restarted[1].ID)
			sent++
		}
	}
	assert.Assert(t, sent <= 1, "%d requests over the limit", sent)
}

// TestIncarnationThatIsListedCounts guards against a target of which nothing is remembered, since an entry with a later incarnation, which was wrong, came
// before.
func TestIncarnationThatIsListedCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	wrong, _ := availabilityTable(now, 9)
	table, targets := availabilityTable(now, 1)
	picker := dispatch.NewPicker("n", "d")
	picked, _ := picker.Pick(now, wrong, unitM)
	assert.Assert(t, picked != nil)
	picker.Update(table)
	for i := range targets {
		picker.RecordAvailability(now, &targets[i], dispatch.Availability{IsLeaving: true})
	}
	picked, _ = picker.Pick(now, table, unitM)
	assert.Assert(t, picked == nil)
}
