package proxy

import (
	"context"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// maxSends is the largest number of times that a request is sent to targets, whatever their answers.
	maxSends = 4
	// busyRetryDelay is the Retry-After delay when no target accepts a request.
	busyRetryDelay = 400 * time.Millisecond
	// minRemaining is the remaining time below which a request is not sent any more, since no target could answer in time.
	minRemaining = 10 * time.Millisecond
)

// serve tries targets until the answer of one is forwarded. A refusal means that no answer was completed; a stream may have begun in an
// earlier attempt.
func (handler *Handler) serve(ctx context.Context, writer http.ResponseWriter, call *call) *refusal {
	handler.budget.CountRequest(call.arrived, call.service)
	for {
		target, refusal := handler.findTarget(ctx, call)
		if refusal != nil {
			return refusal
		}
		retry, refusal := handler.attempt(ctx, writer, call, target)
		if retry || refusal != nil {
			handler.logAttempt(call, target, retry)
		}
		if !retry {
			return refusal
		}
	}
}

// findTarget returns the target of the next attempt; it waits for the unit to be loaded if no usable target has it loaded.
func (handler *Handler) findTarget(ctx context.Context, call *call) (*feed.Target, *refusal) {
	var wait *unitWait
	defer func() {
		if wait != nil {
			wait.leave()
		}
	}()
	for {
		now := handler.options.Clock()
		table, changed := handler.state.watch()
		if refusal := checkAttemptAllowed(now, call); refusal != nil {
			return nil, refusal
		}
		if cause := handler.crashes.quarantineCause(call); cause != "" {
			return nil, unavailableOrFailed(call, celerylanding.ReasonQuarantined, 0, cause)
		}
		target, unreachable := handler.picker.Pick(now, table, call.requirements())
		if target != nil {
			return target, nil
		}
		if call.unit.Model == "" {
			return nil, unavailableOrFailed(call, celerylanding.ReasonNoTarget, busyRetryDelay, "no target takes work")
		}
		if wait == nil {
			wait = handler.waker.join(call.service, call.unit)
		}
		if refusal := handler.waitForUnit(ctx, call, wait, unreachable, changed); refusal != nil {
			return nil, refusal
		}
	}
}

// slack returns the time that remains to begin the answer within the latency objective.
func (call *call) slack(now time.Time) time.Duration {
	return max(0, call.route.LatencyObjective-now.Sub(call.arrived))
}

// checkAttemptAllowed refuses a request that has no time or no attempt left.
func checkAttemptAllowed(now time.Time, call *call) *refusal {
	if call.deadline.Sub(now) < minRemaining {
		return deadlineExceeded(call)
	}
	if call.sends == 0 {
		return nil
	}
	if call.sends >= maxSends {
		return unavailableOrFailed(call, celerylanding.ReasonTargetRefused, busyRetryDelay, call.cause)
	}
	return nil
}

// unavailableOrFailed returns a 503 for a request that has not run, and a 502 for one that may have run.
func unavailableOrFailed(call *call, reason celerylanding.Reason, retryAfter time.Duration, cause string) *refusal {
	if call.verdict == celerylanding.NotRun {
		return unavailable(reason, retryAfter, cause)
	}
	return &refusal{status: http.StatusBadGateway, verdict: call.verdict, reason: celerylanding.ReasonTargetFailed, cause: cause}
}

func deadlineExceeded(call *call) *refusal {
	if call.verdict == celerylanding.NotRun {
		return unavailable(celerylanding.ReasonDeadline, 0, "the time is up")
	}
	return &refusal{status: http.StatusGatewayTimeout, verdict: call.verdict, reason: celerylanding.ReasonDeadline,
		cause: "the time is up"}
}

// waitForUnit asks the leader to load the unit, and waits for a new table or the next poll.
func (handler *Handler) waitForUnit(ctx context.Context, call *call, wait *unitWait, unreachable []celerylanding.Endpoint,
	changed <-chan struct{}) *refusal {
	if handler.refusesWaiting.Load() {
		return unavailableOrFailed(call, celerylanding.ReasonDraining, minRetryDelay, "this router stops")
	}
	now := handler.options.Clock()
	remaining := call.deadline.Sub(now)
	reply, err := wait.wake(ctx, now, remaining, call.slack(now), call.refusals, unreachable)
	call.refusals = nil
	if err != nil {
		handler.logUnansweredWake(call, err)
	}
	if err == nil && reply.Infeasible {
		return unavailableOrFailed(call, celerylanding.ReasonWaitTooLong, reply.Expected, reply.Cause)
	}
	if err == nil && reply.Expected == 0 {
		// The leader reports the unit as loaded. Excluded targets become eligible again, since a new table may arrive or a target may recover
		// during the wait.
		call.excluded = nil
	}
	timer := time.NewTimer(wakePollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	call.waited += handler.options.Clock().Sub(now)
	if ctx.Err() != nil {
		return deadlineExceeded(call)
	}
	return nil
}
