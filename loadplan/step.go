package loadplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// drainNotice is the time between publishing that a model drains and its unload: one push to the routers and the transit of a
	// request to the engine.
	drainNotice = 30 * time.Millisecond
	// inspectInterval is the time between two requests for the report of an engine whose state is uncertain.
	inspectInterval = 700 * time.Millisecond
	// conflictDelay is the time between an order that an engine refused and the request for a report; reports lag by some hundred
	// milliseconds.
	conflictDelay = 250 * time.Millisecond
	// announceGrace is how far a load from a local copy may exceed its expected time before the engine is asked for a report. The
	// announcement of a completed load arrives within milliseconds; if it is lost, the next one follows only with the next heartbeat.
	announceGrace = 300 * time.Millisecond
	// orderGrace is how far any other accepted order may exceed twice its expected time before the engine is asked for a report.
	orderGrace = 3 * time.Second
	// scaleOutInterval is the time between two checks for models with too few replicas.
	scaleOutInterval = 300 * time.Millisecond
	// replicaLoadTTL is how long the load of an additional replica or copy stays queued.
	replicaLoadTTL = 5 * time.Second
)

// Step returns the orders and requests for reports that are due; it returns none while engines are still being discovered.
func (planner *Planner) Step(now time.Time) Actions {
	if planner.isDiscovering(now) {
		return Actions{}
	}
	if now.Sub(planner.placedAt) > placedTTL {
		planner.placed = nil
	}
	planner.expire(now)
	planner.scaleOut(now)
	var actions Actions
	for _, eng := range planner.ordered {
		if eng.spec != nil {
			planner.stepEngine(now, eng, &actions)
		}
	}
	return actions
}

// expire removes pending loads that are done or past their expiry, and assigns those without an engine.
func (planner *Planner) expire(now time.Time) {
	var unassigned []*pendingLoad
	for key, load := range planner.pending {
		isDone := load.engine != nil && load.engine.canServe(now, load.unit)
		if !isDone && load.replica == 0 {
			isDone = planner.isServed(now, load)
		}
		if isDone || now.After(load.expiry) {
			planner.dequeue(load)
			delete(planner.pending, key)
			continue
		}
		if load.engine == nil {
			unassigned = append(unassigned, load)
		}
	}
	// The order in which loads choose their engines is the same in each run.
	slices.SortFunc(unassigned, comparePending)
	for _, load := range unassigned {
		planner.assign(now, load)
	}
}

// comparePending orders pending loads by the time at which they expire, then by their unit.
func comparePending(a, b *pendingLoad) int {
	return cmp.Or(a.expiry.Compare(b.expiry), cmp.Compare(a.service, b.service), cmp.Compare(a.unit.Model, b.unit.Model),
		cmp.Compare(a.unit.Adapter, b.unit.Adapter), cmp.Compare(a.replica, b.replica), cmp.Compare(a.software, b.software))
}

func (planner *Planner) stepEngine(now time.Time, eng *engine, actions *Actions) {
	if eng.order != nil {
		planner.checkOrder(now, eng, actions)
		return
	}
	if !eng.isAvailable() || eng.adapterOrder != nil {
		return
	}
	if !eng.isAcceptedKnown {
		planner.inspect(now, eng, actions)
		return
	}
	order := planner.chooseOrder(now, eng)
	if order == nil {
		return
	}
	planner.lastOrderNumber++
	planner.store.isValid = false
	order.Number, order.Endpoint, order.Accepted, order.sentAt = planner.lastOrderNumber, eng.endpoint, eng.accepted, now
	if order.Unit.Adapter != "" {
		eng.adapterOrder = order
	} else {
		eng.order = order
	}
	actions.Orders = append(actions.Orders, *order)
	if planner.placed != nil && order.Kind == celerylanding.OrderLoad {
		planner.placed[demandKey{eng.service, order.Unit}] = true
	}
}

// chooseOrder returns the next order for the queued loads, or else a preload. Adapters come first, since they load in milliseconds, then
// the models for streams that have begun, then the loads with the highest value.
func (planner *Planner) chooseOrder(now time.Time, eng *engine) *Order {
	if len(eng.queue) == 0 {
		planner.cancelDrains(eng)
		return planner.preload(now, eng)
	}
	slices.SortStableFunc(eng.queue, func(a, b *pendingLoad) int {
		return cmp.Or(boolRank(eng.residents[a.unit.Model] == nil)-boolRank(eng.residents[b.unit.Model] == nil),
			boolRank(!a.continuesStream())-boolRank(!b.continuesStream()),
			-cmp.Compare(planner.loadValue(now, eng, a), planner.loadValue(now, eng, b)), a.expiry.Compare(b.expiry))
	})
	for _, load := range eng.queue {
		if order := planner.nextOrder(now, eng, load); order != nil {
			return order
		}
	}
	return nil
}

// lateValue is the value of a late answer relative to one on time; sites value it between a seventh and a half.
const lateValue = 0.3

// loadValue returns the value, in requests answered on time, of loading the unit next. Ordering loads by it lets an overloaded engine
// serve some requests on time instead of all of them late.
func (planner *Planner) loadValue(now time.Time, eng *engine, load *pendingLoad) float64 {
	if now.Add(planner.setupTime(eng, load.unit)).After(load.latencyDeadline) {
		return lateValue * float64(load.count())
	}
	return float64(load.count())
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// cancelDrains lets draining models serve again, since no queued load needs their memory any more.
func (planner *Planner) cancelDrains(eng *engine) {
	for _, resident := range eng.residents {
		if resident.draining {
			resident.draining = false
			planner.changed[eng.endpoint.Target] = true
		}
	}
}

// nextOrder returns the next order of the pending load, or nil while it has to wait.
func (planner *Planner) nextOrder(now time.Time, eng *engine, load *pendingLoad) *Order {
	resident := eng.residents[load.unit.Model]
	if resident == nil {
		return planner.nextModelOrder(now, eng, load)
	}
	if resident.draining {
		resident.draining = false
		planner.changed[eng.endpoint.Target] = true
	}
	if _, ok := resident.adapters[load.unit.Adapter]; ok || load.unit.Adapter == "" {
		return nil
	}
	if eng.adapterCount() >= eng.spec.AdapterSlots || eng.used()+planner.adapterWeights(eng, load.unit.Model) > eng.spec.Memory {
		return planner.evictAdapter(now, eng)
	}
	return &Order{Kind: celerylanding.OrderLoad, Unit: load.unit}
}

func (planner *Planner) adapterWeights(eng *engine, id celerylanding.ModelID) celerylanding.Bytes {
	model, _ := eng.spec.Model(id)
	return model.AdapterWeights
}

func (planner *Planner) nextModelOrder(now time.Time, eng *engine, load *pendingLoad) *Order {
	id := load.unit.Model
	victims, ok := planner.victims(now, eng, id)
	if !ok {
		return nil
	}
	tier := eng.tier(id)
	if tier == celerylanding.TierRemote && !planner.canFetch(now, load) {
		return nil
	}
	if len(victims) == 0 {
		if tier == celerylanding.TierRemote {
			planner.storeLoads = append(planner.storeLoads, now)
		}
		return &Order{Kind: celerylanding.OrderLoad, Unit: feed.Unit{Model: id}, Tier: tier}
	}
	resident := eng.residents[victims[0].id]
	if !resident.draining {
		resident.draining, resident.drainingSince = true, now
		planner.changed[eng.endpoint.Target] = true
		return nil
	}
	if now.Sub(resident.drainingSince) < drainNotice {
		return nil
	}
	return &Order{Kind: celerylanding.OrderUnload, Unit: feed.Unit{Model: victims[0].id}}
}

// evictAdapter returns the unload of the adapter with the lowest request rate among those without running requests, or nil if there is
// none.
func (planner *Planner) evictAdapter(now time.Time, eng *engine) *Order {
	var least *feed.Unit
	var lowest float64
	for id, resident := range eng.residents {
		for adapter := range resident.adapters {
			unit := feed.Unit{Model: id, Adapter: adapter}
			dem := planner.demand[demandKey{eng.service, unit}]
			if dem.Running() > 0 {
				continue
			}
			rate := dem.Rate(now)
			if least == nil || rate < lowest || (rate == lowest && unit.String() < least.String()) {
				least, lowest = &unit, rate
			}
		}
	}
	if least == nil {
		return nil
	}
	return &Order{Kind: celerylanding.OrderUnload, Unit: *least}
}

// checkOrder asks the engine for a report if the effect of an accepted order is overdue.
func (planner *Planner) checkOrder(now time.Time, eng *engine, actions *Actions) {
	order := eng.order
	if order.acceptedAt.IsZero() {
		return
	}
	limit := 2*planner.orderTime(eng, order) + orderGrace
	if order.Kind == celerylanding.OrderLoad && !isFetch(order) {
		limit = planner.orderTime(eng, order) + announceGrace
	}
	if now.Sub(order.acceptedAt) > limit {
		planner.inspect(now, eng, actions)
	}
}

func (planner *Planner) inspect(now time.Time, eng *engine, actions *Actions) {
	if eng.inspecting || now.Before(eng.inspectDue) {
		return
	}
	eng.inspecting = true
	actions.Inspections = append(actions.Inspections, eng.endpoint)
}

// shortage is a model with fewer replicas than it needs.
type shortage struct {
	key               demandKey
	replicas, desired int
}

// scaleOut drops outdated demand, queues additional replicas and copies of models that have too few, and moves pending loads to faster engines.
func (planner *Planner) scaleOut(now time.Time) {
	if now.Before(planner.scaleOutDue) {
		return
	}
	planner.scaleOutDue = now.Add(scaleOutInterval)
	var short []shortage
	for key, dem := range planner.demand {
		if dem.Recent(now) < minDemand && dem.Running() == 0 {
			delete(planner.demand, key)
			continue
		}
		if key.unit.Adapter != "" || dem.Recent(now) < 1 {
			continue
		}
		serving := planner.servingEngine(key.service, key.unit.Model)
		if serving == nil {
			continue
		}
		replicas := planner.replicas(now, key.service, key.unit.Model)
		if desired := planner.desiredReplicas(now, serving.spec, key.service, key.unit.Model); replicas < desired {
			short = append(short, shortage{key, replicas, desired})
		}
	}
	slices.SortFunc(short, func(a, b shortage) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.unit.Model, b.key.unit.Model))
	})
	for _, need := range short {
		// Number 0 is the load for waiting requests.
		for replica := need.replicas + 1; replica <= need.desired; replica++ {
			planner.queueReplica(now, need.key, replica)
		}
	}
	planner.prefetch(now)
	planner.rebalance(now)
}

// rebalance moves pending loads to engines that can finish them much sooner, such as one that has restarted with a local copy.
func (planner *Planner) rebalance(now time.Time) {
	for _, load := range slices.SortedFunc(maps.Values(planner.pending), comparePending) {
		if load.replica != 0 || load.engine == nil {
			continue
		}
		expected := planner.expectedWait(now, load)
		if expected < minMoveGain || !planner.hasFasterEngine(now, load, expected-minMoveGain) {
			continue
		}
		planner.dequeue(load)
		planner.assign(now, load)
	}
}

// minMoveGain is the minimum gain in time for which a pending load moves to another engine.
const minMoveGain = 1500 * time.Millisecond

// hasFasterEngine reports whether another engine with a local copy is expected to load the unit in less than the given time.
func (planner *Planner) hasFasterEngine(now time.Time, load *pendingLoad, within time.Duration) bool {
	for _, eng := range planner.index.copies(load.service, load.unit.Model) {
		if eng == load.engine || load.excludes(eng) || !eng.isAvailable() || eng.spec == nil || eng.residents[load.unit.Model] != nil {
			continue
		}
		if planner.backlog(now, eng, nil)+planner.setupTime(eng, load.unit) < within {
			if _, ok := planner.cost(now, eng, load, math.Inf(1)); ok {
				return true
			}
		}
	}
	return false
}

func (planner *Planner) queueReplica(now time.Time, key demandKey, replica int) {
	loadKey := pendingKey{service: key.service, unit: key.unit, replica: replica}
	if planner.pending[loadKey] != nil {
		return
	}
	load := &pendingLoad{service: key.service, unit: key.unit, expiry: now.Add(replicaLoadTTL), replica: replica}
	if planner.assign(now, load) {
		planner.pending[loadKey] = load
	}
}

// servingEngine returns an available engine on which the model is loaded and not draining, or nil.
func (planner *Planner) servingEngine(service celerylanding.ServiceID, id celerylanding.ModelID) *engine {
	for _, eng := range planner.index.holders(service, id) {
		if eng.isAvailable() && !eng.residents[id].draining {
			return eng
		}
	}
	return nil
}
