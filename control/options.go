package control

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/quorum/wal"
	"celerylanding.example/celerylanding/throttle"
)

// FencingToken is the fencing token of a leader's orders: the leader's term, so that a later leader has a higher one.
type FencingToken = celerylanding.FencingToken

// EngineClient sends orders to model engines and inspects them.
type EngineClient interface {
	// Send sends one order and returns its outcome.
	Send(ctx context.Context, now time.Time, order loadplan.Order, holder string, fence FencingToken) loadplan.Outcome
	// Inspect returns the state that the engine reports, or an error if it reports none.
	Inspect(ctx context.Context, now time.Time, endpoint celerylanding.Endpoint) (*loadplan.Report, error)
}

// Options configures a control node.
type Options struct {
	Node       celerylanding.NodeID
	Domain     celerylanding.FailureDomain
	DataFolder string
	// Files is the file system that holds the log; nil means that of the operating system.
	Files wal.Files
	// Peers is the listener for calls from other nodes.
	Peers net.Listener
	// Dial opens a connection to another node; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Seeds returns the peer addresses of control nodes that may know the leader.
	Seeds func() []string
	// Bootstrap is set at the first start of the whole system; it allows seeds to create the log.
	Bootstrap bool
	// MaxVoters is the largest number of voters; odd.
	MaxVoters int
	// Fencing is set when engines reject orders with a lower fencing token than the highest they have seen.
	Fencing bool
	// LeaseTime is the shortest time between the orders of two successive leaders.
	LeaseTime time.Duration
	// TargetSilence is how long a target may send no heartbeat before it gets no new work.
	TargetSilence time.Duration
	// MaxDirectRouters is the number of routers up to which all watch the leader; with more, they watch the control nodes of their own
	// failure domains, which relay its state.
	MaxDirectRouters int
	// Quotas are the bounds on the use of the quotas of workspaces.
	Quotas  throttle.QuotaBounds
	Engines EngineClient
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
	// Seed seeds all random choices.
	Seed uint64
}

func (options *Options) files() wal.Files {
	if options.Files == nil {
		return wal.SystemFiles{}
	}
	return options.Files
}
