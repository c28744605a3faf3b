package simulation

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/loadplan"
)

// engine models one incarnation of a model engine.
type engine struct {
	endpoint   celerylanding.Endpoint
	loaded     map[celerylanding.ModelID]bool
	diskCopies map[celerylanding.ModelID]bool
	sequence   uint64
	accepted   uint64
	isBusy     bool
	isStopped  bool
	running    int
	queue      []*request
}

func (eng *engine) announcement() celerylanding.Announcement {
	eng.sequence++
	announcement := celerylanding.Announcement{Target: eng.endpoint.Target, Incarnation: eng.endpoint.Incarnation, Sequence: eng.sequence,
		Group: service, Address: eng.endpoint.Address}
	for id := range eng.loaded {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: id})
	}
	for id := range eng.diskCopies {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierDisk})
	}
	return announcement
}

// executeOrder starts an order on its engine. A stopped incarnation doesn't answer; an engine that is busy or has accepted other orders
// since the planner's decision reports a conflict.
func (sim *simulation) executeOrder(order loadplan.Order) {
	eng := sim.engines[order.Endpoint.Target]
	if eng == nil || eng.isStopped || eng.endpoint.Incarnation != order.Endpoint.Incarnation {
		sim.schedule(orderTimeout, func() { sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeUnknown) })
		return
	}
	if eng.isBusy || eng.accepted != order.Accepted {
		sim.schedule(networkDelay, func() { sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeConflict) })
		return
	}
	sim.result.Orders++
	eng.accepted++
	eng.isBusy = true
	sim.schedule(networkDelay, func() { sim.planner.HandleOutcome(sim.now, order, loadplan.OutcomeAccepted) })
	sim.schedule(sim.orderTime(eng, order), func() { sim.completeOrder(eng, order) })
}

// orderTime returns the duration of an order. If more than FullSpeedStoreLoads loads from the store run at once, they share its bandwidth.
func (sim *simulation) orderTime(eng *engine, order loadplan.Order) time.Duration {
	if order.Kind == celerylanding.OrderUnload {
		return 2 * networkDelay
	}
	sim.result.Loads++
	if eng.diskCopies[order.Unit.Model] {
		return sim.experiment.DiskLoadTime
	}
	sim.result.StoreLoads++
	sim.storeLoads++
	slowdown := max(1, float64(sim.storeLoads)/float64(sim.experiment.FullSpeedStoreLoads))
	took := time.Duration(float64(sim.experiment.StoreLoadTime) * slowdown)
	sim.schedule(took, func() { sim.storeLoads-- })
	return took
}

func (sim *simulation) completeOrder(eng *engine, order loadplan.Order) {
	if eng.isStopped {
		return
	}
	eng.isBusy = false
	if order.Kind == celerylanding.OrderLoad {
		eng.loaded[order.Unit.Model], eng.diskCopies[order.Unit.Model] = true, true
	} else {
		delete(eng.loaded, order.Unit.Model)
	}
	if len(eng.loaded) > sim.experiment.ModelsPerEngine {
		sim.result.MemoryOverruns++
	}
	sim.announce(eng)
}

// admit serves a request, queues it until a slot is free, or has it routed again if the engine has stopped or no longer has the model loaded.
func (sim *simulation) admit(eng *engine, req *request) {
	switch {
	case eng.isStopped || !eng.loaded[req.unit.Model]:
		sim.releaseTarget(req, false)
		sim.schedule(networkDelay, func() { sim.route(req) })
	case eng.running >= sim.experiment.Slots:
		eng.queue = append(eng.queue, req)
	default:
		sim.serve(eng, req)
	}
}

// stop stops the engine; its queued requests, which have not run, are routed again.
func (sim *simulation) stop(eng *engine) {
	eng.isStopped = true
	queued := eng.queue
	eng.queue = nil
	for _, req := range queued {
		sim.admit(eng, req)
	}
}

// serve runs a request: prefill of the prompt, then one decoding step per output token. Both slow down linearly, up to a factor of two,
// with the number of running requests.
func (sim *simulation) serve(eng *engine, req *request) {
	eng.running++
	slowdown := 1 + float64(eng.running)/float64(sim.experiment.Slots)
	prefill := time.Duration(slowdown * float64(req.class.PromptTokens) / sim.experiment.PromptTokensPerMs * float64(time.Millisecond))
	decode := time.Duration(slowdown * float64(req.class.OutputTokens) * float64(sim.experiment.TokenTime))
	sim.schedule(prefill, func() {
		if !eng.isStopped {
			req.firstToken = sim.now
		}
	})
	sim.schedule(prefill+decode, func() { sim.completeRequest(eng, req) })
}

func (sim *simulation) completeRequest(eng *engine, req *request) {
	eng.running--
	if eng.isStopped {
		// A request that has begun to run isn't retried, since it must not run twice.
		sim.releaseTarget(req, false)
		sim.recordOutcome(req, outcomeFailed)
		return
	}
	sim.releaseTarget(req, true)
	sim.recordOutcome(req, outcomeServed)
	if len(eng.queue) > 0 {
		next := eng.queue[0]
		eng.queue = eng.queue[1:]
		sim.serve(eng, next)
	}
}
