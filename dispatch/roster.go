package dispatch

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// orphanTime is how long a target stays known that a new leader does not name; the leader hears of every live target within
// two heartbeats.
const orphanTime = 5 * time.Second

// unitKey names a unit of a service.
type unitKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// Table is what is known at one moment; it does not change.
type Table struct {
	routes   *routing.Table
	services map[celerylanding.ServiceID][]*feed.Target
	holders  map[unitKey][]*feed.Target
	routers  int
}

// Routes returns the routes in force, or nil while no configuration is known.
func (table *Table) Routes() *routing.Table { return table.routes }

// Routers returns the number of routers that share limits, at least 1.
func (table *Table) Routers() int { return max(1, table.routers) }

// Targets returns the targets of a service that take new work.
func (table *Table) Targets(service celerylanding.ServiceID) []*feed.Target {
	return table.services[service]
}

// TargetsForUnit returns the targets where requests for the unit can run.
func (table *Table) TargetsForUnit(service celerylanding.ServiceID, unit feed.Unit) []*feed.Target {
	return table.holders[unitKey{service, unit}]
}

// entry is one target of the roster.
type entry struct {
	target feed.Target
	term   uint64
	// orphaned is when a new leader was found not to name the target.
	orphaned time.Time
}

// Roster collects what leaders have published; it has one user.
type Roster struct {
	term     uint64
	revision uint64
	routers  int
	routes   *routing.Table
	targets  map[celerylanding.TargetID]*entry
}

// NewRoster returns a roster that knows nothing.
func NewRoster() *Roster {
	return &Roster{targets: make(map[celerylanding.TargetID]*entry)}
}

// Position returns the term, the revision and the version of the configuration that were taken last.
func (roster *Roster) Position() (term, revision, version uint64) {
	if roster.routes != nil {
		version = roster.routes.Version()
	}
	return roster.term, roster.revision, version
}

// Apply takes a leader's answer and returns the new table, or nil when nothing has changed. An answer of an earlier term changes
// nothing.
func (roster *Roster) Apply(now time.Time, reply *feed.WatchReply) *Table {
	if reply.Term < roster.term {
		return nil
	}
	changed := reply.Term != roster.term || len(reply.Targets) > 0 || reply.Routers != roster.routers
	roster.term, roster.revision, roster.routers = reply.Term, reply.Revision, reply.Routers
	if next := reply.Configuration; next != nil && (roster.routes == nil || next.Version > roster.routes.Version()) {
		roster.routes = routing.NewTable(next)
		changed = true
	}
	for i := range reply.Targets {
		roster.put(reply.Term, reply.Targets[i])
	}
	changed = roster.dropOrphans(now) || changed
	if !changed {
		return nil
	}
	return roster.table()
}

// put takes a target unless a later incarnation is known; leaving is final for an incarnation.
func (roster *Roster) put(term uint64, target feed.Target) {
	known := roster.targets[target.ID]
	if known != nil {
		if known.target.Incarnation > target.Incarnation {
			return
		}
		if known.target.Incarnation == target.Incarnation && known.target.Leaving {
			target.Leaving = true
		}
	}
	roster.targets[target.ID] = &entry{target: target, term: term}
}

// dropOrphans forgets the targets that the present leader has not named for long.
func (roster *Roster) dropOrphans(now time.Time) bool {
	dropped := false
	for id, known := range roster.targets {
		switch {
		case known.term == roster.term:
		case known.orphaned.IsZero():
			known.orphaned = now
		case now.Sub(known.orphaned) > orphanTime && !known.target.Leaving:
			delete(roster.targets, id)
			dropped = true
		}
	}
	return dropped
}

func (roster *Roster) table() *Table {
	table := &Table{
		routes:   roster.routes,
		services: make(map[celerylanding.ServiceID][]*feed.Target),
		holders:  make(map[unitKey][]*feed.Target),
		routers:  roster.routers,
	}
	for _, known := range roster.targets {
		target := known.target
		if target.Leaving {
			continue
		}
		table.services[target.Service] = append(table.services[target.Service], &target)
		for _, held := range target.Loaded {
			if held.Draining {
				continue
			}
			table.addHolder(&target, feed.Unit{Model: held.Model})
			for _, adapter := range held.Adapters {
				table.addHolder(&target, feed.Unit{Model: held.Model, Adapter: adapter})
			}
		}
	}
	return table
}

func (table *Table) addHolder(target *feed.Target, unit feed.Unit) {
	key := unitKey{target.Service, unit}
	table.holders[key] = append(table.holders[key], target)
}
