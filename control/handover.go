package control

import (
	"context"
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
)

const (
	// handoverTimeout bounds the question to the former leader, a few round trips between failure domains.
	handoverTimeout = 250 * time.Millisecond
	// maxDrift is how much two clocks may differ over the time of a lease.
	maxDrift = 100 * time.Millisecond
)

// LastOrderArgs ask a member what a new leader needs to know.
type LastOrderArgs struct {
	// WantsTargets is set by a leader that knows no targets, such as one that has just started.
	WantsTargets bool `cbor:"1,keyasint,omitempty"`
}

// LastOrderReply tells when a node last gave an order.
type LastOrderReply struct {
	// Never is set when this start of the process has given none.
	Never bool `cbor:"1,keyasint"`
	// Ago is how long ago the last one was given.
	Ago time.Duration `cbor:"2,keyasint"`
	// Leads is set when the node believes that it still leads.
	Leads bool `cbor:"3,keyasint"`
	// Stops is set when the node has given up its lead in order to stop.
	Stops bool `cbor:"5,keyasint,omitempty"`
	// Targets are those that the node knows, where they were asked for.
	Targets []feed.Target `cbor:"4,keyasint,omitempty"`
}

// handover decides from when a new leader may give orders. Orders of two holders must lie a lease apart, unless engines refuse
// the earlier holder's orders and it is out of reach.
type handover struct {
	// from is when orders may be given.
	from time.Time
	// unanswered is the number of members that have not told yet when they last gave an order.
	unanswered int
	// earliest is when orders may be given by the answers so far.
	earliest time.Time
}

// beginHandover asks the other members when they last gave an order.
func (ctl *Control) beginHandover(now time.Time) {
	ctl.handover = handover{from: now.Add(ctl.options.LeaseTime), earliest: now}
	since := ctl.leadSince
	args := &LastOrderArgs{WantsTargets: len(ctl.directory.Targets()) == 0}
	if !args.WantsTargets {
		ctl.planner.Inherited()
	}
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.member.ID {
			continue
		}
		ctl.handover.unanswered++
		ctl.tasks.Go(func(ctx context.Context) {
			asked, cancel := context.WithTimeout(ctx, handoverTimeout)
			defer cancel()
			var reply LastOrderReply
			err := ctl.peers.Call(asked, member.Address, "Peer.LastOrder", args, &reply)
			ctl.post(ctx, func(now time.Time) { ctl.takeLastOrder(now, since, reply, err) })
		})
	}
	if ctl.handover.unanswered == 0 {
		ctl.handover.from = now
	}
}

// takeLastOrder takes one member's answer; when all have answered or are out of reach, the wait is known.
func (ctl *Control) takeLastOrder(now, since time.Time, reply LastOrderReply, err error) {
	if !since.Equal(ctl.leadSince) {
		return
	}
	ctl.handover.unanswered--
	ctl.inherit(now, reply.Targets)
	switch {
	case err != nil && !ctl.options.Fencing, err == nil && reply.Leads:
		ctl.handover.earliest = later(ctl.handover.earliest, ctl.handover.from)
	case err == nil && reply.Stops && ctl.options.Fencing:
		// It gives no more orders, and engines refuse those that are still on their way.
	case err == nil && !reply.Never:
		ctl.handover.earliest = later(ctl.handover.earliest, now.Add(ctl.options.LeaseTime+maxDrift-reply.Ago))
	}
	if ctl.handover.unanswered > 0 {
		return
	}
	ctl.handover.from = ctl.handover.earliest
	ctl.options.Log.Info().Dur("wait", ctl.handover.from.Sub(now)).Msg("orders taken over")
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// stopTime bounds the wait of a leader that stops for its successor: two rounds of votes between failure domains, and the
	// durable writes between them.
	stopTime = 500 * time.Millisecond
	// stopPoll is the time between two looks for the successor.
	stopPoll = 10 * time.Millisecond
)

// StepDown makes a node that is about to stop lead no more, and returns once another one leads or too much time has passed.
func (ctl *Control) StepDown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTime)
	defer cancel()
	led := false
	err := ctl.ask(ctx, func(now time.Time) {
		ctl.stops = true
		led = ctl.core.Role() == quorum.Leader
		ctl.effects.Merge(ctl.core.Release(now))
	})
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for err == nil && led {
		if leader := ctl.Leader(); leader != "" && leader != ctl.member.Address {
			ctl.options.Log.Info().Str("leader", leader).Msg("lead handed over")
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	if err != nil {
		ctl.options.Log.Warn().Err(err).Bool("led", led).Msg("no other node leads yet")
	}
}

// inherit takes the targets that a member has learned from the former leader.
func (ctl *Control) inherit(now time.Time, targets []feed.Target) {
	if len(targets) == 0 {
		return
	}
	ctl.learn(now, targets)
	ctl.observeAll(now)
	ctl.planner.Inherited()
	ctl.options.Log.Info().Int("targets", len(targets)).Msg("targets learned from another member")
}

// tellLastOrder answers a new leader.
func (ctl *Control) tellLastOrder(now time.Time, args *LastOrderArgs) LastOrderReply {
	reply := LastOrderReply{Never: ctl.lastOrder.IsZero(), Stops: ctl.stops}
	if !reply.Never {
		reply.Ago, reply.Leads = now.Sub(ctl.lastOrder), ctl.core.Role() == quorum.Leader
	}
	if args.WantsTargets {
		for _, target := range ctl.directory.Targets() {
			reply.Targets = append(reply.Targets, ctl.viewOf(now, target))
		}
	}
	return reply
}

// mayOrder reports whether no earlier leader's order can follow one of this leader's.
func (ctl *Control) mayOrder(now time.Time) bool { return !now.Before(ctl.handover.from) }
