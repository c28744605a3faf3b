package resume

import (
	"slices"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// journalEntry is a stream that began at this router.
type journalEntry struct {
	origin         feed.Origin
	at             time.Time
	isSent         bool
	isAcknowledged bool
}

// Journal holds the streams that began at one router until the leader has them, and repeats them to each new leader. It is safe for concurrent use.
type Journal struct {
	mutex   sync.Mutex
	entries []journalEntry
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{} }

// Record stores the version that sent the first event of a call.
func (journal *Journal) Record(now time.Time, call uint64, software celerylanding.SoftwareVersion) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.entries = append(journal.entries, journalEntry{origin: feed.Origin{Call: call, Software: software}, at: now})
}

// Find returns the version that began a call's stream at this router.
func (journal *Journal) Find(call uint64) (software celerylanding.SoftwareVersion, isKnown bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	at := slices.IndexFunc(journal.entries, func(entry journalEntry) bool { return entry.origin.Call == call })
	if at < 0 {
		return "", false
	}
	return journal.entries[at].origin.Software, true
}

// Report returns the records that the leader does not have.
func (journal *Journal) Report(now time.Time) []feed.Origin {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	expired := slices.IndexFunc(journal.entries, func(entry journalEntry) bool { return now.Sub(entry.at) <= recordTTL })
	if expired < 0 {
		expired = len(journal.entries)
	}
	journal.entries = slices.Delete(journal.entries, 0, expired)
	var origins []feed.Origin
	for i := range journal.entries {
		entry := &journal.entries[i]
		if !entry.isAcknowledged {
			entry.isSent = true
			origin := entry.origin
			origin.Age = now.Sub(entry.at)
			origins = append(origins, origin)
		}
	}
	return origins
}

// Acknowledge records that a leader has answered the last report. A new leader gets all records again.
func (journal *Journal) Acknowledge(isNewLeader bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	for i := range journal.entries {
		entry := &journal.entries[i]
		entry.isAcknowledged = !isNewLeader && (entry.isAcknowledged || entry.isSent)
		entry.isSent = entry.isAcknowledged
	}
}
