package loadplan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/routing"
)

const gigabyte = celerylanding.Bytes(1e9)

var start = time.Unix(1_700_000_000, 0)

// spec returns the settings of engines with memory for two models of 30 GB.
func spec() *routing.Engine {
	engine := &routing.Engine{Slots: 8, Memory: 70 * gigabyte, AdapterSlots: 2, StoreLoadsPerSecond: 4}
	for _, id := range []celerylanding.ModelID{"a", "b", "c", "d"} {
		engine.Models = append(engine.Models, routing.Model{ID: id, Weights: 30 * gigabyte, AdapterWeights: gigabyte / 10,
			StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond})
	}
	return engine
}

func TestWakeEvictsAndLoadsFromALocalCopy(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": {"a", "b"}})
	sim.disk["e2"] = []celerylanding.ModelID{"c"}
	sim.announce("e2")
	reply := sim.wake(feed.Unit{Model: "c"}, 5*time.Second)
	assert.Assert(t, !reply.Infeasible)
	assert.Assert(t, reply.Expected > 0 && reply.Expected < 2*time.Second, "expected %v", reply.Expected)
	for range 10 {
		sim.step()
	}
	assert.Equal(t, len(sim.orders), 2)
	assert.Equal(t, sim.orders[0].Kind, celerylanding.OrderUnload)
	assert.Equal(t, sim.orders[1].Unit.Model, celerylanding.ModelID("c"))
	assert.Equal(t, sim.orders[1].Endpoint.Target, celerylanding.TargetID("e2"))
	assert.Equal(t, sim.orders[1].Tier, celerylanding.TierDisk)
	reply = sim.wake(feed.Unit{Model: "c"}, 5*time.Second)
	assert.Equal(t, reply.Expected, time.Duration(0))
}

func TestInfeasibleWakeIsRejectedAtOnce(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	reply := sim.wake(feed.Unit{Model: "c"}, 2*time.Second)
	assert.Assert(t, reply.Infeasible, "a load from the store takes six seconds")
	assert.Assert(t, reply.Expected >= 6*time.Second)
	sim.step()
	assert.Equal(t, len(sim.orders), 0)
}

// TestLateAnnouncementFreesNoMemory guards against overcommitted engine memory after a leader change: the new leader receives an engine's
// report and then delayed announcements with the inventory from before the engine's last load.
func TestLateAnnouncementFreesNoMemory(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	old := sim.announcement("e1")
	sim.held["e1"] = []celerylanding.ModelID{"a", "b"}
	sim.accepted["e1"] = 1
	sim.disk["e1"] = []celerylanding.ModelID{"c", "d"}
	old.Cached = sim.announcement("e1").Cached
	sim.wake(feed.Unit{Model: "c"}, 9*time.Second)
	sim.step()
	for range 20 {
		sim.sequence++
		old.Sequence = sim.sequence
		sim.planner.Observe(sim.now, old, spec(), true)
		sim.step()
	}
	sim.wake(feed.Unit{Model: "d"}, 9*time.Second)
	for range 20 {
		sim.step()
	}
	assert.Assert(t, len(sim.orders) >= 2)
}

func TestUnreachableEngineIsNotCounted(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {"b"}})
	sim.disk["e2"] = []celerylanding.ModelID{"a"}
	sim.announce("e2")
	args := feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: "a"}, Waiting: 1, MaxWait: 5 * time.Second}
	assert.Equal(t, sim.planner.Wake(sim.now, args).Expected, time.Duration(0))
	args.Unreachable = []celerylanding.Endpoint{{Target: "e1", Incarnation: 1}}
	reply := sim.planner.Wake(sim.now, args)
	assert.Assert(t, reply.Expected > 0 && !reply.Infeasible, "%+v", reply)
	// The engine still sends heartbeats, since only the router is cut off from it.
	sim.announce("e1")
	for range 10 {
		sim.step()
	}
	assert.Assert(t, len(sim.orders) > 0)
	assert.Equal(t, sim.orders[0].Endpoint.Target, celerylanding.TargetID("e2"))
}

// TestWakeMovesToRestartedEngineWithCopy guards against a needless wait for the store: the only engine with a copy was down when the
// unit was first requested, and restarts during the load from the store.
func TestWakeMovesToRestartedEngineWithCopy(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	assert.Assert(t, sim.wake(feed.Unit{Model: "c"}, 20*time.Second).Expected >= 6*time.Second)
	for range 20 {
		sim.step()
	}
	sim.held["e2"] = nil
	sim.disk["e2"] = []celerylanding.ModelID{"c"}
	sim.announce("e2")
	for range 40 {
		sim.step()
	}
	last := sim.orders[len(sim.orders)-1]
	assert.Equal(t, last.Endpoint.Target, celerylanding.TargetID("e2"))
	assert.Equal(t, sim.wake(feed.Unit{Model: "c"}, 20*time.Second).Expected, time.Duration(0))
}

// TestModelThatIsAlreadyLoadedTakesMemory guards against overcommitted memory: an engine answers a load order that the model is
// already loaded, although no announcement has listed it.
func TestModelThatIsAlreadyLoadedTakesMemory(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	sim.disk["e1"] = []celerylanding.ModelID{"b"}
	sim.announce("e1")
	first := sim.firstOrder("b")
	assert.Equal(t, first.Unit.Model, celerylanding.ModelID("b"))
	sim.planner.HandleOutcome(sim.now, first, loadplan.OutcomeNoChange)
	sim.disk["e1"] = []celerylanding.ModelID{"c"}
	sim.announce("e1")
	assert.Equal(t, sim.firstOrder("c").Kind, celerylanding.OrderUnload, "the engine is full")
}

// firstOrder requests a load of the model and returns the first order that follows.
func (sim *simulation) firstOrder(id celerylanding.ModelID) loadplan.Order {
	sim.t.Helper()
	sim.wake(feed.Unit{Model: id}, 9*time.Second)
	for range 20 {
		sim.now = sim.now.Add(20 * time.Millisecond)
		actions := sim.planner.Step(sim.now)
		for _, endpoint := range actions.Inspections {
			sim.planner.HandleReport(sim.now, endpoint, &loadplan.Report{Inventory: sim.announcement("e1").Inventory})
		}
		if len(actions.Orders) > 0 {
			return actions.Orders[0]
		}
	}
	sim.t.Fatalf("no order for %s", id)
	return loadplan.Order{}
}

// TestUnitsOfOneModelWaitForTheSameLoad guards against several loads of one model: requests arrive for a model that only the store has, and
// for three of its adapters.
func TestUnitsOfOneModelWaitForTheSameLoad(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": nil, "e2": nil, "e3": nil})
	for _, adapter := range []string{"", "a1", "a2", "a3"} {
		sim.wake(feed.Unit{Model: "a", Adapter: adapter}, 20*time.Second)
		for range 5 {
			sim.step()
		}
	}
	loads := 0
	for _, order := range sim.orders {
		if order.Tier == celerylanding.TierRemote {
			loads++
		}
	}
	assert.Equal(t, loads, 1, "%v", sim.orders)
}

// TestNewLeaderWaitsForHeartbeats guards against needless loads from the store after a leader change: a model is requested before the engine
// with its copy has sent a heartbeat.
func TestNewLeaderWaitsForHeartbeats(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	sim.planner = loadplan.New(start.Add(time.Second))
	sim.announce("e1")
	reply := sim.wake(feed.Unit{Model: "c"}, 3*time.Second)
	assert.Assert(t, !reply.Infeasible && reply.Expected > 0 && reply.Expected <= time.Second, "%+v", reply)
	for range 20 {
		sim.step()
	}
	assert.Equal(t, len(sim.orders), 0, "no load from the store begins")
	sim.held["e2"], sim.disk["e2"] = nil, []celerylanding.ModelID{"c"}
	sim.announce("e2")
	sim.wake(feed.Unit{Model: "c"}, 3*time.Second)
	for range 20 {
		sim.step()
	}
	assert.Equal(t, sim.orders[0].Tier, celerylanding.TierDisk)
	sim.now = start.Add(2 * time.Second)
	assert.Assert(t, sim.wake(feed.Unit{Model: "d"}, 3*time.Second).Infeasible, "once all engines are known the store is the last resort")
}

// TestNewLeaderEvictsNothingDuringDiscovery guards against needless evictions after a leader change: the requested model is loaded on an
// engine that the new leader does not know yet.
func TestNewLeaderEvictsNothingDuringDiscovery(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": {"c"}})
	sim.planner = loadplan.New(start.Add(2 * time.Second))
	reply := sim.wake(feed.Unit{Model: "c"}, 3*time.Second)
	assert.Assert(t, !reply.Infeasible && reply.Expected > 0, "no engine is known yet: %+v", reply)
	sim.disk["e1"] = []celerylanding.ModelID{"c"}
	sim.announce("e1")
	for range 10 {
		reply = sim.wake(feed.Unit{Model: "c"}, 3*time.Second)
		assert.Assert(t, !reply.Infeasible && reply.Expected > 0, "%+v", reply)
		sim.step()
	}
	assert.Equal(t, len(sim.orders), 0, "neither a nor b is evicted")
	sim.announce("e2")
	assert.Equal(t, sim.wake(feed.Unit{Model: "c"}, 3*time.Second).Expected, time.Duration(0))
	for range 20 {
		sim.step()
	}
	assert.Equal(t, len(sim.orders), 0)
}

// TestLeaderWithInheritedEnginesOrdersAtOnce guards against a needless wait for heartbeats by a leader that has its predecessor's list of engines.
func TestLeaderWithInheritedEnginesOrdersAtOnce(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	sim.planner = loadplan.New(start.Add(2 * time.Second))
	sim.disk["e1"] = []celerylanding.ModelID{"c"}
	sim.announce("e1")
	sim.planner.MarkDiscoveryComplete()
	sim.wake(feed.Unit{Model: "c"}, 3*time.Second)
	for range 5 {
		sim.step()
	}
	assert.Assert(t, len(sim.orders) > 0)
}

// TestLoadsWithinTheLatencyObjectiveComeFirst guards against late answers for all requests of an overloaded engine: of two queued units, one
// is past its latency objective already and must be loaded last.
func TestLoadsWithinTheLatencyObjectiveComeFirst(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	sim.disk["e1"] = []celerylanding.ModelID{"a", "b", "c", "d"}
	sim.announce("e1")
	for model, slack := range map[celerylanding.ModelID]time.Duration{"c": 0, "d": 4 * time.Second} {
		sim.planner.Wake(sim.now, feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: model}, Waiting: 1,
			MaxWait: 10*time.Second + slack, Slack: slack})
	}
	for range 20 {
		sim.step()
	}
	var loaded []celerylanding.ModelID
	for _, order := range sim.orders {
		if order.Kind == celerylanding.OrderLoad {
			loaded = append(loaded, order.Unit.Model)
		}
	}
	assert.DeepEqual(t, loaded[:2], []celerylanding.ModelID{"d", "c"})
}

// TestModelWithAnotherCopyIsEvictedFirst guards against the eviction of a model that is slow to reload: one of the two residents has a second
// copy on another engine and must be evicted first.
func TestModelWithAnotherCopyIsEvictedFirst(t *testing.T) {
	for _, other := range []celerylanding.ModelID{"a", "b"} {
		sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": nil})
		sim.disk["e1"] = []celerylanding.ModelID{"a", "b", "c", "d"}
		sim.disk["e2"] = []celerylanding.ModelID{other}
		// The memory of e2 is full of models that are loaded on no other engine, so that nothing is preloaded there.
		sim.held["e2"] = []celerylanding.ModelID{"x", "y"}
		sim.announce("e1")
		sim.announce("e2")
		for _, model := range []celerylanding.ModelID{"a", "b"} {
			sim.planner.RecordUsage(sim.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: model}, Arrivals: 2, Urgency: 1})
		}
		for _, model := range []celerylanding.ModelID{"c", "d"} {
			sim.wake(feed.Unit{Model: model}, 9*time.Second)
		}
		sim.now = sim.now.Add(100 * time.Millisecond)
		for range 10 {
			sim.step()
		}
		assert.Equal(t, sim.orders[0].Kind, celerylanding.OrderUnload)
		assert.Equal(t, sim.orders[0].Unit.Model, other, "%v", sim.orders)
	}
}

// TestBusyModelGetsCopiesForItsReplicas guards against a busy model that can't scale out: its demand exceeds the two engines that have its
// weights, so further copies must be fetched.
func TestBusyModelGetsCopiesForItsReplicas(t *testing.T) {
	held := map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {"a"}}
	for i := range 40 {
		held[celerylanding.TargetID(fmt.Sprintf("f%d", i))] = nil
	}
	sim := newSimulation(t, held)
	for _, id := range []celerylanding.TargetID{"e1", "e2"} {
		sim.disk[id] = []celerylanding.ModelID{"a"}
		sim.announce(id)
	}
	for range 60 {
		sim.planner.RecordUsage(sim.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: 10, Urgency: 10})
		sim.step()
	}
	fetched := 0
	for _, order := range sim.orders {
		if order.Unit.Model == "a" && order.Tier == celerylanding.TierRemote {
			fetched++
		}
	}
	assert.Assert(t, fetched > 0, "%v", sim.orders)
}

// TestNewPlannerDoesNotUnderestimateRates guards against too few replicas of a busy model soon after a planner starts: from the start the
// demand exceeds two replicas.
func TestNewPlannerDoesNotUnderestimateRates(t *testing.T) {
	held := map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": nil, "e3": nil, "e4": nil}
	sim := newSimulation(t, held)
	for id := range held {
		sim.disk[id] = []celerylanding.ModelID{"a"}
		sim.announce(id)
	}
	// 30 requests a second need three replicas.
	for range 100 {
		sim.planner.RecordUsage(sim.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: 30, Urgency: 30})
		for range 50 {
			sim.step()
		}
		if sim.now.Sub(start) > 1500*time.Millisecond {
			break
		}
	}
	assert.Assert(t, len(sim.orders) >= 2, "%v", sim.orders)
}

// TestLoadsOfLostEnginesFreeTheStore guards against a blocked store: all engines that load from it are lost and their loads must not count
// towards the limit.
func TestLoadsOfLostEnginesFreeTheStore(t *testing.T) {
	lost := []celerylanding.TargetID{"e1", "e2", "e3"}
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": nil, "e2": nil, "e3": nil})
	for _, model := range []celerylanding.ModelID{"a", "b", "c"} {
		sim.wake(feed.Unit{Model: model}, 20*time.Second)
	}
	for range 10 {
		sim.step()
	}
	assert.Equal(t, len(sim.orders), 3, "%v", sim.orders)
	for _, id := range lost {
		sim.sequence++
		sim.planner.Observe(sim.now, sim.announcement(id), spec(), false)
	}
	sim.held["e4"] = nil
	sim.announce("e4")
	sim.wake(feed.Unit{Model: "d"}, 20*time.Second)
	for range 10 {
		sim.step()
	}
	assert.Equal(t, len(sim.orders), 4, "the store is free again: %v", sim.orders)
	assert.Equal(t, sim.orders[3].Tier, celerylanding.TierRemote)
}

// TestNewLeaderCountsTheLoadsOfTheFormerOne guards against an overloaded store after a leader change: three engines still load from it on the
// earlier leader's orders.
func TestNewLeaderCountsTheLoadsOfTheFormerOne(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e4": nil})
	for id, model := range map[celerylanding.TargetID]celerylanding.ModelID{"e1": "a", "e2": "b", "e3": "c"} {
		announcement := sim.announcement(id)
		announcement.Fetching = model
		sim.planner.Observe(sim.now, announcement, spec(), true)
		assert.Equal(t, sim.planner.Fetching(id), model)
	}
	// steps counts the orders of ten steps during which the given engines report that they are busy.
	steps := func(busy ...celerylanding.TargetID) int {
		count := 0
		for range 10 {
			sim.now = sim.now.Add(100 * time.Millisecond)
			actions := sim.planner.Step(sim.now)
			for _, endpoint := range actions.Inspections {
				sim.planner.HandleReport(sim.now, endpoint, &loadplan.Report{Incarnation: 1, Busy: slices.Contains(busy, endpoint.Target)})
			}
			count += len(actions.Orders)
		}
		return count
	}
	sim.wake(feed.Unit{Model: "a"}, 20*time.Second)
	sim.wake(feed.Unit{Model: "d"}, 20*time.Second)
	assert.Equal(t, steps("e1", "e2", "e3"), 0, "the store is at its limit, and a is being loaded")
	assert.Equal(t, steps("e2", "e3"), 1, "the first load has ended")
}

// TestLostLoadAnnouncementTriggersInspection guards against a long wait after the announcement of a completed load is lost: the
// engine must be asked for a report well before its next announcement.
func TestLostLoadAnnouncementTriggersInspection(t *testing.T) {
	sim := newSimulation(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	sim.disk["e1"] = []celerylanding.ModelID{"c"}
	sim.announce("e1")
	sim.wake(feed.Unit{Model: "c"}, 9*time.Second)
	var acceptedAt time.Time
	var model celerylanding.ModelID
	for sim.now.Sub(start) < 3*time.Second {
		sim.now = sim.now.Add(20 * time.Millisecond)
		actions := sim.planner.Step(sim.now)
		for _, order := range actions.Orders {
			acceptedAt, model = sim.now, order.Unit.Model
			sim.accepted["e1"]++
			sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeAccepted)
		}
		for _, endpoint := range actions.Inspections {
			report := &loadplan.Report{Incarnation: 1, Accepted: sim.accepted["e1"], Inventory: sim.announcement("e1").Inventory}
			if report.Busy = !acceptedAt.IsZero() && sim.now.Sub(acceptedAt) < time.Second; !report.Busy && !acceptedAt.IsZero() {
				report.Inventory = append(report.Inventory, celerylanding.LoadedModel{Model: model})
			}
			sim.planner.HandleReport(sim.now, endpoint, report)
		}
		if !acceptedAt.IsZero() && len(sim.planner.LoadedModels(sim.now, "e1")) == 2 {
			break
		}
	}
	assert.Equal(t, model, celerylanding.ModelID("c"))
	assert.Assert(t, sim.now.Sub(acceptedAt) < 1500*time.Millisecond, "the load, which takes 1 s, was known %v after its order", sim.now.Sub(acceptedAt))
}
