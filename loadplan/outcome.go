package loadplan

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// maxUnanswered is the number of consecutive orders without an answer after which an engine gets no more until its next announcement.
const maxUnanswered = 4

// HandleOutcome applies an engine's answer to an order.
func (planner *Planner) HandleOutcome(now time.Time, order Order, outcome Outcome) {
	eng := planner.engines[order.Endpoint.Target]
	if eng == nil {
		return
	}
	planner.store.isValid = false
	switch {
	case eng.order != nil && eng.order.Number == order.Number:
		planner.modelOutcome(now, eng, outcome)
	case eng.adapterOrder != nil && eng.adapterOrder.Number == order.Number:
		planner.adapterOutcome(now, eng, outcome)
	default:
		return
	}
	switch outcome {
	case OutcomeUnknown:
		// The next order carries the same count of accepted orders, so the engine accepts at most one of the two.
		if eng.unanswered++; eng.unanswered >= maxUnanswered {
			eng.unanswered = 0
			eng.suspect = true
			planner.clearQueue(eng)
		}
		return
	case OutcomeConflict, OutcomeRejected:
		eng.isAcceptedKnown = false
		eng.inspectDue = now.Add(conflictDelay)
	case OutcomeWrongTarget:
		eng.suspect = true
		planner.clearQueue(eng)
	case OutcomeAccepted, OutcomeNoChange:
	}
	eng.unanswered = 0
}

func (planner *Planner) modelOutcome(now time.Time, eng *engine, outcome Outcome) {
	switch outcome {
	case OutcomeAccepted:
		eng.accepted++
		eng.order.acceptedAt = now
		if isFetch(eng.order) {
			// Publishes to the other control nodes that this engine loads from the store, so that the next leader counts the load towards the
			// store's limit.
			planner.changed[eng.endpoint.Target] = true
		}
	case OutcomeNoChange:
		planner.applyNoChange(now, eng)
		planner.finishOrder(now, eng)
	default:
		eng.order = nil
	}
}

// applyNoChange updates the residents of an engine that was already in the state that its order asked for.
func (planner *Planner) applyNoChange(now time.Time, eng *engine) {
	id := eng.order.Unit.Model
	if eng.order.Kind == celerylanding.OrderUnload {
		planner.removeResident(eng, id)
	} else if eng.residents[id] == nil {
		planner.addResident(eng, id, &resident{loadedAt: now, adapters: make(map[string]time.Time)})
	}
}

// adapterOutcome applies the answer to an adapter order at once, since the change takes no longer than publishing it to the routers.
func (planner *Planner) adapterOutcome(now time.Time, eng *engine, outcome Outcome) {
	order := eng.adapterOrder
	eng.adapterOrder = nil
	isUnload := order.Kind == celerylanding.OrderUnload
	// The unload of an unused adapter completes at once and still counts as accepted; a load that changes nothing does not count.
	if outcome == OutcomeAccepted || (outcome == OutcomeNoChange && isUnload) {
		eng.accepted++
	}
	resident := eng.residents[order.Unit.Model]
	if resident == nil || (outcome != OutcomeAccepted && outcome != OutcomeNoChange) {
		return
	}
	planner.changed[eng.endpoint.Target] = true
	if isUnload {
		delete(resident.adapters, order.Unit.Adapter)
		if outcome == OutcomeAccepted {
			// The engine waits for the adapter's running requests to end and refuses other orders meanwhile.
			eng.isAcceptedKnown = false
			eng.inspectDue = now.Add(conflictDelay)
		}
	} else {
		resident.adapters[order.Unit.Adapter] = now.Add(adapterTime)
	}
}

// confirms reports whether the report's inventory shows the effect of the order.
func (report *Report) confirms(order *Order) bool {
	isLoaded := slices.ContainsFunc(report.Inventory, func(entry celerylanding.LoadedModel) bool {
		return entry.Model == celerylanding.ModelID(order.Unit.String())
	})
	return isLoaded == (order.Kind == celerylanding.OrderLoad)
}

// HandleReport applies an engine's report; report is nil if the engine sent none.
func (planner *Planner) HandleReport(now time.Time, endpoint celerylanding.Endpoint, report *Report) {
	eng := planner.engines[endpoint.Target]
	if eng == nil || eng.endpoint.Incarnation != endpoint.Incarnation {
		return
	}
	planner.store.isValid = false
	eng.inspecting = false
	eng.inspectDue = now.Add(inspectInterval)
	if report == nil || report.Busy {
		return
	}
	if order := eng.order; order != nil {
		if report.Accepted < order.Accepted+1 || (now.Sub(order.acceptedAt) < reportLag && !report.confirms(order)) {
			return
		}
		eng.order = nil
	}
	eng.inheritedFetch = ""
	eng.accepted = report.Accepted
	eng.isAcceptedKnown = true
	planner.applyInventory(now, eng, report.Inventory)
}
