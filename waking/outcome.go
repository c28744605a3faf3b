package waking

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// maxUnanswered is the number of orders in a row without an answer after which an engine gets no more until it is heard of.
const maxUnanswered = 4

// HandleOutcome takes an engine's answer to an order.
func (planner *Planner) HandleOutcome(now time.Time, answered Order, outcome Outcome) {
	eng := planner.engines[answered.Endpoint.Target]
	if eng == nil {
		return
	}
	switch {
	case eng.order != nil && eng.order.Number == answered.Number:
		planner.modelOutcome(now, eng, outcome)
	case eng.adapterOrder != nil && eng.adapterOrder.Number == answered.Number:
		planner.adapterOutcome(now, eng, outcome)
	default:
		return
	}
	switch outcome {
	case OutcomeUnknown:
		// The next order carries the same count, so that the engine takes at most one of the two.
		if eng.unanswered++; eng.unanswered >= maxUnanswered {
			eng.unanswered = 0
			eng.suspect = true
			planner.unassign(eng)
		}
		return
	case OutcomeConflict, OutcomeRejected:
		eng.isCountKnown = false
		eng.inspectDue = now.Add(conflictPause)
	case OutcomeWrongTarget:
		eng.suspect = true
		planner.unassign(eng)
	case OutcomeAccepted, OutcomeNoChange:
	}
	eng.unanswered = 0
}

func (planner *Planner) modelOutcome(now time.Time, eng *engine, outcome Outcome) {
	switch outcome {
	case OutcomeAccepted:
		eng.accepted++
		eng.order.taken = now
		if isFetch(eng.order) {
			// Other nodes are told what comes from the store, in case one of them takes over.
			planner.changed[eng.endpoint.Target] = true
		}
	case OutcomeNoChange:
		planner.holdsAlready(now, eng)
		planner.finish(now, eng)
	default:
		eng.order = nil
	}
}

// holdsAlready brings the residents up to date with an engine that was as an order wanted it.
func (planner *Planner) holdsAlready(now time.Time, eng *engine) {
	id := eng.order.Unit.Model
	if eng.order.Kind == celerylanding.OrderUnload {
		delete(eng.held, id)
	} else if eng.held[id] == nil {
		eng.held[id] = &resident{since: now, adapters: make(map[string]time.Time)}
	}
}

// adapterOutcome notes an adapter's change, which takes no longer than the answer's way to the routers.
func (planner *Planner) adapterOutcome(now time.Time, eng *engine, outcome Outcome) {
	order := eng.adapterOrder
	eng.adapterOrder = nil
	isUnload := order.Kind == celerylanding.OrderUnload
	// An adapter that no request uses is unloaded at once, which advances the count; an order that changes nothing does not.
	if outcome == OutcomeAccepted || (outcome == OutcomeNoChange && isUnload) {
		eng.accepted++
	}
	held := eng.held[order.Unit.Model]
	if held == nil || (outcome != OutcomeAccepted && outcome != OutcomeNoChange) {
		return
	}
	planner.changed[eng.endpoint.Target] = true
	if isUnload {
		delete(held.adapters, order.Unit.Adapter)
		if outcome == OutcomeAccepted {
			// The engine waits for the adapter's requests to end and refuses other orders meanwhile.
			eng.isCountKnown = false
			eng.inspectDue = now.Add(conflictPause)
		}
	} else {
		held.adapters[order.Unit.Adapter] = now.Add(adapterTime)
	}
}

// shows reports whether the inventory is as the order wants it.
func (report *Report) shows(order *Order) bool {
	isHeld := slices.ContainsFunc(report.Inventory, func(entry celerylanding.LoadedModel) bool {
		return entry.Model == celerylanding.ModelID(order.Unit.String())
	})
	return isHeld == (order.Kind == celerylanding.OrderLoad)
}

// HandleReport takes an engine's account of itself, or nil when it gave none.
func (planner *Planner) HandleReport(now time.Time, endpoint celerylanding.Endpoint, report *Report) {
	eng := planner.engines[endpoint.Target]
	if eng == nil || eng.endpoint.Incarnation != endpoint.Incarnation {
		return
	}
	eng.inspecting = false
	eng.inspectDue = now.Add(inspectPause)
	if report == nil || report.Busy {
		return
	}
	if order := eng.order; order != nil {
		if report.Accepted < order.Accepted+1 || (now.Sub(order.taken) < reportLag && !report.shows(order)) {
			return
		}
		eng.order = nil
	}
	eng.inherited = ""
	eng.accepted = report.Accepted
	eng.isCountKnown = true
	planner.adopt(now, eng, report.Inventory)
}
