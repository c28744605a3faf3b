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
	// maxRuns bounds the tries of one request that may have run.
	maxRuns = 3
	// retryPause is the wait before a refused request is tried again, times the number of tries.
	retryPause    = 10 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
	probeTries    = 4
	probePause    = 50 * time.Millisecond
)

// attempt sends a call to the granted target and passes its answer on.
type attempt func(ctx context.Context, grant router.Grant) error

// plan says where and how often a call may be tried.
type plan struct {
	group      string
	prefix     uint64
	idempotent bool
	run        attempt
}

// try runs the attempts of a call until one ends it. Once an attempt may have run, no later refusal says otherwise.
func (gateway *Gateway) try(request *http.Request, call *call, plan plan) error {
	var avoid celerylanding.TargetID
	for {
		grant, leave, err := gateway.acquire(request, call, plan, avoid)
		if err != nil {
			return call.finalError(err)
		}
		err = gateway.tryOnce(request, call, plan, grant)
		leave()
		if err == nil {
			return nil
		}
		verdict := celerylanding.VerdictOf(err)
		err = call.finalError(err)
		if !gateway.mayRetry(request, call, plan, verdict) {
			return err
		}
		avoid = call.target
		gateway.deps.Recorder.Record(time.Now(), celerylanding.Event{Kind: "request_retry", Request: call.id,
			Model: call.model, Target: avoid, Detail: celerylanding.MessageOf(err)})
		pause(request.Context(), min(maxRetryPause, time.Duration(call.attempts)*retryPause))
	}
}

// tryOnce sends the call to the granted target and ends the grant.
func (gateway *Gateway) tryOnce(request *http.Request, call *call, plan plan, grant router.Grant) error {
	// Once the request has been sent, its deadline ends the work on the target too.
	ctx, cancel := context.WithDeadline(request.Context(), call.lastMoment())
	defer cancel()
	err := plan.run(ctx, grant)
	gateway.settle(request.Context(), call, grant, err)
	return err
}

// finalError counts the tries that may have run, and corrects the verdict of an error that speaks of the last try only.
func (call *call) finalError(err error) error {
	if celerylanding.VerdictOf(err) != celerylanding.NotRun {
		call.runs++
		return err
	}
	if call.runs > 0 {
		return celerylanding.WithVerdict(err, celerylanding.MayHaveRun)
	}
	return err
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mayRetry decides by the verdict of the last try; tries that have not run cost nothing.
func (gateway *Gateway) mayRetry(request *http.Request, call *call, plan plan, verdict celerylanding.Verdict) bool {
	if request.Context().Err() != nil || !time.Now().Before(call.deadline) {
		return false
	}
	if !router.MayRetry(verdict, plan.idempotent, call.begun) {
		return false
	}
	if verdict == celerylanding.NotRun {
		return true
	}
	return call.runs < maxRuns && gateway.deps.Dispatcher.TakeRetry()
}

// settle ends the grant and finds out what a failure says of the target.
func (gateway *Gateway) settle(caller context.Context, call *call, grant router.Grant, err error) {
	traffic := gateway.deps.Dispatcher
	switch {
	case err == nil:
		traffic.Release(grant, router.OutcomeAnswered)
	case caller.Err() != nil:
		traffic.Release(grant, router.OutcomeNeutral)
	case celerylanding.ReasonOf(err) == celerylanding.ReasonTargetRefused:
		traffic.Release(grant, router.OutcomeOverloaded)
	case celerylanding.VerdictOf(err) == celerylanding.NotRun:
		// What never reached the target can't have harmed it.
		gateway.deps.Client.Drop(grant.Endpoint)
		traffic.Release(grant, router.OutcomeUnreachable)
	case time.Now().Before(call.lastMoment()):
		gateway.examineAfter(caller, grant)
	default:
		// The caller's answer is due; the probe goes on without it.
		gateway.deps.Tasks.Go(func(ctx context.Context) { gateway.examineAfter(ctx, grant) })
	}
}

// examineAfter finds out whether the target has died, and only then ends the grant.
func (gateway *Gateway) examineAfter(ctx context.Context, grant router.Grant) {
	gateway.deps.Dispatcher.Remember(time.Now(), grant)
	gateway.examine(ctx, grant.Endpoint)
	gateway.deps.Dispatcher.Release(grant, router.OutcomeFailed)
}

// examine probes a target on a new connection: the target may be dead, or only its old connections. A dying process may
// take a connection that it never serves, so a broken probe is repeated.
func (gateway *Gateway) examine(ctx context.Context, endpoint celerylanding.Endpoint) {
	gateway.deps.Client.Drop(endpoint)
	for range probeTries {
		err := gateway.deps.Client.Probe(ctx, endpoint)
		if errors.Is(err, syscall.ECONNREFUSED) {
			gateway.deps.Dispatcher.MarkTargetDead(time.Now(), endpoint)
			return
		}
		if err == nil || errors.Is(err, context.DeadlineExceeded) {
			return
		}
		pause(ctx, probePause)
	}
}

// refusalOf reads a target's own statement that it has not run the request, or returns nil.
func (gateway *Gateway) refusalOf(grant router.Grant, answer target.Response, engine bool) error {
	saysNotRun := answer.Header.Get(HeaderVerdict) == celerylanding.NotRun.String()
	switch {
	case answer.Status == http.StatusServiceUnavailable && (engine || saysNotRun):
		gateway.deps.OnTargetRefused(grant.Endpoint)
	case answer.Status == http.StatusTooManyRequests && (engine || saysNotRun):
	case answer.Status == http.StatusNotFound && engine:
	default:
		return nil
	}
	return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonTargetRefused,
		"%s answered %d", grant.Endpoint.Target, answer.Status)
}
