package loadplan

import (
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// orderOverhead is the time from a decision until routers see its effect, without the load itself: two network hops of the order, the
	// engine's announcement and one push to the routers.
	orderOverhead = 80 * time.Millisecond
	// unloadTime is the expected time of an unload whose model has few running requests to wait for.
	unloadTime = 250 * time.Millisecond
	// adapterTime is the expected time of an adapter load while few adapters are being loaded.
	adapterTime = 20 * time.Millisecond
	// reportLag is how far an engine's report may lag behind the engine's state.
	reportLag = 1500 * time.Millisecond
)

// Wake queues a load of the unit for the requests that wait for it, and returns the expected time until it is loaded.
func (planner *Planner) Wake(now time.Time, args feed.WakeArgs) feed.WakeReply {
	for _, refusal := range args.Refusals {
		planner.dropRefused(refusal, args.Unit)
	}
	planner.isWoken = true
	key := pendingKey{service: args.Service, unit: args.Unit, software: args.Software}
	load := planner.pending[key]
	if load == nil {
		load = &pendingLoad{service: args.Service, unit: args.Unit, software: args.Software, waiting: make(map[celerylanding.NodeID]int),
			unreachable: make(map[incarnationKey]bool)}
	}
	planner.excludeUnreachable(load, args.Unreachable)
	if planner.isServed(now, load) {
		return feed.WakeReply{Leads: true}
	}
	if planner.isDiscovering(now) {
		return feed.WakeReply{Leads: true, Expected: discoveryQuietPeriod, Cause: "engine discovery is in progress"}
	}
	if now.Before(planner.discoveryEnd) && load.engine == nil && !planner.hasCopy(load) {
		return feed.WakeReply{Leads: true, Expected: max(planner.discoveryEnd.Sub(now), orderOverhead), Cause: "not all engines are known yet"}
	}
	if load.engine == nil && !planner.assign(now, load) {
		return feed.WakeReply{Leads: true, Infeasible: true, Cause: "no engine can load it now", Expected: unplacedRetryDelay}
	}
	expected := planner.expectedWait(now, load)
	planner.pending[key] = load
	if expected > args.MaxWait {
		// The load stays queued for retries of the request and for other requests.
		load.expiry = latest(load.expiry, now.Add(expected+retryGrace))
		return feed.WakeReply{Leads: true, Infeasible: true, Cause: "the load takes longer than the request can wait", Expected: expected}
	}
	load.waiting[args.Node] = args.Waiting
	load.latencyDeadline = latest(load.latencyDeadline, now.Add(args.Slack))
	if until := now.Add(args.MaxWait); until.After(load.expiry) {
		load.expiry = until
	}
	return feed.WakeReply{Leads: true, Expected: expected}
}

// hasCopy reports whether an available engine has loaded the unit's model or has a local copy of the model's weights.
func (planner *Planner) hasCopy(load *pendingLoad) bool {
	isAvailable := func(eng *engine) bool { return eng.isAvailable() }
	return slices.ContainsFunc(planner.index.holders(load.service, load.unit.Model), isAvailable) ||
		slices.ContainsFunc(planner.index.copies(load.service, load.unit.Model), isAvailable)
}

// retryGrace is how long a load stays queued after its expected end, for the retries of requests that couldn't wait for it.
const retryGrace = 2 * time.Second

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unplacedRetryDelay is the retry delay for callers while no engine can load the unit.
const unplacedRetryDelay = time.Second

// excludeUnreachable excludes engines that a waiting router can't reach, because of a crash or a network partition, from the load.
func (planner *Planner) excludeUnreachable(load *pendingLoad, unreachable []celerylanding.Endpoint) {
	for _, endpoint := range unreachable {
		load.unreachable[incarnationKeyOf(endpoint)] = true
	}
	if load.engine != nil && load.unreachable[incarnationKeyOf(load.engine.endpoint)] {
		planner.dequeue(load)
	}
}

// dropRefused records that the adapter is not loaded on an engine that refused to serve it.
func (planner *Planner) dropRefused(endpoint celerylanding.Endpoint, unit feed.Unit) {
	eng := planner.engines[endpoint.Target]
	if eng == nil || eng.endpoint.Incarnation != endpoint.Incarnation {
		return
	}
	resident := eng.residents[unit.Model]
	if resident == nil || unit.Adapter == "" {
		return
	}
	delete(resident.adapters, unit.Adapter)
	planner.changed[endpoint.Target] = true
}

// isServed reports whether an engine that all waiting routers can reach serves the unit.
func (planner *Planner) isServed(now time.Time, load *pendingLoad) bool {
	for _, eng := range planner.index.holders(load.service, load.unit.Model) {
		if eng.isAvailable() && eng.canServe(now, load.unit) && !load.excludes(eng) {
			return true
		}
	}
	return false
}

// assign queues the load on the engine with the lowest cost; it returns false if no engine can load the unit.
func (planner *Planner) assign(now time.Time, load *pendingLoad) bool {
	search := engineSearch{planner: planner, now: now, load: load, lowest: math.Inf(1)}
	// The engines that have the model or a copy are considered first: their low costs rule out most others without a look at their victims.
	for _, eng := range planner.index.holders(load.service, load.unit.Model) {
		search.consider(eng)
	}
	for _, eng := range planner.index.copies(load.service, load.unit.Model) {
		search.consider(eng)
	}
	for _, eng := range planner.ordered {
		search.considerStoreLoad(eng)
	}
	if search.best == nil {
		return false
	}
	load.engine = search.best
	search.best.queue = append(search.best.queue, load)
	return true
}

// engineSearch is the search for the engine with the lowest cost for a load.
type engineSearch struct {
	planner *Planner
	now     time.Time
	load    *pendingLoad
	best    *engine
	lowest  float64
}

func (search *engineSearch) consider(eng *engine) {
	if !eng.isAvailable() || eng.service != search.load.service || eng.spec == nil || search.load.excludes(eng) {
		return
	}
	cost, ok := search.planner.cost(search.now, eng, search.load, search.lowest)
	if eng.isLimited {
		cost += limitedEngineCost * float64(max(1, search.load.count()))
	}
	if ok && (cost < search.lowest || (cost == search.lowest && eng.endpoint.Target < search.best.endpoint.Target)) {
		search.best, search.lowest = eng, cost
	}
}

// considerStoreLoad considers an engine without a copy of the model, unless a load from the store costs more than the best engine so far.
func (search *engineSearch) considerStoreLoad(eng *engine) {
	id := search.load.unit.Model
	if search.lowest < search.load.storeCost(eng) && !eng.willLoad(id) {
		return
	}
	if eng.tier(id) == celerylanding.TierRemote && eng.residents[id] == nil {
		search.consider(eng)
	}
}

// storeCost returns the least cost of the load on an engine that has to read the model from the store.
func (load *pendingLoad) storeCost(eng *engine) float64 {
	if eng.spec == nil {
		return 0
	}
	if load.storeCostSpec != eng.spec {
		model, _ := eng.spec.Model(load.unit.Model)
		load.storeCostSpec, load.storeSeconds = eng.spec, (orderOverhead + model.StoreLoadTime).Seconds()
	}
	return storeLoadCost + load.storeSeconds*float64(max(1, load.count()))
}

// dequeue removes the load from its engine's queue.
func (planner *Planner) dequeue(load *pendingLoad) {
	eng := load.engine
	load.engine = nil
	if eng == nil {
		return
	}
	for i, other := range eng.queue {
		if other == load {
			eng.queue = append(eng.queue[:i:i], eng.queue[i+1:]...)
			return
		}
	}
}

// backlog returns the expected time of the engine's order in progress and of the queued loads before the given one, or of all queued loads
// if until is nil.
func (planner *Planner) backlog(now time.Time, eng *engine, until *pendingLoad) time.Duration {
	sum := planner.orderRemaining(now, eng)
	if len(eng.queue) == 0 {
		return sum
	}
	counted := make(map[celerylanding.ModelID]bool)
	for _, ahead := range eng.queue {
		if ahead == until {
			break
		}
		if until != nil && until.continuesStream() && !ahead.continuesStream() {
			continue
		}
		if counted[ahead.unit.Model] || eng.isLoading(ahead.unit.Model) {
			sum += adapterTime
			continue
		}
		counted[ahead.unit.Model] = true
		sum += planner.setupTime(eng, ahead.unit)
	}
	return sum
}

// orderRemaining returns the expected remaining time of the order in progress.
func (planner *Planner) orderRemaining(now time.Time, eng *engine) time.Duration {
	if eng.order == nil {
		if eng.inheritedFetch == "" {
			return 0
		}
		// The start time of a load that an earlier leader ordered is unknown, so the full load time is assumed.
		model, _ := eng.spec.Model(eng.inheritedFetch)
		return model.StoreLoadTime
	}
	return max(planner.orderTime(eng, eng.order)-now.Sub(eng.order.sentAt), orderOverhead)
}

func (planner *Planner) orderTime(eng *engine, order *Order) time.Duration {
	if order.Kind == celerylanding.OrderUnload {
		return unloadTime
	}
	return eng.loadTime(order.Unit.Model) + orderOverhead
}

// setupTime returns the expected time of all orders that the unit still needs on the engine.
func (planner *Planner) setupTime(eng *engine, unit feed.Unit) time.Duration {
	sum := orderOverhead
	if eng.residents[unit.Model] == nil && !eng.isLoading(unit.Model) {
		sum += eng.loadTime(unit.Model)
		if eng.used()+eng.weights(unit.Model) > eng.spec.Memory {
			sum += unloadTime
		}
	}
	if unit.Adapter != "" {
		sum += adapterTime
	}
	return sum
}

func (planner *Planner) expectedWait(now time.Time, load *pendingLoad) time.Duration {
	if load.engine.residents[load.unit.Model] != nil {
		// An adapter waits only for the order in progress, not for queued loads.
		return planner.orderRemaining(now, load.engine) + planner.setupTime(load.engine, load.unit)
	}
	return planner.backlog(now, load.engine, load) + planner.setupTime(load.engine, load.unit) + planner.fetchWait(now, load)
}
