package loadplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// TestModelWithLateAnswersGetsAnotherReplica guards against a hot model that stays on one engine because its requests take few slots: with
// long prompts its answers were late for seconds (terasarhiiv-tln, inc-a242; terasarhiiv-tln-grown, inc-6959).
func TestModelWithLateAnswersGetsAnotherReplica(t *testing.T) {
	for name, tc := range map[string]struct{ late, replicas int }{"late": {3, 2}, "on time": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {}, "e3": {}})
			for _, id := range []celerylanding.TargetID{"e1", "e2", "e3"} {
				sim.disk[id] = []celerylanding.ModelID{"a"}
				sim.announce(id)
			}
			sim.now = sim.now.Add(4 * time.Second)
			for range 4 {
				sim.now = sim.now.Add(500 * time.Millisecond)
				sim.planner.RecordUsage(sim.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: 4, Late: tc.late, Urgency: 4})
				sim.step()
			}
			replicas := 0
			for _, held := range sim.held {
				for _, model := range held {
					if model == "a" {
						replicas++
					}
				}
			}
			assert.Equal(t, replicas, tc.replicas)
		})
	}
}
