package control

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
)

// peerTimeout bounds the work for one call of a peer.
const peerTimeout = 2 * time.Second

// DeliverArgs carry messages of the log.
type DeliverArgs struct {
	Messages []quorum.Message `cbor:"1,keyasint"`
	// Address is where the sender can be reached.
	Address string `cbor:"2,keyasint"`
}

// Empty is the answer to a call that returns nothing.
type Empty struct{}

// JoinArgs ask the leader to add a member.
type JoinArgs struct {
	Member quorum.Member `cbor:"1,keyasint"`
}

// JoinReply names the leader when the asked node does not lead.
type JoinReply struct {
	Leader string `cbor:"1,keyasint"`
	Taken  bool   `cbor:"2,keyasint"`
}

// ProposeArgs carry an encoded command for the leader.
type ProposeArgs struct {
	Command []byte `cbor:"1,keyasint"`
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	// Leads is false when the asked node does not lead and nothing was appended.
	Leads bool `cbor:"1,keyasint"`
	// Committed is set when the command has been applied; otherwise it may still be committed.
	Committed bool   `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
}

// ReadReply carries the newest configuration as the operator sent it.
type ReadReply struct {
	// Leads is false when the asked node can't be sure which configuration is the newest.
	Leads   bool   `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Source  []byte `cbor:"3,keyasint"`
}

// AnnounceArgs pass on what a target says of itself.
type AnnounceArgs struct {
	Announcement *celerylanding.Announcement `cbor:"1,keyasint,omitempty"`
	// Leaving names a target that has said that it is leaving, without an announcement.
	Leaving     celerylanding.TargetID    `cbor:"2,keyasint,omitempty"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint,omitempty"`
}

// AnnounceReply tells whether the leader has taken it.
type AnnounceReply struct {
	Leads bool `cbor:"1,keyasint"`
}

// PeerService answers the calls of other nodes.
type PeerService struct {
	ctx     context.Context
	control *Control
}

// Deliver takes messages of the log.
func (service *PeerService) Deliver(args *DeliverArgs, _ *Empty) error {
	if len(args.Messages) == 0 {
		return quorum.ErrBadMessage.New("no messages")
	}
	refused := make(chan error, 1)
	if !service.control.post(service.ctx, func(now time.Time) { refused <- service.control.receive(now, args) }) {
		return service.ctx.Err()
	}
	select {
	case err := <-refused:
		return err
	case <-service.ctx.Done():
		return service.ctx.Err()
	}
}

// Join adds a member if this node leads.
func (service *PeerService) Join(args *JoinArgs, reply *JoinReply) error {
	if args.Member.ID == "" || args.Member.Address == "" {
		return quorum.ErrBadMessage.New("member without ID or address")
	}
	return service.ask(func(now time.Time) {
		reply.Leader = service.control.leaderAddress()
		reply.Taken = service.control.admit(now, args.Member)
	})
}

// Propose commits a command if this node leads.
func (service *PeerService) Propose(args *ProposeArgs, reply *ProposeReply) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	*reply = service.control.proposeLocal(ctx, args.Command)
	return nil
}

// Read returns the newest configuration if this node leads.
func (service *PeerService) Read(_ *Empty, reply *ReadReply) error {
	return service.ask(func(now time.Time) { *reply = service.control.read(now) })
}

// Announce takes what a target has said to another node, if this node leads.
func (service *PeerService) Announce(args *AnnounceArgs, reply *AnnounceReply) error {
	return service.ask(func(now time.Time) { reply.Leads = service.control.announce(now, args) })
}

// Alive takes heartbeats without news from another node, if this node leads.
func (service *PeerService) Alive(args *AliveArgs, reply *AliveReply) error {
	return service.ask(func(now time.Time) { *reply = service.control.takeAlive(now, args) })
}

// LastOrder tells a new leader when this node last gave an order, and which targets it knows.
func (service *PeerService) LastOrder(args *LastOrderArgs, reply *LastOrderReply) error {
	return service.ask(func(now time.Time) { *reply = service.control.tellLastOrder(now, args) })
}

// Watch waits for changes and returns them.
func (service *PeerService) Watch(args *feed.WatchArgs, reply *feed.WatchReply) error {
	answer := make(chan feed.WatchReply, 1)
	if !service.control.post(service.ctx, func(now time.Time) { service.control.watch(now, args, answer) }) {
		return service.ctx.Err()
	}
	select {
	case *reply = <-answer:
		return nil
	case <-service.ctx.Done():
		return service.ctx.Err()
	}
}

// Wake has a unit loaded if this node leads.
func (service *PeerService) Wake(args *feed.WakeArgs, reply *feed.WakeReply) error {
	return service.ask(func(now time.Time) { *reply = service.control.wake(now, *args) })
}

func (service *PeerService) ask(run func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	return service.control.ask(ctx, run)
}
