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
	// maxAttempts bounds the tries of one request that may have run.
	maxAttempts = 3
	// retryPause is the wait before a refused request is tried again, times the number of tries.
	retryPause    = 10 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
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

// try runs the attempts of a call until one ends it.
func (gateway *Gateway) try(request *http.Request, call *call, plan plan) error {
	var avoid celerylanding.TargetID
	for {
		grant, err := gateway.acquire(request, call, plan.group, avoid, plan.prefix)
		if err != nil {
			return err
		}
		// Once the request has been sent, its deadline ends the work on the target too.
		ctx, cancel := context.WithDeadline(request.Context(), call.deadline)
		err = plan.run(ctx, grant)
		cancel()
		gateway.settle(request.Context(), grant, err)
		if err == nil || !gateway.mayRetry(request, call, plan, err) {
			return err
		}
		avoid = grant.Endpoint.Target
		gateway.deps.Recorder.Record(time.Now(), celerylanding.Event{Kind: "request_retry", Request: call.id,
			Model: call.model, Target: avoid, Detail: err.Error()})
		pause(request.Context(), min(maxRetryPause, time.Duration(call.attempts)*retryPause))
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (gateway *Gateway) mayRetry(request *http.Request, call *call, plan plan, err error) bool {
	verdict := celerylanding.VerdictOf(err)
	if request.Context().Err() != nil || !time.Now().Before(call.deadline) {
		return false
	}
	if !router.MayRetry(verdict, plan.idempotent, call.begun) {
		return false
	}
	if verdict == celerylanding.NotRun {
		return true
	}
	return call.attempts < maxAttempts && gateway.deps.Traffic.TakeRetry()
}

// settle ends the grant and finds out what a failure says of the target.
func (gateway *Gateway) settle(caller context.Context, grant router.Grant, err error) {
	traffic := gateway.deps.Traffic
	reason := celerylanding.ReasonOf(err)
	switch {
	case err == nil:
		traffic.Release(grant, router.OutcomeAnswered)
	case caller.Err() != nil:
		traffic.Release(grant, router.OutcomeNeutral)
	case reason == celerylanding.ReasonTargetRefused:
		traffic.Release(grant, router.OutcomeOverloaded)
	default:
		// The grant stays open during the probe, so that the request counts as in flight on a dead target.
		gateway.examine(caller, grant.Endpoint)
		traffic.Release(grant, router.OutcomeFailed)
	}
}

// examine probes a target on a new connection: the target may be dead, or only its old connections.
func (gateway *Gateway) examine(ctx context.Context, endpoint celerylanding.Endpoint) {
	gateway.deps.Client.Drop(endpoint)
	err := gateway.deps.Client.Probe(ctx, endpoint)
	if errors.Is(err, syscall.ECONNREFUSED) {
		gateway.deps.Traffic.TargetDied(time.Now(), endpoint)
	}
}

// refusalOf reads a target's own statement that it has not run the request, or returns nil.
func (gateway *Gateway) refusalOf(grant router.Grant, answer target.Answer, engine bool) error {
	saysNotRun := answer.Header.Get(HeaderVerdict) == celerylanding.NotRun.String()
	switch {
	case answer.Status == http.StatusServiceUnavailable && (engine || saysNotRun):
		gateway.deps.Refused(grant.Endpoint)
	case answer.Status == http.StatusTooManyRequests && (engine || saysNotRun):
	case answer.Status == http.StatusNotFound && engine:
	default:
		return nil
	}
	return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonTargetRefused,
		"%s answered %d", grant.Endpoint.Target, answer.Status)
}
