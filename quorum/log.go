package quorum

// entryLog is the last snapshot and the log entries after it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (log *entryLog) lastIndex() uint64 {
	return log.snapshot.Index + uint64(len(log.entries))
}

func (log *entryLog) lastTerm() uint64 {
	term, _ := log.term(log.lastIndex())
	return term
}

// term returns the term of the entry at the index; it returns false for an index before the snapshot's or after the last entry.
func (log *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == log.snapshot.Index:
		return log.snapshot.Term, true
	case index < log.snapshot.Index || index > log.lastIndex():
		return 0, false
	}
	return log.entries[index-log.snapshot.Index-1].Term, true
}

func (log *entryLog) slice(from, to uint64) []Entry {
	if from <= log.snapshot.Index {
		from = log.snapshot.Index + 1
	}
	if from > to {
		return nil
	}
	base := log.snapshot.Index + 1
	return append([]Entry(nil), log.entries[from-base:to-base+1]...)
}

// truncateAndAppend removes all entries from the entry's index on and appends the entry. It copies the entries before the
// index, so that slices returned earlier are not overwritten.
func (log *entryLog) truncateAndAppend(entry Entry) {
	log.entries = append(log.entries[:entry.Index-log.snapshot.Index-1:entry.Index-log.snapshot.Index-1], entry)
}

// append adds an entry at the end without copying the entries before it.
func (log *entryLog) append(entry Entry) {
	log.entries = append(log.entries, entry)
}

// installSnapshot replaces the entries up to the snapshot's index. Later entries are kept only if the log agrees with the snapshot at
// that index.
func (log *entryLog) installSnapshot(snapshot Snapshot) {
	rest := log.slice(snapshot.Index+1, log.lastIndex())
	if term, ok := log.term(snapshot.Index); !ok || term != snapshot.Term {
		rest = nil
	}
	log.snapshot = snapshot
	log.entries = rest
}

// members returns the latest membership in the log, committed or not, and its index.
func (log *entryLog) members() ([]Member, uint64) {
	for i := len(log.entries) - 1; i >= 0; i-- {
		if log.entries[i].Kind == EntryMembers {
			return log.entries[i].Members, log.entries[i].Index
		}
	}
	return log.snapshot.Members, log.snapshot.Index
}

// isUpToDate reports whether a log that ends at the given index and term is at least as up to date as this one (Raft, section 5.4.1).
func (log *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != log.lastTerm() {
		return lastTerm > log.lastTerm()
	}
	return lastIndex >= log.lastIndex()
}
