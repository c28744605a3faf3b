package control

import (
	"math"
	"slices"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/feed"
)

const (
	// relayFreshness is the age of the leader's last reply up to which a follower passes the leader's state on. The age counts from the
	// request, which the leader may hold for watchTimeout, and the next reply takes as long again.
	relayFreshness = 4 * watchTimeout
	// relayContactTimeout is how long after its last report a relay is still named to routers.
	relayContactTimeout = time.Second
	// maxPendingCrashes bounds the crashes that a relay keeps until the leader has answered.
	maxPendingCrashes = 1024
	// maxPendingOrigins bounds the streams that a relay keeps until the leader has answered.
	maxPendingOrigins = 8192
	// maxPendingKept bounds the parts of prompts that a relay keeps until its next report.
	maxPendingKept = 256
)

// relayReports collects what routers report to a relay until the leader has it; it is safe for concurrent use.
type relayReports struct {
	mutex    sync.Mutex
	usage    map[feed.Unit]*unitTotal
	crashes  []feed.Crash
	answered []uint64
	limits   map[limitKey]*limitTotal
	brittle  map[limitKey]*brittleTotal
	outcomes []feed.Outcome
	origins  []feed.Origin
	// loads holds what the leader does not have of the targets' load.
	loads map[celerylanding.TargetID]*pendingLoad
	// kept are the parts of prompts that routers have reported since the last report; they are not repeated.
	kept    []feed.KeptPart
	keptAt  []time.Time
	routers map[celerylanding.NodeID]*routerUsage
	// sent is the last report, until the leader acknowledges it.
	sent   *feed.WatchArgs
	sentAt time.Time
}

// pendingLoad is the sum of the routers' reports of a target, with its newest load, reported at a time.
type pendingLoad struct {
	feed.TargetReport
	at time.Time
}

// addLoad adds a router's report of a target's load.
func (reports *relayReports) addLoad(now time.Time, report feed.TargetReport) {
	total := reports.loads[report.Target]
	switch {
	case total == nil || total.Incarnation < report.Incarnation:
		reports.loads[report.Target] = &pendingLoad{report, now.Add(-report.Age)}
		return
	case total.Incarnation > report.Incarnation:
		return
	}
	total.Sent += report.Sent
	total.Read += report.Read
	total.Models = feed.AddModelTokens(total.Models, report.Models...)
	if at := now.Add(-report.Age); report.Slots > 0 && (total.Slots == 0 || at.After(total.at)) {
		total.Load, total.Slots, total.at = report.Load, report.Slots, at
	}
}

// unitTotal is the sum of the routers' usage of a unit.
type unitTotal struct {
	feed.Usage
	// isChanged is set while the leader does not have the number of running requests.
	isChanged bool
}

// routerUsage holds the running requests that a router has last reported.
type routerUsage struct {
	inFlight map[feed.Unit]int
	seen     time.Time
}

func newRelayReports() *relayReports {
	return &relayReports{usage: make(map[feed.Unit]*unitTotal), routers: make(map[celerylanding.NodeID]*routerUsage),
		limits: make(map[limitKey]*limitTotal), brittle: make(map[limitKey]*brittleTotal), loads: make(map[celerylanding.TargetID]*pendingLoad)}
}

// add adds the report of a router.
func (reports *relayReports) add(now time.Time, args *feed.WatchArgs) {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	router := reports.routers[args.Node]
	if router == nil {
		router = &routerUsage{inFlight: make(map[feed.Unit]int)}
		reports.routers[args.Node] = router
	}
	router.seen = now
	for _, usage := range args.Usage {
		reports.addArrivals(usage)
		reports.setInFlight(router, usage.Unit, usage.InFlight)
	}
	if len(reports.crashes) < maxPendingCrashes {
		reports.crashes = append(reports.crashes, args.Crashes...)
	}
	if len(reports.origins) < maxPendingOrigins {
		reports.origins = append(reports.origins, args.Origins...)
	}
	for _, part := range args.Kept {
		if len(reports.kept) < maxPendingKept {
			reports.kept, reports.keptAt = append(reports.kept, part), append(reports.keptAt, now)
		}
	}
	for _, fingerprint := range args.Answered {
		if !slices.Contains(reports.answered, fingerprint) {
			reports.answered = append(reports.answered, fingerprint)
		}
	}
	for _, report := range args.Limits {
		reports.addLimit(now, report)
	}
	for _, report := range args.Brittle {
		reports.addBrittle(now, report)
	}
	for _, report := range args.Reports {
		reports.addLoad(now, report)
	}
	for _, outcome := range args.Outcomes {
		outcome.Node = args.Node
		reports.outcomes = append(reports.outcomes, outcome)
	}
}

// limitKey identifies an incarnation of a target.
type limitKey struct {
	target      celerylanding.TargetID
	incarnation celerylanding.Incarnation
}

// limitTotal is the sum of the routers' demand for a target, with what its latest answer named.
type limitTotal struct {
	feed.LimitReport
	answeredAt time.Time
}

// addLimit adds a router's demand for a target, and keeps the latest of the answers.
func (reports *relayReports) addLimit(now time.Time, report feed.LimitReport) {
	key := limitKey{report.Target, report.Incarnation}
	total := reports.limits[key]
	if total == nil {
		total = &limitTotal{LimitReport: feed.LimitReport{Target: report.Target, Incarnation: report.Incarnation}}
		reports.limits[key] = total
	}
	total.Wanted += report.Wanted
	total.Sent += report.Sent
	answeredAt := now.Add(-report.Age)
	if report.IsAnswered && !answeredAt.Before(total.answeredAt) {
		total.IsAnswered, total.HasLimit, total.Limit, total.answeredAt = true, report.HasLimit, report.Limit, answeredAt
	}
}

// takeLoads returns the reports of the targets' load since the last call. They are not repeated if the leader doesn't get them: newer ones follow.
func (reports *relayReports) takeLoads(now time.Time) []feed.TargetReport {
	var list []feed.TargetReport
	for _, load := range reports.loads {
		load.Age = now.Sub(load.at)
		list = append(list, load.TargetReport)
	}
	clear(reports.loads)
	return list
}

// takeLimits returns the demand since the last call with the age of the answers.
func (reports *relayReports) takeLimits(now time.Time) []feed.LimitReport {
	var list []feed.LimitReport
	for _, total := range reports.limits {
		if total.IsAnswered {
			total.Age = now.Sub(total.answeredAt)
		}
		list = append(list, total.LimitReport)
	}
	clear(reports.limits)
	return list
}

// takeKept returns the parts of prompts that have been reported since the last call, with their ages.
func (reports *relayReports) takeKept(now time.Time) []feed.KeptPart {
	list := reports.kept
	for i := range list {
		list[i].Age += now.Sub(reports.keptAt[i])
	}
	reports.kept, reports.keptAt = nil, nil
	return list
}

func (reports *relayReports) addArrivals(usage feed.Usage) {
	total := reports.total(usage.Unit)
	total.Arrivals += usage.Arrivals
	total.Urgency += usage.Urgency
	total.Late += usage.Late
}

func (reports *relayReports) total(unit feed.Unit) *unitTotal {
	total := reports.usage[unit]
	if total == nil {
		total = &unitTotal{Usage: feed.Usage{Unit: unit}}
		reports.usage[unit] = total
	}
	return total
}

func (reports *relayReports) setInFlight(router *routerUsage, unit feed.Unit, count int) {
	before := router.inFlight[unit]
	if count == before {
		return
	}
	total := reports.total(unit)
	total.InFlight += count - before
	total.isChanged = true
	if count == 0 {
		delete(router.inFlight, unit)
	} else {
		router.inFlight[unit] = count
	}
}

// collect returns the next report to the leader, with all that the leader has not acknowledged. It forgets the routers that have not reported
// for routerTimeout.
func (reports *relayReports) collect(now time.Time) feed.WatchArgs {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	reports.restoreSent()
	for id, router := range reports.routers {
		if now.Sub(router.seen) <= routerTimeout {
			continue
		}
		for unit := range router.inFlight {
			reports.setInFlight(router, unit, 0)
		}
		delete(reports.routers, id)
	}
	args := feed.WatchArgs{Crashes: reports.crashes, Answered: reports.answered, Outcomes: reports.outcomes, Origins: reports.origins,
		Routers: len(reports.routers),
		Limits:  reports.takeLimits(now), Brittle: reports.takeBrittle(now), Reports: reports.takeLoads(now), Kept: reports.takeKept(now)}
	for unit, total := range reports.usage {
		if total.Arrivals > 0 || total.Late > 0 || total.isChanged {
			args.Usage = append(args.Usage, total.Usage)
		}
		total.Arrivals, total.Late, total.Urgency, total.isChanged = 0, 0, 0, false
		if total.InFlight == 0 {
			delete(reports.usage, unit)
		}
	}
	// Routers repeat the answered suspects with each report while the leader lists them.
	reports.crashes, reports.answered, reports.outcomes, reports.origins = nil, nil, nil, nil
	reports.sent, reports.sentAt = &args, now
	return args
}

// restoreSent takes back the last report if the leader has not acknowledged it.
func (reports *relayReports) restoreSent() {
	if reports.sent == nil {
		return
	}
	for _, usage := range reports.sent.Usage {
		reports.addArrivals(usage)
		reports.total(usage.Unit).isChanged = true
	}
	reports.crashes = append(reports.sent.Crashes, reports.crashes...)
	reports.outcomes = append(reports.sent.Outcomes, reports.outcomes...)
	reports.origins = append(reports.sent.Origins, reports.origins...)
	for _, report := range reports.sent.Limits {
		reports.addLimit(reports.sentAt, report)
	}
	for _, report := range reports.sent.Brittle {
		reports.addBrittle(reports.sentAt, report)
	}
	reports.sent = nil
}

// acknowledge records that the leader has the last report.
func (reports *relayReports) acknowledge() {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	reports.sent = nil
}

// repeatAll makes the next report contain all running requests, since a new leader knows none.
func (reports *relayReports) repeatAll() {
	reports.mutex.Lock()
	defer reports.mutex.Unlock()
	for _, total := range reports.usage {
		total.isChanged = true
	}
}

// relays reports whether this node follows the leader closely enough to pass its state on.
func (ctl *Control) relays(now time.Time) bool {
	return ctl.leaderSince.IsZero() && !ctl.stopping && !ctl.isStalled && ctl.feed.term != 0 && ctl.feed.term == ctl.core.Term() && ctl.feed.age(now) <= relayFreshness
}

// age returns the age of the leader's state on a node that relays it, with the node's configuration.
func (state *feedState) age(now time.Time) time.Duration {
	age, isKnown := state.proof.Age(now)
	if !isKnown {
		return math.MaxInt64
	}
	return age
}

// extendProof takes over what a reply to a request that was sent at a time says of the newest configuration, while the node has the version in force. A
// node that gets the configuration late, through the log, passes on no state as newer than its configuration.
func (state *feedState) extendProof(sent time.Time, reply *feed.WatchReply, inForce uint64) {
	state.proof = state.proof.Extend(access.NewWord(sent, reply.Age, reply.Version), inForce)
}

// applyFeed takes over the leader's reply to this node's watch request, which was sent at the given time.
func (ctl *Control) applyFeed(now, sent time.Time, reply *feed.WatchReply) {
	targets := reply.Targets.All()
	ctl.applyTargets(now, targets)
	ctl.recordOrigins(now, reply.Origins)
	if !ctl.leaderSince.IsZero() {
		return
	}
	if reply.Term != ctl.feed.term {
		routers, watchers := ctl.feed.routers, ctl.feed.watchers
		ctl.feed = newFeedState()
		ctl.feed.term, ctl.feed.routers, ctl.feed.watchers = reply.Term, routers, watchers
	}
	for _, id := range ctl.feed.forgetSilent(now) {
		ctl.board.Forget(id)
	}
	ctl.feed.extendProof(sent, reply, ctl.version())
	ctl.feed.routerTotal, ctl.feed.relayAddresses = reply.Routers, reply.Relays
	ctl.feed.quarantined, ctl.feed.suspects, ctl.feed.trials, ctl.feed.limits = reply.Quarantined, reply.Suspects, reply.Trials, reply.Limits
	ctl.feed.brittle = reply.Brittle
	ctl.detours.Adopt(reply.Detours)
	ctl.feed.prompts.Relay(now, reply.Kept, reply.KeptNext)
	for _, report := range reply.Reports {
		ctl.board.Adopt(now, report)
	}
	if reply.Revision > ctl.feed.revision {
		ctl.feed.revision = reply.Revision
		clear(ctl.feed.lists)
	}
	for _, target := range targets {
		ctl.feed.targets[target.ID] = &publishedTarget{target: target, revision: reply.Revision}
	}
}

// relayCandidates returns the nodes that routers should watch instead of the leader: none while there are few routers, otherwise the
// leader and the followers that relay.
func (ctl *Control) relayCandidates(now time.Time) []feed.RelayAddress {
	if ctl.feed.countRouters() <= ctl.options.MaxDirectRouters {
		return nil
	}
	list := []feed.RelayAddress{{Address: ctl.member.Address, Domain: ctl.member.Domain}}
	for _, member := range ctl.core.Members() {
		for _, relay := range ctl.feed.relays {
			if relay.address == member.Address && now.Sub(relay.seen) <= relayContactTimeout {
				list = append(list, feed.RelayAddress{Address: member.Address, Domain: member.Domain})
				break
			}
		}
	}
	return list
}
