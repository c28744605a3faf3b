package quorum

import "errors"

var errIndexGap = errors.New("entry index leaves a gap in the log")

// PersistentState is the durable state of a member, rebuilt by replaying its records in order.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Records is the number of replayed records.
	Records int
}

// Replay applies one record; it returns an error if an entry leaves a gap in the log.
func (state *PersistentState) Replay(record Record) error {
	state.Records++
	switch {
	case record.HardState != nil:
		state.HardState = *record.HardState
	case record.Snapshot != nil:
		state.installSnapshot(*record.Snapshot)
	case record.Entry != nil:
		return state.truncateAndAppend(*record.Entry)
	}
	return nil
}

func (state *PersistentState) installSnapshot(snapshot Snapshot) {
	log := entryLog{snapshot: state.Snapshot, entries: state.Entries}
	log.installSnapshot(snapshot)
	state.Snapshot, state.Entries = log.snapshot, log.entries
}

// truncateAndAppend removes all entries from the entry's index on and appends the entry.
func (state *PersistentState) truncateAndAppend(entry Entry) error {
	first := state.Snapshot.Index + 1
	next := first + uint64(len(state.Entries))
	if entry.Index < first || entry.Index > next {
		return errIndexGap
	}
	state.Entries = append(state.Entries[:entry.Index-first], entry)
	return nil
}
