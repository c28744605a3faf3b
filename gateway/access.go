package gateway

import (
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/routing"
)

// HeaderWorkspace names the workspace of a request's caller to targets.
const HeaderWorkspace = "X-Celerylanding-Workspace"

// maxSilence is the time without a leader after which a node can't tell an unknown key from one that was added since.
const maxSilence = 2 * time.Second

// caller is what is known of the sender of a request.
type caller struct {
	request access.Request
	// workspace is nil for a caller who needs no key and has proved none. hidesKey is set if the configuration has workspaces.
	workspace *routing.Workspace
	hidesKey  bool
	// refusal is the error for a request that needs a key, or nil.
	refusal error
	// isAdmitted is set once the request has been admitted.
	isAdmitted bool
}

// identify finds the workspace of a caller by its key.
func (gateway *Gateway) identify(now time.Time, request *http.Request) caller {
	caller := caller{request: access.Request{Received: now}}
	if key := celerylanding.ParseKey(request.Header); key != "" {
		caller.request.Digest, caller.request.HasKey = key.Digest(), true
	}
	if configuration := gateway.deps.Dispatcher.View().Config; configuration != nil {
		gateway.check(&caller, configuration)
	}
	return caller
}

// check decides on a caller by a configuration. Without a revocation bound, keys are accepted until this node hears of their withdrawal.
func (gateway *Gateway) check(caller *caller, configuration *config.Config) {
	bounds := access.Bounds{Propagation: maxSilence}
	proof := access.Proof{}.Extend(access.NewWord(gateway.deps.LeaderSeen(), 0, configuration.Revision()), configuration.Revision())
	decision := bounds.Check(configuration.Access(), proof, caller.request)
	caller.workspace, caller.hidesKey = decision.Workspace, configuration.Access().NeedsKeys()
	caller.refusal = refuseAccess(decision.Cause)
}

// refuseAccess returns the error for a cause, or nil.
func refuseAccess(cause access.Cause) error {
	switch cause {
	case access.CauseNone:
		return nil
	case access.CauseKeyMayBeNew:
		return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonKeysNotFresh,
			"no workspace has the key in a configuration that may be out of date")
	case access.CauseNoKey:
		return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonUnknownKey, "the request has no key")
	}
	return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonUnknownKey, "no workspace has the key")
}

// admit decides on a request for a model or service, and counts it.
func (gateway *Gateway) admit(caller *caller, isPublic bool) error {
	if !caller.hidesKey {
		return nil
	}
	if err := caller.refusal; err != nil && !isPublic {
		gateway.deps.Metrics.Tagged(map[string]string{"cause": string(celerylanding.ReasonOf(err))}).Counter("workspace_refused").Inc(1)
		return err
	}
	caller.isAdmitted = true
	gateway.deps.Metrics.Tagged(map[string]string{"workspace": string(caller.id())}).Counter("workspace_admitted").Inc(1)
	return nil
}

// refuse ends a request whose body has not been read.
func (gateway *Gateway) refuse(writer http.ResponseWriter, err error) {
	call := &call{id: newRequestID(), started: time.Now()}
	gateway.recordEnd(call, err)
	writeError(writer, call.id, err)
}

// recheck refuses a request whose key has been withdrawn or moved to another workspace while the request waited.
func (gateway *Gateway) recheck(call *call) error {
	configuration := gateway.deps.Dispatcher.View().Config
	if call.caller.workspace == nil || configuration == nil {
		return nil
	}
	now := call.caller
	gateway.check(&now, configuration)
	if now.refusal == nil && now.id() != call.caller.id() {
		return refuseAccess(access.CauseMoved)
	}
	return now.refusal
}

// id returns the name of the caller's workspace, or "".
func (caller *caller) id() celerylanding.WorkspaceID {
	if caller.workspace == nil {
		return ""
	}
	return caller.workspace.ID
}

// setHeader replaces the caller's key and the workspace that it names by its own workspace.
func (caller *caller) setHeader(header http.Header) {
	if !caller.hidesKey {
		return
	}
	header.Del(celerylanding.HeaderKey)
	header.Del(HeaderWorkspace)
	if id := caller.id(); id != "" {
		header.Set(HeaderWorkspace, string(id))
	}
}

// limitPriority makes a request no more urgent than its workspace.
func (call *call) limitPriority() {
	if workspace := call.caller.workspace; workspace != nil {
		call.priority = max(call.priority, celerylanding.Priority(workspace.Priority))
	}
}
