package waking_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/waking"
)

const gigabyte = celerylanding.Bytes(1e9)

var start = time.Unix(1_700_000_000, 0)

// spec describes engines with room for two models of 30 GB.
func spec() *routing.Engine {
	engine := &routing.Engine{Slots: 8, Memory: 70 * gigabyte, AdapterSlots: 2, StoreLoadsPerSecond: 4}
	for _, id := range []celerylanding.ModelID{"a", "b", "c", "d"} {
		engine.Models = append(engine.Models, routing.Model{ID: id, Weights: 30 * gigabyte, AdapterWeights: gigabyte / 10,
			StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond})
	}
	return engine
}

// world plays engines that carry out every order at once.
type world struct {
	t        *testing.T
	planner  *waking.Planner
	now      time.Time
	held     map[celerylanding.TargetID][]celerylanding.ModelID
	sequence uint64
	accepted map[celerylanding.TargetID]uint64
	disk     map[celerylanding.TargetID][]celerylanding.ModelID
	orders   []waking.Order
}

func newWorld(t *testing.T, held map[celerylanding.TargetID][]celerylanding.ModelID) *world {
	play := &world{t: t, planner: waking.New(time.Time{}), now: start, held: held, accepted: map[celerylanding.TargetID]uint64{},
		disk: map[celerylanding.TargetID][]celerylanding.ModelID{}}
	for id := range held {
		play.announce(id)
	}
	return play
}

func (play *world) announcement(id celerylanding.TargetID) celerylanding.Announcement {
	announcement := celerylanding.Announcement{Target: id, Incarnation: 1, Sequence: play.sequence, Group: "s", Address: "10.0.0.1:1"}
	for _, model := range play.held[id] {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: model})
	}
	for _, model := range play.disk[id] {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: model, Tier: celerylanding.TierDisk})
	}
	return announcement
}

func (play *world) announce(id celerylanding.TargetID) {
	play.sequence++
	play.planner.Observe(play.now, play.announcement(id), spec(), true)
}

// step lets the planner act and carries out what it orders.
func (play *world) step() {
	play.now = play.now.Add(20 * time.Millisecond)
	actions := play.planner.Step(play.now)
	for _, endpoint := range actions.Inspections {
		report := &waking.Report{Incarnation: 1, Accepted: play.accepted[endpoint.Target],
			Inventory: play.announcement(endpoint.Target).Inventory}
		play.planner.HandleReport(play.now, endpoint, report)
	}
	for _, order := range actions.Orders {
		play.orders = append(play.orders, order)
		play.carryOut(order)
	}
}

func (play *world) carryOut(order waking.Order) {
	id := order.Endpoint.Target
	if order.Accepted != play.accepted[id] {
		play.planner.HandleOutcome(play.now, order, waking.OutcomeConflict)
		return
	}
	play.accepted[id]++
	if order.Tier == celerylanding.TierRemote {
		// A load from the store takes longer than any of these tests.
		play.planner.HandleOutcome(play.now, order, waking.OutcomeAccepted)
		return
	}
	kept := play.held[id][:0:0]
	for _, model := range play.held[id] {
		if order.Kind == celerylanding.OrderLoad || model != celerylanding.ModelID(order.Unit.String()) {
			kept = append(kept, model)
		}
	}
	if order.Kind == celerylanding.OrderLoad {
		kept = append(kept, celerylanding.ModelID(order.Unit.String()))
	}
	play.held[id] = kept
	play.planner.HandleOutcome(play.now, order, waking.OutcomeAccepted)
	play.announce(id)
	models := 0
	for _, model := range kept {
		if _, adapter := waking.SplitUnit(model); adapter == "" {
			models++
		}
	}
	assert.Assert(play.t, models <= 2, "engine %s holds %v, beyond its memory", id, kept)
}

func (play *world) wake(unit feed.Unit, patience time.Duration) feed.WakeReply {
	return play.planner.Wake(play.now, feed.WakeArgs{Node: "n", Service: "s", Unit: unit, Waiting: 1, MaxWait: patience})
}

func TestWakeEvictsAndLoadsFromALocalCopy(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": {"a", "b"}})
	play.disk["e2"] = []celerylanding.ModelID{"c"}
	play.announce("e2")
	reply := play.wake(feed.Unit{Model: "c"}, 5*time.Second)
	assert.Assert(t, !reply.Infeasible)
	assert.Assert(t, reply.Expected > 0 && reply.Expected < 2*time.Second, "expected %v", reply.Expected)
	for range 10 {
		play.step()
	}
	assert.Equal(t, len(play.orders), 2)
	assert.Equal(t, play.orders[0].Kind, celerylanding.OrderUnload)
	assert.Equal(t, play.orders[1].Unit.Model, celerylanding.ModelID("c"))
	assert.Equal(t, play.orders[1].Endpoint.Target, celerylanding.TargetID("e2"))
	assert.Equal(t, play.orders[1].Tier, celerylanding.TierDisk)
	reply = play.wake(feed.Unit{Model: "c"}, 5*time.Second)
	assert.Equal(t, reply.Expected, time.Duration(0))
}

func TestInfeasibleWakeIsRejectedAtOnce(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	reply := play.wake(feed.Unit{Model: "c"}, 2*time.Second)
	assert.Assert(t, reply.Infeasible, "a load from the store takes six seconds")
	assert.Assert(t, reply.Expected >= 6*time.Second)
	play.step()
	assert.Equal(t, len(play.orders), 0)
}

// TestLateAnnouncementFreesNoMemory plays what broke a limit at a change of the leader: the successor learned by asking what an
// engine holds, and then took an announcement from before the last load.
func TestLateAnnouncementFreesNoMemory(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	old := play.announcement("e1")
	play.held["e1"] = []celerylanding.ModelID{"a", "b"}
	play.accepted["e1"] = 1
	play.disk["e1"] = []celerylanding.ModelID{"c", "d"}
	old.Cached = play.announcement("e1").Cached
	play.wake(feed.Unit{Model: "c"}, 9*time.Second)
	play.step()
	for range 20 {
		play.sequence++
		old.Sequence = play.sequence
		play.planner.Observe(play.now, old, spec(), true)
		play.step()
	}
	play.wake(feed.Unit{Model: "d"}, 9*time.Second)
	for range 20 {
		play.step()
	}
	assert.Assert(t, len(play.orders) >= 2)
}

func TestUnreachableEngineIsNotCounted(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {"b"}})
	play.disk["e2"] = []celerylanding.ModelID{"a"}
	play.announce("e2")
	args := feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: "a"}, Waiting: 1, MaxWait: 5 * time.Second}
	assert.Equal(t, play.planner.Wake(play.now, args).Expected, time.Duration(0))
	args.Unreachable = []celerylanding.Endpoint{{Target: "e1", Incarnation: 1}}
	reply := play.planner.Wake(play.now, args)
	assert.Assert(t, reply.Expected > 0 && !reply.Infeasible, "%+v", reply)
	// The engine still sends heartbeats, since only the router is cut off from it.
	play.announce("e1")
	for range 10 {
		play.step()
	}
	assert.Assert(t, len(play.orders) > 0)
	assert.Equal(t, play.orders[0].Endpoint.Target, celerylanding.TargetID("e2"))
}

// TestWakeMovesToAnEngineThatComesBackWithACopy plays a crash: the only engine with a copy was away when the unit was first asked
// for, so that it waits for the store.
func TestWakeMovesToAnEngineThatComesBackWithACopy(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	assert.Assert(t, play.wake(feed.Unit{Model: "c"}, 20*time.Second).Expected >= 6*time.Second)
	for range 20 {
		play.step()
	}
	play.held["e2"] = nil
	play.disk["e2"] = []celerylanding.ModelID{"c"}
	play.announce("e2")
	for range 40 {
		play.step()
	}
	last := play.orders[len(play.orders)-1]
	assert.Equal(t, last.Endpoint.Target, celerylanding.TargetID("e2"))
	assert.Equal(t, play.wake(feed.Unit{Model: "c"}, 20*time.Second).Expected, time.Duration(0))
}

// TestModelThatIsAlreadyLoadedTakesMemory answers a load with the word that the model is there, which no announcement has said.
func TestModelThatIsAlreadyLoadedTakesMemory(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	play.disk["e1"] = []celerylanding.ModelID{"b"}
	play.announce("e1")
	first := play.firstOrder("b")
	assert.Equal(t, first.Unit.Model, celerylanding.ModelID("b"))
	play.planner.HandleOutcome(play.now, first, waking.OutcomeNoChange)
	play.disk["e1"] = []celerylanding.ModelID{"c"}
	play.announce("e1")
	assert.Equal(t, play.firstOrder("c").Kind, celerylanding.OrderUnload, "the engine is full")
}

// firstOrder asks for a model and returns the first order that follows.
func (play *world) firstOrder(id celerylanding.ModelID) waking.Order {
	play.t.Helper()
	play.wake(feed.Unit{Model: id}, 9*time.Second)
	for range 20 {
		play.now = play.now.Add(20 * time.Millisecond)
		actions := play.planner.Step(play.now)
		for _, endpoint := range actions.Inspections {
			play.planner.HandleReport(play.now, endpoint, &waking.Report{Inventory: play.announcement("e1").Inventory})
		}
		if len(actions.Orders) > 0 {
			return actions.Orders[0]
		}
	}
	play.t.Fatalf("no order for %s", id)
	return waking.Order{}
}

// TestUnitsOfOneModelWaitForTheSameLoad asks for three adapters of a model that only the store has.
func TestUnitsOfOneModelWaitForTheSameLoad(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": nil, "e2": nil, "e3": nil})
	for _, adapter := range []string{"", "a1", "a2", "a3"} {
		play.wake(feed.Unit{Model: "a", Adapter: adapter}, 20*time.Second)
		for range 5 {
			play.step()
		}
	}
	loads := 0
	for _, order := range play.orders {
		if order.Tier == celerylanding.TierRemote {
			loads++
		}
	}
	assert.Equal(t, loads, 1, "%v", play.orders)
}

// TestNewLeaderWaitsForHeartbeats asks a planner for a model before the engine with its copy has been heard of.
func TestNewLeaderWaitsForHeartbeats(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	play.planner = waking.New(start.Add(time.Second))
	play.announce("e1")
	reply := play.wake(feed.Unit{Model: "c"}, 3*time.Second)
	assert.Assert(t, !reply.Infeasible && reply.Expected > 0 && reply.Expected <= time.Second, "%+v", reply)
	for range 20 {
		play.step()
	}
	assert.Equal(t, len(play.orders), 0, "no load from the store begins")
	play.held["e2"], play.disk["e2"] = nil, []celerylanding.ModelID{"c"}
	play.announce("e2")
	play.wake(feed.Unit{Model: "c"}, 3*time.Second)
	for range 20 {
		play.step()
	}
	assert.Equal(t, play.orders[0].Tier, celerylanding.TierDisk)
	play.now = start.Add(2 * time.Second)
	assert.Assert(t, play.wake(feed.Unit{Model: "d"}, 3*time.Second).Infeasible, "once all engines are known the store is the last resort")
}

// TestNewLeaderEvictsNothingDuringDiscovery asks a planner for a model that an engine holds which it does not know yet.
func TestNewLeaderEvictsNothingDuringDiscovery(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": {"c"}})
	play.planner = waking.New(start.Add(2 * time.Second))
	reply := play.wake(feed.Unit{Model: "c"}, 3*time.Second)
	assert.Assert(t, !reply.Infeasible && reply.Expected > 0, "no engine is known yet: %+v", reply)
	play.disk["e1"] = []celerylanding.ModelID{"c"}
	play.announce("e1")
	for range 10 {
		reply = play.wake(feed.Unit{Model: "c"}, 3*time.Second)
		assert.Assert(t, !reply.Infeasible && reply.Expected > 0, "%+v", reply)
		play.step()
	}
	assert.Equal(t, len(play.orders), 0, "neither a nor b makes way")
	play.announce("e2")
	assert.Equal(t, play.wake(feed.Unit{Model: "c"}, 3*time.Second).Expected, time.Duration(0))
	for range 20 {
		play.step()
	}
	assert.Equal(t, len(play.orders), 0)
}

// TestLeaderWithInheritedEnginesOrdersAtOnce knows from its predecessor which engines there are.
func TestLeaderWithInheritedEnginesOrdersAtOnce(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	play.planner = waking.New(start.Add(2 * time.Second))
	play.disk["e1"] = []celerylanding.ModelID{"c"}
	play.announce("e1")
	play.planner.MarkDiscoveryComplete()
	play.wake(feed.Unit{Model: "c"}, 3*time.Second)
	for range 5 {
		play.step()
	}
	assert.Assert(t, len(play.orders) > 0)
}

// TestLoadsWithinTheTargetLatencyComeFirst lets two units wait for one engine; the one that has waited longer is late already.
func TestLoadsWithinTheTargetLatencyComeFirst(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}})
	play.disk["e1"] = []celerylanding.ModelID{"a", "b", "c", "d"}
	play.announce("e1")
	for model, slack := range map[celerylanding.ModelID]time.Duration{"c": 0, "d": 4 * time.Second} {
		play.planner.Wake(play.now, feed.WakeArgs{Node: "n", Service: "s", Unit: feed.Unit{Model: model}, Waiting: 1,
			MaxWait: 10*time.Second + slack, Slack: slack})
	}
	for range 20 {
		play.step()
	}
	var loaded []celerylanding.ModelID
	for _, order := range play.orders {
		if order.Kind == celerylanding.OrderLoad {
			loaded = append(loaded, order.Unit.Model)
		}
	}
	assert.DeepEqual(t, loaded[:2], []celerylanding.ModelID{"d", "c"})
}

// TestModelWithAnotherCopyIsEvictedFirst wakes c on the only engine with its weights; a could come back on an idle engine, b only here.
func TestModelWithAnotherCopyIsEvictedFirst(t *testing.T) {
	for _, other := range []celerylanding.ModelID{"a", "b"} {
		play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a", "b"}, "e2": nil})
		play.disk["e1"] = []celerylanding.ModelID{"a", "b", "c", "d"}
		play.disk["e2"] = []celerylanding.ModelID{other}
		// The free memory of e2 is taken by models that nobody else holds, so that nothing is loaded there ahead.
		play.held["e2"] = []celerylanding.ModelID{"x", "y"}
		play.announce("e1")
		play.announce("e2")
		for _, model := range []celerylanding.ModelID{"a", "b"} {
			play.planner.RecordUsage(play.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: model}, Arrivals: 2, Urgency: 1})
		}
		for _, model := range []celerylanding.ModelID{"c", "d"} {
			play.wake(feed.Unit{Model: model}, 9*time.Second)
		}
		play.now = play.now.Add(100 * time.Millisecond)
		for range 10 {
			play.step()
		}
		assert.Equal(t, play.orders[0].Kind, celerylanding.OrderUnload)
		assert.Equal(t, play.orders[0].Unit.Model, other, "%v", play.orders)
	}
}

// TestBusyModelGetsCopiesForItsReplicas asks for a model more often than the two engines with its weights can serve.
func TestBusyModelGetsCopiesForItsReplicas(t *testing.T) {
	held := map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": {"a"}}
	for i := range 40 {
		held[celerylanding.TargetID(fmt.Sprintf("f%d", i))] = nil
	}
	play := newWorld(t, held)
	for _, id := range []celerylanding.TargetID{"e1", "e2"} {
		play.disk[id] = []celerylanding.ModelID{"a"}
		play.announce(id)
	}
	for range 60 {
		play.planner.RecordUsage(play.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: 10, Urgency: 10})
		play.step()
	}
	fetched := 0
	for _, order := range play.orders {
		if order.Unit.Model == "a" && order.Tier == celerylanding.TierRemote {
			fetched++
		}
	}
	assert.Assert(t, fetched > 0, "%v", play.orders)
}

// TestRatesAreRightFromTheStart asks a planner that has just begun for more than two replicas can serve.
func TestRatesAreRightFromTheStart(t *testing.T) {
	held := map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}, "e2": nil, "e3": nil, "e4": nil}
	play := newWorld(t, held)
	for id := range held {
		play.disk[id] = []celerylanding.ModelID{"a"}
		play.announce(id)
	}
	// 30 requests a second need three replicas.
	for range 100 {
		play.planner.RecordUsage(play.now, "n", "s", feed.Usage{Unit: feed.Unit{Model: "a"}, Arrivals: 30, Urgency: 30})
		for range 50 {
			play.step()
		}
		if play.now.Sub(start) > 1500*time.Millisecond {
			break
		}
	}
	assert.Assert(t, len(play.orders) >= 2, "%v", play.orders)
}

// TestLoadsOfLostEnginesFreeTheStore loses all engines that load from the store, none of which comes back.
func TestLoadsOfLostEnginesFreeTheStore(t *testing.T) {
	lost := []celerylanding.TargetID{"e1", "e2", "e3"}
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": nil, "e2": nil, "e3": nil})
	for _, model := range []celerylanding.ModelID{"a", "b", "c"} {
		play.wake(feed.Unit{Model: model}, 20*time.Second)
	}
	for range 10 {
		play.step()
	}
	assert.Equal(t, len(play.orders), 3, "%v", play.orders)
	for _, id := range lost {
		play.sequence++
		play.planner.Observe(play.now, play.announcement(id), spec(), false)
	}
	play.held["e4"] = nil
	play.announce("e4")
	play.wake(feed.Unit{Model: "d"}, 20*time.Second)
	for range 10 {
		play.step()
	}
	assert.Equal(t, len(play.orders), 4, "the store is free again: %v", play.orders)
	assert.Equal(t, play.orders[3].Tier, celerylanding.TierRemote)
}

// TestNewLeaderCountsTheLoadsOfTheFormerOne takes over while three engines load from the store on an earlier leader's order.
func TestNewLeaderCountsTheLoadsOfTheFormerOne(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e4": nil})
	for id, model := range map[celerylanding.TargetID]celerylanding.ModelID{"e1": "a", "e2": "b", "e3": "c"} {
		announcement := play.announcement(id)
		announcement.Fetching = model
		play.planner.Observe(play.now, announcement, spec(), true)
		assert.Equal(t, play.planner.Fetching(id), model)
	}
	// steps counts the orders of ten rounds, in which the engines that load say that they are busy.
	steps := func(busy ...celerylanding.TargetID) int {
		count := 0
		for range 10 {
			play.now = play.now.Add(100 * time.Millisecond)
			actions := play.planner.Step(play.now)
			for _, endpoint := range actions.Inspections {
				play.planner.HandleReport(play.now, endpoint, &waking.Report{Incarnation: 1, Busy: slices.Contains(busy, endpoint.Target)})
			}
			count += len(actions.Orders)
		}
		return count
	}
	play.wake(feed.Unit{Model: "a"}, 20*time.Second)
	play.wake(feed.Unit{Model: "d"}, 20*time.Second)
	assert.Equal(t, steps("e1", "e2", "e3"), 0, "the store has enough to do, and a is on its way")
	assert.Equal(t, steps("e2", "e3"), 1, "the first load has ended")
}

// TestLostAnnouncementOfALoad loses the announcement that a load has ended; the engine is asked long before the next one.
func TestLostAnnouncementOfALoad(t *testing.T) {
	play := newWorld(t, map[celerylanding.TargetID][]celerylanding.ModelID{"e1": {"a"}})
	play.disk["e1"] = []celerylanding.ModelID{"c"}
	play.announce("e1")
	play.wake(feed.Unit{Model: "c"}, 9*time.Second)
	var taken time.Time
	var model celerylanding.ModelID
	for play.now.Sub(start) < 3*time.Second {
		play.now = play.now.Add(20 * time.Millisecond)
		actions := play.planner.Step(play.now)
		for _, order := range actions.Orders {
			taken, model = play.now, order.Unit.Model
			play.accepted["e1"]++
			play.planner.HandleOutcome(play.now, order, waking.OutcomeAccepted)
		}
		for _, endpoint := range actions.Inspections {
			report := &waking.Report{Incarnation: 1, Accepted: play.accepted["e1"], Inventory: play.announcement("e1").Inventory}
			if report.Busy = !taken.IsZero() && play.now.Sub(taken) < time.Second; !report.Busy && !taken.IsZero() {
				report.Inventory = append(report.Inventory, celerylanding.LoadedModel{Model: model})
			}
			play.planner.HandleReport(play.now, endpoint, report)
		}
		if !taken.IsZero() && len(play.planner.LoadedModels(play.now, "e1")) == 2 {
			break
		}
	}
	assert.Equal(t, model, celerylanding.ModelID("c"))
	assert.Assert(t, play.now.Sub(taken) < 1500*time.Millisecond, "known %v after the order, which took 1 s", play.now.Sub(taken))
}
