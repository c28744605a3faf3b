package node

import (
	"context"
	"time"

	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/state"
)

// flush proposes the batch, then writes, sends and applies the log's effects until none are left.
func (ctl *control) flush(now time.Time) error {
	for {
		ctl.proposeBatch(now)
		if ctl.effects.IsEmpty() {
			return nil
		}
		effects := ctl.effects
		ctl.effects = quorum.Effects{}
		if err := ctl.persist(effects.Records); err != nil {
			return err
		}
		ctl.sendMessages(effects.Messages)
		if err := ctl.installSnapshot(effects.InstallSnapshot); err != nil {
			return err
		}
		for _, entry := range effects.Committed {
			ctl.applyEntry(now, entry)
		}
		if err := ctl.compactLog(); err != nil {
			return err
		}
	}
}

func (ctl *control) persist(records []quorum.Record) error {
	if ctl.wal == nil || len(records) == 0 {
		return nil
	}
	for _, record := range records {
		if record.Snapshot != nil {
			snapshot, entries := ctl.core.LogTail()
			return ctl.wal.Rewrite(ctl.core.HardState(), snapshot, entries)
		}
	}
	return ctl.wal.Append(records)
}

// sendMessages sends each member all of its messages in one call.
func (ctl *control) sendMessages(messages []quorum.Message) {
	grouped := make(map[quorum.MemberID][]quorum.Message)
	for _, message := range messages {
		grouped[message.To] = append(grouped[message.To], message)
	}
	for _, member := range ctl.core.Members() {
		ctl.addresses[member.ID] = member.Address
	}
	for id, list := range grouped {
		if address := ctl.addresses[id]; address != "" {
			ctl.outbox.Send(address, list)
		}
	}
}

// deliver sends messages to the member at an address; errors are ignored, since the log's protocol repeats lost messages.
func (ctl *control) deliver(ctx context.Context, address string, messages []quorum.Message) {
	_ = ctl.peers.Call(ctx, address, "Peer.Deliver", &DeliverArgs{Messages: messages, Address: ctl.member.Address}, &struct{}{})
}

func (ctl *control) installSnapshot(snapshot *quorum.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	restored, err := state.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	ctl.state = restored
	ctl.dirty = true
	ctl.resolveCompacted(snapshot.Index)
	return nil
}

// resolveCompacted ends the pending proposals whose entries a snapshot has replaced, so that their results are not known.
func (ctl *control) resolveCompacted(index uint64) {
	for entryIndex, pending := range ctl.pendingProposals {
		if entryIndex <= index {
			delete(ctl.pendingProposals, entryIndex)
			pending.reply <- proposalResult{err: ErrProposalUnknown.New("index %d was compacted before its result was known", entryIndex)}
		}
	}
}

func (ctl *control) applyEntry(now time.Time, entry quorum.Entry) {
	var result state.Result
	if entry.Kind == quorum.EntryCommand {
		result = ctl.state.Apply(entry.Index, entry.Data)
		ctl.dirty = true
		ctl.appliedSinceSnapshot++
		ctl.recordApplied(now, entry, result)
	}
	pending, ok := ctl.pendingProposals[entry.Index]
	if !ok {
		return
	}
	delete(ctl.pendingProposals, entry.Index)
	if pending.term != entry.Term {
		pending.reply <- proposalResult{err: quorum.ErrNotLeader.New("another leader's entry replaced the command")}
		return
	}
	pending.reply <- proposalResult{result: result}
}

// compactLog replaces the log by a snapshot when enough commands have been applied since the last one.
func (ctl *control) compactLog() error {
	if ctl.appliedSinceSnapshot < ctl.options.SnapshotCount {
		return nil
	}
	data, err := ctl.state.Snapshot()
	if err != nil {
		return err
	}
	ctl.appliedSinceSnapshot = 0
	ctl.effects.Merge(ctl.core.Compact(ctl.state.Index(), data))
	return nil
}
