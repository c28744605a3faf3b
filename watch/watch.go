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
	// callTimeout bounds one question to the leader, which answers after 250 ms at the latest.
	callTimeout = 500 * time.Millisecond
	// searchTimeout bounds one question to a node that may lead, which answers at once.
	searchTimeout = 150 * time.Millisecond
	// retryPause is the time before the next control node is asked when one does not lead.
	retryPause = 40 * time.Millisecond
)

// ErrNoLeader means that no leader is known or that it did not answer as one.
var ErrNoLeader = celerylanding.Namespace.NewType("no_leader")

// Options say what is followed.
type Options struct {
	Peers *rpc.Peers
	// Seeds returns the addresses of nodes that may know the leader.
	Seeds func() []string
	// NextArgs returns what to ask for next.
	NextArgs func() feed.WatchArgs
	// Apply takes an answer of the leader.
	Apply func(reply *feed.WatchReply)
	// IsPaused reports whether nothing is to be followed now.
	IsPaused func() bool
	Log      zerolog.Logger
}

// Client keeps one node up to date.
type Client struct {
	options Options
	mutex   sync.Mutex
	leader  string
	members []string
}

// New returns a follower that knows no leader.
func New(options Options) *Client { return &Client{options: options} }

// Leader returns the address of the leader, or "" while none is known.
func (follower *Client) Leader() string {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.leader
}

// Run follows until the context ends.
func (follower *Client) Run(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		if follower.options.IsPaused != nil && follower.options.IsPaused() {
			pause(ctx, callTimeout)
			continue
		}
		address, timeout := follower.Leader(), callTimeout
		if address == "" {
			address, timeout = follower.candidate(turn), searchTimeout
			turn++
		}
		if address == "" || !follower.ask(ctx, address, timeout) {
			pause(ctx, retryPause)
		}
	}
	return nil
}

// candidate returns the next node to ask for the leader.
func (follower *Client) candidate(turn int) string {
	follower.mutex.Lock()
	addresses := append([]string(nil), follower.members...)
	follower.mutex.Unlock()
	addresses = append(addresses, follower.options.Seeds()...)
	if len(addresses) == 0 {
		return ""
	}
	return addresses[turn%len(addresses)]
}

// ask puts one question and reports whether the leader has answered.
func (follower *Client) ask(ctx context.Context, address string, timeout time.Duration) bool {
	asked, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args := follower.options.NextArgs()
	var reply feed.WatchReply
	err := follower.options.Peers.Call(asked, address, "Peer.Watch", &args, &reply)
	if err != nil || !reply.Leads {
		hint := reply.Leader
		if err != nil {
			hint = ""
		}
		follower.set(hint, reply.Members, address, err)
		return hint != "" && hint != address
	}
	follower.set(address, reply.Members, address, nil)
	follower.options.Apply(&reply)
	return true
}

func (follower *Client) set(leader string, members []string, asked string, err error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if leader == asked && err == nil {
		follower.adopt(leader)
	} else if follower.leader == asked || leader != "" {
		if follower.leader == asked {
			follower.options.Log.Warn().Str("leader", asked).Err(err).Msg("leader lost")
		}
		follower.leader = leader
	}
	if len(members) > 0 {
		follower.members = members
	}
}

func (follower *Client) adopt(leader string) {
	if follower.leader != leader {
		follower.options.Log.Info().Str("leader", leader).Msg("leader found")
	}
	follower.leader = leader
}

// Call runs a method on the leader.
func (follower *Client) Call(ctx context.Context, method string, args, reply any) error {
	leader := follower.Leader()
	if leader == "" {
		return ErrNoLeader.New("no leader is known")
	}
	return follower.options.Peers.Call(ctx, leader, method, args, reply)
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
