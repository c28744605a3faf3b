package node

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/quorum/wal"
	"celerylanding.example/celerylanding/state"
	"celerylanding.example/celerylanding/target"
)

// newControl recovers the control state from the data folder.
func newControl(now time.Time, options Options, recorder celerylanding.Recorder, peers *rpc.Peers, publisher publisher) (*control, error) {
	directory, err := membership.NewDirectory(options.Timing.TargetSilence)
	if err != nil {
		return nil, err
	}
	ctl := &control{
		options:             options,
		log:                 options.Log,
		recorder:            recorder,
		peers:               peers,
		publisher:           publisher,
		inbox:               make(chan func(time.Time), inboxDepth),
		directory:           directory,
		executors:           make(map[celerylanding.FailureDomain]*domainExecutor),
		orders:              target.NewOrderClient(),
		addresses:           make(map[quorum.MemberID]string),
		pendingProposals:    make(map[uint64]pendingProposal),
		loadingSince:        make(map[celerylanding.OrderNumber]time.Time),
		fullAnnouncementDue: make(map[celerylanding.TargetID]time.Time),
		dirty:               true,
	}
	incarnation := fmt.Sprintf("%x", options.Seed)
	var recovered wal.Recovered
	if options.DataFolder != "" {
		if ctl.wal, recovered, err = wal.Open(options.DataFolder, true); err != nil {
			return nil, err
		}
		if incarnation, err = loadIncarnation(options.DataFolder, incarnation); err != nil {
			return nil, err
		}
	}
	if ctl.state, err = state.Restore(recovered.Snapshot.Data); err != nil {
		return nil, err
	}
	ctl.member = quorum.Member{
		ID:      MemberID(options.ID, incarnation),
		Node:    options.ID,
		Domain:  options.Domain,
		Address: cmp.Or(options.Advertise, options.Listeners.Peers.Addr().String()),
		Durable: options.DataFolder != "",
	}
	ctl.holderID = fmt.Sprintf("%s#%x", ctl.member.ID, options.Seed)
	ctl.core = quorum.New(now, ctl.quorumSettings(), recovered.HardState, recovered.Snapshot, recovered.Entries)
	ctl.leaderLastSeen = now
	ctl.log.Info().Str("member", string(ctl.member.ID)).Uint64("snapshot", recovered.Snapshot.Index).
		Int("entries", len(recovered.Entries)).Int64("torn_bytes", recovered.TornBytes).Msg("control state recovered")
	return ctl, nil
}

// MemberID joins a node's name and the incarnation of its data folder.
func MemberID(id celerylanding.NodeID, incarnation string) quorum.MemberID {
	return quorum.MemberID(string(id) + "/" + incarnation)
}

// loadIncarnation returns the incarnation that was written to the folder when it was first used; in a new folder, it writes the generated one.
func loadIncarnation(folder, generated string) (string, error) {
	path := filepath.Join(folder, incarnationFile)
	text, err := os.ReadFile(path)
	if err == nil && len(text) > 0 {
		return string(text), nil
	}
	if err != nil && !os.IsNotExist(err) {
		return "", err
	}
	return generated, wal.WriteDurably(path, generated)
}

func (ctl *control) quorumSettings() quorum.Settings {
	return quorum.Settings{
		ID:                ctl.member.ID,
		ElectionTimeout:   ctl.options.Timing.ElectionTimeout,
		HeartbeatInterval: ctl.options.Timing.Heartbeat,
		MaxAppendEntries:  maxAppend,
		// Half the election timeout leaves a learner the other half before it counts the leader as lost.
		LearnerHeartbeatInterval: ctl.options.Timing.ElectionTimeout / 2,
		Random:                   rand.New(rand.NewPCG(ctl.options.Seed, 1)),
	}
}
