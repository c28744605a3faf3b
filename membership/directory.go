package membership

import (
	"slices"
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
)

// The flag and events of the target chart.
const (
	FlagRoutable chart.Flag = "routable"

	EventHeard   chart.Event = "heard"
	EventSilent  chart.Event = "silent"
	EventLeaving chart.Event = "leaving"
	EventRefused chart.Event = "refused"
)

// dropAfter is the silence after which a target is no longer listed.
const dropAfter = time.Hour

// Target is the latest that this node knows of a target.
type Target struct {
	announcement celerylanding.Announcement
	state        chart.State
	heard        time.Time
	routable     bool
}

// Announcement returns the target's latest announcement.
func (target *Target) Announcement() celerylanding.Announcement { return target.announcement }

// State returns the state in the target chart.
func (target *Target) State() chart.State { return target.state }

// LastHeard returns when this node last heard of the target.
func (target *Target) LastHeard() time.Time { return target.heard }

// IsRoutable reports whether the target gets new work.
func (target *Target) IsRoutable() bool { return target.routable }

// Directory is one node's view of all targets.
type Directory struct {
	chart   *chart.Chart
	silence time.Duration
	targets map[celerylanding.TargetID]*Target
}

// NewDirectory returns an empty view; a target that is silent for longer than the given time is suspected.
func NewDirectory(silence time.Duration) (*Directory, error) {
	targetChart, err := chart.Load("target.yaml")
	if err != nil {
		return nil, err
	}
	return &Directory{chart: targetChart, silence: silence, targets: make(map[celerylanding.TargetID]*Target)}, nil
}

// Observe takes an announcement and reports whether it was news; old and repeated ones change nothing.
func (directory *Directory) Observe(now time.Time, announcement celerylanding.Announcement) bool {
	known, ok := directory.targets[announcement.Target]
	if ok && !announcement.Supersedes(known.announcement) {
		return false
	}
	state := directory.chart.Initial()
	if ok && known.announcement.Incarnation == announcement.Incarnation {
		state = known.state
	}
	target := &Target{announcement: announcement, state: state, heard: now}
	event := EventHeard
	if announcement.Leaving {
		event = EventLeaving
	}
	directory.move(target, event)
	directory.targets[announcement.Target] = target
	return true
}

// Heartbeat takes the changing part of an announcement and reports whether it was news; without the announcement that it belongs
// to, it changes nothing.
func (directory *Directory) Heartbeat(now time.Time, heartbeat celerylanding.Heartbeat) bool {
	known, ok := directory.targets[heartbeat.Target]
	if !ok || known.announcement.Incarnation != heartbeat.Incarnation || known.announcement.Sequence >= heartbeat.Sequence {
		return false
	}
	announcement := known.announcement
	announcement.Sequence = heartbeat.Sequence
	announcement.Load = heartbeat.Load
	return directory.Observe(now, announcement)
}

// MarkRefused records that a target itself refused work of the incarnation, and reports whether that was news.
func (directory *Directory) MarkRefused(id celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	target, ok := directory.targets[id]
	if !ok || target.announcement.Incarnation != incarnation {
		return false
	}
	before := target.state
	directory.move(target, EventRefused)
	return target.state != before
}

// Leave records that a target is leaving, whatever its incarnation unless one is given, and reports whether that was news.
func (directory *Directory) Leave(now time.Time, id celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	target, ok := directory.targets[id]
	if !ok || (incarnation != 0 && target.announcement.Incarnation != incarnation) {
		return false
	}
	before := target.state
	target.announcement.Leaving = true
	target.heard = now
	directory.move(target, EventLeaving)
	return target.state != before
}

// Expire suspects the targets that have been silent too long and returns the ones that changed; in the end it drops them.
func (directory *Directory) Expire(now time.Time) []celerylanding.TargetID {
	var changed []celerylanding.TargetID
	for id, target := range directory.targets {
		if now.Sub(target.heard) > max(dropAfter, directory.silence) {
			delete(directory.targets, id)
			changed = append(changed, id)
			continue
		}
		if now.Sub(target.heard) <= directory.silence {
			continue
		}
		before := target.state
		directory.move(target, EventSilent)
		if target.state != before {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// Silence suspects a target on the word of a node that hears its heartbeats.
func (directory *Directory) Silence(id celerylanding.TargetID) {
	if target, ok := directory.targets[id]; ok {
		directory.move(target, EventSilent)
	}
}

// Renew counts the silence of all targets from now on; it is for a node that hears their heartbeats from now on and has known them
// from another node.
func (directory *Directory) Renew(now time.Time) {
	for _, target := range directory.targets {
		target.heard = now
	}
}

// Target finds a target.
func (directory *Directory) Target(id celerylanding.TargetID) (*Target, bool) {
	target, ok := directory.targets[id]
	return target, ok
}

// Len returns the number of targets.
func (directory *Directory) Len() int { return len(directory.targets) }

// Targets returns all targets, ordered by their identifiers.
func (directory *Directory) Targets() []*Target {
	targets := make([]*Target, 0, len(directory.targets))
	for _, target := range directory.targets {
		targets = append(targets, target)
	}
	sort.Slice(targets, func(i, j int) bool {
		return targets[i].announcement.Target < targets[j].announcement.Target
	})
	return targets
}

// Forget drops a target whose incarnation is gone.
func (directory *Directory) Forget(id celerylanding.TargetID, incarnation celerylanding.Incarnation) {
	if target, ok := directory.targets[id]; ok && target.announcement.Incarnation == incarnation {
		delete(directory.targets, id)
	}
}

// move carries out an event; one that the chart does not know in this state changes nothing.
func (directory *Directory) move(target *Target, event chart.Event) {
	next, err := directory.chart.Next(target.state, event)
	if err != nil {
		return
	}
	target.state = next
	target.routable = directory.chart.Has(next, FlagRoutable)
}
