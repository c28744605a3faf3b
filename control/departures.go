package control

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// maxDepartures bounds the departures that are replicated; the oldest are forgotten first.
const maxDepartures = 4096

// departure is an incarnation of a target that has said that it leaves.
type departure struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
}

// departures are the replicated departures. The directory of each node is in memory only, so that without them a new leader would use targets whose
// departure its predecessor had acknowledged.
type departures struct {
	// list is ordered, oldest first.
	list  []departure
	known map[departure]bool
	// newest is the last incarnation of each target that has left.
	newest map[celerylanding.TargetID]celerylanding.Incarnation
	// missing are those of the list that the log's state lacks, since a build that keeps no departures has written its snapshot.
	missing map[departure]bool
	// unrecordedSince holds when targets were first seen to leave without a record in the log.
	unrecordedSince map[departure]time.Time
	// recordDue is when departures are next compared with the log, and isRecording is set while a proposal goes on.
	recordDue   time.Time
	isRecording bool
}

func newDepartures() departures {
	return departures{known: make(map[departure]bool), missing: make(map[departure]bool)}
}

// replace takes over the departures of a snapshot. Those that it lacks stay, as far as there is room: each one was committed, and is final.
func (set *departures) replace(list []departure) {
	former := set.list
	set.list, set.known, set.missing = nil, make(map[departure]bool), make(map[departure]bool)
	set.add(list)
	kept := slices.DeleteFunc(former, func(left departure) bool { return set.known[left] })
	kept = kept[max(0, len(kept)+len(set.list)-maxDepartures):]
	for _, left := range kept {
		set.known[left], set.missing[left] = true, true
	}
	set.list = append(kept, set.list...)
	set.findNewest()
}

// findNewest finds the last incarnations that have left.
func (set *departures) findNewest() {
	set.newest = make(map[celerylanding.TargetID]celerylanding.Incarnation, len(set.list))
	for _, left := range set.list {
		set.newest[left.Target] = max(set.newest[left.Target], left.Incarnation)
	}
}

// hasLeft reports whether an incarnation of a target, or one that began after it under the same ID, has left.
func (set *departures) hasLeft(target celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	newest, isKnown := set.newest[target]
	return isKnown && incarnation <= newest
}

// among returns those of a list of targets that have left, with the last incarnation that has.
func (set *departures) among(list []feed.TargetIncarnation) []feed.TargetIncarnation {
	var departed []feed.TargetIncarnation
	for _, target := range list {
		if set.hasLeft(target.Target, target.Incarnation) {
			departed = append(departed, feed.TargetIncarnation{Target: target.Target, Incarnation: set.newest[target.Target]})
		}
	}
	return departed
}

// isRecorded reports whether the log's state holds a departure.
func (set *departures) isRecorded(left departure) bool { return set.known[left] && !set.missing[left] }

func (set *departures) add(list []departure) {
	for _, left := range list {
		delete(set.missing, left)
		// Logs of earlier builds may hold a target that no announcement can name; snapshots don't pass it on.
		if !set.known[left] && utf8.ValidString(string(left.Target)) {
			set.known[left] = true
			set.list = append(set.list, left)
		}
	}
	surplus := max(0, len(set.list)-maxDepartures)
	for _, forgotten := range set.list[:surplus] {
		delete(set.known, forgotten)
		delete(set.missing, forgotten)
	}
	set.list = append([]departure(nil), set.list[surplus:]...)
	set.findNewest()
}

// departureOf returns what an announcement says of the departure of its target, and false if it is none.
func (ctl *Control) departureOf(args *AnnounceArgs) (departure, bool) {
	if args.Announcement != nil {
		return departure{args.Announcement.Target, args.Announcement.Incarnation}, args.Announcement.Leaving
	}
	left := departure{args.Leaving, args.Incarnation}
	if target, ok := ctl.directory.Target(args.Leaving); ok && left.Incarnation == 0 {
		left.Incarnation = target.Announcement().Incarnation
	}
	return left, left.Incarnation != 0
}

// departureCommand returns the command that records a departure, nil if it is replicated. A departure that names no incarnation, of a target that is not
// known, can't be recorded and is an error.
func (ctl *Control) departureCommand(args *AnnounceArgs) ([]byte, error) {
	left, isDeparture := ctl.departureOf(args)
	if args.Announcement == nil && !isDeparture {
		return nil, ErrNoQuorum.New("target %s is not known, and its departure names no incarnation", left.Target)
	}
	if !isDeparture || ctl.departures.isRecorded(left) {
		return nil, nil
	}
	return encodeCommand(&replicated{Departed: []departure{left}})
}

// proposeDeparture proposes a departure that is not replicated yet, and returns the channel of the outcome; nil if it is.
func (ctl *Control) proposeDeparture(args *AnnounceArgs) (<-chan ProposeReply, error) {
	data, err := ctl.departureCommand(args)
	if err != nil || data == nil {
		return nil, err
	}
	reply := make(chan ProposeReply, 1)
	ctl.batch = append(ctl.batch, queuedCommand{data, reply})
	return reply, nil
}

// applyDepartures marks the targets of replicated departures, on the leader and on the nodes that may succeed it.
func (ctl *Control) applyDepartures(list []departure) {
	ctl.departures.add(list)
	ctl.markDeparted(list)
}

// markDeparted marks targets that have left in the directory, and publishes that on the leader.
func (ctl *Control) markDeparted(list []departure) {
	now := ctl.options.Clock()
	for _, left := range list {
		if !ctl.directory.MarkLeaving(now, left.Target, left.Incarnation) {
			continue
		}
		ctl.engineCache.saveDue = now
		if !ctl.leaderSince.IsZero() {
			ctl.observeTarget(now, left.Target)
		}
	}
}

// withDeparture returns an announcement that says that its target leaves if that is replicated, also for a later incarnation: the announcement may be late.
func (ctl *Control) withDeparture(announcement celerylanding.Announcement) celerylanding.Announcement {
	announcement.Leaving = announcement.Leaving || ctl.departures.hasLeft(announcement.Target, announcement.Incarnation)
	return announcement
}

// awaitCommit waits until a proposal is committed; it returns ErrNoQuorum if it may not be.
func awaitCommit(ctx context.Context, proposed <-chan ProposeReply) error {
	select {
	case outcome := <-proposed:
		if !outcome.Committed {
			return ErrNoQuorum.New("the departure was not committed")
		}
		return nil
	case <-ctx.Done():
		return ErrNoQuorum.Wrap(ctx.Err(), "the departure was not committed in time")
	}
}
