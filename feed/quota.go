package feed

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

// QuotaRequest is what one router asks for one workspace.
type QuotaRequest struct {
	Workspace celerylanding.WorkspaceID `cbor:"1,keyasint"`
	// Wanted is the number of units that the router would use soon, beyond those that it holds.
	Wanted float64 `cbor:"2,keyasint,omitempty"`
	// Returned is the number of granted units that the router gives back unused.
	Returned float64 `cbor:"3,keyasint,omitempty"`
	// Demand is the number of units per second that callers ask of the router.
	Demand float64 `cbor:"4,keyasint,omitempty"`
	// Needed is the part of Wanted that requests wait for, and Least the part of Needed without which none of them can be sent.
	Needed float64 `cbor:"5,keyasint,omitempty"`
	Least  float64 `cbor:"6,keyasint,omitempty"`
	// Held is the number of units that the leader of the term in the arguments has granted and that may still be used. It excludes Returned, and
	// includes the units of requests that were not sent yet.
	Held float64 `cbor:"7,keyasint,omitempty"`
	// Unit is what the router counts.
	Unit routing.QuotaUnit `cbor:"8,keyasint,omitempty"`
}

// QuotaArgs ask the leader for parts of the quotas of workspaces.
type QuotaArgs struct {
	Node     celerylanding.NodeID `cbor:"1,keyasint"`
	Requests []QuotaRequest       `cbor:"2,keyasint"`
	// Process identifies this start of the router's process, and Sequence rises with each of its calls.
	Process  uint64 `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	// Term is the term of the leader that granted what the router last received.
	Term uint64 `cbor:"5,keyasint,omitempty"`
}

// QuotaGrant is the part of a workspace's quota that a router may use.
type QuotaGrant struct {
	Workspace celerylanding.WorkspaceID `cbor:"1,keyasint"`
	Units     float64                   `cbor:"2,keyasint,omitempty"`
	// TTL is the time for which the router may use the units, counted from the sending of its request.
	TTL time.Duration `cbor:"3,keyasint,omitempty"`
	// Wait is the expected time until what is needed can be granted, if it could not be.
	Wait time.Duration `cbor:"4,keyasint,omitempty"`
	// Rate is the number of units per second that the router can get while callers ask for more than the quota; otherwise it is 0.
	Rate float64 `cbor:"5,keyasint,omitempty"`
}

// QuotaReply holds the leader's grants.
type QuotaReply struct {
	Leads  bool         `cbor:"1,keyasint"`
	Grants []QuotaGrant `cbor:"2,keyasint,omitempty"`
	Term   uint64       `cbor:"3,keyasint,omitempty"`
}
