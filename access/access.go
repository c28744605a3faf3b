package access

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

// Bounds say for how long a router may decide by a configuration that may have been replaced.
type Bounds struct {
	// Revocation is the time after the acknowledgement of a configuration from which no request that is sent with a withdrawn key may run.
	// Zero means that keys are accepted until the router learns of their withdrawal.
	Revocation time.Duration
	// Propagation is the time after its acknowledgement within which a configuration comes into force; until then a new key may be refused.
	Propagation time.Duration
}

// Request is what the decision needs of a request.
type Request struct {
	// Received is when the whole request had arrived.
	Received time.Time
	// IsPublic is set if the request's route needs no key.
	IsPublic bool
	// Digest is that of the caller's key, if HasKey is set.
	Digest celerylanding.KeyDigest
	HasKey bool
}

// Cause says why a request is refused.
type Cause uint8

// The causes; the zero value means that the request is not refused.
const (
	// CauseNone means that the request may run.
	CauseNone Cause = iota
	// CauseNoKey means that the caller sent no key that can be read.
	CauseNoKey
	// CauseUnknownKey means that no workspace has the key.
	CauseUnknownKey
	// CauseKeyMayBeNew means that the router does not know the key, but may lack the configuration that contains it.
	CauseKeyMayBeNew
	// CauseNotFresh means that the key may have been withdrawn for longer than the revocation bound.
	CauseNotFresh
	// CauseMoved means that the key has moved to another workspace while the request waited.
	CauseMoved
)

// String returns the name that is used in metrics and log lines.
func (cause Cause) String() string {
	switch cause {
	case CauseNoKey:
		return "no_key"
	case CauseUnknownKey:
		return "unknown_key"
	case CauseKeyMayBeNew:
		return "key_may_be_new"
	case CauseNotFresh:
		return "not_fresh"
	case CauseMoved:
		return "key_moved"
	}
	return "none"
}

// IsFinal reports whether the same request would be refused by every router.
func (cause Cause) IsFinal() bool { return cause == CauseNoKey || cause == CauseUnknownKey }

// IsKeyUnknown reports whether the request comes without a key that the router knows.
func (cause Cause) IsKeyUnknown() bool { return cause.IsFinal() || cause == CauseKeyMayBeNew }

// Decision is the workspace of a request, or the cause of its refusal.
type Decision struct {
	// Workspace is nil if the configuration has no workspaces, and for a caller of a public route that has proved none.
	Workspace *routing.Workspace
	Cause     Cause
}

// Check decides on a request by the routes in force and the proof of their freshness.
func (bounds Bounds) Check(routes *routing.Table, proof Proof, request Request) Decision {
	if !routes.NeedsKeys() {
		return Decision{}
	}
	var workspace *routing.Workspace
	if request.HasKey {
		workspace = routes.WorkspaceOf(request.Digest)
	}
	isFresh := bounds.Revocation == 0 || proof.Covers(request.Received, bounds.Revocation)
	switch {
	case workspace != nil && isFresh:
		return Decision{Workspace: workspace}
	case request.IsPublic:
		return Decision{}
	case workspace != nil:
		return Decision{Cause: CauseNotFresh}
	case !proof.Covers(request.Received, bounds.Propagation):
		return Decision{Cause: CauseKeyMayBeNew}
	case request.HasKey:
		return Decision{Cause: CauseUnknownKey}
	}
	return Decision{Cause: CauseNoKey}
}

// Recheck decides again on a request that was allowed for a workspace, by the routes that are in force now.
func (bounds Bounds) Recheck(routes *routing.Table, proof Proof, request Request, before *routing.Workspace) Decision {
	decision := bounds.Check(routes, proof, request)
	if decision.Cause == CauseNone && before != nil && decision.Workspace != nil && decision.Workspace.ID != before.ID {
		return Decision{Cause: CauseMoved}
	}
	return decision
}
