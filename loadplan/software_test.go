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
