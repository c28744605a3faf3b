package gateway

import (
	"context"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/router"
)

const (
	// isolationRetryDelay is the delay before a suspect request retries to reserve a target.
	isolationRetryDelay = 50 * time.Millisecond
	// minTimeToSend is the time left before the work deadline below which a request is no longer sent to a target.
	minTimeToSend = 20 * time.Millisecond
)

// acquire waits for a grant of a target and rejects requests that have crashed too many targets. The returned function ends the
// isolation of a suspect request; the caller releases the grant itself.
func (gateway *Gateway) acquire(request *http.Request, call *call, plan attemptPlan, avoid celerylanding.TargetID) (router.Grant, func(), error) {
	fingerprint := router.Fingerprint(call.operation, call.body)
	for {
		suspect, err := gateway.checkCrashes(fingerprint)
		if err != nil {
			return router.Grant{}, nil, err
		}
		grant, err := gateway.deps.Dispatcher.Acquire(request.Context(), router.Request{
			Model:    call.model,
			Group:    plan.group,
			Priority: call.priority,
			Deadline: call.workDeadline(),
			Bytes:    len(call.body),
			Prefix:   plan.prefix,
			Suspect:  suspect,
			Avoid:    avoid,
		}, fingerprint)
		if err != nil {
			return router.Grant{}, nil, err
		}
		if call.remaining() < minTimeToSend {
			gateway.deps.Dispatcher.Release(grant, router.OutcomeNeutral)
			return router.Grant{}, nil, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonDeadline,
				"a target was free too late")
		}
		// A target may have crashed on an identical request while this one waited.
		suspectNow, err := gateway.checkCrashes(fingerprint)
		if err == nil {
			err = gateway.recheck(call)
		}
		if err != nil {
			gateway.deps.Dispatcher.Release(grant, router.OutcomeNeutral)
			return router.Grant{}, nil, err
		}
		if leaveIsolation, ok := gateway.isolate(request.Context(), call, grant, fingerprint, suspectNow); ok {
			call.target = grant.Endpoint.Target
			call.attempts++
			return grant, leaveIsolation, nil
		}
		gateway.deps.Dispatcher.Release(grant, router.OutcomeNeutral)
		sleep(request.Context(), isolationRetryDelay)
	}
}

// checkCrashes reports whether the request is a suspect, that is, a target crashed while the request was in flight. It returns an
// error for a quarantined request.
func (gateway *Gateway) checkCrashes(fingerprint uint64) (bool, error) {
	now := time.Now()
	if gateway.deps.Dispatcher.IsQuarantined(now, fingerprint) {
		return true, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonQuarantined,
			"targets died while they ran this request; it is refused for a while")
	}
	return gateway.deps.Dispatcher.CrashCount(now, fingerprint) > 0, nil
}

// isolate reserves the granted target for a single suspect request, so that another crash identifies the request that caused it. It
// returns false if the target could not be reserved.
func (gateway *Gateway) isolate(ctx context.Context, call *call, grant router.Grant, fingerprint uint64, suspect bool) (func(), bool) {
	if !suspect {
		return func() {}, true
	}
	if !gateway.deps.Isolation.Reserve(ctx, grant.Endpoint, fingerprint, call.deadline) {
		return nil, false
	}
	return func() {
		gateway.deps.Isolation.Release(context.WithoutCancel(ctx), grant.Endpoint, fingerprint)
	}, true
}
