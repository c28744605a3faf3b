package celerylanding

import (
	"context"
	"time"
)

// OrderClient gives orders to model engines and reads their inventory.
type OrderClient interface {
	// Send gives the order and waits until the engine has carried it out.
	Send(ctx context.Context, endpoint Endpoint, order Order) error
	// Inventory returns what the engine holds now.
	Inventory(ctx context.Context, endpoint Endpoint) ([]LoadedModel, error)
	// Fence makes the engine refuse orders with a lower fencing number.
	Fence(ctx context.Context, endpoint Endpoint, fence FencingToken) error
}

// ClaimState is what is known of an idempotency key.
type ClaimState int

// The states of a claim.
const (
	// ClaimGranted means that this claim is the first one and its owner may dispatch the request.
	ClaimGranted ClaimState = iota
	// ClaimInProgress means that another owner holds the key and its outcome is not recorded.
	ClaimInProgress
	// ClaimSettled means that the answer is recorded.
	ClaimSettled
	// ClaimMismatch means that the key was used with another request.
	ClaimMismatch
	// ClaimAbandoned means that the key was released unrun and this claim takes it over.
	ClaimAbandoned
)

// Claim reserves an idempotency key for one request.
type Claim struct {
	Service     ServiceID
	Key         string
	Fingerprint uint64
	Owner       string
}

// RecordedAnswer is the stored answer to a request with an idempotency key.
type RecordedAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Truncated is set when the body was too large to record.
	Truncated bool `cbor:"4,keyasint"`
}

// ClaimStore keeps idempotency keys in the replicated state.
type ClaimStore interface {
	// Claim reserves the key or returns what is known of it; an error means that nothing was dispatched.
	Claim(ctx context.Context, claim Claim) (ClaimState, RecordedAnswer, error)
	// Settle records the answer of a claim that this owner holds.
	Settle(ctx context.Context, claim Claim, answer RecordedAnswer) error
	// Release gives up a claim whose request has not run.
	Release(ctx context.Context, claim Claim) error
}

// Isolation keeps requests that were in flight on a target that died apart from each other on all nodes.
type Isolation interface {
	// Reserve reserves the target for one such request until the deadline; it is false when another one holds it.
	Reserve(ctx context.Context, endpoint Endpoint, fingerprint uint64, deadline time.Time) bool
	// Release ends the reservation.
	Release(ctx context.Context, endpoint Endpoint, fingerprint uint64)
}

// Event is one entry of the time line.
type Event struct {
	Kind    string
	Request string
	Model   ModelID
	Target  TargetID
	Detail  string
}

// Recorder takes the events of one process for the time line.
type Recorder interface {
	Record(now time.Time, event Event)
}

// DemandReport tells the placement what one node's callers wait for and use.
type DemandReport struct {
	Model    ModelID `cbor:"1,keyasint"`
	Waiting  int     `cbor:"2,keyasint"`
	InFlight int     `cbor:"3,keyasint"`
	// Arrivals counts the requests since the last report.
	Arrivals int `cbor:"4,keyasint"`
	// MaxWait is the longest time that a waiting request still has.
	MaxWait time.Duration `cbor:"5,keyasint"`
}
