package waking

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Outcome takes an engine's answer to an order.
func (planner *Planner) Outcome(now time.Time, answered Order, outcome Outcome) {
	eng := planner.engines[answered.Endpoint.Target]
	if eng == nil || eng.order == nil || eng.order.Number != answered.Number {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		eng.accepted++
		eng.order.taken = now
		planner.accepted(now, eng)
	case OutcomeHolds:
		// An adapter that no request uses is unloaded at once, which advances the count; an order that changes nothing does not.
		if eng.order.Kind == celerylanding.OrderUnload && eng.order.Unit.Adapter != "" {
			eng.accepted++
		}
		planner.accepted(now, eng)
		planner.finish(now, eng)
	default:
		// The engine may or may not have taken the order. Its next order carries a count that excludes the other case.
		eng.order = nil
		eng.isCountKnown = false
		eng.inspectDue = now
		if outcome == OutcomeUnknown {
			eng.inspectDue = now.Add(inspectPause)
		}
	}
}

// accepted notes what an accepted order changes at once.
func (planner *Planner) accepted(now time.Time, eng *engine) {
	order := eng.order
	held := eng.held[order.Unit.Model]
	if order.Unit.Adapter == "" || held == nil {
		return
	}
	planner.changed[eng.endpoint.Target] = true
	if order.Kind == celerylanding.OrderLoad {
		held.adapters[order.Unit.Adapter] = now.Add(adapterTime)
	} else {
		delete(held.adapters, order.Unit.Adapter)
	}
}

// Inspected takes an engine's account of itself, or nil when it gave none.
func (planner *Planner) Inspected(now time.Time, endpoint celerylanding.Endpoint, report *Report) {
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
		if report.Accepted < order.Accepted+1 || now.Sub(order.taken) < reportLag {
			return
		}
		eng.order = nil
	}
	eng.accepted = report.Accepted
	eng.isCountKnown = true
	planner.adopt(now, eng, report.Inventory)
}
