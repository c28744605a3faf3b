package control

import (
	"context"
	"time"
)

const (
	// departureInterval is the time between two comparisons of the known departures with the log and with the leader's targets.
	departureInterval = 250 * time.Millisecond
	// recordDelay is the time in which a leader that records departures does so, and followerRecordDelay that after which a follower takes the leader for
	// one that does not.
	recordDelay         = 500 * time.Millisecond
	followerRecordDelay = 1500 * time.Millisecond
	// maxRecorded bounds the departures in one proposal, and maxRepeated those that a node repeats to the leader at a time.
	maxRecorded = 256
	maxRepeated = 32
)

// maintainDepartures compares the known departures with the log and with the leader's targets. Leaders of earlier builds acknowledge departures from
// memory, and their snapshots lack those that others have recorded.
func (ctl *Control) maintainDepartures(now time.Time) {
	leader := ctl.leaderAddress()
	if now.Before(ctl.departures.recordDue) || leader == "" {
		return
	}
	ctl.departures.recordDue = now.Add(departureInterval)
	if list := ctl.unrecordedDepartures(now); len(list) > 0 && !ctl.departures.isRecording {
		ctl.recordDepartures(list)
	}
	if leader != ctl.member.Address {
		ctl.repeatDepartures(leader)
	}
}

// unrecordedDepartures returns the departures that this node knows and the log's state lacks.
func (ctl *Control) unrecordedDepartures(now time.Time) []departure {
	delay := followerRecordDelay
	if !ctl.leaderSince.IsZero() {
		delay = recordDelay
	}
	var list []departure
	for left := range ctl.departures.missing {
		list = append(list, left)
	}
	since := make(map[departure]time.Time)
	for _, target := range ctl.directory.Targets() {
		announcement := target.Announcement()
		left := departure{announcement.Target, announcement.Incarnation}
		if !announcement.Leaving || left.Incarnation == 0 || ctl.departures.known[left] {
			continue
		}
		first, isKnown := ctl.departures.unrecordedSince[left]
		if !isKnown {
			first = now
		}
		since[left] = first
		if now.Sub(first) >= delay {
			list = append(list, left)
		}
	}
	ctl.departures.unrecordedSince = since
	return list[:min(len(list), maxRecorded)]
}

// recordDepartures proposes departures through the leader, of whichever build: one that does not know them appends the command all the same.
func (ctl *Control) recordDepartures(list []departure) {
	data, err := encodeCommand(&replicated{Departed: list})
	if err != nil {
		ctl.options.Log.Error().Err(err).Msg("departures can't be encoded")
		return
	}
	ctl.options.Log.Info().Int("count", len(list)).Msg("recording departures that the log lacks")
	ctl.departures.isRecording = true
	ctl.tasks.Go(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		ctl.proposeOnce(callCtx, data)
		ctl.post(ctx, func(time.Time) { ctl.departures.isRecording = false })
	})
}

// repeatDepartures tells the leader of the recorded departures of targets that it publishes as if they stayed.
func (ctl *Control) repeatDepartures(leader string) {
	count := 0
	for id, published := range ctl.feed.targets {
		left := departure{id, published.target.Incarnation}
		if published.target.Leaving || !ctl.departures.known[left] {
			continue
		}
		if count++; count > maxRepeated {
			return
		}
		ctl.options.Log.Info().Str("target", string(id)).Str("leader", leader).Msg("leader lacks a departure")
		ctl.tasks.Go(func(ctx context.Context) { ctl.repeatDeparture(ctx, leader, left) })
	}
}

// repeatDeparture tells the leader of a departure; one that fails is told again with the next comparison.
func (ctl *Control) repeatDeparture(ctx context.Context, leader string, left departure) {
	ctx, cancel := context.WithTimeout(ctx, departureInterval)
	defer cancel()
	args := &AnnounceArgs{Leaving: left.Target, Incarnation: left.Incarnation}
	if err := ctl.peers.Call(ctx, leader, "Peer.Announce", args, &AnnounceReply{}); err != nil {
		ctl.options.Log.Debug().Err(err).Str("target", string(left.Target)).Msg("leader did not take a departure")
	}
}

// recordAnnounced commits a departure that the leader has accepted without a record. An announcement that is no departure needs none.
func (ctl *Control) recordAnnounced(ctx context.Context, args *AnnounceArgs) error {
	type command struct {
		data []byte
		err  error
	}
	commands := make(chan command, 1)
	if err := ctl.postAndWait(ctx, func(time.Time) {
		data, err := ctl.departureCommand(args)
		commands <- command{data, err}
	}); err != nil {
		return ErrNoQuorum.Wrap(err, "control state is busy")
	}
	wanted := <-commands
	if wanted.err != nil || wanted.data == nil {
		return wanted.err
	}
	if reply := ctl.proposeOnce(ctx, wanted.data); !reply.Committed {
		return ErrNoQuorum.New("the departure was not committed")
	}
	return nil
}
