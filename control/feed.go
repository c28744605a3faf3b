package control

import (
	"context"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/routing"
)

const (
	// watchTimeout is the longest time that a watch request waits for changes; a reply also shows that the leader is alive.
	watchTimeout = 250 * time.Millisecond
	// pushInterval is the shortest time between two rounds of replies to routers, so that changes in quick succession share a reply.
	pushInterval = 8 * time.Millisecond
	// pushIntervalPerRouter is added to pushInterval for each router; a reply takes about a tenth of it on a small VM's processor.
	pushIntervalPerRouter = time.Millisecond
	// maxConfigurationsPerPush bounds the replies with a whole configuration in one round. One takes 1 to 2 ms to send, and watch
	// requests time out after half a second, so on a large site no reply would arrive in time if all were sent at once.
	maxConfigurationsPerPush = 16
	// routerTimeout is how long after its last watch request a router is still counted.
	routerTimeout = 3 * time.Second
)

// watcher is a watch request that waits for changes.
type watcher struct {
	args  feed.WatchArgs
	reply chan<- feed.WatchReply
	due   time.Time
}

// publishedTarget is the published state of a target and the revision at which it last changed.
type publishedTarget struct {
	target   feed.Target
	revision uint64
}

// feedState is the state of the feed on the leader.
type feedState struct {
	revision uint64
	targets  map[celerylanding.TargetID]*publishedTarget
	watchers []watcher
	routers  map[celerylanding.NodeID]time.Time
	lastPush time.Time
	// configurationChanged is set until the targets are re-evaluated under a new configuration.
	configurationChanged bool
}

func newFeedState() feedState {
	return feedState{targets: make(map[celerylanding.TargetID]*publishedTarget), routers: make(map[celerylanding.NodeID]time.Time)}
}

// watch records the crashes, outcomes and usage that a watch request reports, and queues the request until there are changes. A node that
// does not lead replies at once with the address of the leader.
func (ctl *Control) watch(now time.Time, args *feed.WatchArgs, reply chan<- feed.WatchReply) {
	if !ctl.leads(now) {
		reply <- feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses()}
		return
	}
	if args.Router {
		ctl.feed.routers[args.Node] = now
	}
	for _, crash := range args.Crashes {
		ctl.recordCrash(now, crash)
	}
	for _, outcome := range args.Outcomes {
		if ctl.outliers.Report(now, args.Node, outcome.Target, outcome.Incarnation, outcome.Answered, outcome.Failed) {
			ctl.options.Log.Warn().Str("target", string(outcome.Target)).Str("router", string(args.Node)).
				Msg("target ejected: it fails most of its requests")
			ctl.options.Metrics.Counter("targets_ailing").Inc(1)
			ctl.observeTarget(now, outcome.Target)
		}
	}
	for _, usage := range args.Usage {
		ctl.planner.RecordUsage(now, args.Node, ctl.serviceOf(usage.Unit.Model), usage)
	}
	ctl.feed.watchers = append(ctl.feed.watchers, watcher{args: *args, reply: reply, due: now.Add(watchTimeout)})
}

// quarantineThreshold is the number of crashed targets at which a request is quarantined; a request that merely ran at the same time as the
// one that caused the crashes rarely reaches it.
const quarantineThreshold = 3

// recordCrash counts a target that crashed while it ran a request, and quarantines the request at quarantineThreshold crashes.
func (ctl *Control) recordCrash(now time.Time, crash feed.Crash) {
	if !ctl.quarantine.Add(now, router.Crash{Fingerprint: crash.Fingerprint, Target: crash.Target, Incarnation: crash.Incarnation}) {
		return
	}
	count := ctl.quarantine.Crashes(now, crash.Fingerprint)
	ctl.options.Log.Warn().Uint64("fingerprint", crash.Fingerprint).Str("target", string(crash.Target)).Int("crashes", count).
		Msg("target crashed while it ran a request")
	if count == quarantineThreshold {
		ctl.quarantined = append(ctl.quarantined, crash.Fingerprint)
		ctl.feed.revision++
	}
}

// expireQuarantine releases requests whose quarantine has expired.
func (ctl *Control) expireQuarantine(now time.Time) {
	ctl.quarantine.Expire(now)
	ctl.quarantined = slices.DeleteFunc(slices.Clone(ctl.quarantined), func(fingerprint uint64) bool {
		return ctl.quarantine.Crashes(now, fingerprint) == 0
	})
}

// serviceOf returns the service whose engine settings list the model, or "" if there is none.
func (ctl *Control) serviceOf(id celerylanding.ModelID) celerylanding.ServiceID {
	if ctl.configuration == nil {
		return ""
	}
	for _, service := range ctl.configuration.Services {
		if service.Engine == nil {
			continue
		}
		if _, ok := service.Engine.Model(id); ok {
			return service.ID
		}
	}
	return ""
}

func (ctl *Control) memberAddresses() []string {
	members := ctl.core.Members()
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// answerWatchers replies to the watch requests that have changes or have reached their timeout.
func (ctl *Control) answerWatchers(now time.Time) {
	if len(ctl.feed.watchers) == 0 {
		return
	}
	leads := ctl.leads(now)
	isPushDue := now.Sub(ctl.feed.lastPush) >= pushInterval+time.Duration(len(ctl.feed.routers))*pushIntervalPerRouter
	pushed := false
	configurations := 0
	waiting := ctl.feed.watchers[:0]
	for _, watcher := range ctl.feed.watchers {
		lacksConfiguration := watcher.args.Version < ctl.version()
		includeConfiguration := lacksConfiguration && configurations < maxConfigurationsPerPush
		switch {
		case !leads:
			watcher.reply <- feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses()}
		case includeConfiguration || ctl.isUrgent(&watcher.args, isPushDue) || !now.Before(watcher.due):
			watcher.reply <- ctl.watchReply(&watcher.args, includeConfiguration)
			pushed = true
			if includeConfiguration {
				configurations++
			}
		default:
			waiting = append(waiting, watcher)
		}
	}
	ctl.feed.watchers = waiting
	if pushed && isPushDue {
		ctl.feed.lastPush = now
	}
}

// isUrgent reports whether a watch request is answered before its timeout: that of a router when there are changes and a push is due, and
// that of any node that has not received a reply in this term.
func (ctl *Control) isUrgent(args *feed.WatchArgs, isPushDue bool) bool {
	if args.Term != ctl.core.Term() {
		return true
	}
	return isPushDue && args.Router && args.Revision < ctl.feed.revision
}

func (ctl *Control) watchReply(args *feed.WatchArgs, withConfiguration bool) feed.WatchReply {
	reply := feed.WatchReply{Leads: true, Leader: ctl.member.Address, Members: ctl.memberAddresses(), Term: ctl.core.Term(),
		Revision: ctl.feed.revision, Routers: len(ctl.feed.routers)}
	reply.Quarantined = ctl.quarantined
	if withConfiguration {
		configuration := *ctl.configuration
		if args.Router {
			configuration.Source = nil
		}
		reply.Configuration = &configuration
	}
	since := args.Revision
	if args.Term != ctl.core.Term() {
		since = 0
	}
	for _, entry := range ctl.feed.targets {
		if entry.revision <= since {
			continue
		}
		target := entry.target
		if args.Router {
			target.OnDisk, target.InMemory, target.Fetching = nil, nil, ""
		}
		reply.Targets = append(reply.Targets, target)
	}
	return reply
}

// publish raises the revision of the feed if the published state of the target has changed.
func (ctl *Control) publish(now time.Time, target *membership.Target) {
	view := ctl.targetView(now, target)
	entry := ctl.feed.targets[view.ID]
	if entry != nil && isSameView(&entry.target, &view) {
		entry.target = view
		return
	}
	ctl.feed.revision++
	ctl.feed.targets[view.ID] = &publishedTarget{target: view, revision: ctl.feed.revision}
}

// isSameView reports whether two published states are equal, apart from fields that only the next leader needs.
func isSameView(a, b *feed.Target) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Leaving == b.Leaving &&
		a.Silent == b.Silent && a.Slots == b.Slots && slices.EqualFunc(a.Loaded, b.Loaded, func(x, y feed.LoadedModel) bool {
		return x.Model == y.Model && x.Draining == y.Draining && slices.Equal(x.Adapters, y.Adapters)
	}) && len(a.OnDisk) == len(b.OnDisk) && len(a.InMemory) == len(b.InMemory) && a.Fetching == b.Fetching && a.Outlier == b.Outlier
}

func (ctl *Control) targetView(now time.Time, target *membership.Target) feed.Target {
	announcement := target.Announcement()
	view := feed.Target{
		ID:          announcement.Target,
		Incarnation: announcement.Incarnation,
		Service:     celerylanding.ServiceID(announcement.Group),
		Address:     announcement.Address,
		Domain:      announcement.Domain,
		Slots:       announcement.Slots,
		Leaving:     announcement.Leaving,
		Silent:      !target.IsRoutable(),
		Sequence:    announcement.Sequence,
		Outlier:     ctl.outliers.IsEjected(now, announcement.Target, announcement.Incarnation),
	}
	switch {
	case ctl.engineSpec(view.Service) == nil:
	case ctl.leaderSince.IsZero():
		view.Loaded = loadedModels(announcement.Inventory)
	default:
		view.Loaded = ctl.planner.LoadedModels(now, announcement.Target)
		view.Fetching = ctl.planner.Fetching(announcement.Target)
	}
	for _, cached := range announcement.Cached {
		if cached.Tier == celerylanding.TierMemory {
			view.InMemory = append(view.InMemory, cached.Model)
		} else {
			view.OnDisk = append(view.OnDisk, cached.Model)
		}
	}
	return view
}

func (ctl *Control) engineSpec(id celerylanding.ServiceID) *routing.Engine {
	if ctl.configuration == nil {
		return nil
	}
	service, ok := ctl.configuration.Service(id)
	if !ok {
		return nil
	}
	return service.Engine
}

// loadedModels groups the entries of an inventory by model.
func loadedModels(inventory []celerylanding.LoadedModel) []feed.LoadedModel {
	var list []feed.LoadedModel
	for _, entry := range inventory {
		unit := loadplan.ParseUnit(entry.Model)
		at := slices.IndexFunc(list, func(loaded feed.LoadedModel) bool { return loaded.Model == unit.Model })
		if at < 0 {
			at = len(list)
			list = append(list, feed.LoadedModel{Model: unit.Model})
		}
		if unit.Adapter != "" {
			list[at].Adapters = append(list[at].Adapters, unit.Adapter)
		}
	}
	return list
}

// announcementOf converts the published state of a target back into an announcement.
func announcementOf(view *feed.Target) celerylanding.Announcement {
	announcement := celerylanding.Announcement{
		Target:      view.ID,
		Incarnation: view.Incarnation,
		Sequence:    view.Sequence,
		Domain:      view.Domain,
		Group:       string(view.Service),
		Address:     view.Address,
		Leaving:     view.Leaving,
		Slots:       view.Slots,
		Fetching:    view.Fetching,
	}
	for _, loaded := range view.Loaded {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: loaded.Model})
		for _, adapter := range loaded.Adapters {
			unit := feed.Unit{Model: loaded.Model, Adapter: adapter}
			announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: celerylanding.ModelID(unit.String())})
		}
	}
	for _, id := range view.OnDisk {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierDisk})
	}
	for _, id := range view.InMemory {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierMemory})
	}
	return announcement
}

// requestWake queues a wake request for the control goroutine and returns its reply. It turns the request away if too many wait, or if
// this one has waited too long.
func (ctl *Control) requestWake(ctx context.Context, args feed.WakeArgs) feed.WakeReply {
	arrived := ctl.options.Clock()
	replies := make(chan feed.WakeReply, 1)
	work := func(now time.Time) {
		if now.Sub(arrived) > maxWakeDelay {
			replies <- ctl.turnAway(args, "the request has waited too long")
			return
		}
		replies <- ctl.wake(now, args)
	}
	select {
	case ctl.inbox.wakes <- work:
	default:
		return ctl.turnAway(args, "too many requests wait")
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return feed.WakeReply{}
	}
}

func (ctl *Control) turnAway(args feed.WakeArgs, cause string) feed.WakeReply {
	ctl.options.Metrics.Counter("wakes_turned_away").Inc(1)
	ctl.options.Log.Debug().Str("unit", args.Unit.String()).Str("router", string(args.Node)).Str("cause", cause).Msg("wake turned away")
	return feed.WakeReply{Busy: true, Cause: cause}
}

// wake asks the planner to load a unit for waiting requests; it returns an empty reply if this node does not lead or the service has no
// engine.
func (ctl *Control) wake(now time.Time, args feed.WakeArgs) feed.WakeReply {
	if !ctl.leads(now) || ctl.engineSpec(args.Service) == nil {
		return feed.WakeReply{}
	}
	reply := ctl.planner.Wake(now, args)
	ctl.options.Log.Info().Str("unit", args.Unit.String()).Str("router", string(args.Node)).Int("waiting", args.Waiting).
		Dur("patience", args.MaxWait).Dur("expected", reply.Expected).Bool("hopeless", reply.Infeasible).Str("cause", reply.Cause).
		Msg("wake asked for")
	return reply
}
