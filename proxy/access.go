package proxy

import (
	"net/http"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
)

// checkAccess finds the workspace of a request that has arrived, or refuses the request.
func (handler *Handler) checkAccess(call *call) *refusal {
	table, proof := handler.state.proven()
	decision := handler.options.KeyBounds.Check(table.Routes(), proof, call.accessRequest())
	call.workspace, call.hidesKey = decision.Workspace, table.Routes().NeedsKeys()
	if call.hidesKey {
		handler.countAccess(call, decision.Cause)
	}
	if decision.Cause == access.CauseNone {
		return nil
	}
	return refuseAccess(call, decision.Cause)
}

// recheckAccess refuses a request whose key has been withdrawn or moved to another workspace since the request arrived.
func (handler *Handler) recheckAccess(call *call) *refusal {
	table, proof := handler.state.proven()
	decision := handler.options.KeyBounds.Recheck(table.Routes(), proof, call.accessRequest(), call.workspace)
	call.hidesKey = call.hidesKey || table.Routes().NeedsKeys()
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
