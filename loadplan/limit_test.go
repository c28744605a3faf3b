package loadplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// TestBusyModelOnALimitedEngineGetsAReplica guards against a busy model that stays on an engine that takes few of its requests, and against
// replicas for models whose requests fit within the limit.
func TestBusyModelOnALimitedEngineGetsAReplica(t *testing.T) {
	for name, tc := range map[string]struct {
		arrivals  int
		isLimited bool
		want      bool
	}{"busy": {4, true, true}, "within the limit": {1, true, false}, "no limit": {4, false, false}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {}, "e3": {}})
			for _, id := range []celerylanding.TargetID{"e1", "e2", "e3"} {
				sim.disk[id] = []celerylanding.ModelID{"a"}
				sim.announce(id)
			}
			sim.planner.SetLimit("e1", 20, tc.isLimited)
			sim.planner.SetLimit("e2", 20, tc.isLimited)
			sim.now = sim.now.Add(4 * time.Second)
			for range 8 {
				sim.now = sim.now.Add(500 * time.Millisecond)
				sim.planner.RecordUsage(sim.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: tc.arrivals, Urgency: float64(tc.arrivals)})
				sim.step()
			}
			assert.Equal(t, slices.Contains(sim.held["e3"], "a"), tc.want)
			assert.Assert(t, !slices.Contains(sim.held["e2"], "a"), "an engine without a limit is preferred")
		})
	}
}

// TestThrottledUnitIsLoadedOnAnEngineWithoutALimit guards against requests that wait at an engine's limit although another engine has room.
func TestThrottledUnitIsLoadedOnAnEngineWithoutALimit(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {}, "e3": {}})
	for _, id := range []celerylanding.TargetID{"e2", "e3"} {
		sim.disk[id] = []celerylanding.ModelID{"a"}
		sim.announce(id)
	}
	sim.planner.SetLimit("e1", 1, true)
	sim.planner.SetLimit("e2", 1, true)
	sim.now = sim.now.Add(4 * time.Second)
	reply := sim.planner.Wake(sim.now, feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: "a"}, Waiting: 1, MaxWait: 5 * time.Second,
		Unreachable: []celerylanding.Endpoint{{Target: "e1", Incarnation: 1, Address: "10.0.0.1:1"}}})
	assert.Assert(t, reply.Expected > 0 && !reply.Infeasible)
	for range 10 {
		sim.step()
	}
	assert.DeepEqual(t, sim.held["e3"], []celerylanding.ModelID{"a"})
	assert.Equal(t, len(sim.held["e2"]), 0)
}

// TestWakeOfABusyModelOnALimitedEngine guards against a leader that ends when requests wait for a model whose first replica without a limit is
// queued.
func TestWakeOfABusyModelOnALimitedEngine(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {}})
	sim.disk["e2"] = []celerylanding.ModelID{"a"}
	sim.announce("e2")
	sim.planner.SetLimit("e1", 2, true)
	sim.now = sim.now.Add(4 * time.Second)
	for range 20 {
		sim.now = sim.now.Add(200 * time.Millisecond)
		sim.planner.RecordUsage(sim.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: 4, Urgency: 4})
		sim.planner.Step(sim.now)
		reply := sim.planner.Wake(sim.now, feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: "a"}, Waiting: 1, MaxWait: 5 * time.Second,
			Unreachable: []celerylanding.Endpoint{{Target: "e1", Incarnation: 1, Address: "10.0.0.1:1"}}})
		assert.Assert(t, reply.Leads)
	}
}
