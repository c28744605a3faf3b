package node

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// isolationTimeout bounds one request to the leader.
const isolationTimeout = time.Second

// reservation records the suspect request that a target is reserved for, by its fingerprint.
type reservation struct {
	fingerprint uint64
	until       time.Time
}

// IsolateArgs reserves a target for a suspect request, or releases it.
type IsolateArgs struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Fingerprint uint64                    `cbor:"3,keyasint"`
	// Duration is the longest time that the reservation lasts.
	Duration time.Duration `cbor:"4,keyasint"`
	Release  bool          `cbor:"5,keyasint"`
}

// IsolateReply reports whether the target is reserved for the suspect request.
type IsolateReply struct {
	Reserved bool `cbor:"1,keyasint"`
}

// updateReservation grants, extends or releases a reservation if this node holds the leader lease; it returns true if the target is then
// reserved for the suspect request.
func (ctl *control) updateReservation(now time.Time, args IsolateArgs) bool {
	if ctl.currentLeaderState() == nil || !ctl.core.HasLeaderLease(now) {
		return false
	}
	endpoint := celerylanding.Endpoint{Target: args.Target, Incarnation: args.Incarnation}
	existing, ok := ctl.leaderState.reservations[endpoint]
	isFree := !ok || !now.Before(existing.until) || existing.fingerprint == args.Fingerprint
	switch {
	case !isFree:
		return false
	case args.Release:
		delete(ctl.leaderState.reservations, endpoint)
		return false
	}
	ctl.leaderState.reservations[endpoint] = reservation{args.Fingerprint, now.Add(args.Duration)}
	return true
}

// isolationClient asks the leader to reserve targets for suspect requests, which may have crashed another target.
type isolationClient struct {
	node *Node
}

// Reserve reserves the target for one suspect request until the deadline; it returns false if the target is reserved for another one or the
// leader can't be reached.
func (isolation isolationClient) Reserve(ctx context.Context, endpoint celerylanding.Endpoint, fingerprint uint64, deadline time.Time) bool {
	return isolation.request(ctx, IsolateArgs{Target: endpoint.Target, Incarnation: endpoint.Incarnation,
		Fingerprint: fingerprint, Duration: time.Until(deadline)})
}

// Release releases the reservation; one that is not released expires.
func (isolation isolationClient) Release(ctx context.Context, endpoint celerylanding.Endpoint, fingerprint uint64) {
	isolation.request(ctx, IsolateArgs{Target: endpoint.Target, Incarnation: endpoint.Incarnation, Fingerprint: fingerprint, Release: true})
}

func (isolation isolationClient) request(ctx context.Context, args IsolateArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	control := isolation.node.control
	var reserved bool
	var leader string
	err := control.call(ctx, func(now time.Time) {
		reserved = control.updateReservation(now, args)
		if control.currentLeaderState() == nil {
			leader = control.leaderAddress()
		}
	})
	if err != nil || leader == "" {
		return reserved
	}
	var reply IsolateReply
	if err := isolation.node.peers.Call(ctx, leader, "Peer.Isolate", &args, &reply); err != nil {
		return false
	}
	return reply.Reserved
}
