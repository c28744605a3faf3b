package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
)

// TestMisdirectedTargetIsSpared plays a target that has restarted without its models while no leader can say so, under a hundred requests a
// second for one of them.
func TestMisdirectedTargetIsSpared(t *testing.T) {
	unit := feed.Unit{Model: "m"}
	needs := dispatch.Requirements{Service: "s", Unit: unit}
	roster := dispatch.NewRoster()
	table := roster.Apply(start, reply(1, 1, target("t", 1, "m")))
	picker := dispatch.NewPicker("n", "d1")
	now := start
	refused := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		picked, _ := picker.Pick(now, table, needs)
		if picked == nil {
			continue
		}
		refused++
		picker.RecordMisdirected(now, picked, unit)
		picker.Done(now, picked, dispatch.ResultRefused)
	}
	assert.Assert(t, refused <= 4, "%d requests went to a target that lacks the model", refused)
	other, _ := picker.Pick(now, table, dispatch.Requirements{Service: "s"})
	assert.Assert(t, other != nil, "other requests are not affected")

	now = now.Add(2 * time.Second)
	picked, _ := picker.Pick(now, table, needs)
	assert.Assert(t, picked != nil, "the target is tried again")
	picker.RecordMisdirected(now, picked, unit)

	picked, _ = picker.Pick(now, roster.Apply(now, reply(1, 2, target("t", 2, "m"))), needs)
	assert.Assert(t, picked != nil, "a later incarnation starts afresh")
}
