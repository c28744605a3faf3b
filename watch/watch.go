package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// pausePoll is the time between two looks at whether a paused client may go on.
const pausePoll = 40 * time.Millisecond

// ErrNoLeader means that no leader is known, or that the asked node no longer leads.
var ErrNoLeader = celerylanding.ErrorNamespace.NewType("no_leader")

// ErrBusy means that the leader had no time for a request.
var ErrBusy = celerylanding.ErrorNamespace.NewType("leader_busy")

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
	// NextArgs returns the arguments of the next watch request; it is called by one goroutine.
	NextArgs func() feed.WatchArgs
	// Apply handles a reply with the leader's state; sent is a time before the request was sent. It is called by the goroutine that calls NextArgs.
	Apply func(sent time.Time, reply *feed.WatchReply)
	// IsPaused reports whether the client must send no requests now; nil means never.
	IsPaused func() bool
	Log      zerolog.Logger
}

// Client watches the leader for one node, directly or through a relay.
type Client struct {
	options  Options
	finder   *Finder
	outcomes chan outcome
	// term is that of the last state, and seenAt when it was known.
	term   uint64
	seenAt time.Time

	mutex          sync.Mutex
	leader, source string
}

// outcome is the end of a request.
type outcome struct {
	request Request
	sent    time.Time
	reply   *feed.WatchReply
	err     error
}

// New returns a client that has not found a leader yet.
func New(options Options) *Client {
	return &Client{options: options, finder: NewFinder(options.Node, options.Domain, options.Direct), outcomes: make(chan outcome),
		seenAt: options.Clock()}
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
	calls := tasks.New(ctx)
	defer func() { <-calls.Close() }()
	for ctx.Err() == nil {
		wait := pausePoll
		if client.options.IsPaused == nil || !client.options.IsPaused() {
			var requests []Request
			requests, wait = client.finder.Next(client.options.Clock(), client.options.Seeds())
			for _, request := range requests {
				client.send(calls, request)
			}
		}
		timer := time.NewTimer(wait)
		select {
		case ended := <-client.outcomes:
			client.handle(&ended)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// send sends a request, whose outcome arrives on the client's channel.
func (client *Client) send(calls *tasks.Group, request Request) {
	ended := outcome{request: request, sent: client.options.Clock(), reply: &feed.WatchReply{}}
	args := feed.WatchArgs{Node: client.options.Node, IsSearch: true, Term: client.term}
	if !request.IsSearch {
		args = client.options.NextArgs()
	}
	calls.Go(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, request.Timeout)
		defer cancel()
		ended.err = client.options.Peers.Call(callCtx, request.Address, "Peer.Watch", &args, ended.reply)
		select {
		case client.outcomes <- ended:
		case <-ctx.Done():
		}
	})
}

// handle applies the state of a reply, and logs what the client has found or lost.
func (client *Client) handle(ended *outcome) {
	now := client.options.Clock()
	change := client.finder.Handle(now, ended.request, ended.reply, ended.err)
	client.mutex.Lock()
	client.leader, client.source = client.finder.Leader(), client.finder.Source()
	client.mutex.Unlock()
	log := &client.options.Log
	if change.LostRelay != "" {
		log.Warn().Str("relay", change.LostRelay).Err(ended.err).Msg("relay lost")
	}
	if change.LostLeader != "" {
		log.Warn().Str("leader", change.LostLeader).Err(ended.err).Msg("leader lost")
	}
	if change.NewLeader != "" {
		log.Info().Str("leader", change.NewLeader).Dur("after", now.Sub(client.seenAt)).Msg("leader found")
	}
	if change.NewSource != "" {
		log.Info().Str("source", change.NewSource).Bool("relay", change.NewSource != client.finder.Leader()).Msg("feed source changed")
	}
	if !change.IsState {
		return
	}
	client.term, client.seenAt = max(client.term, ended.reply.Term), now
	client.options.Apply(ended.sent, ended.reply)
}

// Call calls an RPC method on the leader; without a known leader, it returns ErrNoLeader.
func (client *Client) Call(ctx context.Context, method string, args, reply any) error {
	leader := client.Leader()
	if leader == "" {
		return ErrNoLeader.New("no leader is known")
	}
	return client.options.Peers.Call(ctx, leader, method, args, reply)
}
