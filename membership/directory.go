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

// removalTimeout is the silence after which a target is removed from the directory.
const removalTimeout = time.Hour

// Target is the latest known state of a target.
type Target struct {
	announcement celerylanding.Announcement
	state        chart.State
	lastSeen     time.Time
	routable     bool
}

// Announcement returns the target's latest announcement.
func (target *Target) Announcement() celerylanding.Announcement { return target.announcement }

// State returns the state of the target in its chart.
func (target *Target) State() chart.State { return target.state }

// LastSeen returns the time of the target's last announcement, heartbeat or departure.
func (target *Target) LastSeen() time.Time { return target.lastSeen }

// IsRoutable reports whether the target gets new work.
func (target *Target) IsRoutable() bool { return target.routable }

// Directory is a node's view of all targets; it is not safe for concurrent use.
type Directory struct {
	chart          *chart.Chart
	silenceTimeout time.Duration
	targets        map[celerylanding.TargetID]*Target
}

// NewDirectory returns an empty directory; a target whose silence exceeds silenceTimeout becomes suspect.
func NewDirectory(silenceTimeout time.Duration) (*Directory, error) {
	targetChart, err := chart.Load("target.yaml")
	if err != nil {
		return nil, err
	}
	return &Directory{chart: targetChart, silenceTimeout: silenceTimeout, targets: make(map[celerylanding.TargetID]*Target)}, nil
}

// Observe applies an announcement and reports whether it was new; old and repeated ones change nothing, but for one that says that the incarnation
// leaves, which is final. One whose texts are not UTF-8, as another build may pass it on, changes nothing, since it would be published to all nodes.
func (directory *Directory) Observe(now time.Time, announcement celerylanding.Announcement) bool {
	if !announcement.IsUTF8() {
		return false
	}
	known, ok := directory.targets[announcement.Target]
	if ok && !announcement.Supersedes(known.announcement) {
		return announcement.Leaving && announcement.Incarnation != 0 && directory.MarkLeaving(now, announcement.Target, announcement.Incarnation)
	}
	state := directory.chart.Initial()
	if ok && known.announcement.Incarnation == announcement.Incarnation {
		state = known.state
	}
	target := &Target{announcement: announcement, state: state, lastSeen: now}
	event := EventHeard
	if announcement.Leaving {
		event = EventLeaving
	}
	directory.transition(target, event)
	directory.targets[announcement.Target] = target
	return true
}

// Heartbeat updates the sequence number and load of a target's announcement and reports whether the heartbeat was new. Without an
// announcement of the same incarnation the heartbeat changes nothing.
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

// MarkRefused records that the incarnation of the target refused work, and reports whether the target's state changed.
func (directory *Directory) MarkRefused(id celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	target, ok := directory.targets[id]
	if !ok || target.announcement.Incarnation != incarnation {
		return false
	}
	before := target.state
	directory.transition(target, EventRefused)
	return target.state != before
}

// MarkLeaving records that an incarnation of a target is leaving, with which the earlier ones have ended, and reports whether the state of the known one
// changed. Incarnation 0 matches any incarnation.
func (directory *Directory) MarkLeaving(now time.Time, id celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	target, ok := directory.targets[id]
	if !ok || (incarnation != 0 && target.announcement.Incarnation > incarnation) {
		return false
	}
	before := target.state
	target.announcement.Leaving = true
	target.lastSeen = now
	directory.transition(target, EventLeaving)
	return target.state != before
}

// Expire marks targets as suspect whose silence exceeds the silence timeout, and removes them after the longer of that and
// removalTimeout. It returns the IDs of the changed and removed targets, sorted.
func (directory *Directory) Expire(now time.Time) []celerylanding.TargetID {
	var changed []celerylanding.TargetID
	for id, target := range directory.targets {
		if now.Sub(target.lastSeen) > max(removalTimeout, directory.silenceTimeout) {
			delete(directory.targets, id)
			changed = append(changed, id)
			continue
		}
		if now.Sub(target.lastSeen) <= directory.silenceTimeout {
			continue
		}
		before := target.state
		directory.transition(target, EventSilent)
		if target.state != before {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// MarkSilent marks a target as suspect on the report of a node that receives its heartbeats.
func (directory *Directory) MarkSilent(id celerylanding.TargetID) {
	if target, ok := directory.targets[id]; ok {
		directory.transition(target, EventSilent)
	}
}

// ResetSilence restarts the silence timeout of all targets. A node calls it when it begins to receive their heartbeats, after it has learned
// of them only from another node.
func (directory *Directory) ResetSilence(now time.Time) {
	for _, target := range directory.targets {
		target.lastSeen = now
	}
}

// Target returns a target by its ID.
func (directory *Directory) Target(id celerylanding.TargetID) (*Target, bool) {
	target, ok := directory.targets[id]
	return target, ok
}

// Len returns the number of targets.
func (directory *Directory) Len() int { return len(directory.targets) }

// Targets returns all targets, ordered by ID.
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

// Remove removes a target if it still has the given incarnation.
func (directory *Directory) Remove(id celerylanding.TargetID, incarnation celerylanding.Incarnation) {
	if target, ok := directory.targets[id]; ok && target.announcement.Incarnation == incarnation {
		delete(directory.targets, id)
	}
}

// transition applies an event to the state of a target; an event without a transition from this state changes nothing.
func (directory *Directory) transition(target *Target, event chart.Event) {
	next, err := directory.chart.Next(target.state, event)
	if err != nil {
		return
	}
	target.state = next
	target.routable = directory.chart.HasFlag(next, FlagRoutable)
}
