package control

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/waking"
)

const (
	// watchHold is the longest time that a question waits for changes; an answer also tells that the leader lives.
	watchHold = 250 * time.Millisecond
	// pushInterval is the shortest time between two rounds of answers, so that changes that come together travel together.
	pushInterval = 8 * time.Millisecond
	// pushCost is the time added to that for each router; an answer takes about a tenth of it on a small VM's processor.
	pushCost = time.Millisecond
	// maxConfigurations is the number of answers with a whole configuration in one round; one takes a millisecond or two, and questions
	// are given up after half a second, so that all at once would reach nobody on a large site.
	maxConfigurations = 16
	// routerSilence is the time after which a router that asks no more is not counted.
	routerSilence = 3 * time.Second
)

// watcher is a question that waits for changes.
type watcher struct {
	args   feed.WatchArgs
	answer chan<- feed.WatchReply
	due    time.Time
}

// published is what watchers are told of a target, and since when.
type published struct {
	target   feed.Target
	revision uint64
}

// feedState is what the leader keeps for its watchers.
type feedState struct {
	revision uint64
	targets  map[celerylanding.TargetID]*published
	watchers []watcher
	routers  map[celerylanding.NodeID]time.Time
	lastPush time.Time
	// configurationChanged is set until watchers are told of a new configuration.
	configurationChanged bool
}

func newFeedState() feedState {
	return feedState{targets: make(map[celerylanding.TargetID]*published), routers: make(map[celerylanding.NodeID]time.Time)}
}

// watch takes a question; one to a node that does not lead is answered at once.
func (ctl *Control) watch(now time.Time, args *feed.WatchArgs, answer chan<- feed.WatchReply) {
	if !ctl.leads(now) {
		answer <- feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses()}
		return
	}
	if args.Router {
		ctl.feed.routers[args.Node] = now
	}
	for _, crash := range args.Crashes {
		ctl.noteCrash(now, crash)
	}
	for _, outcome := range args.Outcomes {
		if ctl.ailing.Report(now, args.Node, outcome.Target, outcome.Incarnation, outcome.Answered, outcome.Failed) {
			ctl.options.Log.Warn().Str("target", string(outcome.Target)).Str("router", string(args.Node)).Msg("target fails what it gets")
			ctl.options.Metrics.Counter("targets_ailing").Inc(1)
			ctl.observeTarget(now, outcome.Target)
		}
	}
	for _, usage := range args.Usage {
		ctl.planner.Use(now, args.Node, ctl.serviceOf(usage.Unit.Model), usage)
	}
	ctl.feed.watchers = append(ctl.feed.watchers, watcher{args: *args, answer: answer, due: now.Add(watchHold)})
}

// crashesToRefuse is the number of targets that a request may crash; one that was merely running beside it is rarely in more.
const crashesToRefuse = 3

// noteCrash counts a target that died while it ran a request, and has routers refuse one that has crashed too many.
func (ctl *Control) noteCrash(now time.Time, crash feed.Crash) {
	if !ctl.quarantine.Add(now, router.Crash{Fingerprint: crash.Fingerprint, Target: crash.Target, Incarnation: crash.Incarnation}) {
		return
	}
	count := ctl.quarantine.Crashes(now, crash.Fingerprint)
	ctl.options.Log.Warn().Uint64("fingerprint", crash.Fingerprint).Str("target", string(crash.Target)).Int("crashes", count).
		Msg("target died while it ran a request")
	if count == crashesToRefuse {
		ctl.quarantined = append(ctl.quarantined, crash.Fingerprint)
		ctl.feed.revision++
	}
}

// expireQuarantine lets requests try again whose time has passed.
func (ctl *Control) expireQuarantine(now time.Time) {
	ctl.quarantine.Expire(now)
	ctl.quarantined = slices.DeleteFunc(slices.Clone(ctl.quarantined), func(fingerprint uint64) bool {
		return ctl.quarantine.Crashes(now, fingerprint) == 0
	})
}

// serviceOf returns the service whose engines know the model.
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

// answerWatchers answers the questions for which there is news, and those that have waited long enough.
func (ctl *Control) answerWatchers(now time.Time) {
	if len(ctl.feed.watchers) == 0 {
		return
	}
	leads := ctl.leads(now)
	isPushDue := now.Sub(ctl.feed.lastPush) >= pushInterval+time.Duration(len(ctl.feed.routers))*pushCost
	pushed := false
	configurations := 0
	waiting := ctl.feed.watchers[:0]
	for _, watcher := range ctl.feed.watchers {
		lacksConfiguration := watcher.args.Version < ctl.version()
		mayConfigure := lacksConfiguration && configurations < maxConfigurations
		switch {
		case !leads:
			watcher.answer <- feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses()}
		case mayConfigure || ctl.isUrgent(&watcher.args, isPushDue) || !now.Before(watcher.due):
			watcher.answer <- ctl.reply(&watcher.args, mayConfigure)
			pushed = true
			if mayConfigure {
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

// isUrgent reports whether a question is answered before its time: a router's when there is news, and that of a node that is new
// to this leader.
func (ctl *Control) isUrgent(args *feed.WatchArgs, isPushDue bool) bool {
	if args.Term != ctl.core.Term() {
		return true
	}
	return isPushDue && args.Router && args.Revision < ctl.feed.revision
}

func (ctl *Control) reply(args *feed.WatchArgs, withConfiguration bool) feed.WatchReply {
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

// publish tells watchers of a target if what they know of it has changed.
func (ctl *Control) publish(now time.Time, target *membership.Target) {
	view := ctl.viewOf(now, target)
	entry := ctl.feed.targets[view.ID]
	if entry != nil && isSameView(&entry.target, &view) {
		entry.target = view
		return
	}
	ctl.feed.revision++
	ctl.feed.targets[view.ID] = &published{target: view, revision: ctl.feed.revision}
}

// isSameView leaves out what only a successor of this leader needs.
func isSameView(a, b *feed.Target) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Leaving == b.Leaving &&
		a.Silent == b.Silent && a.Slots == b.Slots && slices.EqualFunc(a.Held, b.Held, func(x, y feed.Held) bool {
		return x.Model == y.Model && x.Closing == y.Closing && slices.Equal(x.Adapters, y.Adapters)
	}) && len(a.OnDisk) == len(b.OnDisk) && len(a.InMemory) == len(b.InMemory) && a.Fetching == b.Fetching && a.Ailing == b.Ailing
}

func (ctl *Control) viewOf(now time.Time, target *membership.Target) feed.Target {
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
		Ailing:      ctl.ailing.IsAiling(now, announcement.Target, announcement.Incarnation),
	}
	switch {
	case ctl.engineSpec(view.Service) == nil:
	case ctl.leadSince.IsZero():
		view.Held = heldOf(announcement.Inventory)
	default:
		view.Held = ctl.planner.View(now, announcement.Target)
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

// heldOf groups an inventory by models.
func heldOf(inventory []celerylanding.LoadedModel) []feed.Held {
	var list []feed.Held
	for _, entry := range inventory {
		unit := waking.UnitOf(entry.Model)
		at := slices.IndexFunc(list, func(held feed.Held) bool { return held.Model == unit.Model })
		if at < 0 {
			at = len(list)
			list = append(list, feed.Held{Model: unit.Model})
		}
		if unit.Adapter != "" {
			list[at].Adapters = append(list[at].Adapters, unit.Adapter)
		}
	}
	return list
}

// announcementOf turns what a leader has published back into an announcement.
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
	for _, held := range view.Held {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: held.Model})
		for _, adapter := range held.Adapters {
			unit := feed.Unit{Model: held.Model, Adapter: adapter}
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

// wake has a unit loaded for waiting requests if this node leads.
func (ctl *Control) wake(now time.Time, args feed.WakeArgs) feed.WakeReply {
	if !ctl.leads(now) || ctl.engineSpec(args.Service) == nil {
		return feed.WakeReply{}
	}
	reply := ctl.planner.Wake(now, args)
	ctl.options.Log.Info().Str("unit", args.Unit.String()).Str("router", string(args.Node)).Int("waiting", args.Waiting).
		Dur("patience", args.Patience).Dur("expected", reply.Expected).Bool("hopeless", reply.Hopeless).Str("cause", reply.Cause).
		Msg("wake asked for")
	return reply
}
