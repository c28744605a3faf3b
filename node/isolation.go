package node

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// isolationTimeout bounds one question to the leader.
const isolationTimeout = time.Second

// isolationRow is a target that is reserved for one suspect.
type isolationRow struct {
	fingerprint uint64
	until       time.Time
}

// IsolateArgs reserve a target for a suspect, or end the reservation.
type IsolateArgs struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Fingerprint uint64                    `cbor:"3,keyasint"`
	// For is how long the reservation lasts at most.
	For   time.Duration `cbor:"4,keyasint"`
	Leave bool          `cbor:"5,keyasint"`
}

// IsolateReply tells whether the target is reserved.
type IsolateReply struct {
	Entered bool `cbor:"1,keyasint"`
}

// isolate keeps the reservations on the leader; elsewhere nothing is reserved.
func (ctl *control) isolate(now time.Time, args IsolateArgs) bool {
	if ctl.duties() == nil || !ctl.core.HasLeaderLease(now) {
		return false
	}
	endpoint := celerylanding.Endpoint{Target: args.Target, Incarnation: args.Incarnation}
	row, ok := ctl.leader.isolated[endpoint]
	isFree := !ok || !now.Before(row.until) || row.fingerprint == args.Fingerprint
	switch {
	case !isFree:
		return false
	case args.Leave:
		delete(ctl.leader.isolated, endpoint)
		return false
	}
	ctl.leader.isolated[endpoint] = isolationRow{args.Fingerprint, now.Add(args.For)}
	return true
}

// isolation asks the leader for targets of their own for suspects.
type isolation struct {
	node *Node
}

// Enter reserves the target for one suspect until the deadline; it is false when another one holds it.
func (isolation isolation) Enter(ctx context.Context, endpoint celerylanding.Endpoint, fingerprint uint64, deadline time.Time) bool {
	return isolation.ask(ctx, IsolateArgs{Target: endpoint.Target, Incarnation: endpoint.Incarnation,
		Fingerprint: fingerprint, For: time.Until(deadline)})
}

// Leave ends the reservation; one that is not ended runs out.
func (isolation isolation) Leave(ctx context.Context, endpoint celerylanding.Endpoint, fingerprint uint64) {
	isolation.ask(ctx, IsolateArgs{Target: endpoint.Target, Incarnation: endpoint.Incarnation, Fingerprint: fingerprint, Leave: true})
}

func (isolation isolation) ask(ctx context.Context, args IsolateArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	control := isolation.node.control
	var entered bool
	var leader string
	err := control.ask(ctx, func(now time.Time) {
		entered = control.isolate(now, args)
		if control.duties() == nil {
			leader = control.leaderAddress()
		}
	})
	if err != nil || leader == "" {
		return entered
	}
	var reply IsolateReply
	if err := isolation.node.peers.Call(ctx, leader, "Peer.Isolate", &args, &reply); err != nil {
		return false
	}
	return reply.Entered
}
