package resume

import (
	"maps"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// recordTTL is how long a record is kept: the longest time that callers wait for a whole stream, and the time to take it up again.
	recordTTL = time.Minute
	// maxRecords bounds the records of a ledger; at the target size, about a thousand streams that can be resumed begin in a second.
	maxRecords = 1 << 16
	// versionMemory is how long a version without targets still counts as one that may have begun a stream.
	versionMemory = 2 * time.Minute
	// discoveryTime is the time after its start in which a ledger may not have all records and versions: a heartbeat interval.
	discoveryTime = 1500 * time.Millisecond
)

// record is the version that began a stream.
type record struct {
	software celerylanding.SoftwareVersion
	at       time.Time
}

// Ledger holds the versions that began the streams of all routers; it is not safe for concurrent use.
type Ledger struct {
	started time.Time
	records map[uint64]record
	sweptAt time.Time
	// versions holds when a target of each version was last seen, by service.
	versions map[celerylanding.ServiceID]map[celerylanding.SoftwareVersion]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{started: now, records: make(map[uint64]record), versions: make(map[celerylanding.ServiceID]map[celerylanding.SoftwareVersion]time.Time)}
}

// Record stores the version that sent the first event of a call. The first record of a call holds.
func (ledger *Ledger) Record(now time.Time, call uint64, software celerylanding.SoftwareVersion) {
	if now.Sub(ledger.sweptAt) > recordTTL/4 {
		ledger.sweptAt = now
		maps.DeleteFunc(ledger.records, func(_ uint64, entry record) bool { return now.Sub(entry.at) > recordTTL })
	}
	if _, isKnown := ledger.records[call]; !isKnown && len(ledger.records) < maxRecords {
		ledger.records[call] = record{software, now}
	}
}

// Len returns the number of records.
func (ledger *Ledger) Len() int { return len(ledger.records) }

// ObserveVersion records that a target of the service has the version.
func (ledger *Ledger) ObserveVersion(now time.Time, service celerylanding.ServiceID, software celerylanding.SoftwareVersion) {
	versions := ledger.versions[service]
	if versions == nil {
		versions = make(map[celerylanding.SoftwareVersion]time.Time)
		ledger.versions[service] = versions
	}
	versions[software] = now
}

// IsStarting reports whether routers and targets may not have reported to the ledger yet.
func (ledger *Ledger) IsStarting(now time.Time) bool { return now.Sub(ledger.started) < discoveryTime }

// Find returns the version that began the call's stream: the recorded one, or the only one that the service has had lately.
func (ledger *Ledger) Find(now time.Time, call uint64, service celerylanding.ServiceID) (software celerylanding.SoftwareVersion, isKnown bool) {
	if entry, ok := ledger.records[call]; ok && now.Sub(entry.at) <= recordTTL {
		return entry.software, true
	}
	versions := ledger.versions[service]
	maps.DeleteFunc(versions, func(_ celerylanding.SoftwareVersion, seen time.Time) bool { return now.Sub(seen) > versionMemory })
	if len(versions) != 1 || ledger.IsStarting(now) {
		return "", false
	}
	for software := range versions {
		return software, true
	}
	return "", false
}
