package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/target"
)

const (
	// maxRuns limits the attempts per request that may have run on a target.
	maxRuns = 3
	// retryDelay is the delay before a retry; it grows linearly with the number of attempts, up to maxRetryDelay.
	retryDelay    = 10 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	maxProbes     = 4
	probeInterval = 50 * time.Millisecond
)

// attemptFunc sends a call to the granted target and forwards or returns its response.
type attemptFunc func(ctx context.Context, grant router.Grant) error

// attemptPlan holds what the attempts of a call share: the targets it may use, whether it may be repeated, and how it is sent.
type attemptPlan struct {
	group      string
	prefix     uint64
	idempotent bool
	send       attemptFunc
}

// callWithRetries makes attempts until one succeeds or no retry is allowed. Once an attempt may have run, later errors carry
// MayHaveRun instead of NotRun.
func (gateway *Gateway) callWithRetries(request *http.Request, call *call, plan attemptPlan) error {
	var avoid celerylanding.TargetID
	for {
		grant, leaveIsolation, err := gateway.acquire(request, call, plan, avoid)
		if err != nil {
			return call.adjustVerdict(err)
		}
		err = gateway.attemptOnce(request, call, plan, grant)
		leaveIsolation()
		if err == nil {
			return nil
		}
		verdict := celerylanding.VerdictOf(err)
		err = call.adjustVerdict(err)
		if !gateway.mayRetry(request, call, plan, verdict) {
			return err
		}
		avoid = call.target
		gateway.deps.Recorder.Record(time.Now(), celerylanding.Event{Kind: "request_retry", Request: call.id,
			Model: call.model, Target: avoid, Detail: celerylanding.MessageOf(err)})
		sleep(request.Context(), min(maxRetryDelay, time.Duration(call.attempts)*retryDelay))
	}
}

// attemptOnce sends the call to the granted target and releases the grant.
func (gateway *Gateway) attemptOnce(request *http.Request, call *call, plan attemptPlan, grant router.Grant) error {
	// The deadline also cancels a request that the target is working on.
	ctx, cancel := context.WithDeadline(request.Context(), call.workDeadline())
	defer cancel()
	err := plan.send(ctx, grant)
	gateway.finishAttempt(request.Context(), call, grant, err)
	return err
}

// adjustVerdict counts the attempts that may have run. An error of the last attempt with the verdict NotRun becomes MayHaveRun if an
// earlier attempt may have run.
func (call *call) adjustVerdict(err error) error {
	if celerylanding.VerdictOf(err) != celerylanding.NotRun {
		call.runs++
		return err
	}
	if call.runs > 0 {
		return celerylanding.WithVerdict(err, celerylanding.MayHaveRun)
	}
	return err
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mayRetry decides by the verdict of the last attempt. Attempts that have not run count neither against maxRuns nor against the
// retry budget.
func (gateway *Gateway) mayRetry(request *http.Request, call *call, plan attemptPlan, verdict celerylanding.Verdict) bool {
	if request.Context().Err() != nil || !time.Now().Before(call.deadline) {
		return false
	}
	if !router.MayRetry(verdict, plan.idempotent, call.responseStarted) {
		return false
	}
	if verdict == celerylanding.NotRun {
		return true
	}
	return call.runs < maxRuns && gateway.deps.Dispatcher.TakeRetry()
}

// finishAttempt releases the grant with the outcome that the success or failure of the attempt implies for the target's health.
func (gateway *Gateway) finishAttempt(callerCtx context.Context, call *call, grant router.Grant, err error) {
	dispatcher := gateway.deps.Dispatcher
	switch {
	case err == nil:
		dispatcher.Release(grant, router.OutcomeAnswered)
	case callerCtx.Err() != nil:
		dispatcher.Release(grant, router.OutcomeNeutral)
	case celerylanding.ReasonOf(err) == celerylanding.ReasonTargetRefused:
		dispatcher.Release(grant, router.OutcomeOverloaded)
	case celerylanding.VerdictOf(err) == celerylanding.NotRun:
		// A request that did not reach the target can't have crashed it.
		gateway.deps.Client.Drop(grant.Endpoint)
		dispatcher.Release(grant, router.OutcomeUnreachable)
	case time.Now().Before(call.workDeadline()):
		gateway.probeAndRelease(callerCtx, grant)
	default:
		// The response to the caller is due; the probe continues in the background.
		gateway.deps.Tasks.Go(func(ctx context.Context) { gateway.probeAndRelease(ctx, grant) })
	}
}

// probeAndRelease checks whether the target has died and releases the grant after that.
func (gateway *Gateway) probeAndRelease(ctx context.Context, grant router.Grant) {
	gateway.deps.Dispatcher.RecordFailure(time.Now(), grant)
	gateway.probeTarget(ctx, grant.Endpoint)
	gateway.deps.Dispatcher.Release(grant, router.OutcomeFailed)
}

// probeTarget probes a target on a new connection, which distinguishes a dead target from a broken connection. A process that is about to
// exit may accept a connection that it never serves, so a broken probe is repeated.
func (gateway *Gateway) probeTarget(ctx context.Context, endpoint celerylanding.Endpoint) {
	gateway.deps.Client.Drop(endpoint)
	for range maxProbes {
		err := gateway.deps.Client.Probe(ctx, endpoint)
		if errors.Is(err, syscall.ECONNREFUSED) {
			gateway.deps.Dispatcher.MarkTargetDead(time.Now(), endpoint)
			return
		}
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			return
		}
		sleep(ctx, probeInterval)
	}
}

// checkRefusal returns an error with the verdict NotRun if the target's response says that it has not run the request, or nil.
func (gateway *Gateway) checkRefusal(grant router.Grant, response target.Response, engine bool) error {
	saysNotRun := response.Header.Get(HeaderVerdict) == celerylanding.NotRun.String()
	switch {
	case response.Status == http.StatusServiceUnavailable && (engine || saysNotRun):
		gateway.deps.OnTargetRefused(grant.Endpoint)
	case response.Status == http.StatusTooManyRequests && (engine || saysNotRun):
	case response.Status == http.StatusNotFound && engine:
	default:
		return nil
	}
	return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonTargetRefused,
		"%s answered %d", grant.Endpoint.Target, response.Status)
}
