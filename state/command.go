package state

import (
	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
)

// Command is the payload of one control log entry; exactly one of its fields is set.
type Command struct {
	Submit       *Submit       `cbor:"1,keyasint,omitempty"`
	Register     *Register     `cbor:"2,keyasint,omitempty"`
	Deregister   *Deregister   `cbor:"3,keyasint,omitempty"`
	Place        *Place        `cbor:"4,keyasint,omitempty"`
	Advance      *Advance      `cbor:"5,keyasint,omitempty"`
	Adopt        *Adopt        `cbor:"6,keyasint,omitempty"`
	GrantLease   *GrantLease   `cbor:"7,keyasint,omitempty"`
	Claim        *Claim        `cbor:"8,keyasint,omitempty"`
	SettleClaim  *SettleClaim  `cbor:"9,keyasint,omitempty"`
	ReleaseClaim *ReleaseClaim `cbor:"10,keyasint,omitempty"`
}

// Submit puts a configuration in force.
type Submit struct {
	Document config.Document `cbor:"1,keyasint"`
}

// Register records an incarnation of a target and counts the models that it already holds.
type Register struct {
	Target    Target                      `cbor:"1,keyasint"`
	Inventory []celerylanding.LoadedModel `cbor:"2,keyasint,omitempty"`
}

// Target holds the attributes of one incarnation of a target. Only Leaving, Role and an increase of Memory are expected to change.
type Target struct {
	ID          celerylanding.TargetID      `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation   `cbor:"2,keyasint"`
	Domain      celerylanding.FailureDomain `cbor:"3,keyasint"`
	Group       string                      `cbor:"4,keyasint"`
	Address     string                      `cbor:"5,keyasint"`
	Kind        celerylanding.TargetKind    `cbor:"6,keyasint"`
	Memory      celerylanding.Bytes         `cbor:"7,keyasint"`
	Fencing     bool                        `cbor:"8,keyasint"`
	Leaving     bool                        `cbor:"9,keyasint"`
	Role        celerylanding.Role          `cbor:"10,keyasint,omitempty"`
}

// Deregister records that an incarnation of a target is permanently gone.
type Deregister struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
}

// Place creates a replica; its order number derives from the log index.
type Place struct {
	Model       celerylanding.ModelID     `cbor:"1,keyasint"`
	Target      celerylanding.TargetID    `cbor:"2,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint"`
}

// Advance applies an event to a replica's state chart.
type Advance struct {
	Order celerylanding.OrderNumber `cbor:"1,keyasint"`
	Event string                    `cbor:"2,keyasint"`
	// Fence is the fencing token of the executor's lease; zero for a decision of the leader.
	Fence celerylanding.FencingToken `cbor:"3,keyasint"`
	// Cause is the reason of a failed load, for operators.
	Cause string `cbor:"4,keyasint,omitempty"`
}

// Adopt counts a model that was found on a target and has no replica in the state.
type Adopt struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Model       celerylanding.ModelID     `cbor:"3,keyasint"`
	Bytes       celerylanding.Bytes       `cbor:"4,keyasint"`
}

// GrantLease grants a failure domain's executor lease to a holder if the current fencing token is ExpectedFence.
type GrantLease struct {
	Domain        celerylanding.FailureDomain `cbor:"1,keyasint"`
	Holder        string                      `cbor:"2,keyasint"`
	ExpectedFence celerylanding.FencingToken  `cbor:"3,keyasint"`
}

// Claim reserves an idempotency key.
type Claim struct {
	Service     celerylanding.ServiceID `cbor:"1,keyasint"`
	Key         string                  `cbor:"2,keyasint"`
	Fingerprint uint64                  `cbor:"3,keyasint"`
	Owner       string                  `cbor:"4,keyasint"`
	// TimeMillis is the proposer's wall clock time in milliseconds since the Unix epoch.
	TimeMillis int64 `cbor:"5,keyasint"`
}

// SettleClaim records the response to the request with an idempotency key.
type SettleClaim struct {
	Service  celerylanding.ServiceID        `cbor:"1,keyasint"`
	Key      string                         `cbor:"2,keyasint"`
	Owner    string                         `cbor:"3,keyasint"`
	Response celerylanding.RecordedResponse `cbor:"4,keyasint"`
}

// ReleaseClaim releases an idempotency key whose request has not run.
type ReleaseClaim struct {
	Service celerylanding.ServiceID `cbor:"1,keyasint"`
	Key     string                  `cbor:"2,keyasint"`
	Owner   string                  `cbor:"3,keyasint"`
}

// ordersPerEntry is the number of order numbers that one log entry can assign.
const ordersPerEntry = 1 << 16

// OrderAt returns the order number of the n-th replica, counted from zero, that the entry at the log index creates.
func OrderAt(index uint64, n int) celerylanding.OrderNumber {
	return celerylanding.OrderNumber(index*ordersPerEntry + uint64(n))
}

// Code is the outcome class of a command.
type Code uint8

// The outcome codes of a command.
const (
	// CodeAccepted means that the command changed the state.
	CodeAccepted Code = iota + 1
	// CodeUnchanged means that the state already was as the command requests.
	CodeUnchanged
	// CodeRefused means that the command is invalid in this state and changed nothing.
	CodeRefused
)

// Result is the outcome of a command, the same on every member.
type Result struct {
	Code   Code   `cbor:"1,keyasint"`
	Index  uint64 `cbor:"2,keyasint"`
	Detail string `cbor:"3,keyasint,omitempty"`
	// Number and Digest identify, for a submission, the revision that it became or conflicts with.
	Number uint64        `cbor:"4,keyasint,omitempty"`
	Digest config.Digest `cbor:"5,keyasint,omitempty"`
	// Claim and Response are, for a claim, the state of the idempotency key and the recorded response.
	Claim    celerylanding.ClaimState        `cbor:"6,keyasint,omitempty"`
	Response *celerylanding.RecordedResponse `cbor:"7,keyasint,omitempty"`
}
