package tunnel

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/reach"
)

const (
	// maxTries is the number of routers that are tried for one connection.
	maxTries = 3
	// ReuseTime is how long after its begin a connection is used for further requests. A router that stops keeps its connections for longer.
	ReuseTime = 2 * time.Second
	// silentTime is the time without a word from a router after which it is avoided although the request has ended.
	silentTime = 200 * time.Millisecond
	// settleInterval is the interval at which Settle looks at the results of probes.
	settleInterval = 30 * time.Millisecond
)

var (
	errNoRouter    = errors.New("no other router connects to the target")
	errUnreachable = errors.New("the target can't be reached")
)

// Dialer opens a connection, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions configure a client.
type ClientOptions struct {
	Tracker *reach.Tracker
	Peers   *reach.Peers
	// Dial connects to other routers.
	Dial Dialer
	// Timeout bounds the time to connect to a target through a router.
	Timeout time.Duration
	// Changed is called when the router loses or regains the targets.
	Changed func()
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Client connects to targets through other routers while this one reaches none.
type Client struct {
	options ClientOptions
	// wake starts a round of probes, and doubts receives targets of which it is not known whether they can be reached.
	wake   chan struct{}
	doubts chan string
}

// NewClient returns a client that knows no other routers.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, wake: make(chan struct{}, 1), doubts: make(chan string, 1)}
}

// IsCut reports whether this router reaches no target itself.
func (client *Client) IsCut() bool { return client != nil && client.options.Tracker.IsCut() }

// IsSuspected reports whether this router may be cut off, which is being found out.
func (client *Client) IsSuspected(now time.Time) bool {
	return client != nil && client.options.Tracker.IsSuspected(now)
}

// HasChangedSince reports whether this router has lost or regained the targets since a time.
func (client *Client) HasChangedSince(at time.Time) bool {
	return client != nil && client.options.Tracker.ChangedAt().After(at)
}

// IsStranded reports whether this router reaches no target, neither itself nor through another router.
func (client *Client) IsStranded(now time.Time) bool {
	return client.IsCut() && !client.options.Peers.HasUsable(now)
}

// SetPeers replaces the routers that reach targets; own is the address of this one.
func (client *Client) SetPeers(list []feed.Detour, own string) { client.options.Peers.Set(list, own) }

// RecordFailed records that a target could not be reached directly.
func (client *Client) RecordFailed(address string) {
	if client == nil {
		return
	}
	if client.options.Tracker.RecordFailed(client.options.Clock(), address) {
		client.options.Log.Warn().Str("target_address", address).Msg("this router reaches no target; it connects through other routers")
		client.recordChange(false)
	}
	select {
	case client.wake <- struct{}{}:
	default:
	}
}

// RecordDoubt records that a request had too little time for a connection to a target, which is then probed.
func (client *Client) RecordDoubt(address string) {
	if client == nil {
		return
	}
	select {
	case client.doubts <- address:
	default:
	}
}

// RecordConnected records that a direct connection to a target was made.
func (client *Client) RecordConnected(address string) {
	if client == nil {
		return
	}
	if client.options.Tracker.RecordConnected(client.options.Clock()) {
		client.options.Log.Info().Str("target_address", address).Msg("this router reaches targets again")
		client.recordChange(true)
	}
}

func (client *Client) recordChange(isConnected bool) {
	reached := 0.0
	if isConnected {
		reached = 1
	}
	client.options.Metrics.Gauge("reaches_targets").Update(reached)
	client.options.Metrics.Counter("reach_changes").Inc(1)
	client.options.Changed()
}

// Settle waits until it is known whether this router is cut off, and reports whether it reaches targets.
func (client *Client) Settle(ctx context.Context) bool {
	for client != nil && ctx.Err() == nil && client.IsSuspected(client.options.Clock()) {
		sleep(ctx, settleInterval)
	}
	return !client.IsCut()
}

// Dial connects to a target through another router. No byte is sent to the target unless it succeeds.
func (client *Client) Dial(caller context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(caller, client.options.Timeout)
	defer cancel()
	for range maxTries {
		via := client.options.Peers.Choose(client.options.Clock(), rand.IntN)
		if via == "" {
			break
		}
		// A router that says nothing leaves time for another one.
		tryCtx, endTry := context.WithTimeout(ctx, client.options.Timeout/2)
		began := client.options.Clock()
		conn, answer, err := client.dialThrough(tryCtx, via, address)
		endTry()
		outcome := answer.String()
		if err != nil {
			outcome = "unreachable"
		}
		client.options.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("detours").Inc(1)
		if conn != nil {
			return conn, nil
		}
		client.options.Peers.Release(via)
		now := client.options.Clock()
		if err != nil && ctx.Err() != nil && now.Sub(began) >= silentTime {
			client.options.Peers.Avoid(via, now.Add(reach.BusyTime))
		}
		if isFinal, failure := client.judge(ctx, now, via, answer, err); isFinal {
			return nil, fmt.Errorf("%s through %s: %w", address, via, failure)
		}
	}
	return nil, fmt.Errorf("%s: %w", address, errNoRouter)
}

// judge decides what follows from a connection that a router has not made: an error if no other router need be tried.
func (client *Client) judge(ctx context.Context, now time.Time, via string, answer status, err error) (isFinal bool, failure error) {
	switch {
	case ctx.Err() != nil:
		return true, ctx.Err()
	case err != nil || answer == statusCut:
		client.options.Peers.Avoid(via, now.Add(reach.AvoidTime))
	case answer == statusBusy:
		client.options.Peers.Avoid(via, now.Add(reach.BusyTime))
	case answer == statusRefused:
		return true, syscall.ECONNREFUSED
	case answer == statusFailed:
		return true, errUnreachable
	}
	return false, nil
}

// dialThrough connects through one router; the connection is nil unless the status says that the target is connected.
func (client *Client) dialThrough(ctx context.Context, via, address string) (*Conn, status, error) {
	dialed, err := client.options.Dial(ctx, "tcp", via)
	if err != nil {
		return nil, 0, err
	}
	stop := context.AfterFunc(ctx, func() { _ = dialed.SetDeadline(time.Unix(1, 0)) })
	answer, err := greet(dialed, address)
	isStopped := stop()
	tcp, isTCP := dialed.(*net.TCPConn)
	if err != nil || answer != statusConnected || !isStopped || !isTCP {
		setLinger(dialed, 0)
		_ = dialed.Close()
		if err == nil && !isStopped {
			err = ctx.Err()
		}
		return nil, answer, err
	}
	return newConn(tcp, via, func() { client.options.Peers.Release(via) }), answer, nil
}

func greet(conn net.Conn, address string) (status, error) {
	if err := writeGreeting(conn, address); err != nil {
		return 0, err
	}
	return readStatus(conn)
}

// Run probes targets while the router may be cut off or is, until the context ends; probe connects to one of them directly, which records the result.
// It always returns nil.
func (client *Client) Run(ctx context.Context, probe func(ctx context.Context, address string)) error {
	client.options.Metrics.Gauge("reaches_targets").Update(1)
	tracker := client.options.Tracker
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-client.wake:
		case address := <-client.doubts:
			// A failure is recorded and wakes this loop.
			probe(ctx, address)
			continue
		}
		for tracker.IsCut() || tracker.IsSuspected(client.options.Clock()) {
			probes := tracker.NextProbes(client.options.Clock(), rand.Perm)
			client.options.Metrics.Counter("reach_probes").Inc(int64(len(probes)))
			connectAll(ctx, probes, probe)
			if isOpen := tracker.IsCut() || tracker.IsSuspected(client.options.Clock()); isOpen && !sleep(ctx, reach.ProbeInterval) {
				return nil
			}
		}
	}
}

// connectAll probes the targets at the same time and waits for the results.
func connectAll(ctx context.Context, addresses []string, probe func(ctx context.Context, address string)) {
	var probes sync.WaitGroup
	for _, address := range addresses {
		probes.Add(1)
		go func() {
			defer probes.Done()
			probe(ctx, address)
		}()
	}
	probes.Wait()
}

// sleep waits for a time; it returns false if the context ends first.
func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
