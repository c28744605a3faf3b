package control

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/resume"
	"celerylanding.example/celerylanding/throttle"
	"celerylanding.example/celerylanding/watch"
)

const (
	// expireInterval is the time between two checks for silent targets.
	expireInterval = 200 * time.Millisecond
	// startupShare is the share of the target silence timeout within which every live target sends a heartbeat to a new leader.
	startupShare = 0.4
	// planInterval is the shortest time between two planning rounds; a round takes up to a millisecond on a large site.
	planInterval = 15 * time.Millisecond
	// planIntervalPerTarget is added to planInterval for each target, since a round takes longer on a large site.
	planIntervalPerTarget = 5 * time.Microsecond
	// orderTimeout bounds the wait for an engine's reply to an order or inspection; engines reply at once, and a repeated order does no harm.
	orderTimeout = 150 * time.Millisecond
	// summaryInterval is the time between two log lines that summarize the engines; short compared with a load from the store.
	summaryInterval = 5 * time.Second
	// departedRetention is how long a target that has left stays in the directory, so that a late heartbeat does not add it again.
	departedRetention = 2 * time.Minute
)

// leads reports whether this node is the leader and no other node can be.
func (ctl *Control) leads(now time.Time) bool {
	return !ctl.leaderSince.IsZero() && ctl.core.HasLeaderLease(now)
}

// runPeriodicTasks runs all periodic work that is due, except for the ticks of the log.
func (ctl *Control) runPeriodicTasks(now time.Time) {
	ctl.updateRole(now)
	ctl.resolveUnwritten()
	ctl.reportLease(now)
	ctl.maintainMembership(now)
	ctl.saveEngineCache(now)
	ctl.sendHeartbeatBatch(now)
	ctl.maintainDepartures(now)
	ctl.maintainVersions(now)
	ctl.saveOrigins(now)
	if ctl.leaderSince.IsZero() || !ctl.core.HasLeaderLease(now) {
		return
	}
	if ctl.feed.configurationChanged {
		ctl.feed.configurationChanged = false
		ctl.updateQuotas(now)
		ctl.observeAll(now)
	}
	if !now.Before(ctl.expireDue) {
		ctl.expireDue = now.Add(expireInterval)
		ctl.expire(now)
		ctl.reportFormat(now)
	}
	ctl.maintainQuarantine(now)
	ctl.settleQuotas(now)
	if ctl.mayOrder(now) && !now.Before(ctl.planDue) {
		ctl.planDue = now.Add(planInterval + time.Duration(ctl.directory.Len())*planIntervalPerTarget)
		ctl.execute(ctl.planner.Step(now))
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

// logSummary logs and exports the state of the engines on which the leader bases its decisions.
func (ctl *Control) logSummary(now time.Time) {
	summary := ctl.planner.Summary(now)
	for name, value := range map[string]int{"engines_open": summary.Available, "engines_suspect": summary.Suspect, "models_loaded": summary.Loaded,
		"models_without_copy": summary.NoCopy, "units_waiting": summary.Waiting, "models_pressed": summary.Pressed, "store_loads": summary.Fetching} {
		ctl.options.Metrics.Gauge(name).Update(float64(value))
	}
	ctl.options.Log.Info().Int("engines", summary.Engines).Int("open", summary.Available).Int("suspect", summary.Suspect).
		Int("models", summary.Models).Int("loaded", summary.Loaded).
		Int("residents", summary.Residents).Int("one_copy", summary.SingleCopy).Int("no_copy", summary.NoCopy).
		Int("waiting", summary.Waiting).Int("pressed", summary.Pressed).Int("store_loads", summary.Fetching).Int("store_most", summary.FetchLimit).Msg("engines")
}

// updateRole starts and ends this node's work as the leader when its role changes.
func (ctl *Control) updateRole(now time.Time) {
	role, leader := ctl.core.Role(), ctl.core.Leader()
	if role != ctl.lastRole || leader != ctl.lastLeader {
		ctl.options.Log.Info().Str("role", role.String()).Uint64("term", ctl.core.Term()).Str("leader", string(leader)).Msg("role changed")
		ctl.options.Metrics.Counter("role_changes").Inc(1)
	}
	ctl.lastRole, ctl.lastLeader = role, leader
	ctl.mutex.Lock()
	ctl.leader = ctl.leaderAddress()
	ctl.targets = ctl.directory.Len()
	ctl.mutex.Unlock()
	switch {
	case role != quorum.Leader && !ctl.leaderSince.IsZero():
		ctl.leaderSince = time.Time{}
		ctl.planner = loadplan.New(time.Time{})
		ctl.resetFeed()
	case role == quorum.Leader && ctl.leaderSince.IsZero() && ctl.core.HasCommittedInTerm() && ctl.index >= ctl.core.CommitIndex():
		// While the disk refuses writes, entries that earlier leaders have acknowledged may not be applied yet.
		ctl.leaderSince = now
		// A follower receives a target from the leader only when the target has changed, so its times of last contact are out of date.
		ctl.directory.ResetSilence(now)
		ctl.planner = loadplan.New(now.Add(time.Duration(startupShare * float64(ctl.options.TargetSilence))))
		ctl.resetFeed()
		ctl.quarantine.resetEvidence()
		ctl.limits, ctl.brittle = throttle.NewLedger(), throttle.NewTally()
		ctl.resetQuotas(now)
		ctl.leadOrigins(now)
		ctl.observeAll(now)
		ctl.beginHandover(now)
		ctl.inspectCachedEngines(now)
	}
}

// reportLease logs when the leader's lease ends while its role goes on, in which time nobody publishes its state, and when it holds again.
func (ctl *Control) reportLease(now time.Time) {
	isLost := !ctl.leaderSince.IsZero() && !ctl.core.HasLeaderLease(now)
	switch {
	case isLost && ctl.leaseLostAt.IsZero():
		ctl.leaseLostAt = now
		ctl.options.Metrics.Counter("leases_lost").Inc(1)
		ctl.options.Log.Warn().Uint64("term", ctl.core.Term()).Msg("leader lease lost")
	case !isLost && !ctl.leaseLostAt.IsZero():
		ctl.options.Log.Info().Uint64("term", ctl.core.Term()).Bool("leads", !ctl.leaderSince.IsZero()).Dur("after", now.Sub(ctl.leaseLostAt)).
			Msg("leader lease no longer lost")
		ctl.leaseLostAt = time.Time{}
	}
}

// resetFeed clears the state of the feed at a change of this node's role; the watch requests that wait are kept.
func (ctl *Control) resetFeed() {
	watchers, quarantined := ctl.feed.watchers, ctl.feed.quarantined
	ctl.feed = newFeedState()
	ctl.feed.watchers, ctl.feed.quarantined = watchers, quarantined
}

func (ctl *Control) observeAll(now time.Time) {
	for _, target := range ctl.directory.Targets() {
		ctl.observeTarget(now, target.Announcement().Target)
	}
}

// observeTarget passes the current state of a target to the planner and publishes it to the watchers.
func (ctl *Control) observeTarget(now time.Time, id celerylanding.TargetID) {
	target, ok := ctl.directory.Target(id)
	if !ok {
		return
	}
	announcement := target.Announcement()
	if spec := ctl.engineSpec(celerylanding.ServiceID(announcement.Group)); spec != nil {
		isEjected := ctl.outliers.IsEjected(now, id, announcement.Incarnation)
		ctl.planner.Observe(now, announcement, spec, target.IsRoutable() && !isEjected)
	}
	ctl.publish(now, target)
}

func (ctl *Control) expire(now time.Time) {
	for _, id := range ctl.directory.Expire(now) {
		ctl.options.Log.Warn().Str("target", string(id)).Msg("target sends no heartbeats; it gets no new work")
		ctl.observeTarget(now, id)
	}
	for _, id := range ctl.outliers.EndEjections(now) {
		ctl.options.Log.Info().Str("target", string(id)).Msg("ejection of target ended; it gets new work again")
		ctl.observeTarget(now, id)
	}
	for _, id := range ctl.feed.forgetSilent(now) {
		ctl.board.Forget(id)
		ctl.planner.ForgetRouter(id)
	}
	for _, target := range ctl.directory.Targets() {
		id := target.Announcement().Target
		if target.Announcement().Leaving && now.Sub(target.LastSeen()) > departedRetention {
			ctl.directory.Remove(id, target.Announcement().Incarnation)
			ctl.planner.Remove(id)
			delete(ctl.feed.targets, id)
		}
	}
}

// applyAnnouncement updates the directory with an announcement or a departure; it returns false if this node does not lead. A departure may be
// acknowledged only after the returned proposal is committed, unless that is nil.
func (ctl *Control) applyAnnouncement(now time.Time, args *AnnounceArgs) (accepted bool, proposed <-chan ProposeReply) {
	if !ctl.leads(now) {
		return false, nil
	}
	proposed, err := ctl.proposeDeparture(args)
	if err != nil {
		ctl.options.Log.Warn().Err(err).Msg("departure not recorded")
		return false, nil
	}
	id := args.Leaving
	changed := false
	if args.Announcement != nil {
		id = args.Announcement.Target
		known, ok := ctl.directory.Target(id)
		wasLeaving := ok && known.Announcement().Leaving && known.Announcement().Incarnation == args.Announcement.Incarnation
		if wasLeaving {
			// A target that is leaving does not return within the same incarnation, so that a late heartbeat can't bring it back.
			args.Announcement.Leaving = true
		}
		if changed = ctl.directory.Observe(now, ctl.withDeparture(*args.Announcement)); changed {
			ctl.observeVersion(now, args.Announcement)
		}
		if args.Announcement.Leaving && !wasLeaving {
			ctl.options.Log.Info().Str("target", string(id)).Msg("target is leaving")
			ctl.engineCache.saveDue = time.Time{}
		}
	} else if changed = ctl.directory.MarkLeaving(now, id, args.Incarnation); changed {
		ctl.options.Log.Info().Str("target", string(id)).Msg("target has left")
		ctl.engineCache.saveDue = time.Time{}
	}
	if changed {
		ctl.observeTarget(now, id)
	}
	return true, proposed
}

// announceLocal applies an announcement if this node leads, and waits until a departure is committed. On another node it adds an unchanged heartbeat to
// the next batch for the leader, if that is allowed. It reports whether either was done.
func (ctl *Control) announceLocal(ctx context.Context, args *AnnounceArgs, mayBatch bool) (accepted bool, err error) {
	type outcome struct {
		accepted bool
		proposed <-chan ProposeReply
	}
	// The function may still run after this call has ended with its context.
	outcomes := make(chan outcome, 1)
	if err := ctl.postAndWait(ctx, func(now time.Time) {
		accepted, proposed := ctl.applyAnnouncement(now, args)
		outcomes <- outcome{accepted || (mayBatch && ctl.batchHeartbeat(now, args.Announcement)), proposed}
	}); err != nil {
		return false, ErrNoQuorum.Wrap(err, "control state is busy")
	}
	result := <-outcomes
	if !result.accepted || result.proposed == nil {
		return result.accepted, nil
	}
	return true, awaitCommit(ctx, result.proposed)
}

// execute sends the orders and inspections of the planner; their outcomes are handled on the control goroutine.
func (ctl *Control) execute(actions loadplan.Actions) {
	fence := FencingToken(ctl.core.Term())
	if len(actions.Orders) > 0 {
		ctl.lastOrder = ctl.options.Clock()
	}
	for _, order := range actions.Orders {
		ctl.options.Metrics.Counter("orders").Inc(1)
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			outcome := ctl.options.Engines.Send(ctx, ctl.options.Clock(), order, string(ctl.options.Node), fence)
			ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.handleOrderOutcome(now, order, outcome) })
		})
	}
	for _, endpoint := range actions.Inspections {
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			report, err := ctl.options.Engines.Inspect(ctx, ctl.options.Clock(), endpoint)
			if err != nil {
				ctl.options.Log.Warn().Err(err).Str("target", string(endpoint.Target)).Msg("inspection of engine failed")
			}
			ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.planner.HandleReport(now, endpoint, report) })
		})
	}
}

func (ctl *Control) handleOrderOutcome(now time.Time, order loadplan.Order, outcome loadplan.Outcome) {
	ctl.options.Log.Info().Str("target", string(order.Endpoint.Target)).Str("order", string(order.Kind)).Str("unit", order.Unit.String()).
		Uint64("accepted", order.Accepted).Str("from", string(order.Tier)).Str("outcome", outcome.String()).Msg("order given")
	ctl.planner.HandleOutcome(now, order, outcome)
}

// watchLeader keeps a follower's directory up to date, so that it can take over and pass the leader's state on to routers.
func (ctl *Control) watchLeader(ctx context.Context) error {
	var term, revision, keptNext uint64
	originsNext := resume.FirstRecord
	watcher := watch.New(watch.Options{
		Direct: true,
		Clock:  ctl.options.Clock,
		Peers:  ctl.peers,
		Seeds: func() []string {
			if leader := ctl.Leader(); leader != "" {
				return []string{leader}
			}
			return nil
		},
		NextArgs: func() feed.WatchArgs {
			args := ctl.relay.collect(ctl.options.Clock())
			args.Node, args.Term, args.Revision, args.Relay = ctl.options.Node, term, revision, ctl.member.Address
			args.KeptNext, args.OriginsNext, args.Format = keptNext, originsNext, logFormat
			args.Detours, args.DetoursDigest = ctl.detours.Gather(ctl.options.Clock()), ctl.detours.Digest()
			// Followers receive the configuration through the log, so the feed need not send it.
			args.Version = ^uint64(0)
			return args
		},
		Apply: func(sent time.Time, reply *feed.WatchReply) {
			ctl.relay.acknowledge()
			if reply.Term != term {
				ctl.relay.repeatAll()
			}
			term, revision, keptNext = reply.Term, reply.Revision, reply.KeptNext
			// A leader of an earlier build sends none.
			originsNext = max(resume.FirstRecord, reply.OriginsNext)
			ctl.post(ctx, func(now time.Time) { ctl.applyFeed(now, sent, reply) })
		},
		IsPaused: func() bool { return ctl.Leader() == "" || ctl.Leader() == ctl.member.Address },
		Log:      ctl.options.Log,
	})
	return watcher.Run(ctx)
}

// applyTargets updates the directory with targets published by the leader.
func (ctl *Control) applyTargets(now time.Time, targets []feed.Target) {
	for i := range targets {
		known, ok := ctl.directory.Target(targets[i].ID)
		wasLeaving := ok && known.Announcement().Leaving
		announcement := ctl.withDeparture(announcementOf(&targets[i]))
		if ctl.directory.Observe(now, announcement) {
			ctl.observeVersion(now, &announcement)
			if targets[i].Leaving && !wasLeaving {
				ctl.engineCache.saveDue = time.Time{}
			}
		}
		if targets[i].Silent {
			ctl.directory.MarkSilent(targets[i].ID)
		}
	}
}
