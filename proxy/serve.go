package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

const (
	// maxSends is the largest number of times that a request is sent to targets, whatever their answers.
	maxSends = 4
	// busyRetryDelay is the Retry-After delay when no target accepts a request.
	busyRetryDelay = 400 * time.Millisecond
	// limitWaitShare is the share of its latency objective for which a request waits for a target below its limit, and limitRetryInterval the
	// time between two attempts, in which new figures of the leader arrive.
	limitWaitShare     = 0.6
	limitRetryInterval = 250 * time.Millisecond
	// minRemaining is the remaining time below which a request is not sent any more, since no target could answer in time.
	minRemaining = 10 * time.Millisecond
)

// serve tries targets until the answer of one is forwarded. A refusal means that no answer was completed; a stream may have begun in an
// earlier attempt.
func (handler *Handler) serve(ctx context.Context, writer http.ResponseWriter, call *call) *refusal {
	handler.budget.CountRequest(call.arrived, call.service)
	if refusal := handler.findOrigin(ctx, call); refusal != nil {
		return refusal
	}
	for {
		target, refusal := handler.findTarget(ctx, call)
		if refusal != nil {
			return refusal
		}
		trial, refusal := handler.beginTrial(ctx, call, target)
		if refusal != nil || !trial.mayRun {
			handler.picker.Done(handler.options.Clock(), target, dispatch.ResultCanceled)
			if refusal != nil {
				return refusal
			}
			continue
		}
		retry, refusal := handler.attempt(ctx, writer, call, target)
		handler.endTrial(call, trial)
		if retry || refusal != nil {
			handler.logAttempt(call, target, retry)
		}
		if !retry {
			return refusal
		}
	}
}

// findTarget returns the target of the next attempt; it waits while no usable target has the unit loaded or may get more requests.
func (handler *Handler) findTarget(ctx context.Context, call *call) (*feed.Target, *refusal) {
	defer call.leaveWait()
	for {
		now := handler.options.Clock()
		table, changed := handler.state.watch()
		if refusal := handler.checkAttemptAllowed(now, call); refusal != nil {
			return nil, refusal
		}
		needs := call.requirementsAt(now)
		needs.Chance = rand.Float64()
		choice, unreachable := handler.picker.Choose(now, table, needs)
		if choice.Target != nil {
			call.outlook = choice.Outlook
			return choice.Target, nil
		}
		throttled := handler.picker.Throttled(now, table, needs)
		if refusal := handler.awaitTarget(ctx, now, call, throttled, unreachable, changed); refusal != nil {
			return nil, refusal
		}
	}
}

// step is what a request without a target does next.
type step uint8

const (
	stepRefuse step = iota
	stepAwaitLimit
	stepAwaitUnit
)

// stepWithoutTarget returns what a request does for which the picker has found no target, and the refusal if there is one.
func (handler *Handler) stepWithoutTarget(now time.Time, picker *dispatch.Picker, table *dispatch.Table, call *call,
	throttled dispatch.Throttled) (step, *refusal) {
	staysThrottled := handler.staysThrottled(call, throttled)
	switch {
	case staysThrottled && handler.mayWaitForLimit(call):
		return stepAwaitLimit, nil
	case staysThrottled && throttled.IsBrittle:
		refused := unavailableOrFailed(call, celerylanding.ReasonTargetsLimited, throttled.RetryDelay, "the brittle targets have no room")
		refused.spread = throttled.Spread
		return stepRefuse, refused
	case staysThrottled:
		return stepRefuse, unavailableOrFailed(call, celerylanding.ReasonTargetsLimited, throttled.RetryDelay,
			"the targets have reached the limits that they announce")
	case call.unit.Model == "":
		pause := picker.PauseRemaining(now, table, call.requirements())
		if pause == 0 {
			return stepRefuse, unavailableOrFailed(call, celerylanding.ReasonNoTarget, busyRetryDelay, "no target takes work")
		}
		refused := unavailableOrFailed(call, celerylanding.ReasonNoTarget, pause, "all targets have asked for a pause")
		refused.spread = pause / 2
		return stepRefuse, refused
	case handler.refusesWaiting.Load() && !call.delivery.HasBegun():
		return stepRefuse, unavailableOrFailed(call, celerylanding.ReasonDraining, minRetryDelay, "this router stops")
	}
	return stepAwaitUnit, nil
}

// awaitTarget waits until a request without a target may be tried again, or refuses it.
func (handler *Handler) awaitTarget(ctx context.Context, now time.Time, call *call, throttled dispatch.Throttled,
	unreachable []celerylanding.Endpoint, changed <-chan struct{}) *refusal {
	if len(throttled.Targets) > 0 && call.holdBack(now) {
		handler.options.Metrics.Counter("requests_throttled").Inc(1)
	}
	step, refused := handler.stepWithoutTarget(now, handler.picker, handler.state.table(), call, throttled)
	switch step {
	case stepRefuse:
		return refused.withChance(rand.Float64())
	case stepAwaitLimit:
		return handler.waitForLimit(ctx, now, call)
	}
	if call.wait == nil {
		call.wait = handler.waker.join(call.service, call.unit, call.origin)
	}
	// The leader loads a throttled unit on a target without a limit.
	return handler.waitForUnit(ctx, call, append(unreachable, throttled.Targets...), changed)
}

// leaveWait ends the request's wait for a unit, if there is one.
func (call *call) leaveWait() {
	if call.wait != nil {
		call.wait.leave()
		call.wait = nil
	}
}

// waitEnd returns when a caller gives up on the next event of a stream, the first one included, or on another answer.
func (call *call) waitEnd() time.Time {
	if call.route.Kind != routing.KindStream {
		return call.deadline
	}
	since := call.arrived
	if call.hasEvent {
		since = call.lastEventAt
	}
	if end := since.Add(streamPatience(call.route)); end.Before(call.deadline) {
		return end
	}
	return call.deadline
}

// staysThrottled reports whether a request without a target waits for the limits of targets or is refused because of them: while it can still be
// on time, and if no other target could serve it.
func (handler *Handler) staysThrottled(call *call, throttled dispatch.Throttled) bool {
	if len(throttled.Targets) == 0 {
		return false
	}
	return handler.mayWaitForLimit(call) || call.unit.Model == "" || !throttled.HasAlternative
}

// holdBack records that the limits of all targets of the request keep it back until the next attempt, and reports whether that is new.
func (call *call) holdBack(now time.Time) bool {
	isNew := call.throttledUntil.IsZero()
	if !now.Before(call.throttledUntil) {
		call.throttledUntil = now.Add(limitRetryInterval)
	}
	return isNew
}

// mayWaitForLimit reports whether the answer can still begin within the latency objective if the request is tried once more.
func (handler *Handler) mayWaitForLimit(call *call) bool {
	return call.throttledUntil.Sub(call.arrived) <= time.Duration(limitWaitShare*float64(call.route.LatencyObjective)) &&
		!handler.refusesWaiting.Load()
}

// waitForLimit waits until the limits of the targets may allow the request.
func (handler *Handler) waitForLimit(ctx context.Context, now time.Time, call *call) *refusal {
	isDone := !sleep(ctx, call.throttledUntil.Sub(now))
	call.waited += handler.options.Clock().Sub(now)
	if isDone {
		return deadlineExceeded(call)
	}
	return nil
}

// slack returns the time that remains to begin the answer within the latency objective.
func (call *call) slack(now time.Time) time.Duration {
	return max(0, call.route.LatencyObjective-now.Sub(call.arrived))
}

// checkAttemptAllowed refuses a request that has no time or no attempt left, or that has been quarantined since it arrived.
func (handler *Handler) checkAttemptAllowed(now time.Time, call *call) *refusal {
	if refusal := call.checkTime(now); refusal != nil {
		return refusal
	}
	if refusal := handler.recheckAccess(call); refusal != nil {
		return refusal
	}
	if refusal := handler.refuseQuarantined(call); refusal != nil {
		return refusal
	}
	if refusal := handler.refuseStranded(now, call); refusal != nil {
		return refusal
	}
	if call.sends >= maxSends {
		return unavailableOrFailed(call, celerylanding.ReasonTargetRefused, busyRetryDelay, call.cause)
	}
	return nil
}

// checkTime refuses a request that no target could answer in time.
func (call *call) checkTime(now time.Time) *refusal {
	if call.deadline.Sub(now) < minRemaining {
		return deadlineExceeded(call)
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
func (handler *Handler) waitForUnit(ctx context.Context, call *call, unreachable []celerylanding.Endpoint, changed <-chan struct{}) *refusal {
	now := handler.options.Clock()
	remaining := call.waitEnd().Sub(now)
	reply, err := call.wait.wake(ctx, now, remaining, call.slack(now), call.refusals, unreachable)
	call.refusals = nil
	if err != nil {
		handler.logUnansweredWake(call, err)
		if refusal := handler.refuseWithoutLeader(handler.options.Clock(), call); refusal != nil {
			return refusal
		}
	} else {
		call.unansweredSince = time.Time{}
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
