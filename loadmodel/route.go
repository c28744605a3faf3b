package loadmodel

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
)

// outcome is how a request ends.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

// route sends a request to a target, or lets it wait for a wake, as a router does.
func (play *play) route(call *visit) {
	if call.ended {
		return
	}
	if !play.now.Before(call.deadline) || call.sends >= maxSends {
		play.end(call, outcomeRefused)
		return
	}
	target, unreachable := play.picker.Pick(play.now, play.table, dispatch.Requirements{Service: service, Unit: call.unit,
		PromptTokens: call.class.Prompt})
	if target != nil {
		call.sends++
		call.target = target
		eng := play.engines[target.ID]
		if eng.isGone || eng.endpoint.Incarnation != target.Incarnation {
			play.picker.Done(play.now, target, dispatch.ResultUnreachable)
			call.target = nil
			play.after(hop, func() { play.route(call) })
			return
		}
		play.after(hop, func() { play.arrive(eng, call) })
		return
	}
	if play.experiment.Policy == PolicyStatic {
		play.end(call, outcomeRefused)
		return
	}
	play.wake(call, unreachable)
}

func (play *play) wake(call *visit, unreachable []celerylanding.Endpoint) {
	reply := play.planner.Wake(play.now, feed.WakeArgs{Node: "r", Service: service, Unit: call.unit, Waiting: 1 + len(play.waits[call.unit]),
		MaxWait: call.deadline.Sub(play.now), Slack: max(0, call.class.Aim-play.now.Sub(call.arrived)), Unreachable: unreachable})
	if reply.Infeasible {
		play.comeBack(call, reply.Expected)
		return
	}
	call.waiting = true
	play.waits[call.unit] = append(play.waits[call.unit], call)
	play.after(pollInterval, func() { play.resume(call) })
}

// comeBack lets the caller of a refused request return once, when it was told to.
func (play *play) comeBack(call *visit, expected time.Duration) {
	wait := min(expected, call.deadline.Sub(play.now)/3)
	if call.returned || wait <= 0 {
		play.end(call, outcomeRefused)
		return
	}
	call.returned = true
	play.after(wait, func() { play.route(call) })
}

// resume routes a request that waits, unless something else has done so.
func (play *play) resume(call *visit) {
	if !call.waiting {
		return
	}
	call.waiting = false
	rest := play.waits[call.unit][:0]
	for _, other := range play.waits[call.unit] {
		if other != call {
			rest = append(rest, other)
		}
	}
	if play.waits[call.unit] = rest; len(rest) == 0 {
		delete(play.waits, call.unit)
	}
	play.route(call)
}

// retryWaits routes the requests whose unit has come.
func (play *play) retryWaits() {
	for i := range play.experiment.Models {
		unit := feed.Unit{Model: modelID(i)}
		if len(play.waits[unit]) == 0 || len(play.table.TargetsForUnit(service, unit)) == 0 {
			continue
		}
		for _, call := range append([]*visit(nil), play.waits[unit]...) {
			play.resume(call)
		}
	}
}

func (play *play) leaveTarget(call *visit, isAnswered bool) {
	if call.target == nil {
		return
	}
	result := dispatch.ResultRefused
	if isAnswered {
		result = dispatch.ResultAnswered
	}
	play.picker.Done(play.now, call.target, result)
	call.target = nil
}

// end counts a request once.
func (play *play) end(call *visit, how outcome) {
	if call.ended {
		return
	}
	call.ended = true
	class := play.result.class(call.class.Name)
	switch {
	case how == outcomeFailed:
		class.Failed++
	case how == outcomeRefused || play.now.After(call.deadline):
		class.Refused++
	case call.first.Sub(call.arrived) <= call.class.Aim:
		class.InAim++
		class.Earned += call.class.Worth
	default:
		class.Late++
		class.Earned += call.class.Late
	}
}
