package node

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/gateway"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/state"
)

// peerTimeout bounds the work for one call from another node.
const peerTimeout = 5 * time.Second

// Empty is the type of absent arguments and replies.
type Empty struct{}

// DeliverArgs carries messages of the control log.
type DeliverArgs struct {
	Messages []quorum.Message `cbor:"1,keyasint"`
	// Address is where the sender can be reached.
	Address string `cbor:"2,keyasint"`
}

// ProposeArgs carries an encoded command for the leader.
type ProposeArgs struct {
	Command []byte `cbor:"1,keyasint"`
}

// ProposeReply is the outcome of a proposal.
type ProposeReply struct {
	Result    state.Result `cbor:"1,keyasint"`
	NotLeader bool         `cbor:"2,keyasint"`
	Unknown   bool         `cbor:"3,keyasint"`
}

// JoinArgs requests the leader to add a member.
type JoinArgs struct {
	Member quorum.Member `cbor:"1,keyasint"`
}

// JoinReply reports whether the join was accepted, and the leader's address or "".
type JoinReply struct {
	Leader   string `cbor:"1,keyasint"`
	Accepted bool   `cbor:"2,keyasint"`
}

// AnnounceArgs carries announcements and heartbeats of targets from one node to another.
type AnnounceArgs struct {
	Announcements []celerylanding.Announcement `cbor:"1,keyasint,omitempty"`
	Heartbeats    []celerylanding.Heartbeat    `cbor:"2,keyasint,omitempty"`
}

// ReportArgs carries one node's demand to the leader.
type ReportArgs struct {
	Node    celerylanding.NodeID         `cbor:"1,keyasint"`
	Reports []celerylanding.DemandReport `cbor:"2,keyasint"`
}

// ReportReply returns the leader's estimate of a model's load time, or zero if the node does not lead.
type ReportReply struct {
	ColdStart time.Duration `cbor:"1,keyasint"`
}

// RenewArgs requests an executor lease or releases it.
type RenewArgs struct {
	Domain    celerylanding.FailureDomain `cbor:"1,keyasint"`
	Holder    string                      `cbor:"2,keyasint"`
	OwnDomain bool                        `cbor:"3,keyasint"`
	Release   bool                        `cbor:"4,keyasint"`
}

// RenewReply carries the fencing token of a lease that the requesting node holds.
type RenewReply struct {
	Granted bool                       `cbor:"1,keyasint"`
	Fence   celerylanding.FencingToken `cbor:"2,keyasint"`
}

// CrashArgs lists requests that were in flight on targets that died.
type CrashArgs struct {
	Crashes []router.Crash `cbor:"1,keyasint"`
}

// RefusedArgs names an incarnation that refuses new work.
type RefusedArgs struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
}

// Status is a node's report on itself.
type Status struct {
	Node     celerylanding.NodeID        `cbor:"1,keyasint" json:"node"`
	Member   quorum.MemberID             `cbor:"2,keyasint" json:"member"`
	Domain   celerylanding.FailureDomain `cbor:"3,keyasint" json:"failure_domain"`
	Role     string                      `cbor:"4,keyasint" json:"role"`
	Term     uint64                      `cbor:"5,keyasint" json:"term"`
	Leader   quorum.MemberID             `cbor:"6,keyasint" json:"leader"`
	Applied  uint64                      `cbor:"7,keyasint" json:"applied"`
	Revision uint64                      `cbor:"8,keyasint" json:"revision"`
	Digest   config.Digest               `cbor:"9,keyasint" json:"digest"`
	State    string                      `cbor:"10,keyasint" json:"state"`
	Blocked  []BlockedModel              `cbor:"11,keyasint" json:"blocked,omitempty"`
	Voter    bool                        `cbor:"13,keyasint" json:"voter"`
	Error    string                      `cbor:"12,keyasint,omitempty" json:"error,omitempty"`
}

// BlockedModel is a model with demand that is not loaded, and the reason.
type BlockedModel struct {
	Model  celerylanding.ModelID `cbor:"1,keyasint" json:"model"`
	Reason string                `cbor:"2,keyasint" json:"reason"`
}

// PeerService implements the RPC methods that other nodes call.
type PeerService struct {
	ctx        context.Context
	control    *control
	dispatcher *gateway.Dispatcher
	status     func(ctx context.Context) (Status, error)
}

// Deliver receives messages of the control log.
func (service *PeerService) Deliver(args *DeliverArgs, _ *Empty) error {
	if len(args.Messages) == 0 {
		return quorum.ErrBadMessage.New("Deliver call without messages")
	}
	result := make(chan error, 1)
	posted := service.control.post(service.ctx, func(now time.Time) { result <- service.control.receiveMessages(now, args) })
	if !posted {
		return service.ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-service.ctx.Done():
		return service.ctx.Err()
	}
}

// Propose commits a command if this node leads.
func (service *PeerService) Propose(args *ProposeArgs, reply *ProposeReply) error {
	ctx, cancel := context.WithTimeout(service.ctx, proposeAttemptTimeout)
	defer cancel()
	outcome := service.control.proposeLocal(ctx, args.Command)
	reply.Result = outcome.result
	reply.NotLeader = errorx.IsOfType(outcome.err, quorum.ErrNotLeader)
	reply.Unknown = outcome.err != nil && !reply.NotLeader
	return nil
}

// Join adds a member if this node leads.
func (service *PeerService) Join(args *JoinArgs, reply *JoinReply) error {
	if args.Member.ID == "" || args.Member.Address == "" {
		return quorum.ErrBadMessage.New("Join call names a member without ID or address")
	}
	return service.call(func(now time.Time) {
		reply.Leader = service.control.leaderAddress()
		reply.Accepted = service.control.addLearner(now, args.Member)
	})
}

// Announce receives announcements and heartbeats that another node forwards.
func (service *PeerService) Announce(args *AnnounceArgs, _ *Empty) error {
	return service.call(func(now time.Time) {
		for _, announcement := range args.Announcements {
			service.control.receiveForwarded(now, announcement)
		}
		for _, heartbeat := range args.Heartbeats {
			service.control.dirty = service.control.directory.Heartbeat(now, heartbeat) || service.control.dirty
		}
	})
}

// Announcements returns the latest announcements of all routable targets, for a node that has just started.
func (service *PeerService) Announcements(_ *Empty, reply *AnnounceArgs) error {
	return service.call(func(time.Time) {
		for _, target := range service.control.directory.Targets() {
			if target.IsRoutable() {
				reply.Announcements = append(reply.Announcements, target.Announcement())
			}
		}
	})
}

// Report receives a node's demand.
func (service *PeerService) Report(args *ReportArgs, reply *ReportReply) error {
	return service.call(func(now time.Time) {
		reply.ColdStart = service.control.recordDemand(now, args.Node, args.Reports)
	})
}

// Renew extends, grants or ends an executor lease.
func (service *PeerService) Renew(args *RenewArgs, reply *RenewReply) error {
	return service.call(func(now time.Time) {
		reply.Fence, reply.Granted = service.control.handleRenewal(now, *args)
	})
}

// Crashes receives the requests that another node suspects of crashing targets.
func (service *PeerService) Crashes(args *CrashArgs, _ *Empty) error {
	service.dispatcher.AddCrashes(time.Now(), args.Crashes)
	return nil
}

// Refused receives another node's notice that a target refuses new work.
func (service *PeerService) Refused(args *RefusedArgs, _ *Empty) error {
	return service.call(func(now time.Time) { service.control.recordRefusal(now, args.Target, args.Incarnation) })
}

// Isolate reserves a target for a suspect request, or releases it.
func (service *PeerService) Isolate(args *IsolateArgs, reply *IsolateReply) error {
	return service.call(func(now time.Time) { reply.Reserved = service.control.updateReservation(now, *args) })
}

// Status returns this node's status.
func (service *PeerService) Status(_ *Empty, reply *Status) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	var err error
	*reply, err = service.status(ctx)
	return err
}

func (service *PeerService) call(run func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(service.ctx, peerTimeout)
	defer cancel()
	return service.control.call(ctx, run)
}
