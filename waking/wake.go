package waking

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// orderOverhead is the time from a decision to a router's knowledge of its effect, beside the load itself: two hops of the
	// order, the engine's announcement and one push to the routers.
	orderOverhead = 80 * time.Millisecond
	// unloadTime is the usual time of an unload whose model has few runs to wait for.
	unloadTime = 250 * time.Millisecond
	// adapterTime is the usual time of an adapter's load while few are on their way.
	adapterTime = 20 * time.Millisecond
	// reportLag is how far an engine's own account may lie behind its state.
	reportLag = 1500 * time.Millisecond
)

// Wake has a unit loaded for the requests that wait for it, and says when it can be there.
func (planner *Planner) Wake(now time.Time, args feed.WakeArgs) feed.WakeReply {
	for _, refusal := range args.Refusals {
		planner.refused(refusal, args.Unit)
	}
	key := wantKey{service: args.Service, unit: args.Unit}
	wanted := planner.wants[key]
	if wanted == nil {
		wanted = &want{service: args.Service, unit: args.Unit, since: now, waiting: make(map[celerylanding.NodeID]int),
			avoid: make(map[lifetime]bool)}
	}
	planner.avoid(wanted, args.Unreachable)
	if planner.isHeld(now, wanted) {
		return feed.WakeReply{Leads: true}
	}
	if planner.isBlind(now) {
		return feed.WakeReply{Leads: true, Expected: quietTime, Cause: "engines are still becoming known"}
	}
	if now.Before(planner.settled) && wanted.engine == nil && !planner.hasCopy(wanted) {
		return feed.WakeReply{Leads: true, Expected: max(planner.settled.Sub(now), orderOverhead), Cause: "not all engines are known yet"}
	}
	if wanted.engine == nil && !planner.assign(now, wanted) {
		return feed.WakeReply{Leads: true, Infeasible: true, Cause: "no engine can load it now", Expected: retryUnplaced}
	}
	expected := planner.expected(now, wanted)
	planner.wants[key] = wanted
	if expected > args.MaxWait {
		// The load goes on for the requests that come back, and for others.
		wanted.until = later(wanted.until, now.Add(expected+returnTime))
		return feed.WakeReply{Leads: true, Infeasible: true, Cause: "the load takes longer than the request can wait", Expected: expected}
	}
	wanted.waiting[args.Node] = args.Waiting
	wanted.onTime = later(wanted.onTime, now.Add(args.Slack))
	if until := now.Add(args.MaxWait); until.After(wanted.until) {
		wanted.until = until
	}
	return feed.WakeReply{Leads: true, Expected: expected}
}

// hasCopy reports whether an engine can load the unit without the store.
func (planner *Planner) hasCopy(wanted *want) bool {
	for _, eng := range planner.engines {
		if eng.isOpen() && eng.service == wanted.service && (eng.held[wanted.unit.Model] != nil ||
			eng.tier(wanted.unit.Model) != celerylanding.TierRemote) {
			return true
		}
	}
	return false
}

// returnTime is how long a unit stays wanted after it was expected, for requests that were told to come back.
const returnTime = 2 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// retryUnplaced is when a caller should come back while no engine can take a load.
const retryUnplaced = time.Second

// avoid keeps a unit off the engines that a router which waits for it can't reach, be they crashed or cut off from it.
func (planner *Planner) avoid(wanted *want, unreachable []celerylanding.Endpoint) {
	for _, endpoint := range unreachable {
		wanted.avoid[lifetimeOf(endpoint)] = true
	}
	if wanted.engine != nil && wanted.avoid[lifetimeOf(wanted.engine.endpoint)] {
		planner.release(wanted)
	}
}

// refused drops what an engine was wrongly believed to hold.
func (planner *Planner) refused(endpoint celerylanding.Endpoint, unit feed.Unit) {
	eng := planner.engines[endpoint.Target]
	if eng == nil || eng.endpoint.Incarnation != endpoint.Incarnation {
		return
	}
	held := eng.held[unit.Model]
	if held == nil || unit.Adapter == "" {
		return
	}
	delete(held.adapters, unit.Adapter)
	planner.changed[endpoint.Target] = true
}

// isHeld reports whether the unit is where all routers that wait for it can reach it.
func (planner *Planner) isHeld(now time.Time, wanted *want) bool {
	for _, eng := range planner.engines {
		if eng.isOpen() && eng.service == wanted.service && eng.holds(now, wanted.unit) && !wanted.avoid[lifetimeOf(eng.endpoint)] {
			return true
		}
	}
	return false
}

// assign gives the wanted unit to the engine where it costs least.
func (planner *Planner) assign(now time.Time, wanted *want) bool {
	var best *engine
	var lowest float64
	for _, eng := range planner.engines {
		if !eng.isOpen() || eng.service != wanted.service || eng.spec == nil || wanted.avoid[lifetimeOf(eng.endpoint)] {
			continue
		}
		cost, ok := planner.cost(now, eng, wanted)
		if !ok {
			continue
		}
		if best == nil || cost < lowest || (cost == lowest && eng.endpoint.Target < best.endpoint.Target) {
			best, lowest = eng, cost
		}
	}
	if best == nil {
		return false
	}
	wanted.engine = best
	best.wants = append(best.wants, wanted)
	return true
}

// release takes a wanted unit off its engine.
func (planner *Planner) release(wanted *want) {
	eng := wanted.engine
	wanted.engine = nil
	if eng == nil {
		return
	}
	for i, other := range eng.wants {
		if other == wanted {
			eng.wants = append(eng.wants[:i:i], eng.wants[i+1:]...)
			return
		}
	}
}

// backlog returns how long the engine is taken by its order and by the units that wait for it, up to the wanted one.
func (planner *Planner) backlog(now time.Time, eng *engine, until *want) time.Duration {
	sum := planner.remaining(now, eng)
	counted := make(map[celerylanding.ModelID]bool)
	for _, ahead := range eng.wants {
		if ahead == until {
			break
		}
		if counted[ahead.unit.Model] || eng.isLoading(ahead.unit.Model) {
			sum += adapterTime
			continue
		}
		counted[ahead.unit.Model] = true
		sum += planner.stepsTime(eng, ahead.unit)
	}
	return sum
}

// remaining returns how long the order under way still takes.
func (planner *Planner) remaining(now time.Time, eng *engine) time.Duration {
	if eng.order == nil {
		// When an earlier leader's load began is not known.
		model, _ := eng.spec.Model(eng.inherited)
		return model.StoreLoadTime
	}
	return max(planner.orderTime(eng, eng.order)-now.Sub(eng.order.sent), orderOverhead)
}

func (planner *Planner) orderTime(eng *engine, order *Order) time.Duration {
	if order.Kind == celerylanding.OrderUnload {
		return unloadTime
	}
	return eng.loadTime(order.Unit.Model) + orderOverhead
}

// stepsTime returns the time of all orders that the unit still needs on the engine.
func (planner *Planner) stepsTime(eng *engine, unit feed.Unit) time.Duration {
	sum := orderOverhead
	if eng.held[unit.Model] == nil && !eng.isLoading(unit.Model) {
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

func (planner *Planner) expected(now time.Time, wanted *want) time.Duration {
	if wanted.engine.held[wanted.unit.Model] != nil {
		// An adapter waits for the order under way only.
		return planner.remaining(now, wanted.engine) + planner.stepsTime(wanted.engine, wanted.unit)
	}
	return planner.backlog(now, wanted.engine, wanted) + planner.stepsTime(wanted.engine, wanted.unit) + planner.fetchWait(now, wanted)
}
