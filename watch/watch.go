package watch

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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

// relayRetryDelay is how long a relay that did not answer is avoided.
const relayRetryDelay = 3 * time.Second

// Options configure a client.
type Options struct {
	// Node and Domain are those of the watching node. They decide which relay it watches where the leader names relays.
	Node   celerylanding.NodeID
	Domain celerylanding.FailureDomain
	// Direct is set for a node that watches only the leader, which Seeds then returns.
	Direct bool
	// Clock returns the current time.
	Clock func() time.Time
	Peers *rpc.Peers
	// Seeds returns the addresses of nodes to ask for the leader.
	Seeds func() []string
	// NextArgs returns the arguments of the next watch request.
	NextArgs func() feed.WatchArgs
	// Apply handles a reply with the leader's state; sent is a time before the request was sent.
	Apply func(sent time.Time, reply *feed.WatchReply)
	// IsPaused reports whether the client must send no requests now; nil means never.
	IsPaused func() bool
	Log      zerolog.Logger
}

// Client watches the leader for one node, directly or through a relay.
type Client struct {
	options Options
	mutex   sync.Mutex
	leader  string
	members []string
	// source is the node whose replies hold the leader's state, or "" while none is known.
	source string
	// avoided maps relays that did not answer to when they are asked again.
	avoided map[string]time.Time
}

// New returns a client that has not found a leader yet.
func New(options Options) *Client {
	return &Client{options: options, avoided: make(map[string]time.Time)}
}

// Leader returns the address of the leader, or "" while none is known.
func (client *Client) Leader() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.leader
}

// Source returns the address of the node that the client watches, or "" while it searches.
func (client *Client) Source() string {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.source
}

// Run watches the leader until the context ends, and searches for it while it is unknown; it always returns nil.
func (client *Client) Run(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		if client.options.IsPaused != nil && client.options.IsPaused() {
			sleep(ctx, retryDelay)
			continue
		}
		address, timeout := client.target(), callTimeout
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

// target returns the address of the node to watch, or "" while none is known.
func (client *Client) target() string {
	if seeds := client.options.Seeds(); client.options.Direct && len(seeds) > 0 {
		return seeds[0]
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.source != "" {
		return client.source
	}
	return client.leader
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

// watchOnce sends one watch request. It reports whether the next one follows without delay: after a reply with the leader's state, or when
// the reply names another node as the leader.
func (client *Client) watchOnce(ctx context.Context, address string, timeout time.Duration) bool {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := client.options.Clock()
	args := client.options.NextArgs()
	var reply feed.WatchReply
	err := client.options.Peers.Call(callCtx, address, "Peer.Watch", &args, &reply)
	if err == nil && reply.IsState() {
		client.recordState(address, &reply)
		client.options.Apply(sent, &reply)
		return true
	}
	return client.recordFailure(address, &reply, err)
}

// recordState updates the known leader, members and relays after a reply with the leader's state.
func (client *Client) recordState(address string, reply *feed.WatchReply) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.members = reply.Members
	leader := reply.Leader
	if reply.Leads {
		leader = address
	}
	if client.leader != leader {
		client.options.Log.Info().Str("leader", leader).Msg("leader found")
	}
	client.leader = leader
	source := leader
	if !client.options.Direct {
		if relay := ChooseRelay(client.options.Clock(), client.options.Node, client.options.Domain, reply.Relays, client.avoided); relay != "" {
			source = relay
		}
	}
	if source != client.source {
		client.options.Log.Info().Str("source", source).Bool("relay", source != leader).Msg("feed source changed")
	}
	client.source = source
}

// recordFailure updates the known nodes after a request to the address that failed with an error or was answered without the leader's
// state. It reports whether the reply names another leader.
func (client *Client) recordFailure(address string, reply *feed.WatchReply, err error) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	wasSource := client.source == address
	if wasSource {
		client.source = ""
		if address != client.leader {
			client.avoided[address] = client.options.Clock().Add(relayRetryDelay)
			client.options.Log.Warn().Str("relay", address).Err(err).Msg("relay lost")
		}
	}
	if err == nil && len(reply.Members) > 0 {
		client.members = reply.Members
	}
	if address == client.leader {
		client.options.Log.Warn().Str("leader", address).Err(err).Msg("leader lost")
		client.leader = ""
	}
	if err != nil || reply.Leader == "" || reply.Leader == address {
		return false
	}
	client.leader = reply.Leader
	return true
}

// ChooseRelay returns the address of the relay that a node watches: one of its own failure domain if there is one, chosen by a hash, so that
// the nodes of a domain are spread over its relays and each keeps its choice. Relays are left out until their time in avoided.
// It returns "" if there is none.
func ChooseRelay(now time.Time, node celerylanding.NodeID, domain celerylanding.FailureDomain, relays []feed.RelayAddress,
	avoided map[string]time.Time) string {
	var best feed.RelayAddress
	var highest uint64
	for _, relay := range relays {
		if now.Before(avoided[relay.Address]) {
			continue
		}
		rank := xxhash.Sum64String(relay.Address + "\x00" + string(node))
		isNearer := relay.Domain == domain && best.Domain != domain
		isFarther := relay.Domain != domain && best.Domain == domain && best.Address != ""
		if best.Address == "" || isNearer || (!isFarther && rank > highest) {
			best, highest = relay, rank
		}
	}
	return best.Address
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
