package gateway

import (
	"context"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/router"
)

const (
	// isolationPause is the wait before a suspect asks for a target of its own again.
	isolationPause = 50 * time.Millisecond
	// minRemaining is the time below which a request is no longer sent to a target.
	minRemaining = 20 * time.Millisecond
)

// acquire waits for a target and refuses requests that have cost too many targets. The function ends what was acquired
// beside the grant.
func (gateway *Gateway) acquire(request *http.Request, call *call, plan plan, avoid celerylanding.TargetID) (router.Grant, func(), error) {
	fingerprint := router.Fingerprint(call.subject, call.body)
	for {
		suspect, err := gateway.checkCrashes(fingerprint)
		if err != nil {
			return router.Grant{}, nil, err
		}
		grant, err := gateway.deps.Dispatcher.Acquire(request.Context(), router.Request{
			Model:    call.model,
			Group:    plan.group,
			Priority: call.priority,
			Deadline: call.lastMoment(),
			Bytes:    len(call.body),
			Prefix:   plan.prefix,
			Suspect:  suspect,
			Avoid:    avoid,
		}, fingerprint)
		if err != nil {
			return router.Grant{}, nil, err
		}
		if call.remaining() < minRemaining {
			gateway.deps.Dispatcher.Release(grant, router.OutcomeNeutral)
			return router.Grant{}, nil, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonDeadline,
				"a target was free too late")
		}
		// A target may have been lost to the request while it waited.
		suspectNow, err := gateway.checkCrashes(fingerprint)
		if err != nil {
			gateway.deps.Dispatcher.Release(grant, router.OutcomeNeutral)
			return router.Grant{}, nil, err
		}
		if leave, ok := gateway.isolate(request.Context(), call, grant, fingerprint, suspectNow); ok {
			call.target = grant.Endpoint.Target
			call.attempts++
			return grant, leave, nil
		}
		gateway.deps.Dispatcher.Release(grant, router.OutcomeNeutral)
		pause(request.Context(), isolationPause)
	}
}

// checkCrashes reports whether a target was lost with the request in flight; after too many it is an error.
func (gateway *Gateway) checkCrashes(fingerprint uint64) (bool, error) {
	now := time.Now()
	if gateway.deps.Dispatcher.IsQuarantined(now, fingerprint) {
		return true, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonQuarantined,
			"targets died while they ran this request; it is refused for a while")
	}
	return gateway.deps.Dispatcher.Crashes(now, fingerprint) > 0, nil
}

// isolate gives a suspect a target without other suspects, so that the next crash tells which request is to blame.
func (gateway *Gateway) isolate(ctx context.Context, call *call, grant router.Grant, fingerprint uint64, suspect bool) (func(), bool) {
	if !suspect {
		return func() {}, true
	}
	if !gateway.deps.Isolation.Enter(ctx, grant.Endpoint, fingerprint, call.deadline) {
		return nil, false
	}
	return func() {
		gateway.deps.Isolation.Leave(context.WithoutCancel(ctx), grant.Endpoint, fingerprint)
	}, true
}
