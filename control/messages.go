package control

import (
	"context"
	"time"
	"unicode/utf8"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
)

// peerTimeout bounds the handling of one call from a peer.
const peerTimeout = 2 * time.Second

// maxMemberText bounds each text of a member, which is part of the log.
const maxMemberText = 1024

// DeliverArgs carries Raft messages to a member.
type DeliverArgs struct {
	Messages []quorum.Message `cbor:"1,keyasint"`
	// Address is the peer address of the sender.
	Address string `cbor:"2,keyasint"`
}

// Empty is the request or reply of a call without data.
type Empty struct{}

// JoinArgs asks the leader to add a member.
type JoinArgs struct {
	Member quorum.Member `cbor:"1,keyasint"`
}

// JoinReply names the leader that the called node knows, and reports whether the member was added.
type JoinReply struct {
	Leader   string `cbor:"1,keyasint"`
	Accepted bool   `cbor:"2,keyasint"`
}

// ProposeArgs carries an encoded command to the leader.
type ProposeArgs struct {
	Command []byte `cbor:"1,keyasint"`
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	// Leads is false when the called node does not lead and has appended nothing.
	Leads bool `cbor:"1,keyasint"`
	// Committed is set when the command has been applied; otherwise it may still be committed.
	Committed bool   `cbor:"2,keyasint"`
	Version   uint64 `cbor:"3,keyasint"`
}

// ReadReply carries the newest configuration in the form that the operator submitted.
type ReadReply struct {
	// Leads is false when the called node can't be sure which configuration is the newest.
	Leads   bool   `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Source  []byte `cbor:"3,keyasint"`
}

// AnnounceArgs carries an announcement of a target, or only the ID of a target that is leaving.
type AnnounceArgs struct {
	Announcement *celerylanding.Announcement `cbor:"1,keyasint,omitempty"`
	// Leaving names a target that is leaving, if there is no announcement.
	Leaving     celerylanding.TargetID    `cbor:"2,keyasint,omitempty"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint,omitempty"`
}

// AnnounceReply reports whether the called node leads and has accepted the announcement.
type AnnounceReply struct {
	Leads bool `cbor:"1,keyasint"`
	// IsRecorded is set by a leader that has committed the departure, if the announcement is one. Those of earlier builds keep it in memory only.
	IsRecorded bool `cbor:"2,keyasint,omitempty"`
}

// PeerService is the net/rpc service that other nodes call.
type PeerService struct {
	ctx     context.Context
	control *Control
}

// Deliver passes Raft messages to this member.
func (service *PeerService) Deliver(args *DeliverArgs, _ *Empty) error {
	if len(args.Messages) == 0 {
		return quorum.ErrBadMessage.New("Deliver call without messages")
	}
	args.Messages = service.control.withoutUnreadable(args.Messages)
	result := make(chan error, 1)
	if !service.control.postUrgent(service.ctx, func(now time.Time) { result <- service.control.receive(now, args) }) {
		return service.ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-service.ctx.Done():
		return service.ctx.Err()
	}
}

// Join adds a member as a learner if this node leads.
func (service *PeerService) Join(args *JoinArgs, reply *JoinReply) error {
	if args.Member.ID == "" || args.Member.Address == "" {
		return quorum.ErrBadMessage.New("Join call names a member without ID or address")
	}
	for _, text := range []string{string(args.Member.ID), string(args.Member.Node), string(args.Member.Domain), args.Member.Address} {
		if len(text) > maxMemberText || !utf8.ValidString(text) {
			return quorum.ErrBadMessage.New("Join call names a member by %.64q, which must be UTF-8 of at most %d bytes", text, maxMemberText)
		}
	}
	return service.postUrgentAndWait(func(now time.Time) {
		reply.Leader = service.control.leaderAddress()
		reply.Accepted = service.control.addMember(now, args.Member)
	})
}

// Propose commits a command if this node leads. The command may come from another build, so it is checked first.
func (service *PeerService) Propose(args *ProposeArgs, reply *ProposeReply) error {
	if err := checkCommand(args.Command); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	*reply = service.control.proposeLocal(ctx, args.Command)
	return nil
}

// Read returns the newest configuration if this node leads and can confirm it.
func (service *PeerService) Read(_ *Empty, reply *ReadReply) error {
	return service.postUrgentAndWait(func(now time.Time) { *reply = service.control.read(now) })
}

// Announce applies an announcement that a follower has received, if this node leads, and waits until a departure is committed.
func (service *PeerService) Announce(args *AnnounceArgs, reply *AnnounceReply) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	accepted, err := service.control.announceLocal(ctx, args, false)
	reply.Leads, reply.IsRecorded = accepted, accepted
	return err
}

// Alive applies unchanged heartbeats that a follower has received, if this node leads.
func (service *PeerService) Alive(args *UnchangedHeartbeatsArgs, reply *UnchangedHeartbeatsReply) error {
	return service.postAndWait(func(now time.Time) { *reply = service.control.applyHeartbeatBatch(now, args) })
}

// LastOrder returns when this node last sent an order and, if requested, the targets that it knows.
func (service *PeerService) LastOrder(args *LastOrderArgs, reply *LastOrderReply) error {
	return service.postUrgentAndWait(func(now time.Time) { *reply = service.control.lastOrderReply(now, args) })
}

// Watch waits for changes of the feed and returns them.
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

// Wake requests the load of a unit if this node leads. A node that has too much to do turns the request away without planning.
func (service *PeerService) Wake(args *feed.WakeArgs, reply *feed.WakeReply) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	*reply = service.control.requestWake(ctx, *args)
	return nil
}

// Origin returns the software version that began a stream if this node leads.
func (service *PeerService) Origin(args *feed.OriginArgs, reply *feed.OriginReply) error {
	return service.postAndWait(func(now time.Time) { *reply = service.control.findOrigin(now, args) })
}

// Trial decides whether a copy of a suspicious request may run if this node leads, or records how it ended.
func (service *PeerService) Trial(args *feed.TrialArgs, reply *feed.TrialReply) error {
	return service.postAndWait(func(now time.Time) { *reply = service.control.trial(now, args) })
}

// Quota grants parts of the quotas of workspaces if this node leads.
func (service *PeerService) Quota(args *feed.QuotaArgs, reply *feed.QuotaReply) error {
	arrived := service.control.options.Clock()
	return service.postAndWait(func(now time.Time) { *reply = service.control.grantQuotas(now, arrived, args) })
}

func (service *PeerService) postAndWait(run func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	return service.control.postAndWait(ctx, run)
}

func (service *PeerService) postUrgentAndWait(run func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	return service.control.postUrgentAndWait(ctx, run)
}
