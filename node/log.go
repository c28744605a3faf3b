package node

import (
	"time"

	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/state"
)

// flush proposes the batch, makes it durable, sends and applies, until nothing is left to do.
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
		ctl.send(effects.Messages)
		if err := ctl.install(effects.InstallSnapshot); err != nil {
			return err
		}
		for _, entry := range effects.Committed {
			ctl.apply(now, entry)
		}
		if err := ctl.snapshot(); err != nil {
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

// send hands each member its messages in one call.
func (ctl *control) send(messages []quorum.Message) {
	grouped := make(map[quorum.MemberID][]quorum.Message)
	for _, message := range messages {
		grouped[message.To] = append(grouped[message.To], message)
	}
	for _, member := range ctl.core.Members() {
		ctl.addresses[member.ID] = member.Address
	}
	for id, list := range grouped {
		if address := ctl.addresses[id]; address != "" {
			ctl.peers.Notify(address, "Peer.Deliver", &DeliverArgs{Messages: list, Address: ctl.member.Address})
		}
	}
}

func (ctl *control) install(snapshot *quorum.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	restored, err := state.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	ctl.state = restored
	ctl.dirty = true
	ctl.dropWaiters(snapshot.Index)
	return nil
}

// dropWaiters answers the proposals whose entries are hidden in a snapshot.
func (ctl *control) dropWaiters(index uint64) {
	for at, waiting := range ctl.waiters {
		if at <= index {
			delete(ctl.waiters, at)
			waiting.reply <- proposal{err: ErrProposalUnknown.New("index %d is part of a snapshot", at)}
		}
	}
}

func (ctl *control) apply(now time.Time, entry quorum.Entry) {
	var result state.Result
	if entry.Kind == quorum.EntryCommand {
		result = ctl.state.Apply(entry.Index, entry.Data)
		ctl.dirty = true
		ctl.sinceSnap++
		ctl.noteApplied(now, entry, result)
	}
	waiting, ok := ctl.waiters[entry.Index]
	if !ok {
		return
	}
	delete(ctl.waiters, entry.Index)
	if waiting.term != entry.Term {
		waiting.reply <- proposal{err: quorum.ErrNotLeader.New("another leader's entry took the place")}
		return
	}
	waiting.reply <- proposal{result: result}
}

// snapshot compacts the log when enough commands have been applied since the last time.
func (ctl *control) snapshot() error {
	if ctl.sinceSnap < ctl.options.SnapshotCount {
		return nil
	}
	data, err := ctl.state.Snapshot()
	if err != nil {
		return err
	}
	ctl.sinceSnap = 0
	ctl.effects.Merge(ctl.core.Compact(ctl.state.Index(), data))
	return nil
}
