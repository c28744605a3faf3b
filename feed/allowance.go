package feed

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// AllowanceRequest is what one router asks for one workspace.
type AllowanceRequest struct {
	Workspace celerylanding.WorkspaceID `cbor:"1,keyasint"`
	// Wanted is the number of units that the router needs beyond those that it holds.
	Wanted float64 `cbor:"2,keyasint,omitempty"`
	// Returned is the number of granted units that the router gives back unused.
	Returned float64 `cbor:"3,keyasint,omitempty"`
	// Demand is the number of units per second that callers ask of the router.
	Demand float64 `cbor:"4,keyasint,omitempty"`
}

// AllowanceArgs ask the leader for parts of the allowances of workspaces.
type AllowanceArgs struct {
	Node     celerylanding.NodeID `cbor:"1,keyasint"`
	Requests []AllowanceRequest   `cbor:"2,keyasint"`
}

// AllowanceGrant is the part of a workspace's allowance that a router may use.
type AllowanceGrant struct {
	Workspace celerylanding.WorkspaceID `cbor:"1,keyasint"`
	Units     float64                   `cbor:"2,keyasint,omitempty"`
	// TTL is the time for which the router may use the units, counted from the sending of its request.
	TTL time.Duration `cbor:"3,keyasint,omitempty"`
	// Wait is the expected time until more can be granted, if not all that was wanted could be.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
}

// AllowanceReply holds the leader's grants.
type AllowanceReply struct {
	Leads  bool             `cbor:"1,keyasint"`
	Grants []AllowanceGrant `cbor:"2,keyasint,omitempty"`
}
