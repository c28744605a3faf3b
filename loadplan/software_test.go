package loadplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
)

// newVersionedSimulation returns engines of two software versions; e2 has the only disk copy of model c and another version than e1.
func newVersionedSimulation(t *testing.T, versions map[celerylanding.TargetID]celerylanding.SoftwareVersion) *simulation {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {"c"}, "e3": {"b"}})
	sim.software = versions
	sim.disk["e3"] = []celerylanding.ModelID{"c"}
	for id := range sim.held {
		sim.announce(id)
	}
	return sim
}

// TestStreamIsLoadedOnTheVersionThatBeganIt guards against a wake for a stream that ends with the model on an engine which can't go on with it.
func TestStreamIsLoadedOnTheVersionThatBeganIt(t *testing.T) {
	sim := newVersionedSimulation(t, map[celerylanding.TargetID]celerylanding.SoftwareVersion{"e1": "v1", "e2": "v2", "e3": "v1"})
	wake := func(software celerylanding.SoftwareVersion) feed.WakeReply {
		return sim.planner.Wake(sim.now, feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: "c"}, Waiting: 1, MaxWait: 10 * time.Second,
			Software: software})
	}
	assert.Equal(t, wake("").Expected, time.Duration(0))
	assert.Equal(t, wake("v2").Expected, time.Duration(0))
	reply := wake("v1")
	assert.Assert(t, !reply.Infeasible && reply.Expected > 0, "%+v", reply)
	for range 10 {
		sim.step()
	}
	var loads []loadplan.Order
	for _, order := range sim.orders {
		if order.Kind == celerylanding.OrderLoad {
			loads = append(loads, order)
		}
	}
	assert.Equal(t, len(loads), 1, "%+v", sim.orders)
	assert.Equal(t, loads[0].Endpoint.Target, celerylanding.TargetID("e3"))
	assert.Equal(t, wake("v1").Expected, time.Duration(0))
	assert.Assert(t, wake("v3").Infeasible, "no engine has the version")
}

// TestStreamThatHasBegunIsLoadedFirst guards against callers that have a part of an answer and wait behind all loads for new requests.
func TestStreamThatHasBegunIsLoadedFirst(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {}})
	sim.software = map[celerylanding.TargetID]celerylanding.SoftwareVersion{"e1": "v1"}
	sim.disk["e1"] = []celerylanding.ModelID{"a", "b", "c", "d"}
	sim.announce("e1")
	var last feed.WakeReply
	for _, model := range []celerylanding.ModelID{"a", "b", "c"} {
		for _, node := range []celerylanding.NodeID{"n1", "n2", "n3"} {
			last = sim.planner.Wake(sim.now, feed.WakeArgs{Node: node, Service: "s", Unit: feed.Unit{Model: model}, Waiting: 5, MaxWait: 20 * time.Second,
				Slack: 20 * time.Second})
		}
	}
	resumed := sim.planner.Wake(sim.now, feed.WakeArgs{Node: "n1", Service: "s", Unit: feed.Unit{Model: "d"}, Waiting: 1, MaxWait: 2500 * time.Millisecond,
		Software: "v1"})
	assert.Assert(t, !resumed.Infeasible, "%+v", resumed)
	assert.Assert(t, resumed.Expected < last.Expected, "expected %v, a new request %v", resumed.Expected, last.Expected)
	for range 10 {
		sim.step()
	}
	assert.Assert(t, len(sim.orders) > 0)
	assert.Equal(t, sim.orders[0].Unit.Model, celerylanding.ModelID("d"))
}
