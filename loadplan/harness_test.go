package loadplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
)

// simulation simulates engines that complete every order at once, except loads from the store.
type simulation struct {
	t        *testing.T
	planner  *loadplan.Planner
	now      time.Time
	held     map[celerylanding.TargetID][]celerylanding.ModelID
	sequence uint64
	accepted map[celerylanding.TargetID]uint64
	disk     map[celerylanding.TargetID][]celerylanding.ModelID
	orders   []loadplan.Order
	software map[celerylanding.TargetID]celerylanding.SoftwareVersion
}

func newSimulation(t *testing.T, held map[celerylanding.TargetID][]celerylanding.ModelID) *simulation {
	sim := &simulation{t: t, planner: loadplan.New(time.Time{}), now: start, held: held, accepted: map[celerylanding.TargetID]uint64{},
		disk: map[celerylanding.TargetID][]celerylanding.ModelID{}}
	for id := range held {
		sim.announce(id)
	}
	return sim
}

func (sim *simulation) announcement(id celerylanding.TargetID) celerylanding.Announcement {
	announcement := celerylanding.Announcement{Target: id, Incarnation: 1, Sequence: sim.sequence, Group: "s", Address: "10.0.0.1:1",
		Software: sim.software[id]}
	for _, model := range sim.held[id] {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: model})
	}
	for _, model := range sim.disk[id] {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: model, Tier: celerylanding.TierDisk})
	}
	return announcement
}

func (sim *simulation) announce(id celerylanding.TargetID) {
	sim.sequence++
	sim.planner.Observe(sim.now, sim.announcement(id), spec(), true)
}

// step runs one step of the planner and executes its orders.
func (sim *simulation) step() {
	sim.now = sim.now.Add(20 * time.Millisecond)
	actions := sim.planner.Step(sim.now)
	for _, endpoint := range actions.Inspections {
		report := &loadplan.Report{Incarnation: 1, Accepted: sim.accepted[endpoint.Target],
			Inventory: sim.announcement(endpoint.Target).Inventory}
		sim.planner.HandleReport(sim.now, endpoint, report)
	}
	for _, order := range actions.Orders {
		sim.orders = append(sim.orders, order)
		sim.execute(order)
	}
}

func (sim *simulation) execute(order loadplan.Order) {
	id := order.Endpoint.Target
	if order.Accepted != sim.accepted[id] {
		sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeConflict)
		return
	}
	sim.accepted[id]++
	if order.Tier == celerylanding.TierRemote {
		// A load from the store doesn't end within these tests.
		sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeAccepted)
		return
	}
	kept := sim.held[id][:0:0]
	for _, model := range sim.held[id] {
		if order.Kind == celerylanding.OrderLoad || model != celerylanding.ModelID(order.Unit.String()) {
			kept = append(kept, model)
		}
	}
	if order.Kind == celerylanding.OrderLoad {
		kept = append(kept, celerylanding.ModelID(order.Unit.String()))
	}
	sim.held[id] = kept
	sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeAccepted)
	sim.announce(id)
	models := 0
	for _, model := range kept {
		if _, adapter := loadplan.SplitUnit(model); adapter == "" {
			models++
		}
	}
	assert.Assert(sim.t, models <= 2, "engine %s holds %v, beyond its memory", id, kept)
}

func (sim *simulation) wake(unit feed.Unit, maxWait time.Duration) feed.WakeReply {
	return sim.planner.Wake(sim.now, feed.WakeArgs{Node: "n", Service: "s", Unit: unit, Waiting: 1, MaxWait: maxWait})
}
