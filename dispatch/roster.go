package dispatch

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// orphanTTL is how long a target is kept that a new leader does not list; the leader receives every live target's announcement within
// two heartbeat intervals.
const orphanTTL = 5 * time.Second

const (
	// unlistedInterval is the time between two questions whether an orphan has left.
	unlistedInterval = 500 * time.Millisecond
	// viewTTL is the silence after which the whole list of targets is needed again. A leader lists a target that has left for two minutes.
	viewTTL = time.Minute
)

// unitKey identifies a unit of a service.
type unitKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// Table is an immutable snapshot of the routes and targets.
type Table struct {
	routes    *routing.Table
	byService map[celerylanding.ServiceID][]*feed.Target
	byUnit    map[unitKey][]*feed.Target
	// leaving are the targets that get no new requests, of which operators are told.
	leaving map[celerylanding.ServiceID][]*feed.Target
	byID    map[celerylanding.TargetID]*feed.Target
	// addresses are those of byID.
	addresses map[string]bool
	// noticeEnds holds when targets are taken away, for those that have said so.
	noticeEnds map[celerylanding.Endpoint]time.Time
	routers    int
}

// NoticeEnd returns when an incarnation of a target is taken away, whatever it is running, or zero if that is not known.
func (table *Table) NoticeEnd(endpoint celerylanding.Endpoint) time.Time {
	return table.noticeEnds[endpoint]
}

// IsLeaving reports whether the leader has listed the incarnation of a target as one that leaves.
func (table *Table) IsLeaving(target *feed.Target) bool {
	return slices.ContainsFunc(table.leaving[target.Service], func(listed *feed.Target) bool {
		return listed.ID == target.ID && listed.Incarnation == target.Incarnation
	})
}

// HasTargetAt reports whether a target that accepts new requests has the address.
func (table *Table) HasTargetAt(address string) bool { return table.addresses[address] }

// Routes returns the current routes, or nil while no configuration is known.
func (table *Table) Routes() *routing.Table { return table.routes }

// Routers returns the number of routers that share the limits, at least 1.
func (table *Table) Routers() int { return max(1, table.routers) }

// Targets returns the targets of a service that accept new requests.
func (table *Table) Targets(service celerylanding.ServiceID) []*feed.Target {
	return table.byService[service]
}

// AllTargets returns the targets of all services that accept new requests.
func (table *Table) AllTargets() []*feed.Target {
	var list []*feed.Target
	for _, targets := range table.byService {
		list = append(list, targets...)
	}
	return list
}

// promptCapacity returns the size of the memory for prompts of each of a service's targets in tokens, or zero if it is unknown.
func (table *Table) promptCapacity(id celerylanding.ServiceID) int {
	if table.routes == nil {
		return 0
	}
	service, ok := table.routes.Service(id)
	if !ok || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// TargetsForUnit returns the targets that have the unit loaded for new requests.
func (table *Table) TargetsForUnit(service celerylanding.ServiceID, unit feed.Unit) []*feed.Target {
	return table.byUnit[unitKey{service, unit}]
}

// rosterEntry is one target of the roster and the last term in which a leader listed it.
type rosterEntry struct {
	target feed.Target
	term   uint64
	// orphanedSince is when a new leader was first seen not to list the target, and askedAt when it was last asked whether the target has left.
	orphanedSince time.Time
	askedAt       time.Time
	// noticeEnd is when the target is taken away, by the earliest word on it; zero if it has not said so.
	noticeEnd time.Time
}

// Roster holds the routes and targets that leaders have published; it is not safe for concurrent use.
type Roster struct {
	term     uint64
	revision uint64
	routers  int
	routes   *routing.Table
	targets  map[celerylanding.TargetID]*rosterEntry
	// asOf is the time as of which the targets are known.
	asOf time.Time
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{targets: make(map[celerylanding.TargetID]*rosterEntry)}
}

// Position returns the term, the revision and the configuration version that were applied last.
func (roster *Roster) Position() (term, revision, version uint64) {
	if roster.routes != nil {
		version = roster.routes.Version()
	}
	return roster.term, roster.revision, version
}

// Confirm records that the targets are known as of a time, by the last reply that was applied.
func (roster *Roster) Confirm(asOf time.Time) { roster.asOf = asOf }

// Expire makes the roster ask for the whole list of targets if they were last known viewTTL ago: the leader may list targets no more that have left since.
func (roster *Roster) Expire(now time.Time) {
	if roster.asOf.IsZero() || now.Sub(roster.asOf) <= viewTTL {
		return
	}
	roster.revision = 0
	for _, known := range roster.targets {
		known.term = 0
	}
}

// Unlisted returns the targets that the current leader has not listed, and that it is to be asked for now. What it does not list may have left before it
// could hear of the target.
func (roster *Roster) Unlisted(now time.Time) []feed.TargetIncarnation {
	var list []feed.TargetIncarnation
	for _, known := range roster.targets {
		if known.term == roster.term || known.target.Leaving || now.Sub(known.askedAt) < unlistedInterval {
			continue
		}
		known.askedAt = now
		list = append(list, feed.TargetIncarnation{Target: known.target.ID, Incarnation: known.target.Incarnation})
	}
	return list
}

// markDeparted marks the targets whose incarnation, or a later one, has left, and reports whether any of them was in use.
func (roster *Roster) markDeparted(departed []feed.TargetIncarnation) bool {
	isChanged := false
	for _, left := range departed {
		known := roster.targets[left.Target]
		if known == nil || known.target.Leaving || known.target.Incarnation > left.Incarnation {
			continue
		}
		known.target.Leaving, isChanged = true, true
	}
	return isChanged
}

// Apply applies a leader's reply and returns the new table, or nil if nothing has changed. The targets of earlier terms and revisions are ignored.
func (roster *Roster) Apply(now time.Time, reply *feed.WatchReply) *Table {
	isNewer := roster.applyConfiguration(reply.Configuration)
	isNewer = roster.markDeparted(reply.Departed) || isNewer
	// A relay may be behind the one that answered before, also while it has a newer configuration through the log.
	if reply.Term < roster.term || (reply.Term == roster.term && reply.Revision < roster.revision) {
		if !isNewer {
			return nil
		}
		return roster.buildTable()
	}
	targets := reply.Targets.All()
	changed := isNewer || reply.Term != roster.term || len(targets) > 0 || reply.Routers != roster.routers
	roster.term, roster.revision, roster.routers = reply.Term, reply.Revision, reply.Routers
	for i := range targets {
		roster.upsert(now, reply.Term, targets[i])
	}
	changed = roster.removeOrphans(now) || changed
	if !changed {
		return nil
	}
	return roster.buildTable()
}

// applyConfiguration takes over a configuration if its version is higher than the one in force, and reports whether it is.
func (roster *Roster) applyConfiguration(next *routing.Configuration) bool {
	if next == nil || (roster.routes != nil && next.Version <= roster.routes.Version()) {
		return false
	}
	roster.routes = routing.NewTable(next)
	return true
}

// upsert stores a target unless a later incarnation is known; leaving is final for an incarnation.
func (roster *Roster) upsert(now time.Time, term uint64, target feed.Target) {
	entry := &rosterEntry{target: target, term: term}
	if target.Notice > 0 {
		entry.noticeEnd = now.Add(target.Notice)
	}
	known := roster.targets[target.ID]
	if known != nil {
		if known.target.Incarnation > target.Incarnation {
			return
		}
		if known.target.Incarnation == target.Incarnation {
			entry.target.Leaving = target.Leaving || known.target.Leaving
			// A new leader repeats the notice without the time that has passed since.
			if !known.noticeEnd.IsZero() && (entry.noticeEnd.IsZero() || known.noticeEnd.Before(entry.noticeEnd)) {
				entry.noticeEnd = known.noticeEnd
			}
		}
	}
	roster.targets[target.ID] = entry
}

// removeOrphans removes the targets, other than leaving ones, that the current leader has not listed for orphanTTL, and reports whether
// any were removed.
func (roster *Roster) removeOrphans(now time.Time) bool {
	removed := false
	for id, known := range roster.targets {
		switch {
		case known.term == roster.term:
		case known.orphanedSince.IsZero():
			known.orphanedSince = now
		case now.Sub(known.orphanedSince) > orphanTTL && !known.target.Leaving:
			delete(roster.targets, id)
			removed = true
		}
	}
	return removed
}

func (roster *Roster) buildTable() *Table {
	table := &Table{
		routes:     roster.routes,
		byService:  make(map[celerylanding.ServiceID][]*feed.Target),
		byUnit:     make(map[unitKey][]*feed.Target),
		leaving:    make(map[celerylanding.ServiceID][]*feed.Target),
		byID:       make(map[celerylanding.TargetID]*feed.Target),
		addresses:  make(map[string]bool),
		noticeEnds: make(map[celerylanding.Endpoint]time.Time),
		routers:    roster.routers,
	}
	for _, known := range roster.targets {
		target := known.target
		if !known.noticeEnd.IsZero() {
			table.noticeEnds[target.Endpoint()] = known.noticeEnd
		}
		if target.Leaving {
			table.leaving[target.Service] = append(table.leaving[target.Service], &target)
			continue
		}
		table.byID[target.ID] = &target
		table.addresses[target.Address] = true
		table.byService[target.Service] = append(table.byService[target.Service], &target)
		for _, model := range target.Loaded {
			if model.Draining {
				continue
			}
			table.addUnitTarget(&target, feed.Unit{Model: model.Model})
			for _, adapter := range model.Adapters {
				table.addUnitTarget(&target, feed.Unit{Model: model.Model, Adapter: adapter})
			}
		}
	}
	return table
}

func (table *Table) addUnitTarget(target *feed.Target, unit feed.Unit) {
	key := unitKey{target.Service, unit}
	table.byUnit[key] = append(table.byUnit[key], target)
}
