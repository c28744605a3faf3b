package control

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
	"celerylanding.example/celerylanding/resume"
)

const (
	// watchTimeout is the longest time that a watch request waits for changes; a reply also shows that the leader is alive.
	watchTimeout = 250 * time.Millisecond
	// pushInterval is the shortest time between two rounds of replies to routers, so that changes in quick succession share a reply.
	pushInterval = 8 * time.Millisecond
	// pushIntervalPerRouter is added to pushInterval for each router; a reply takes about a tenth of it on a small VM's processor.
	pushIntervalPerRouter = time.Millisecond
	// reportInterval and relayReportInterval are the times after which the request of a router and that of a relay are answered if there is news
	// of the targets' load.
	reportInterval      = 100 * time.Millisecond
	relayReportInterval = 50 * time.Millisecond
	// reportsPerSecond bounds the reports of targets' load that all routers together get. Otherwise their number would grow with the product of routers
	// and targets: at 270 routers and 3,000 targets a controller sent 12 MB a second.
	reportsPerSecond = 40_000
	// relayDivisor divides it for each relay, of which there is one for each failure domain or two.
	relayDivisor = 8
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

// listKey identifies the targets that have changed since a revision, for routers or for control nodes.
type listKey struct {
	since    uint64
	isRouter bool
}

// feedState is the state of the feed: on the leader its own, on another node what the leader has sent.
type feedState struct {
	// term is the term of the leader whose state this is, and proof the time as of which that state and this node's configuration are known to be the
	// newest; on the leader both are unused.
	term     uint64
	proof    access.Proof
	revision uint64
	targets  map[celerylanding.TargetID]*publishedTarget
	watchers []watcher
	// routers holds the time of the last watch request of each router that watches this node.
	routers map[celerylanding.NodeID]time.Time
	// relays holds the control nodes that pass the feed on.
	relays   map[celerylanding.NodeID]relayReport
	lastPush time.Time
	// lists are the changes since earlier revisions, up to the current one.
	lists map[listKey]*feed.TargetList
	// configurationChanged is set until the targets are re-evaluated under a new configuration.
	configurationChanged bool
	// quarantined lists the fingerprints of the requests that routers refuse, as the leader has sent it; on the leader it is unused. suspects
	// are the fingerprints whose answers routers report.
	quarantined []uint64
	suspects    []uint64
	// trials are the fingerprints of the requests whose copies run one at a time.
	trials []uint64
	// limits lists the targets with a limit on requests, as of limitsAt; another node than the leader has it from the leader.
	limits   []feed.TargetLimit
	limitsAt time.Time
	// brittle lists the targets that say that they are brittle, likewise.
	brittle   []feed.BrittleTarget
	brittleAt time.Time
	// routerTotal is the number of all routers, as the leader has sent it.
	routerTotal int
	// relayAddresses are the relays that the leader has named.
	relayAddresses []feed.RelayAddress
	// prompts holds the parts of prompts that routers have reported.
	prompts *promptcache.Board
}

// relayReport is what a relay has last reported.
type relayReport struct {
	address string
	routers int
	format  uint64
	seen    time.Time
}

func newFeedState() feedState {
	return feedState{targets: make(map[celerylanding.TargetID]*publishedTarget), routers: make(map[celerylanding.NodeID]time.Time),
		relays: make(map[celerylanding.NodeID]relayReport), lists: make(map[listKey]*feed.TargetList),
		prompts: promptcache.NewBoard()}
}

// advance starts a new revision.
func (state *feedState) advance() {
	state.revision++
	clear(state.lists)
}

// changesSince returns the targets that have changed since a revision; readers at the same revision share one list.
func (state *feedState) changesSince(key listKey) *feed.TargetList {
	if list, ok := state.lists[key]; ok {
		return list
	}
	var changed []feed.Target
	for _, entry := range state.targets {
		if entry.revision <= key.since {
			continue
		}
		target := entry.target
		if key.isRouter {
			target.OnDisk, target.InMemory, target.Fetching = nil, nil, ""
		}
		changed = append(changed, target)
	}
	var list *feed.TargetList
	if len(changed) > 0 {
		list = feed.NewTargetList(changed)
	}
	state.lists[key] = list
	return list
}

// countRouters returns the number of routers that watch this node or one of the relays.
func (state *feedState) countRouters() int {
	count := len(state.routers)
	for _, relay := range state.relays {
		count += relay.routers
	}
	return count
}

// forgetSilent drops the routers and relays that have not watched for routerTimeout, and returns the routers and relays that it dropped.
func (state *feedState) forgetSilent(now time.Time) []celerylanding.NodeID {
	var dropped []celerylanding.NodeID
	for id, seen := range state.routers {
		if now.Sub(seen) > routerTimeout {
			delete(state.routers, id)
			dropped = append(dropped, id)
		}
	}
	for id, relay := range state.relays {
		if now.Sub(relay.seen) > routerTimeout {
			delete(state.relays, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// watch records the crashes, outcomes and usage that a watch request reports, and queues the request until there are changes. A node that
// neither leads nor relays replies at once with the address of the leader.
func (ctl *Control) watch(now time.Time, args *feed.WatchArgs, reply chan<- feed.WatchReply) {
	ctl.recordDetours(now, args)
	// A node that knows a later term has better state than this one.
	isOutdated := args.Term > ctl.feedTerm()
	switch {
	case args.IsSearch:
		reply <- ctl.locate(now, isOutdated)
		return
	case !isOutdated && ctl.leads(now):
		ctl.applyReport(now, args)
	case !isOutdated && args.Router && ctl.relays(now):
		ctl.relay.add(now, args)
		ctl.addReports(now, args.Reports)
		ctl.recordOrigins(now, args.Origins)
		ctl.feed.routers[args.Node] = now
	default:
		reply <- feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses(), Term: ctl.core.Term()}
		return
	}
	ctl.feed.watchers = append(ctl.feed.watchers, watcher{args: *args, reply: reply, due: now.Add(watchTimeout)})
}

// applyReport applies what a router or relay reports to the leader.
func (ctl *Control) applyReport(now time.Time, args *feed.WatchArgs) {
	if args.Router {
		ctl.feed.routers[args.Node] = now
	}
	if args.Relay != "" {
		ctl.feed.relays[args.Node] = relayReport{address: args.Relay, routers: args.Routers, format: args.Format, seen: now}
	}
	for _, crash := range args.Crashes {
		ctl.recordCrash(now, crash)
	}
	ctl.recordAnswered(args.Node, args.Answered)
	ctl.addReports(now, args.Reports)
	ctl.recordWork(now, args.Reports)
	ctl.recordTargets(now, args)
	ctl.recordOrigins(now, args.Origins)
	ctl.feed.prompts.Add(now, args.Kept)
	for _, outcome := range args.Outcomes {
		node := outcome.Node
		if node == "" {
			node = args.Node
		}
		if ctl.outliers.Report(now, node, outcome.Target, outcome.Incarnation, outcome.Answered, outcome.Failed) {
			ctl.options.Log.Warn().Str("target", string(outcome.Target)).Str("router", string(node)).
				Msg("target ejected: it fails most of its requests")
			ctl.options.Metrics.Counter("targets_ailing").Inc(1)
			ctl.observeTarget(now, outcome.Target)
		}
	}
	for _, usage := range args.Usage {
		ctl.planner.RecordUsage(now, args.Node, ctl.serviceOf(usage.Unit.Model), usage)
	}
}

// recordOrigins records which software versions have begun streams.
func (ctl *Control) recordOrigins(now time.Time, origins []feed.Origin) {
	for _, origin := range origins {
		ctl.origins.Record(now, origin)
	}
}

// hasOrigins reports whether a control node gets records of streams before its request's timeout, so that it has them if it succeeds the leader.
func (ctl *Control) hasOrigins(now time.Time, watcher *watcher) bool {
	next := watcher.args.OriginsNext
	return next > 0 && next < ctl.origins.Next() && now.Sub(watcher.due) >= reportInterval-watchTimeout && ctl.leads(now)
}

// addReports adds what routers know of the targets' load.
func (ctl *Control) addReports(now time.Time, reports []feed.TargetReport) {
	for _, report := range reports {
		ctl.board.Add(now, report)
	}
}

// recordWork tells the planner of the targets' load and of the models that cause it.
func (ctl *Control) recordWork(now time.Time, reports []feed.TargetReport) {
	for _, report := range reports {
		for _, work := range report.Models {
			if service := ctl.serviceOf(work.Model); service != "" {
				ctl.planner.RecordWork(now, service, work.Model, work.Tokens)
			}
		}
		load, unread := ctl.board.Load(now, report.Target)
		ctl.planner.SetLoad(now, report.Target, load.Slowdown, unread)
	}
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
	hasState := leads || ctl.relays(now)
	isPushDue := now.Sub(ctl.feed.lastPush) >= pushInterval+time.Duration(len(ctl.feed.routers))*pushIntervalPerRouter
	pushed := false
	configurations := 0
	waiting := ctl.feed.watchers[:0]
	for _, watcher := range ctl.feed.watchers {
		lacksConfiguration := watcher.args.Version < ctl.version()
		includeConfiguration := lacksConfiguration && configurations < maxConfigurationsPerPush
		switch {
		case !hasState:
			watcher.reply <- feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses(), Term: ctl.core.Term()}
		case includeConfiguration || ctl.isUrgent(&watcher.args, isPushDue) || !now.Before(watcher.due) || ctl.hasReports(now, &watcher) || ctl.hasOrigins(now, &watcher):
			watcher.reply <- ctl.watchReply(now, &watcher.args, includeConfiguration)
			pushed = true
			if includeConfiguration {
				configurations++
			}
		default:
			waiting = append(waiting, watcher)
		}
	}
	clear(ctl.feed.watchers[len(waiting):])
	ctl.feed.watchers = waiting
	if pushed && isPushDue {
		ctl.feed.lastPush = now
	}
}

// feedTerm returns the term of the leader whose state this node publishes.
func (ctl *Control) feedTerm() uint64 {
	if ctl.leaderSince.IsZero() {
		return ctl.feed.term
	}
	return ctl.core.Term()
}

// isUrgent reports whether a watch request is answered before its timeout: that of a router or relay when there are changes and a push is
// due, that of a router which uses a target that has left, and that of any node that has not received a reply in this term.
func (ctl *Control) isUrgent(args *feed.WatchArgs, isPushDue bool) bool {
	if args.Term != ctl.feedTerm() || len(ctl.departures.among(args.Unlisted)) > 0 {
		return true
	}
	return isPushDue && (args.Router || args.Relay != "") && args.Revision < ctl.feed.revision
}

// newestVersion returns the version of the newest configuration that any member may have acknowledged, or zero while committed entries
// are not applied yet, as after a failed write. It may be called only while this node leads.
func (ctl *Control) newestVersion() uint64 {
	return provenVersion(ctl.index, ctl.core.CommitIndex(), ctl.version())
}

// provenVersion returns the version in force if all committed entries are applied, or zero.
func provenVersion(applied, committed, version uint64) uint64 {
	if applied < committed {
		return 0
	}
	return version
}

// hasReports reports whether a router or relay gets news of the targets' load before its request's timeout.
func (ctl *Control) hasReports(now time.Time, watcher *watcher) bool {
	interval, rate := relayReportInterval, ctl.reportRate(&watcher.args)
	if watcher.args.Router {
		interval = reportInterval
	}
	return rate > 0 && now.Sub(watcher.due) >= interval-watchTimeout && ctl.board.HasNews(now, watcher.args.Node, rate)
}

// reportRate returns the number of reports a second that a node gets: its share by the routers that it stands for, and none for a relay without any.
func (ctl *Control) reportRate(args *feed.WatchArgs) float64 {
	routers := ctl.feed.routerTotal
	if !ctl.leaderSince.IsZero() {
		routers = ctl.feed.countRouters()
	}
	switch {
	case args.Router:
		return reportsPerSecond / float64(max(1, routers))
	case args.Relay != "" && args.Routers > 0:
		// A relay passes them on to its routers, which get a part of them each.
		return reportsPerSecond / relayDivisor
	}
	return 0
}

func (ctl *Control) watchReply(now time.Time, args *feed.WatchArgs, withConfiguration bool) feed.WatchReply {
	reply := feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses(), Term: ctl.feedTerm(), Revision: ctl.feed.revision,
		Quarantined: ctl.quarantinedFingerprints(), Suspects: ctl.feed.suspects, Trials: ctl.feed.trials}
	if ctl.leads(now) {
		reply.Leads, reply.Leader = true, ctl.member.Address
		reply.Version = ctl.newestVersion()
		reply.Limits, reply.Brittle = ctl.publishedLimits(now), ctl.publishedBrittle(now)
		reply.Routers = ctl.feed.countRouters()
		if args.Router || args.Relay != "" {
			reply.Relays = ctl.relayCandidates(now)
		}
	} else {
		reply.Relayed = true
		reply.Age, reply.Version = ctl.feed.age(now), ctl.version()
		reply.Routers, reply.Relays = ctl.feed.routerTotal, ctl.feed.relayAddresses
		reply.Limits, reply.Brittle = ctl.feed.limits, ctl.feed.brittle
	}
	if withConfiguration {
		configuration := *ctl.configuration
		if args.Router {
			configuration.Source = nil
		}
		reply.Configuration = &configuration
	}
	if rate := ctl.reportRate(args); rate > 0 {
		reply.Reports = ctl.board.Next(now, args.Node, rate)
	}
	key := listKey{since: args.Revision, isRouter: args.Router}
	keptSince, originsSince := args.KeptNext, args.OriginsNext
	if args.Term != reply.Term {
		key.since, keptSince, originsSince = 0, 0, resume.FirstRecord
	}
	if reply.Leads && args.OriginsNext > 0 {
		reply.Origins, reply.OriginsNext = ctl.origins.Since(now, originsSince)
	}
	if args.Router || args.Routers > 0 {
		reply.Kept, reply.KeptNext = ctl.feed.prompts.Since(now, keptSince)
	}
	reply.Targets = ctl.feed.changesSince(key)
	reply.Departed = ctl.departures.among(args.Unlisted)
	ctl.addDetours(now, args, &reply)
	return reply
}
