package control

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// submitRetryInterval is the time between two attempts to commit a configuration.
const submitRetryInterval = 40 * time.Millisecond

// commitBuckets cover the range from one disk write to the time within which operators expect an answer.
var commitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// ErrNoQuorum means that the outcome is unknown or can't be confirmed, because no leader with a quorum replied in time.
var ErrNoQuorum = celerylanding.ErrorNamespace.NewType("no_quorum")

// Submit commits a valid configuration and returns the version that is active afterwards. ErrBadCommand means that it was not proposed; after any
// other error it may still be committed.
func (ctl *Control) Submit(ctx context.Context, configuration *routing.Configuration) (version uint64, err error) {
	var data []byte
	began := ctl.options.Clock()
	for {
		// An earlier attempt may have been committed although its outcome was not known in time.
		active := uint64(0)
		if err := ctl.postUrgentAndWait(ctx, func(time.Time) { active = ctl.version() }); err != nil {
			return 0, ErrNoQuorum.Wrap(err, "control state is busy")
		}
		if active >= configuration.Version {
			return active, nil
		}
		if data == nil {
			if data, err = encodeCommand(configuration); err != nil {
				return 0, err
			}
		}
		if reply := ctl.proposeOnce(ctx, data); reply.Committed {
			ctl.options.Metrics.Histogram("commit_seconds", commitBuckets).RecordDuration(ctl.options.Clock().Sub(began))
			return reply.Version, nil
		}
		select {
		case <-ctx.Done():
			return 0, ErrNoQuorum.New("version %d was not committed in time", configuration.Version)
		case <-time.After(submitRetryInterval):
		}
	}
}

func (ctl *Control) proposeOnce(ctx context.Context, data []byte) ProposeReply {
	reply := ctl.proposeLocal(ctx, data)
	leader := ctl.Leader()
	if reply.Leads || leader == "" || leader == ctl.member.Address {
		return reply
	}
	var remote ProposeReply
	if err := ctl.peers.Call(ctx, leader, "Peer.Propose", &ProposeArgs{Command: data}, &remote); err != nil {
		ctl.options.Log.Warn().Err(err).Str("leader", leader).Msg("leader did not answer a proposal")
		return ProposeReply{}
	}
	return remote
}

// read returns the active configuration if this node can confirm that it is the newest.
func (ctl *Control) read(now time.Time) ReadReply {
	if !ctl.leads(now) {
		return ReadReply{}
	}
	reply := ReadReply{Leads: true, Version: ctl.version()}
	if ctl.configuration != nil {
		reply.Source = ctl.configuration.Source
	}
	return reply
}

// Read returns the newest configuration in the form that the operator submitted, empty if there is none; ErrNoQuorum if no leader
// confirms it.
func (ctl *Control) Read(ctx context.Context) ([]byte, error) {
	var reply ReadReply
	if err := ctl.postUrgentAndWait(ctx, func(now time.Time) { reply = ctl.read(now) }); err != nil {
		return nil, ErrNoQuorum.Wrap(err, "control state is busy")
	}
	if !reply.Leads {
		leader := ctl.Leader()
		if leader == "" || leader == ctl.member.Address {
			return nil, ErrNoQuorum.New("no leader is known")
		}
		if err := ctl.peers.Call(ctx, leader, "Peer.Read", &Empty{}, &reply); err != nil {
			return nil, ErrNoQuorum.Wrap(err, "request to leader %s failed", leader)
		}
	}
	if !reply.Leads {
		return nil, ErrNoQuorum.New("the leader has no quorum")
	}
	return reply.Source, nil
}

// Announce delivers an announcement of a target to the leader; it returns nil once the leader has accepted the announcement, with a departure
// committed, or this node has added it to the next batch of unchanged heartbeats.
func (ctl *Control) Announce(ctx context.Context, args *AnnounceArgs) error {
	accepted, err := ctl.announceLocal(ctx, args, true)
	if err != nil || accepted {
		return err
	}
	leader := ctl.Leader()
	if leader == "" || leader == ctl.member.Address {
		return ErrNoQuorum.New("no leader is known")
	}
	var reply AnnounceReply
	if err := ctl.peers.Call(ctx, leader, "Peer.Announce", args, &reply); err != nil {
		return ErrNoQuorum.Wrap(err, "request to leader %s failed", leader)
	}
	if !reply.Leads {
		return ErrNoQuorum.New("%s replied that it is not the leader", leader)
	}
	if isDeparture := args.Announcement == nil || args.Announcement.Leaving; isDeparture && !reply.IsRecorded {
		if err := ctl.recordAnnounced(ctx, args); err != nil {
			return err
		}
	}
	ctl.post(ctx, func(now time.Time) { ctl.recordForwarded(now, args.Announcement) })
	return nil
}

// unknownOriginLogInterval is the time between two log lines on streams of unknown origin.
const unknownOriginLogInterval = time.Second

// findOrigin returns the software version that began a stream.
func (ctl *Control) findOrigin(now time.Time, args *feed.OriginArgs) feed.OriginReply {
	if !ctl.leads(now) {
		return feed.OriginReply{}
	}
	software, isKnown := ctl.origins.Find(now, args.Call, args.Service)
	if _, isRecorded := ctl.origins.Recorded(now, args.Call); !isRecorded && !now.Before(ctl.unknownOriginLogDue) {
		ctl.unknownOriginLogDue = now.Add(unknownOriginLogInterval)
		ctl.options.Log.Info().Str("service", string(args.Service)).Int("records", ctl.origins.Len()).Dur("leader_for", now.Sub(ctl.leaderSince)).
			Bool("history", ctl.origins.HasHistory(now)).Bool("inferred", isKnown).Str("software", string(software)).
			Msg("origin of a stream is not recorded")
	}
	return feed.OriginReply{Leads: true, IsKnown: isKnown, Software: software, IsStarting: ctl.origins.IsStarting(now)}
}
