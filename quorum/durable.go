package quorum

import "errors"

var errGap = errors.New("entry does not follow the ones before it")

// PersistentState is what a sequence of records amounts to.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Records is the number of records replayed.
	Records int
}

// Replay adds one record; an entry that leaves a gap is an error.
func (durable *PersistentState) Replay(record Record) error {
	durable.Records++
	switch {
	case record.HardState != nil:
		durable.HardState = *record.HardState
	case record.Snapshot != nil:
		durable.installSnapshot(*record.Snapshot)
	case record.Entry != nil:
		return durable.putEntry(*record.Entry)
	}
	return nil
}

func (durable *PersistentState) installSnapshot(snapshot Snapshot) {
	log := entryLog{snapshot: durable.Snapshot, entries: durable.Entries}
	log.compact(snapshot)
	durable.Snapshot, durable.Entries = log.snapshot, log.entries
}

func (durable *PersistentState) putEntry(entry Entry) error {
	first := durable.Snapshot.Index + 1
	next := first + uint64(len(durable.Entries))
	if entry.Index < first || entry.Index > next {
		return errGap
	}
	durable.Entries = append(durable.Entries[:entry.Index-first], entry)
	return nil
}
