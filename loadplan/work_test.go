package loadplan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// loadOfModels plays prompt tokens per second on engines of which each has copies of all models. Two requests a second reach each model, so that only
// their prompts tell them apart.
type loadOfModels struct {
	sim *simulation
	// tokens maps models to their tokens per second, and slowdowns engines to their speed; engines without one don't tell it.
	tokens    map[celerylanding.ModelID]int
	slowdowns map[celerylanding.TargetID]float64
	unread    map[celerylanding.TargetID]int
}

func newLoadOfModels(t *testing.T) *loadOfModels {
	load := &loadOfModels{tokens: map[celerylanding.ModelID]int{}, slowdowns: map[celerylanding.TargetID]float64{}, unread: map[celerylanding.TargetID]int{}}
	held := map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": {"c"}, "e3": {"d"}, "e4": {"e"}}
	load.sim = newSimulation(t, held)
	for id := range held {
		load.sim.disk[id] = []celerylanding.ModelID{"a", "b", "c", "d", "e"}
		load.slowdowns[id] = 1
		load.sim.announce(id)
	}
	for _, model := range []celerylanding.ModelID{"a", "b", "c", "d", "e"} {
		load.tokens[model] = 1000
	}
	return load
}

// play plays a time. An engine's unread tokens are those of a second if its models' prompts come faster than it reads them.
func (load *loadOfModels) play(length time.Duration) {
	sim := load.sim
	const step = 250 * time.Millisecond
	for range int(length / step) {
		sim.now = sim.now.Add(step)
		for i, model := range []celerylanding.ModelID{"a", "b", "c", "d", "e"} {
			usage := feed.Usage{Unit: feed.Unit{Model: model}, Arrivals: 1, Urgency: 1}
			sim.planner.RecordUsage(sim.now, celerylanding.NodeID(fmt.Sprint(i)), "s", usage)
			sim.planner.RecordWork(sim.now, "s", model, load.tokens[model]/4)
		}
		for id, slowdown := range load.slowdowns {
			rate := 0
			for _, model := range sim.held[id] {
				rate += load.tokens[model] / len(load.holders(model))
			}
			load.unread[id] = rate / 20
			if float64(rate)*slowdown > 5000 {
				load.unread[id] = rate
			}
			sim.planner.SetLoad(sim.now, id, slowdown, load.unread[id])
		}
		sim.step()
	}
}

func (load *loadOfModels) holders(model celerylanding.ModelID) []celerylanding.TargetID {
	var list []celerylanding.TargetID
	for id, held := range load.sim.held {
		if slices.Contains(held, model) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// TestModelWithMuchWorkGetsAReplica guards against a model with several times its usual prompt tokens that stays on one engine until its callers are
// late: it gets a replica on the fastest engine with room, and the other models get none.
func TestModelWithMuchWorkGetsAReplica(t *testing.T) {
	load := newLoadOfModels(t)
	load.slowdowns["e2"], load.slowdowns["e4"] = 3, 2
	load.play(10 * time.Second)
	assert.Equal(t, len(load.sim.orders), 0)
	load.tokens["a"] = 8000
	load.play(3 * time.Second)
	assert.DeepEqual(t, load.holders("a"), []celerylanding.TargetID{"e1", "e3"})
	load.play(10 * time.Second)
	for _, model := range []celerylanding.ModelID{"b", "c", "d", "e"} {
		assert.Equal(t, len(load.holders(model)), 1, "%s", model)
	}
}

// TestReplicaMovesOnWithTheLoad checks that the replicas of a model that is not busy any more make room for those of another one.
func TestReplicaMovesOnWithTheLoad(t *testing.T) {
	load := newLoadOfModels(t)
	load.tokens["a"] = 20000
	load.play(20 * time.Second)
	before := len(load.holders("a"))
	assert.Assert(t, before > 2, "%d", before)
	load.tokens["a"], load.tokens["b"] = 1000, 20000
	load.play(40 * time.Second)
	assert.Assert(t, len(load.holders("b")) > 2, "%v", load.holders("b"))
	assert.Assert(t, len(load.holders("a")) >= 1 && len(load.holders("a")) < before, "%v", load.holders("a"))
	for _, model := range []celerylanding.ModelID{"c", "d", "e"} {
		assert.Assert(t, len(load.holders(model)) >= 1, "%s", model)
	}
}

// TestWorkOfEnginesThatDoNotTellTheirSpeed checks that replicas follow work only where engines tell their speed, and not while prompts are read in time.
func TestWorkOfEnginesThatDoNotTellTheirSpeed(t *testing.T) {
	for name, change := range map[string]func(load *loadOfModels){
		"no speed": func(load *loadOfModels) { clear(load.slowdowns) },
		"fast":     func(load *loadOfModels) { load.tokens["a"] = 4000 },
		"all alike": func(load *loadOfModels) {
			load.tokens = map[celerylanding.ModelID]int{"a": 8000, "c": 8000, "d": 8000, "e": 8000}
		},
	} {
		t.Run(name, func(t *testing.T) {
			load := newLoadOfModels(t)
			load.tokens["a"] = 8000
			change(load)
			load.play(15 * time.Second)
			assert.Equal(t, len(load.sim.orders), 0)
		})
	}
}

// TestLoadReportsThatStop guards against the last figures before routers lost sight of the engines: nothing tells that prompts wait any more.
func TestLoadReportsThatStop(t *testing.T) {
	load := newLoadOfModels(t)
	load.tokens["a"] = 5500
	load.play(time.Second)
	clear(load.slowdowns)
	load.tokens["a"] = 500
	load.play(10 * time.Second)
	before := len(load.sim.orders)
	assert.Assert(t, before <= 1, "the last figures were true for a moment")
	load.tokens["a"] = 8000
	load.play(15 * time.Second)
	assert.Equal(t, len(load.sim.orders), before)
}

// TestEngineThatLiesAboutItsSpeed guards against one false figure that gives replicas to all models.
func TestEngineThatLiesAboutItsSpeed(t *testing.T) {
	for name, slowdown := range map[string]float64{"fast": 0.001, "slow": 1000} {
		t.Run(name, func(t *testing.T) {
			load := newLoadOfModels(t)
			load.tokens = map[celerylanding.ModelID]int{"a": 4000, "b": 4000, "c": 8000, "d": 8000, "e": 8000}
			load.slowdowns["e2"] = slowdown
			load.play(30 * time.Second)
			loads := 0
			for _, order := range load.sim.orders {
				if order.Kind == celerylanding.OrderLoad {
					loads++
				}
			}
			// Each engine has room for two models, so that one replica can be added on the liar, and each other engine can take one of the liar's model.
			assert.Assert(t, loads <= 3, "%d loads", loads)
			for model := range load.tokens {
				assert.Assert(t, len(load.holders(model)) >= 1, "%s", model)
			}
		})
	}
}
