package node

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
)

// Listeners has one socket for each kind of client, so that the load of one kind never takes connections from another.
type Listeners struct {
	Callers   net.Listener
	Targets   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Timing holds the timeouts and intervals that all nodes of a site share.
type Timing struct {
	// Heartbeat is the time between two messages of the leader of the control log to a voter.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest silence of a leader after which a voter starts an election.
	ElectionTimeout time.Duration
	// LeaseTTL is how long an executor lease lasts without a renewal.
	LeaseTTL time.Duration
	// MaxClockDrift is the largest drift between two clocks during one lease.
	MaxClockDrift time.Duration
	// OrderTimeout bounds one order to a target.
	OrderTimeout time.Duration
	// TargetSilence is the time without a heartbeat after which a target gets no new work.
	TargetSilence time.Duration
	// FirstByteTimeout bounds the wait for the first byte of an engine's response.
	FirstByteTimeout time.Duration
	// InterTokenTimeout bounds the silence within a streamed response.
	InterTokenTimeout time.Duration
	// DrainNotice is how long a draining node still accepts requests, so that the load balancer can take it out of rotation.
	DrainNotice time.Duration
	// DrainTimeout bounds the whole drain.
	DrainTimeout time.Duration
}

// DefaultTiming returns the timing for VMs that are a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:         100 * time.Millisecond,
		ElectionTimeout:   time.Second,
		LeaseTTL:          3 * time.Second,
		MaxClockDrift:     200 * time.Millisecond,
		OrderTimeout:      120 * time.Second,
		TargetSilence:     4 * time.Second,
		FirstByteTimeout:  30 * time.Second,
		InterTokenTimeout: 10 * time.Second,
		DrainNotice:       3 * time.Second,
		DrainTimeout:      10 * time.Minute,
	}
}

// Options configures one node.
type Options struct {
	ID     celerylanding.NodeID
	Domain celerylanding.FailureDomain
	// DataFolder holds the control log; a node without one never votes.
	DataFolder string
	// Advertise is the address at which other nodes reach the peer listener; it defaults to the listener's own address.
	Advertise string
	// Peers are the addresses of nodes that may know the leader; a new node joins through them.
	Peers []string
	// MaxVoters is the largest number of voters of the control log.
	MaxVoters int
	// SnapshotCount is the number of applied commands after which the control log is compacted into a snapshot.
	SnapshotCount int
	Listeners     Listeners
	Timing        Timing
	// PeerTLS returns the TLS configuration for connections to other nodes; nil means plain TCP.
	PeerTLS func() *tls.Config
	Log     zerolog.Logger
	// Timeline receives the events of this process; it must be safe for concurrent use.
	Timeline io.Writer
	// Seed seeds all random choices and identifies this start of the process.
	Seed uint64
}
