package proxy

import (
	"context"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
)

// proofWaitShare is the share of its latency objective, or without one of its timeout, for which a request waits for a proof of freshness.
const proofWaitShare = 0.5

// checkHeader refuses a request whose key is not known once its header has arrived, so that callers without a key can't make a router buffer
// bodies. The whole request is checked when it has arrived.
func (handler *Handler) checkHeader(ctx context.Context, call *call) *refusal {
	decision := handler.awaitAccess(ctx, call, isKeyAwaited)
	if !decision.Cause.IsKeyUnknown() {
		return nil
	}
	handler.countAccess(call, decision.Cause)
	return refuseAccess(call, decision.Cause)
}

// checkAccess finds the workspace of a request that has arrived, or refuses the request.
func (handler *Handler) checkAccess(ctx context.Context, call *call) *refusal {
	decision := handler.awaitAccess(ctx, call, isProofAwaited)
	call.workspace = decision.Workspace
	if call.hidesKey {
		handler.countAccess(call, decision.Cause)
	}
	if decision.Cause == access.CauseNone {
		return nil
	}
	return refuseAccess(call, decision.Cause)
}

// isKeyAwaited reports whether a request whose header has arrived waits for a proof.
func isKeyAwaited(cause access.Cause) bool { return cause == access.CauseKeyMayBeNew }

// isProofAwaited reports whether a request that has arrived waits for a proof.
func isProofAwaited(cause access.Cause) bool { return cause != access.CauseNone && !cause.IsFinal() }

// decideAccess decides on a request by what is known now. If it lacks a proof for one of the causes to wait for, and the proof is expected soon, wait is
// the time for which it waits within its latency objective; otherwise it is not positive.
func (handler *Handler) decideAccess(now time.Time, fresh *freshness, call *call,
	isAwaited func(access.Cause) bool) (decision access.Decision, wait time.Duration) {
	decision = handler.options.KeyBounds.Check(fresh.table.Routes(), fresh.proof, call.accessRequest())
	call.hidesKey = fresh.table.Routes().NeedsKeys()
	if !isAwaited(decision.Cause) || handler.refusesWaiting.Load() {
		return decision, 0
	}
	return decision, fresh.renewal.WaitEnd(now, call.proofWaitEnd()).Sub(now)
}

// awaitAccess decides on a request, and waits for a proof if it has to.
func (handler *Handler) awaitAccess(ctx context.Context, call *call, isAwaited func(access.Cause) bool) access.Decision {
	for {
		fresh := handler.state.freshness()
		now := handler.options.Clock()
		decision, wait := handler.decideAccess(now, &fresh, call, isAwaited)
		if wait <= 0 {
			return decision
		}
		handler.options.Metrics.Counter("key_proof_waits").Inc(1)
		timer := time.NewTimer(wait)
		select {
		case <-fresh.changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-handler.requestsCtx.Done():
		}
		timer.Stop()
		call.waited += handler.options.Clock().Sub(now)
		if ctx.Err() != nil || handler.requestsCtx.Err() != nil {
			return decision
		}
	}
}

// proofWaitEnd returns the time up to which the request may wait for a proof.
func (call *call) proofWaitEnd() time.Time {
	patience := call.route.Timeout
	if call.metadata.MaxWait > 0 {
		patience = min(patience, call.metadata.MaxWait)
	}
	if call.route.LatencyObjective > 0 {
		patience = min(patience, call.route.LatencyObjective)
	}
	return call.arrived.Add(time.Duration(proofWaitShare * float64(patience)))
}

// recheckAccess refuses a request whose key has been withdrawn or moved to another workspace since the request arrived.
func (handler *Handler) recheckAccess(call *call) *refusal {
	fresh := handler.state.freshness()
	decision := handler.options.KeyBounds.Recheck(fresh.table.Routes(), fresh.proof, call.accessRequest(), call.workspace)
	call.hidesKey = call.hidesKey || fresh.table.Routes().NeedsKeys()
	if decision.Cause != access.CauseNone {
		handler.countAccess(call, decision.Cause)
		return refuseAccess(call, decision.Cause)
	}
	call.workspace = decision.Workspace
	return nil
}

func (call *call) accessRequest() access.Request {
	return access.Request{Received: call.received, IsPublic: call.route.Public, Digest: call.key, HasKey: call.hasKey}
}

// countAccess counts an admitted or refused request.
func (handler *Handler) countAccess(call *call, cause access.Cause) {
	if cause == access.CauseNone {
		handler.options.Metrics.Tagged(map[string]string{"workspace": call.workspaceName()}).Counter("workspace_admitted").Inc(1)
		return
	}
	handler.options.Metrics.Tagged(map[string]string{"workspace": call.workspaceName(), "cause": cause.String()}).
		Counter("workspace_refused").Inc(1)
}

// workspaceName returns the name of the request's workspace, or "".
func (call *call) workspaceName() string {
	if call.workspace == nil {
		return ""
	}
	return string(call.workspace.ID)
}

// refuseAccess returns the response to a request that has no right to run, or whose right can't be proved now.
func refuseAccess(call *call, cause access.Cause) *refusal {
	text := map[access.Cause]string{
		access.CauseNoKey:       "the request has no key",
		access.CauseUnknownKey:  "no workspace has the key",
		access.CauseKeyMayBeNew: "no workspace has the key in a configuration that may be out of date",
		access.CauseNotFresh:    "this router has not heard for too long whether the key was withdrawn",
		access.CauseMoved:       "the key has moved to another workspace",
	}[cause]
	if call.verdict != celerylanding.NotRun || !cause.IsFinal() {
		return unavailableOrFailed(call, celerylanding.ReasonKeysNotFresh, startingRetryDelay, text)
	}
	return &refusal{status: http.StatusUnauthorized, verdict: celerylanding.NotRun, reason: celerylanding.ReasonUnknownKey, cause: text}
}
