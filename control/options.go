package control

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/waking"
)

// Fence is the number under which a leader gives orders; a later leader has a higher one.
type Fence = celerylanding.Fence

// EngineClient gives orders to model engines and asks them about themselves.
type EngineClient interface {
	// Send gives one order and tells what became of it.
	Send(ctx context.Context, now time.Time, order waking.Order, holder string, fence Fence) waking.Outcome
	// Inspect returns the engine's account of itself, or an error when it gives none.
	Inspect(ctx context.Context, now time.Time, endpoint celerylanding.Endpoint) (*waking.Report, error)
}

// Options describe one control node.
type Options struct {
	Node       celerylanding.NodeID
	Domain     celerylanding.FailureDomain
	DataFolder string
	// Peers is the listener for other nodes.
	Peers net.Listener
	// Seeds returns the peer addresses of control nodes that may know the leader.
	Seeds func() []string
	// Bootstrap is set when the whole system starts for the first time.
	Bootstrap bool
	// MaxVoters is the largest number of voters, odd.
	MaxVoters int
	// Fencing is set when engines refuse orders with a lower fence than they have seen.
	Fencing bool
	// LeaseTime is the time within which two holders must not take turns in giving orders.
	LeaseTime time.Duration
	// TargetSilence is how long a target may stay silent before it gets no new work.
	TargetSilence time.Duration
	Engines       EngineClient
	Clock         func() time.Time
	Log           zerolog.Logger
	Metrics       tally.Scope
	// Seed is the source of all random choices.
	Seed uint64
}
