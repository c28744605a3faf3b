package simulation

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
)

// outcome is the final outcome of a request.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

// route sends a request to a target that has its model loaded, or asks the planner to load the model, as a router does.
func (sim *simulation) route(req *request) {
	if req.isDone {
		return
	}
	if !sim.now.Before(req.deadline) || req.sends >= maxSends {
		sim.recordOutcome(req, outcomeRefused)
		return
	}
	target, unreachable := sim.picker.Pick(sim.now, sim.table, dispatch.Requirements{Service: service, Unit: req.unit,
		PromptTokens: req.class.PromptTokens})
	if target != nil {
		req.sends++
		req.target = target
		eng := sim.engines[target.ID]
		if eng.isStopped || eng.endpoint.Incarnation != target.Incarnation {
			sim.picker.Done(sim.now, target, dispatch.ResultUnreachable)
			req.target = nil
			sim.schedule(networkDelay, func() { sim.route(req) })
			return
		}
		sim.schedule(networkDelay, func() { sim.admit(eng, req) })
		return
	}
	if sim.experiment.Policy == PolicyStatic {
		sim.recordOutcome(req, outcomeRefused)
		return
	}
	sim.wake(req, unreachable)
}

// wake asks the planner to load the model of a request and queues the request. If the planner replies that the load would take too long, the
// caller may retry the request later.
func (sim *simulation) wake(req *request, unreachable []celerylanding.Endpoint) {
	reply := sim.planner.Wake(sim.now, feed.WakeArgs{Node: "r", Service: service, Unit: req.unit, Waiting: 1 + len(sim.waiting[req.unit]),
		MaxWait: req.deadline.Sub(sim.now), Slack: max(0, req.class.LatencyObjective-sim.now.Sub(req.arrived)), Unreachable: unreachable})
	if reply.Infeasible {
		sim.retryAsCaller(req, reply.Expected)
		return
	}
	req.isWaiting = true
	sim.waiting[req.unit] = append(sim.waiting[req.unit], req)
	sim.schedule(waitPollInterval, func() { sim.resume(req) })
}

// retryAsCaller models a caller that retries a refused request once, after the expected load time or a third of its remaining time,
// whichever is shorter.
func (sim *simulation) retryAsCaller(req *request, expected time.Duration) {
	wait := min(expected, req.deadline.Sub(sim.now)/3)
	if req.hasRetried || wait <= 0 {
		sim.recordOutcome(req, outcomeRefused)
		return
	}
	req.hasRetried = true
	sim.schedule(wait, func() { sim.route(req) })
}

// resume routes a waiting request again; it does nothing if the request has been resumed already.
func (sim *simulation) resume(req *request) {
	if !req.isWaiting {
		return
	}
	req.isWaiting = false
	remaining := sim.waiting[req.unit][:0]
	for _, other := range sim.waiting[req.unit] {
		if other != req {
			remaining = append(remaining, other)
		}
	}
	if sim.waiting[req.unit] = remaining; len(remaining) == 0 {
		delete(sim.waiting, req.unit)
	}
	sim.route(req)
}

// resumeServable resumes the waiting requests whose unit is now loaded on a target.
func (sim *simulation) resumeServable() {
	for i := range sim.experiment.Models {
		unit := feed.Unit{Model: modelID(i)}
		if len(sim.waiting[unit]) == 0 || len(sim.table.TargetsForUnit(service, unit)) == 0 {
			continue
		}
		for _, req := range append([]*request(nil), sim.waiting[unit]...) {
			sim.resume(req)
		}
	}
}

// releaseTarget reports to the picker that a request has left its target.
func (sim *simulation) releaseTarget(req *request, isAnswered bool) {
	if req.target == nil {
		return
	}
	result := dispatch.ResultRefused
	if isAnswered {
		result = dispatch.ResultAnswered
	}
	sim.picker.Done(sim.now, req.target, result)
	req.target = nil
}

// recordOutcome adds a request to the result of its class; later outcomes of the same request are ignored. An answer after the deadline
// counts as refused.
func (sim *simulation) recordOutcome(req *request, final outcome) {
	if req.isDone {
		return
	}
	req.isDone = true
	class := sim.result.class(req.class.Name)
	switch {
	case final == outcomeFailed:
		class.Failed++
	case final == outcomeRefused || sim.now.After(req.deadline):
		class.Refused++
	case req.firstToken.Sub(req.arrived) <= req.class.LatencyObjective:
		class.OnTime++
		class.EarnedValue += req.class.OnTimeValue
	default:
		class.Late++
		class.EarnedValue += req.class.LateValue
	}
}
