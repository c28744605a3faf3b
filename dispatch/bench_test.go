package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
)

// BenchmarkPick measures the choice of a target among 256 engines, of which 24 have the model loaded.
func BenchmarkPick(b *testing.B) {
	const engines, holders = 256, 24
	now := time.Unix(1000, 0)
	var targets []feed.Target
	for number := range engines {
		model := celerylanding.ModelID("other")
		if number < holders {
			model = "m"
		}
		targets = append(targets, target(fmt.Sprintf("e%d", number), 1, model))
	}
	table := dispatch.NewRoster().Apply(now, reply(1, 1, targets...))
	picker := dispatch.NewPicker("n", "d")
	for b.Loop() {
		picked, _ := picker.Pick(now, table, dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}})
		picker.Done(now, picked, dispatch.ResultAnswered)
	}
}
