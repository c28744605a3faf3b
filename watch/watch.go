package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

const (
	// callTimeout is the timeout of one watch request to the leader, which holds the request for at most 250 ms.
	callTimeout = 500 * time.Millisecond
	// searchTimeout is the timeout of one request to a node that may be the leader, which answers at once.
	searchTimeout = 150 * time.Millisecond
	// retryDelay is the delay before the next control node is asked after one that does not lead.
	retryDelay = 40 * time.Millisecond
)

// ErrNoLeader means that no leader is known, or that the asked node no longer leads.
var ErrNoLeader = celerylanding.ErrorNamespace.NewType("no_leader")

// ErrBusy means that the leader had no time for a request.
var ErrBusy = celerylanding.ErrorNamespace.NewType("leader_busy")

// Options configure a client.
type Options struct {
	Peers *rpc.Peers
	// Seeds returns the addresses of nodes to ask for the leader.
	Seeds func() []string
	// NextArgs returns the arguments of the next watch request.
	NextArgs func() feed.WatchArgs
	// Apply handles a reply of the leader.
	Apply func(reply *feed.WatchReply)
	// IsPaused reports whether the client must send no requests now; nil means never.
	IsPaused func() bool
	Log      zerolog.Logger
}

// Client watches the leader for one node.
type Client struct {
	options Options
	mutex   sync.Mutex
	leader  string
	members []string
}

// New returns a client that has not found a leader yet.
func New(options Options) *Client { return &Client{options: options} }

// Leader returns the address of the leader, or "" while none is known.
func (client *Client) Leader() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.leader
}

// Run watches the leader until the context ends, and searches for the leader while none is known; it always returns nil.
func (client *Client) Run(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		if client.options.IsPaused != nil && client.options.IsPaused() {
			sleep(ctx, callTimeout)
			continue
		}
		address, timeout := client.Leader(), callTimeout
		if address == "" {
			address, timeout = client.candidate(turn), searchTimeout
			turn++
		}
		if address == "" || !client.watchOnce(ctx, address, timeout) {
			sleep(ctx, retryDelay)
		}
	}
	return nil
}

// candidate returns the address of the next node to ask for the leader, or "" if there is none.
func (client *Client) candidate(turn int) string {
	client.mutex.Lock()
	addresses := append([]string(nil), client.members...)
	client.mutex.Unlock()
	addresses = append(addresses, client.options.Seeds()...)
	if len(addresses) == 0 {
		return ""
	}
	return addresses[turn%len(addresses)]
}

// watchOnce sends one watch request. It reports whether the next one follows without delay: after a reply of the leader, or when the reply
// names another node as the leader.
func (client *Client) watchOnce(ctx context.Context, address string, timeout time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args := client.options.NextArgs()
	var reply feed.WatchReply
	err := client.options.Peers.Call(callCtx, address, "Peer.Watch", &args, &reply)
	if err != nil || !reply.Leads {
		hint := reply.Leader
		if err != nil {
			hint = ""
		}
		client.recordReply(hint, reply.Members, address, err)
		return hint != "" && hint != address
	}
	client.recordReply(address, reply.Members, address, nil)
	client.options.Apply(&reply)
	return true
}

// recordReply updates the known leader and members after a request to the address; err is the error of the request.
func (client *Client) recordReply(leader string, members []string, address string, err error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if leader == address && err == nil {
		client.setLeader(leader)
	} else if client.leader == address || leader != "" {
		if client.leader == address {
			client.options.Log.Warn().Str("leader", address).Err(err).Msg("leader lost")
		}
		client.leader = leader
	}
	if len(members) > 0 {
		client.members = members
	}
}

func (client *Client) setLeader(leader string) {
	if client.leader != leader {
		client.options.Log.Info().Str("leader", leader).Msg("leader found")
	}
	client.leader = leader
}

// Call calls an RPC method on the leader; without a known leader, it returns ErrNoLeader.
func (client *Client) Call(ctx context.Context, method string, args, reply any) error {
	leader := client.Leader()
	if leader == "" {
		return ErrNoLeader.New("no leader is known")
	}
	return client.options.Peers.Call(ctx, leader, method, args, reply)
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
