package control

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/waking"
	"celerylanding.example/celerylanding/watch"
)

const (
	// expireInterval is the time between two looks for silent targets.
	expireInterval = 200 * time.Millisecond
	// settleShare is the part of a target's longest silence in which each live target sends a heartbeat.
	settleShare = 0.4
	// planInterval is the shortest time between two rounds of decisions; one takes up to a millisecond on a large site.
	planInterval = 15 * time.Millisecond
	// planCost is added to that for each target, since a round on a large site takes longer.
	planCost = 5 * time.Microsecond
	// orderTimeout bounds the wait for an engine's answer to an order, which engines give at once; a repeated order does no harm.
	orderTimeout = 150 * time.Millisecond
	// summaryInterval is the time between two lines on the state of the engines; short against the time of a load from the store.
	summaryInterval = 5 * time.Second
	// forgetAfter is how long a target that has left is remembered, so that its late heartbeats do not call it back.
	forgetAfter = 2 * time.Minute
)

// leads reports whether this node is the only leader now.
func (ctl *Control) leads(now time.Time) bool {
	return !ctl.leadSince.IsZero() && ctl.core.HasLeadership(now)
}

// duties does what is due beside the log.
func (ctl *Control) duties(now time.Time) {
	ctl.noteRole(now)
	ctl.tendMembership(now)
	ctl.saveRecall(now)
	ctl.passAlive(now)
	if ctl.leadSince.IsZero() || !ctl.core.HasLeadership(now) {
		return
	}
	if ctl.feed.configurationChanged {
		ctl.feed.configurationChanged = false
		ctl.observeAll(now)
	}
	if !now.Before(ctl.expireDue) {
		ctl.expireDue = now.Add(expireInterval)
		ctl.expire(now)
		ctl.expireQuarantine(now)
	}
	if ctl.mayOrder(now) && !now.Before(ctl.planDue) {
		ctl.planDue = now.Add(planInterval + time.Duration(ctl.directory.Len())*planCost)
		ctl.carryOut(ctl.planner.Step(now))
	}
	if !now.Before(ctl.summaryDue) {
		ctl.summaryDue = now.Add(summaryInterval)
		ctl.logSummary(now)
	}
	for _, id := range ctl.planner.Changed() {
		if target, ok := ctl.directory.Target(id); ok {
			ctl.publish(now, target)
		}
	}
}

// logSummary tells what the leader's decisions about engines rest on.
func (ctl *Control) logSummary(now time.Time) {
	summary := ctl.planner.Summary(now)
	for name, value := range map[string]int{"engines_open": summary.Open, "engines_suspect": summary.Suspect, "models_loaded": summary.Loaded,
		"models_without_copy": summary.Lost, "units_waiting": summary.Waiting, "store_loads": summary.Fetching} {
		ctl.options.Metrics.Gauge(name).Update(float64(value))
	}
	ctl.options.Log.Info().Int("engines", summary.Engines).Int("open", summary.Open).Int("suspect", summary.Suspect).
		Int("models", summary.Models).Int("loaded", summary.Loaded).
		Int("residents", summary.Residents).Int("one_copy", summary.Scarce).Int("no_copy", summary.Lost).
		Int("waiting", summary.Waiting).Int("store_loads", summary.Fetching).Int("store_most", summary.MostFetches).Msg("engines")
}

// noteRole begins and ends the leader's work.
func (ctl *Control) noteRole(now time.Time) {
	role, leader := ctl.core.Role(), ctl.core.Leader()
	if role != ctl.lastRole || leader != ctl.lastHeard {
		ctl.options.Log.Info().Str("role", role.String()).Uint64("term", ctl.core.Term()).Str("leader", string(leader)).Msg("role changed")
		ctl.options.Metrics.Counter("role_changes").Inc(1)
	}
	ctl.lastRole, ctl.lastHeard = role, leader
	ctl.mutex.Lock()
	ctl.leader = ctl.leaderAddress()
	ctl.targets = ctl.directory.Len()
	ctl.mutex.Unlock()
	switch {
	case role != quorum.Leader && !ctl.leadSince.IsZero():
		ctl.leadSince = time.Time{}
		ctl.planner = waking.New(time.Time{})
	case role == quorum.Leader && ctl.leadSince.IsZero() && ctl.core.IsSettled():
		ctl.leadSince = now
		// A follower hears of a target only when something has changed.
		ctl.directory.Renew(now)
		ctl.planner = waking.New(now.Add(time.Duration(settleShare * float64(ctl.options.TargetSilence))))
		watchers := ctl.feed.watchers
		ctl.feed = newFeedState()
		ctl.feed.watchers = watchers
		ctl.observeAll(now)
		ctl.beginHandover(now)
		ctl.askRecalled(now)
	}
}

func (ctl *Control) observeAll(now time.Time) {
	for _, target := range ctl.directory.Targets() {
		ctl.observeTarget(now, target.Announcement().Target)
	}
}

// observeTarget hands what is known of a target to the planner and the watchers.
func (ctl *Control) observeTarget(now time.Time, id celerylanding.TargetID) {
	target, ok := ctl.directory.Target(id)
	if !ok {
		return
	}
	announcement := target.Announcement()
	if spec := ctl.engineSpec(celerylanding.ServiceID(announcement.Group)); spec != nil {
		isAiling := ctl.ailing.IsAiling(now, id, announcement.Incarnation)
		ctl.planner.Observe(now, announcement, spec, target.IsRoutable() && !isAiling)
	}
	ctl.publish(now, target)
}

func (ctl *Control) expire(now time.Time) {
	for _, id := range ctl.directory.Expire(now) {
		ctl.options.Log.Warn().Str("target", string(id)).Msg("target is silent")
		ctl.observeTarget(now, id)
	}
	for _, id := range ctl.ailing.Recovered(now) {
		ctl.options.Log.Info().Str("target", string(id)).Msg("target is tried again")
		ctl.observeTarget(now, id)
	}
	for id, seen := range ctl.feed.routers {
		if now.Sub(seen) > routerSilence {
			delete(ctl.feed.routers, id)
		}
	}
	for _, target := range ctl.directory.Targets() {
		id := target.Announcement().Target
		if target.Announcement().Leaving && now.Sub(target.LastHeard()) > forgetAfter {
			ctl.directory.Forget(id, target.Announcement().Incarnation)
			ctl.planner.Forget(id)
			delete(ctl.feed.targets, id)
		}
	}
}

// announce takes what a target says of itself if this node leads.
func (ctl *Control) announce(now time.Time, args *AnnounceArgs) bool {
	if !ctl.leads(now) {
		return false
	}
	id := args.Leaving
	isNews := false
	if args.Announcement != nil {
		id = args.Announcement.Target
		known, ok := ctl.directory.Target(id)
		wasLeaving := ok && known.Announcement().Leaving && known.Announcement().Incarnation == args.Announcement.Incarnation
		if wasLeaving {
			// A target that has left does not come back within an incarnation, whatever a late heartbeat says.
			args.Announcement.Leaving = true
		}
		isNews = ctl.directory.Observe(now, *args.Announcement)
		if args.Announcement.Leaving && !wasLeaving {
			ctl.options.Log.Info().Str("target", string(id)).Msg("target is leaving")
		}
	} else if isNews = ctl.directory.Leave(now, id, args.Incarnation); isNews {
		ctl.options.Log.Info().Str("target", string(id)).Msg("target has left")
	}
	if isNews {
		ctl.observeTarget(now, id)
	}
	return true
}

// carryOut sends orders and questions; the outcomes come back to the control goroutine.
func (ctl *Control) carryOut(actions waking.Actions) {
	fence := Fence(ctl.core.Term())
	if len(actions.Orders) > 0 {
		ctl.lastOrder = ctl.options.Clock()
	}
	for _, order := range actions.Orders {
		ctl.options.Metrics.Counter("orders").Inc(1)
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			outcome := ctl.options.Engines.Send(ctx, ctl.options.Clock(), order, string(ctl.options.Node), fence)
			ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.ordered(now, order, outcome) })
		})
	}
	for _, endpoint := range actions.Inspects {
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			report, err := ctl.options.Engines.Inspect(ctx, ctl.options.Clock(), endpoint)
			if err != nil {
				ctl.options.Log.Warn().Err(err).Str("target", string(endpoint.Target)).Msg("engine gave no account of itself")
			}
			ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.planner.Inspected(now, endpoint, report) })
		})
	}
}

func (ctl *Control) ordered(now time.Time, order waking.Order, outcome waking.Outcome) {
	ctl.options.Log.Info().Str("target", string(order.Endpoint.Target)).Str("order", string(order.Kind)).Str("unit", order.Unit.String()).
		Uint64("accepted", order.Accepted).Str("from", string(order.Tier)).Str("outcome", outcome.String()).Msg("order given")
	ctl.planner.Outcome(now, order, outcome)
}

// follow keeps a node that does not lead informed, so that it can take over.
func (ctl *Control) follow(ctx context.Context) error {
	var term, revision uint64
	follower := watch.New(watch.Options{
		Peers: ctl.peers,
		Seeds: func() []string {
			if leader := ctl.Leader(); leader != "" {
				return []string{leader}
			}
			return nil
		},
		Args: func() feed.WatchArgs {
			// The configuration comes with the log.
			return feed.WatchArgs{Node: ctl.options.Node, Term: term, Revision: revision, Version: ^uint64(0)}
		},
		Apply: func(reply *feed.WatchReply) {
			term, revision = reply.Term, reply.Revision
			ctl.post(ctx, func(now time.Time) { ctl.learn(now, reply.Targets) })
		},
		Idle: func() bool { return ctl.Leader() == "" || ctl.Leader() == ctl.member.Address },
		Log:  ctl.options.Log,
	})
	return follower.Run(ctx)
}

// learn takes what the leader has published.
func (ctl *Control) learn(now time.Time, targets []feed.Target) {
	for i := range targets {
		ctl.directory.Observe(now, announcementOf(&targets[i]))
		if targets[i].Silent {
			ctl.directory.Silence(targets[i].ID)
		}
	}
}
