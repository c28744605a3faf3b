package loadmodel

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/waking"
)

// modelEngine is one lifetime of a modelled engine.
type modelEngine struct {
	endpoint celerylanding.Endpoint
	held     map[celerylanding.ModelID]bool
	disk     map[celerylanding.ModelID]bool
	sequence uint64
	accepted uint64
	isBusy   bool
	isGone   bool
	running  int
	queue    []*visit
}

func (eng *modelEngine) announcement() celerylanding.Announcement {
	eng.sequence++
	announcement := celerylanding.Announcement{Target: eng.endpoint.Target, Incarnation: eng.endpoint.Incarnation, Sequence: eng.sequence,
		Group: service, Address: eng.endpoint.Address}
	for id := range eng.held {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: id})
	}
	for id := range eng.disk {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierDisk})
	}
	return announcement
}

// take carries out an order, or refuses it as an engine would.
func (play *play) take(order waking.Order) {
	eng := play.engines[order.Endpoint.Target]
	if eng == nil || eng.isGone || eng.endpoint.Incarnation != order.Endpoint.Incarnation {
		play.after(orderTimeout, func() { play.planner.HandleOutcome(play.now, order, waking.OutcomeUnknown) })
		return
	}
	if eng.isBusy || eng.accepted != order.Accepted {
		play.after(hop, func() { play.planner.HandleOutcome(play.now, order, waking.OutcomeConflict) })
		return
	}
	play.result.Orders++
	eng.accepted++
	eng.isBusy = true
	play.after(hop, func() { play.planner.HandleOutcome(play.now, order, waking.OutcomeAccepted) })
	play.after(play.orderTime(eng, order), func() { play.finish(eng, order) })
}

// orderTime returns how long an order takes; loads from the store share it beyond its width.
func (play *play) orderTime(eng *modelEngine, order waking.Order) time.Duration {
	if order.Kind == celerylanding.OrderUnload {
		return 2 * hop
	}
	play.result.Wakes++
	if eng.disk[order.Unit.Model] {
		return play.experiment.FromDisk
	}
	play.result.StoreLoads++
	play.fetching++
	play.after(play.experiment.FromStore, func() { play.fetching-- })
	share := max(1, float64(play.fetching)/float64(play.experiment.StoreWidth))
	return time.Duration(float64(play.experiment.FromStore) * share)
}

func (play *play) finish(eng *modelEngine, order waking.Order) {
	if eng.isGone {
		return
	}
	eng.isBusy = false
	if order.Kind == celerylanding.OrderLoad {
		eng.held[order.Unit.Model], eng.disk[order.Unit.Model] = true, true
	} else {
		delete(eng.held, order.Unit.Model)
	}
	if len(eng.held) > play.experiment.Residents {
		play.result.Overloads++
	}
	play.announce(eng)
}

// arrive lets a request run, wait for a place, or go elsewhere.
func (play *play) arrive(eng *modelEngine, call *visit) {
	switch {
	case eng.isGone || !eng.held[call.unit.Model]:
		play.leaveTarget(call, false)
		play.after(hop, func() { play.route(call) })
	case eng.running >= play.experiment.Slots:
		eng.queue = append(eng.queue, call)
	default:
		play.serve(eng, call)
	}
}

// serve runs a request: its prompt is read beside the others, then each token takes a step.
func (play *play) serve(eng *modelEngine, call *visit) {
	eng.running++
	crowd := 1 + float64(eng.running)/float64(play.experiment.Slots)
	first := time.Duration(crowd * float64(call.class.Prompt) / play.experiment.TokensPerMs * float64(time.Millisecond))
	rest := time.Duration(crowd * float64(call.class.Output) * float64(play.experiment.StepTime))
	play.after(first, func() {
		if !eng.isGone {
			call.first = play.now
		}
	})
	play.after(first+rest, func() { play.complete(eng, call) })
}

func (play *play) complete(eng *modelEngine, call *visit) {
	eng.running--
	if eng.isGone {
		// A run that broke off may not be repeated.
		play.leaveTarget(call, false)
		play.end(call, outcomeFailed)
		return
	}
	play.leaveTarget(call, true)
	play.end(call, outcomeServed)
	if len(eng.queue) > 0 {
		next := eng.queue[0]
		eng.queue = eng.queue[1:]
		play.serve(eng, next)
	}
}
