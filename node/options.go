package node

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
)

// Listeners are the sockets of the planes; load on one never takes connections from another one.
type Listeners struct {
	Callers   net.Listener
	Targets   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Timing holds the times that all nodes of a site share.
type Timing struct {
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	LeaseTTL        time.Duration
	MaxClockDrift   time.Duration
	OrderTimeout    time.Duration
	// TargetSilence is how long a target may stay silent before it gets no new work.
	TargetSilence     time.Duration
	FirstByteTimeout  time.Duration
	InterTokenTimeout time.Duration
	// DrainNotice is how long a stopping node goes on accepting while the balancer takes notice.
	DrainNotice time.Duration
	// DrainTimeout bounds the whole drain.
	DrainTimeout time.Duration
}

// DefaultTiming returns the times for VMs that are a few milliseconds apart.
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

// Options describe one node.
type Options struct {
	ID     celerylanding.NodeID
	Domain celerylanding.FailureDomain
	// DataFolder holds the control log; without one the node never votes.
	DataFolder string
	// Advertise is where other nodes reach the peers' listener; the default is the listener's own address.
	Advertise string
	// Peers are the addresses of nodes that may know the leader.
	Peers         []string
	MaxVoters     int
	SnapshotCount int
	Listeners     Listeners
	Timing        Timing
	PeerTLS       func() *tls.Config
	Log           zerolog.Logger
	// Timeline takes the events of this process; it must be safe for concurrent use.
	Timeline io.Writer
	// Seed is the source of all random choices.
	Seed uint64
}
