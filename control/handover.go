package control

import (
	"context"
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
)

const (
	// handoverTimeout bounds the LastOrder call to another member: a few round trips between failure domains.
	handoverTimeout = 250 * time.Millisecond
	// maxClockDrift is the largest drift between two clocks over the time of a lease.
	maxClockDrift = 100 * time.Millisecond
)

// LastOrderArgs is the request of a new leader for a member's last order and, optionally, its targets.
type LastOrderArgs struct {
	// IncludeTargets is set by a leader that knows no targets, such as one whose process has just started.
	IncludeTargets bool `cbor:"1,keyasint,omitempty"`
}

// LastOrderReply reports when a member last sent an order to an engine.
type LastOrderReply struct {
	// NoOrder is set when the process has sent no order since its start, which was Uptime ago; the process before it may have sent one until then.
	NoOrder bool          `cbor:"1,keyasint"`
	Uptime  time.Duration `cbor:"6,keyasint,omitempty"`
	// Age is the time since the last order.
	Age time.Duration `cbor:"2,keyasint"`
	// Leads is set when the member has sent an order and is still the leader by its own view.
	Leads bool `cbor:"3,keyasint"`
	// Stopping is set when the member has given up leadership in order to shut down.
	Stopping bool `cbor:"5,keyasint,omitempty"`
	// Targets are the targets that the member knows, if requested.
	Targets []feed.Target `cbor:"4,keyasint,omitempty"`
	// Wait is the time for which the member, as the last leader, would still have had to wait for the orders of those before it.
	Wait time.Duration `cbor:"7,keyasint,omitempty"`
}

// handover decides when a new leader may begin to send orders. Orders of two leaders must be a lease apart, unless engines reject the
// earlier leader's orders by their fencing token and that leader is unreachable or stopping.
type handover struct {
	// notBefore is when this leader may begin to send orders.
	notBefore time.Time
	// pendingReplies is the number of calls to members that have not ended yet.
	pendingReplies int
	// earliest is the start time that the replies so far require.
	earliest time.Time
}

// beginHandover asks the other members when they last sent an order.
func (ctl *Control) beginHandover(now time.Time) {
	ctl.handover = handover{notBefore: now.Add(ctl.options.LeaseTime), earliest: now}
	since := ctl.leaderSince
	args := &LastOrderArgs{IncludeTargets: len(ctl.directory.Targets()) == 0}
	if !args.IncludeTargets {
		ctl.planner.MarkDiscoveryComplete()
	}
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.member.ID {
			continue
		}
		ctl.handover.pendingReplies++
		ctl.tasks.Go(func(ctx context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
			defer cancel()
			var reply LastOrderReply
			err := ctl.peers.Call(callCtx, member.Address, "Peer.LastOrder", args, &reply)
			ctl.postUrgent(ctx, func(now time.Time) { ctl.handleLastOrder(now, since, reply, err) })
		})
	}
	if ctl.handover.pendingReplies == 0 {
		ctl.handover.notBefore = now
	}
}

// handleLastOrder processes one member's reply; the start time is final once every member has replied or its call has failed.
func (ctl *Control) handleLastOrder(now, since time.Time, reply LastOrderReply, err error) {
	if !since.Equal(ctl.leaderSince) {
		return
	}
	ctl.handover.pendingReplies--
	ctl.addInheritedTargets(now, reply.Targets)
	required := earliestOrder(now, ctl.handover.notBefore, ctl.options.LeaseTime, ctl.options.Fencing, &reply, err)
	ctl.handover.earliest = later(ctl.handover.earliest, required)
	if ctl.handover.pendingReplies > 0 {
		return
	}
	ctl.handover.notBefore = ctl.handover.earliest
	ctl.options.Log.Info().Dur("wait", ctl.handover.notBefore.Sub(now)).Msg("orders taken over")
}

// earliestOrder returns when a new leader may send its first order, as far as the reply of one member to its call decides that; the zero time stands
// for at once. wholeLease is the end of the lease that the former leader may hold at most.
func earliestOrder(now, wholeLease time.Time, lease time.Duration, isFenced bool, reply *LastOrderReply, err error) time.Time {
	sinceOrder := reply.Age
	switch {
	case err != nil && !isFenced, err == nil && reply.Leads:
		return wholeLease
	case err != nil:
		return time.Time{}
	case reply.Stopping && isFenced:
		// The stopping member sends no more orders, and engines reject those still in flight by their fencing token.
		return time.Time{}
	case reply.NoOrder && isFenced:
		// Engines reject the orders of a process that has ended by their fencing token.
		return time.Time{}
	case reply.NoOrder:
		sinceOrder = reply.Uptime
	}
	// A leader before that one may have left the log already, so that nobody else is asked for its orders.
	return later(now.Add(lease+maxClockDrift-sinceOrder), now.Add(reply.Wait))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// stepDownTimeout bounds how long a stopping leader waits for its successor: two rounds of votes between failure domains, with their
	// durable writes.
	stepDownTimeout = 500 * time.Millisecond
	// stepDownPollInterval is the time between two checks for the successor.
	stepDownPollInterval = 10 * time.Millisecond
)

// StepDown gives up leadership before shutdown; it returns once another node leads, or after a timeout or the end of the context.
func (ctl *Control) StepDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepDownTimeout)
	defer cancel()
	led := false
	err := ctl.postUrgentAndWait(ctx, func(now time.Time) {
		ctl.stopping = true
		led = ctl.core.Role() == quorum.Leader
		ctl.effects.Merge(ctl.core.StepDown(now))
	})
	ticker := time.NewTicker(stepDownPollInterval)
	defer ticker.Stop()
	for err == nil && led {
		if leader := ctl.Leader(); leader != "" && leader != ctl.member.Address {
			ctl.options.Log.Info().Str("leader", leader).Msg("leadership handed over")
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	if err != nil {
		ctl.options.Log.Warn().Err(err).Bool("led", led).Msg("no successor was elected before shutdown")
	}
}

// addInheritedTargets adds the targets that a member has learned from the former leader.
func (ctl *Control) addInheritedTargets(now time.Time, targets []feed.Target) {
	if len(targets) == 0 {
		return
	}
	ctl.applyTargets(now, targets)
	ctl.observeAll(now)
	ctl.planner.MarkDiscoveryComplete()
	ctl.options.Log.Info().Int("targets", len(targets)).Msg("targets learned from another member")
}

// lastOrderReply builds the reply to a new leader's LastOrder call.
func (ctl *Control) lastOrderReply(now time.Time, args *LastOrderArgs) LastOrderReply {
	reply := LastOrderReply{NoOrder: ctl.lastOrder.IsZero(), Uptime: now.Sub(ctl.started), Stopping: ctl.stopping,
		Wait: max(0, ctl.handover.notBefore.Sub(now))}
	if !reply.NoOrder {
		reply.Age, reply.Leads = now.Sub(ctl.lastOrder), ctl.core.Role() == quorum.Leader
	}
	if args.IncludeTargets {
		for _, target := range ctl.directory.Targets() {
			reply.Targets = append(reply.Targets, ctl.targetView(now, target))
		}
	}
	return reply
}

// mayOrder reports whether this leader may send orders: no order of an earlier leader can take effect any more.
func (ctl *Control) mayOrder(now time.Time) bool { return !now.Before(ctl.handover.notBefore) }
