package resume

import (
	"maps"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// FirstRecord is the number of a ledger's first record.
const FirstRecord uint64 = 1

const (
	// recordTTL is how long a record is kept: the longest time that callers wait for a whole stream, and the time to take it up again.
	recordTTL = time.Minute
	// maxRecords bounds the records of a ledger; at the target size, about a thousand streams that can be resumed begin in a second.
	maxRecords = 1 << 16
	// maxBatch is the largest number of records in one reply to a control node.
	maxBatch = 4096
	// versionMemory is how long a version without targets still counts as one that may have begun a stream.
	versionMemory = 2 * time.Minute
	// discoveryTime is the time after its start in which a ledger may not have all records and versions: a heartbeat interval.
	discoveryTime = 1500 * time.Millisecond
)

// record is the version that began a stream.
type record struct {
	call     uint64
	software celerylanding.SoftwareVersion
	at       time.Time
}

// Ledger holds the versions that began the streams of all routers, on the leader and as a copy on the nodes that may succeed it; it is not safe for
// concurrent use.
type Ledger struct {
	started time.Time
	// records are numbered in the order in which they arrived, and first is the number of the first one. known holds the numbers by call.
	records []record
	first   uint64
	known   map[uint64]uint64
	// versions holds when a target of each version was last seen, by service.
	versions map[celerylanding.ServiceID]map[celerylanding.SoftwareVersion]time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{started: now, first: FirstRecord, known: make(map[uint64]uint64),
		versions: make(map[celerylanding.ServiceID]map[celerylanding.SoftwareVersion]time.Time)}
}

// Lead records that the node becomes the leader: routers and targets report to it from now on. What it has learned as a follower stays.
func (ledger *Ledger) Lead(now time.Time) { ledger.started = now }

// Record stores the version that sent the first event of a call. The first record of a call holds.
func (ledger *Ledger) Record(now time.Time, origin feed.Origin) {
	ledger.forgetExpired(now)
	if _, isKnown := ledger.known[origin.Call]; isKnown || len(ledger.records) >= maxRecords || origin.Age > recordTTL {
		return
	}
	ledger.known[origin.Call] = ledger.Next()
	ledger.records = append(ledger.records, record{origin.Call, origin.Software, now.Add(-origin.Age)})
}

// forgetExpired drops the first records that have expired.
func (ledger *Ledger) forgetExpired(now time.Time) {
	expired := 0
	for expired < len(ledger.records) && now.Sub(ledger.records[expired].at) > recordTTL {
		delete(ledger.known, ledger.records[expired].call)
		expired++
	}
	ledger.records = ledger.records[expired:]
	ledger.first += uint64(expired)
}

// Next returns the number of the next record.
func (ledger *Ledger) Next() uint64 { return ledger.first + uint64(len(ledger.records)) }

// Since returns the records from a number on, up to maxBatch, and the number after the last one.
func (ledger *Ledger) Since(now time.Time, number uint64) (origins []feed.Origin, next uint64) {
	number = min(max(number, ledger.first), ledger.Next())
	records := ledger.records[number-ledger.first:]
	records = records[:min(len(records), maxBatch)]
	for _, entry := range records {
		origins = append(origins, feed.Origin{Call: entry.call, Software: entry.software, Age: now.Sub(entry.at)})
	}
	return origins, number + uint64(len(records))
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
	if number, ok := ledger.known[call]; ok {
		if entry := ledger.records[number-ledger.first]; now.Sub(entry.at) <= recordTTL {
			return entry.software, true
		}
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
