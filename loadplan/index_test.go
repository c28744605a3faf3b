package loadplan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
)

// TestIndexFollowsTheEngines plays random announcements, wakes, outcomes, reports and departures, and compares the index of models and
// the choice of engines with a scan of all engines after each.
func TestIndexFollowsTheEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		planner := loadplan.New(time.Time{})
		settings := spec()
		var sequence uint64
		var issued []loadplan.Order
		engineID := rapid.Custom(func(rt *rapid.T) celerylanding.TargetID {
			return celerylanding.TargetID(fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(rt, "engine")))
		})
		model := rapid.SampledFrom([]celerylanding.ModelID{"a", "b", "c", "d"})
		announcement := func(rt *rapid.T) celerylanding.Announcement {
			sequence++
			drawn := celerylanding.Announcement{Target: engineID.Draw(rt, "target"), Sequence: sequence, Address: "10.0.0.1:1",
				Incarnation: celerylanding.Incarnation(rapid.IntRange(1, 2).Draw(rt, "incarnation")),
				Group:       rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(rt, "group")}
			for _, id := range rapid.SliceOfNDistinct(model, 0, 2, rapid.ID).Draw(rt, "inventory") {
				drawn.Inventory = append(drawn.Inventory, celerylanding.LoadedModel{Model: id})
			}
			for _, id := range rapid.SliceOfN(model, 0, 4).Draw(rt, "cached") {
				tier := rapid.SampledFrom([]celerylanding.Tier{celerylanding.TierDisk, celerylanding.TierMemory}).Draw(rt, "tier")
				drawn.Cached = append(drawn.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: tier})
			}
			return drawn
		}
		rt.Repeat(map[string]func(*rapid.T){
			"announce": func(rt *rapid.T) {
				planner.Observe(now, announcement(rt), settings, rapid.Bool().Draw(rt, "usable"))
			},
			"report": func(rt *rapid.T) {
				drawn := announcement(rt)
				planner.HandleReport(now, celerylanding.Endpoint{Target: drawn.Target, Incarnation: drawn.Incarnation},
					&loadplan.Report{Inventory: drawn.Inventory, Accepted: uint64(rapid.IntRange(0, 5).Draw(rt, "accepted"))})
			},
			"leave": func(rt *rapid.T) { planner.Remove(engineID.Draw(rt, "target")) },
			"usage": func(rt *rapid.T) {
				planner.RecordUsage(now, "n", "s", feed.Usage{Unit: feed.Unit{Model: model.Draw(rt, "model")},
					Arrivals: rapid.IntRange(0, 30).Draw(rt, "arrivals"), InFlight: rapid.IntRange(0, 5).Draw(rt, "running"), Urgency: 1})
			},
			"wake": func(rt *rapid.T) {
				planner.Wake(now, feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: model.Draw(rt, "model")}, Waiting: 1, MaxWait: time.Minute})
			},
			"step": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
				issued = append(issued, planner.Step(now).Orders...)
			},
			"outcome": func(rt *rapid.T) {
				if len(issued) == 0 {
					rt.Skip("no order was sent")
				}
				order := issued[0]
				issued = issued[1:]
				planner.HandleOutcome(now, order, loadplan.Outcome(rapid.IntRange(0, 5).Draw(rt, "outcome")))
			},
			"": func(rt *rapid.T) {
				assert.NilError(rt, planner.CheckIndex())
				for _, id := range []celerylanding.ModelID{"a", "b", "c", "d"} {
					assert.NilError(rt, planner.CheckAssignment(now, "s", id, 1))
					assert.NilError(rt, planner.CheckAssignment(now, "s", id, 7))
				}
			},
		})
	})
}

// TestRunningRequestsOfALostRouterAreForgotten guards against a model that keeps its memory for requests of a router that has crashed: a
// router that does not report again must not keep the model protected from eviction.
func TestRunningRequestsOfALostRouterAreForgotten(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	sim.disk["e1"] = []celerylanding.ModelID{"a", "b", "c"}
	sim.announce("e1")
	sim.planner.RecordUsage(sim.now, "lost", "s", feed.Usage{Unit: feed.Unit{Model: "b"}, InFlight: 3})
	sim.planner.RecordUsage(sim.now, "kept", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, InFlight: 3})
	sim.planner.ForgetRouter("lost")
	sim.wake(feed.Unit{Model: "c"}, time.Minute)
	for range 10 {
		sim.now = sim.now.Add(time.Second)
		sim.step()
	}
	assert.Assert(t, len(sim.orders) > 0)
	assert.Equal(t, sim.orders[0].Kind, celerylanding.OrderUnload)
	assert.Equal(t, sim.orders[0].Unit.Model, celerylanding.ModelID("b"))
}

// maxRound is the longest time of a planning round at the size of the large deployment, which is to take a small share of the time between
// two rounds.
const maxRound = 800 * time.Microsecond

// TestRoundFitsTheLargeSite guards against planning whose cost is the product of engines and models: the leader has half of a core for all
// its work. The fastest of several series is taken, so that a busy machine does not decide.
func TestRoundFitsTheLargeSite(t *testing.T) {
	size := siteSizes[1]
	now := start
	planner := size.planner(now)
	fastest := time.Hour
	const rounds = 100
	for range 10 {
		began := time.Now()
		for range rounds {
			now = now.Add(20 * time.Millisecond)
			size.round(now, planner)
		}
		fastest = min(fastest, time.Since(began)/rounds)
	}
	t.Logf("round with %d engines and %d models: %v", size.engines, size.models, fastest)
	assert.Assert(t, fastest <= maxRound, "%v", fastest)
}
