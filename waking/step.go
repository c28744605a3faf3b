package waking

import (
	"cmp"
	"maps"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// closeNotice is the time between the word to the routers that a model closes and its unload: one push to them and a
	// request's way to the engine.
	closeNotice = 30 * time.Millisecond
	// inspectPause is the time between two questions to an engine whose state is unclear.
	inspectPause = 700 * time.Millisecond
	// conflictPause is the time between an order that an engine refused and the next question; an engine's account lags by some
	// hundred milliseconds.
	conflictPause = 250 * time.Millisecond
	// announceSlack is how much longer than expected a load from a copy may take before the engine is asked; its announcement comes
	// within some milliseconds unless it was lost, and the next one is a heartbeat away.
	announceSlack = 300 * time.Millisecond
	// orderSlack is how much longer than expected an accepted order may take before the engine is asked.
	orderSlack = 3 * time.Second
	// spreadInterval is the time between two looks for models with too few replicas.
	spreadInterval = 300 * time.Millisecond
	// spreadPatience is how long a further replica stays wanted.
	spreadPatience = 5 * time.Second
)

// Step returns the orders and questions that are due.
func (planner *Planner) Step(now time.Time) Actions {
	if planner.isBlind(now) {
		return Actions{}
	}
	if now.Sub(planner.placedAt) > censusAge {
		planner.placed = nil
	}
	planner.expire(now)
	planner.spread(now)
	var actions Actions
	for _, id := range slices.Sorted(maps.Keys(planner.engines)) {
		eng := planner.engines[id]
		if eng.spec != nil {
			planner.stepEngine(now, eng, &actions)
		}
	}
	return actions
}

// expire drops the wants that are met or that nobody waits for any more.
func (planner *Planner) expire(now time.Time) {
	for key, wanted := range planner.wants {
		isMet := wanted.engine != nil && wanted.engine.holds(now, wanted.unit)
		if !isMet && wanted.replica == 0 {
			isMet = planner.isHeld(now, wanted)
		}
		if isMet || now.After(wanted.until) {
			planner.release(wanted)
			delete(planner.wants, key)
			continue
		}
		if wanted.engine == nil {
			planner.assign(now, wanted)
		}
	}
}

func (planner *Planner) stepEngine(now time.Time, eng *engine, actions *Actions) {
	if eng.order != nil {
		planner.watchOrder(now, eng, actions)
		return
	}
	if !eng.isOpen() || eng.adapterOrder != nil {
		return
	}
	if !eng.isCountKnown {
		planner.inspect(now, eng, actions)
		return
	}
	order := planner.chooseOrder(now, eng)
	if order == nil {
		return
	}
	planner.number++
	order.Number, order.Endpoint, order.Accepted, order.sent = planner.number, eng.endpoint, eng.accepted, now
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

// chooseOrder returns the next step for the requests that wait, adapters first since they take milliseconds, then what can still be
// there on time, or else one that prepares for requests to come.
func (planner *Planner) chooseOrder(now time.Time, eng *engine) *Order {
	if len(eng.wants) == 0 {
		planner.reopen(eng)
		return planner.prepare(now, eng)
	}
	slices.SortStableFunc(eng.wants, func(a, b *want) int {
		return cmp.Or(boolRank(eng.held[a.unit.Model] == nil)-boolRank(eng.held[b.unit.Model] == nil),
			-cmp.Compare(planner.gain(now, eng, a), planner.gain(now, eng, b)), a.until.Compare(b.until))
	})
	for _, wanted := range eng.wants {
		if order := planner.nextOrder(now, eng, wanted); order != nil {
			return order
		}
	}
	return nil
}

// lateShare is what a late answer is worth to its caller, in shares of one on time; between a seventh and a half on the sites served.
const lateShare = 0.3

// gain returns what the requests that wait for the unit gain if it comes next. An engine that has more to load than it can then
// serves some requests on time instead of all of them late.
func (planner *Planner) gain(now time.Time, eng *engine, wanted *want) float64 {
	if now.Add(planner.stepsTime(eng, wanted.unit)).After(wanted.onTime) {
		return lateShare * float64(wanted.count())
	}
	return float64(wanted.count())
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// reopen lets the models that were about to make way serve again, since nothing needs their place any more.
func (planner *Planner) reopen(eng *engine) {
	for _, held := range eng.held {
		if held.closing {
			held.closing = false
			planner.changed[eng.endpoint.Target] = true
		}
	}
}

// nextOrder returns the next step towards the wanted unit, or nil while it has to wait.
func (planner *Planner) nextOrder(now time.Time, eng *engine, wanted *want) *Order {
	held := eng.held[wanted.unit.Model]
	if held == nil {
		return planner.nextModelOrder(now, eng, wanted)
	}
	if held.closing {
		held.closing = false
		planner.changed[eng.endpoint.Target] = true
	}
	if _, ok := held.adapters[wanted.unit.Adapter]; ok || wanted.unit.Adapter == "" {
		return nil
	}
	if eng.adapterCount() >= eng.spec.AdapterSlots || eng.used()+planner.adapterWeights(eng, wanted.unit.Model) > eng.spec.Memory {
		return planner.evictAdapter(now, eng)
	}
	return &Order{Kind: celerylanding.OrderLoad, Unit: wanted.unit}
}

func (planner *Planner) adapterWeights(eng *engine, id celerylanding.ModelID) celerylanding.Bytes {
	model, _ := eng.spec.Model(id)
	return model.AdapterWeights
}

func (planner *Planner) nextModelOrder(now time.Time, eng *engine, wanted *want) *Order {
	id := wanted.unit.Model
	victims, ok := planner.victims(now, eng, id)
	if !ok {
		return nil
	}
	tier := eng.tier(id)
	if tier == celerylanding.TierRemote && !planner.mayFetch(now, wanted) {
		return nil
	}
	if len(victims) == 0 {
		if tier == celerylanding.TierRemote {
			planner.storeLoads = append(planner.storeLoads, now)
		}
		return &Order{Kind: celerylanding.OrderLoad, Unit: feed.Unit{Model: id}, Tier: tier}
	}
	held := eng.held[victims[0].id]
	if !held.closing {
		held.closing, held.closedSince = true, now
		planner.changed[eng.endpoint.Target] = true
		return nil
	}
	if now.Sub(held.closedSince) < closeNotice {
		return nil
	}
	return &Order{Kind: celerylanding.OrderUnload, Unit: feed.Unit{Model: victims[0].id}}
}

// evictAdapter unloads the adapter with the fewest arrivals among those that no request uses, or else nothing.
func (planner *Planner) evictAdapter(now time.Time, eng *engine) *Order {
	var least *feed.Unit
	var lowest float64
	for id, held := range eng.held {
		for adapter := range held.adapters {
			unit := feed.Unit{Model: id, Adapter: adapter}
			dem := planner.demand[demandKey{eng.service, unit}]
			if dem.running() > 0 {
				continue
			}
			rate := dem.rate(now)
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

// watchOrder asks the engine about an order whose effect does not show.
func (planner *Planner) watchOrder(now time.Time, eng *engine, actions *Actions) {
	order := eng.order
	if order.taken.IsZero() {
		return
	}
	limit := 2*planner.orderTime(eng, order) + orderSlack
	if order.Kind == celerylanding.OrderLoad && !isFetch(order) {
		limit = planner.orderTime(eng, order) + announceSlack
	}
	if now.Sub(order.taken) > limit {
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

// spread wants further replicas of the models that have too few.
func (planner *Planner) spread(now time.Time) {
	if now.Before(planner.spreadDue) {
		return
	}
	planner.spreadDue = now.Add(spreadInterval)
	for key, dem := range planner.demand {
		if dem.recent(now) < forgottenDemand && dem.running() == 0 {
			delete(planner.demand, key)
			continue
		}
		if key.unit.Adapter != "" || dem.recent(now) < 1 {
			continue
		}
		holder := planner.holder(key.service, key.unit.Model)
		if holder == nil {
			continue
		}
		wanted := planner.wantedReplicas(now, holder.spec, key.service, key.unit.Model)
		for replica := planner.replicas(key.service, key.unit.Model); replica < wanted; replica++ {
			planner.wantReplica(now, key, replica)
		}
	}
	planner.background(now)
	planner.reconsider(now)
}

// reconsider moves units to other engines that can have them much sooner, such as one that has come back with a copy.
func (planner *Planner) reconsider(now time.Time) {
	for _, wanted := range planner.wants {
		if wanted.replica != 0 || wanted.engine == nil {
			continue
		}
		expected := planner.expected(now, wanted)
		if expected < moveGain || !planner.hasSooner(now, wanted, expected-moveGain) {
			continue
		}
		planner.release(wanted)
		planner.assign(now, wanted)
	}
}

// moveGain is how much sooner a unit must be there for it to move to another engine.
const moveGain = 1500 * time.Millisecond

// hasSooner reports whether another engine with a copy can have the unit within the time.
func (planner *Planner) hasSooner(now time.Time, wanted *want, within time.Duration) bool {
	for _, eng := range planner.engines {
		if eng == wanted.engine || wanted.avoid[lifetimeOf(eng.endpoint)] || !eng.isOpen() || eng.service != wanted.service || eng.spec == nil || eng.held[wanted.unit.Model] != nil ||
			eng.tier(wanted.unit.Model) == celerylanding.TierRemote {
			continue
		}
		if planner.backlog(now, eng, nil)+planner.stepsTime(eng, wanted.unit) < within {
			if _, ok := planner.cost(now, eng, wanted); ok {
				return true
			}
		}
	}
	return false
}

func (planner *Planner) wantReplica(now time.Time, key demandKey, replica int) {
	place := wantKey{key.service, key.unit, replica}
	if planner.wants[place] != nil {
		return
	}
	wanted := &want{service: key.service, unit: key.unit, since: now, until: now.Add(spreadPatience), replica: replica}
	if planner.assign(now, wanted) {
		planner.wants[place] = wanted
	}
}

// holder returns an engine that holds the model for new work, or nil.
func (planner *Planner) holder(service celerylanding.ServiceID, id celerylanding.ModelID) *engine {
	for _, eng := range planner.engines {
		if held := eng.held[id]; eng.isOpen() && eng.service == service && held != nil && !held.closing {
			return eng
		}
	}
	return nil
}
