package celerylanding

import (
	"context"
	"time"
)

// OrderClient sends orders to model engines and reads their inventory.
type OrderClient interface {
	// Send sends the order and waits until the engine has executed it.
	Send(ctx context.Context, endpoint Endpoint, order Order) error
	// Inventory returns the models that the engine currently holds.
	Inventory(ctx context.Context, endpoint Endpoint) ([]LoadedModel, error)
	// Fence makes the engine refuse orders with a lower fencing token.
	Fence(ctx context.Context, endpoint Endpoint, fence FencingToken) error
}

// ClaimState is the state of an idempotency key as a claim finds it.
type ClaimState int

// The states of an idempotency key.
const (
	// ClaimGranted means that this claim is the first one and its owner may dispatch the request.
	ClaimGranted ClaimState = iota
	// ClaimInProgress means that another owner holds the key and no response is recorded yet.
	ClaimInProgress
	// ClaimSettled means that the response is recorded.
	ClaimSettled
	// ClaimMismatch means that the key was used with a different request.
	ClaimMismatch
	// ClaimAbandoned means that an earlier owner released the key without running its request and that this claim takes it over.
	ClaimAbandoned
)

// Claim reserves an idempotency key for one request, which its fingerprint identifies.
type Claim struct {
	Service     ServiceID
	Key         string
	Fingerprint uint64
	Owner       string
}

// RecordedResponse is the stored response to a request with an idempotency key.
type RecordedResponse struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Truncated is set when the body was too large to record.
	Truncated bool `cbor:"4,keyasint"`
}

// ClaimStore keeps idempotency keys in the replicated state.
type ClaimStore interface {
	// Claim reserves the key or returns its state and recorded response; an error means that the request was not dispatched.
	Claim(ctx context.Context, claim Claim) (ClaimState, RecordedResponse, error)
	// Settle records the response for a claim that this owner holds.
	Settle(ctx context.Context, claim Claim, response RecordedResponse) error
	// Release releases a claim whose request has not run.
	Release(ctx context.Context, claim Claim) error
}

// Isolation limits each target to one suspect request at a time, across all nodes. A request is a suspect if it was in flight on a target
// when that target died.
type Isolation interface {
	// Reserve reserves the target for one suspect until the deadline; it returns false if the target is reserved for another one.
	Reserve(ctx context.Context, endpoint Endpoint, fingerprint uint64, deadline time.Time) bool
	// Release ends the reservation.
	Release(ctx context.Context, endpoint Endpoint, fingerprint uint64)
}

// Event is one entry of the timeline.
type Event struct {
	Kind    string
	Request string
	Model   ModelID
	Target  TargetID
	Detail  string
}

// Recorder records the events of one process in its timeline.
type Recorder interface {
	Record(now time.Time, event Event)
}

// DemandReport is one node's demand for a model, which placement decides on.
type DemandReport struct {
	Model    ModelID `cbor:"1,keyasint"`
	Waiting  int     `cbor:"2,keyasint"`
	InFlight int     `cbor:"3,keyasint"`
	// Arrivals counts the requests since the last report.
	Arrivals int `cbor:"4,keyasint"`
	// MaxWait is the longest time that any waiting request has left until its deadline.
	MaxWait time.Duration `cbor:"5,keyasint"`
}
