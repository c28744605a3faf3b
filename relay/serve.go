package relay

import (
	"context"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// maxSends bounds the targets that one request is offered to, whatever their answers.
	maxSends = 4
	// againSoon is when a caller should come back after all targets have refused.
	againSoon = 400 * time.Millisecond
	// leastPatience is the time below which a request is not sent any more, since no target could answer.
	leastPatience = 10 * time.Millisecond
)

// serve takes the request to targets until one has answered; a refusal means that the caller has got nothing yet.
func (relay *Relay) serve(ctx context.Context, writer http.ResponseWriter, call *call) *refusal {
	relay.budget.Request(call.arrived, call.service)
	for {
		target, refusal := relay.find(ctx, call)
		if refusal != nil {
			return refusal
		}
		again, refusal := relay.try(ctx, writer, call, target)
		if again || refusal != nil {
			relay.logTry(call, target, again)
		}
		if !again {
			return refusal
		}
	}
}

// find returns a target for the next try; it waits for a wake where that can help.
func (relay *Relay) find(ctx context.Context, call *call) (*feed.Target, *refusal) {
	for {
		now := relay.options.Clock()
		table, changed := relay.state.watch()
		if refusal := mayTry(now, call); refusal != nil {
			return nil, refusal
		}
		target, unreachable := relay.picker.Pick(now, table, call.ask())
		if target != nil {
			return target, nil
		}
		if call.unit.Model == "" {
			return nil, refuseNotRunOr(call, celerylanding.ReasonNoTarget, againSoon, "no target takes work")
		}
		if refusal := relay.wait(ctx, call, unreachable, changed); refusal != nil {
			return nil, refusal
		}
	}
}

// slack returns the time in which the answer must begin to be on time.
func (call *call) slack(now time.Time) time.Duration {
	return max(0, call.route.LatencyObjective-now.Sub(call.arrived))
}

// mayTry refuses a request that has no time left or no further try.
func mayTry(now time.Time, call *call) *refusal {
	if call.deadline.Sub(now) < leastPatience {
		return outOfTime(call)
	}
	if call.sends == 0 {
		return nil
	}
	if call.sends >= maxSends {
		return refuseNotRunOr(call, celerylanding.ReasonTargetRefused, againSoon, call.cause)
	}
	return nil
}

// refuseNotRunOr says that the request has not run if that is so, and otherwise that its outcome is unknown.
func refuseNotRunOr(call *call, reason celerylanding.Reason, retry time.Duration, cause string) *refusal {
	if call.verdict == celerylanding.NotRun {
		return refuseNotRun(reason, retry, cause)
	}
	return &refusal{status: http.StatusBadGateway, verdict: call.verdict, reason: celerylanding.ReasonTargetFailed, cause: cause}
}

func outOfTime(call *call) *refusal {
	if call.verdict == celerylanding.NotRun {
		return refuseNotRun(celerylanding.ReasonDeadline, 0, "the time is up")
	}
	return &refusal{status: http.StatusGatewayTimeout, verdict: call.verdict, reason: celerylanding.ReasonDeadline,
		cause: "the time is up"}
}

// wait asks for the unit to be loaded and waits until something has changed.
func (relay *Relay) wait(ctx context.Context, call *call, unreachable []celerylanding.Endpoint, changed <-chan struct{}) *refusal {
	if relay.closing.Load() {
		return refuseNotRunOr(call, celerylanding.ReasonDraining, leastRetry, "this router stops")
	}
	now := relay.options.Clock()
	patience := call.deadline.Sub(now)
	reply, err := relay.waker.ask(ctx, now, call.service, call.unit, patience, call.slack(now), call.refusals, unreachable)
	call.refusals = nil
	if err != nil {
		relay.logUnanswered(call, err)
	}
	if err == nil && reply.Hopeless {
		return refuseNotRunOr(call, celerylanding.ReasonWaitTooLong, reply.Expected, reply.Cause)
	}
	if err == nil && reply.Expected == 0 {
		// The leader believes that the unit is there; give its word or its target's return a moment.
		call.excluded = nil
	}
	timer := time.NewTimer(wakePoll)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	call.waited += relay.options.Clock().Sub(now)
	if ctx.Err() != nil {
		return outOfTime(call)
	}
	return nil
}
