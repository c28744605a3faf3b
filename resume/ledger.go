package resume

import (
	"maps"
	"slices"
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
	// maxListed is the number of versions of a service in a list of versions: with two, none of them is the only one.
	maxListed = 2
)

// ServiceVersion is a software version that targets of a service have.
type ServiceVersion struct {
	Service  celerylanding.ServiceID       `cbor:"1,keyasint"`
	Software celerylanding.SoftwareVersion `cbor:"2,keyasint,omitempty"`
}

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
	// watchedSince is the time since which no version can have been missed.
	watchedSince time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{started: now, watchedSince: now, first: FirstRecord, known: make(map[uint64]uint64),
		versions: make(map[celerylanding.ServiceID]map[celerylanding.SoftwareVersion]time.Time)}
}

// Lead records that the node becomes the leader: routers and targets report to it from now on. What it has learned as a follower stays. The history
// lists the versions that earlier leaders have seen lately; hasHistory is set if none is missing.
func (ledger *Ledger) Lead(now time.Time, history []ServiceVersion, hasHistory bool) {
	ledger.started, ledger.watchedSince = now, now
	if hasHistory {
		ledger.watchedSince = time.Time{}
	}
	for _, entry := range history {
		ledger.ObserveVersion(now, entry.Service, entry.Software)
	}
}

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

// ObserveVersion records that a target of the service has the version, and reports whether none had it lately.
func (ledger *Ledger) ObserveVersion(now time.Time, service celerylanding.ServiceID, software celerylanding.SoftwareVersion) (isNew bool) {
	versions := ledger.versions[service]
	if versions == nil {
		versions = make(map[celerylanding.SoftwareVersion]time.Time)
		ledger.versions[service] = versions
	}
	seen, isKnown := versions[software]
	versions[software] = now
	return !isKnown || now.Sub(seen) > versionMemory
}

// HasHistory reports whether the ledger knows all versions that may have begun a stream.
func (ledger *Ledger) HasHistory(now time.Time) bool {
	return now.Sub(ledger.watchedSince) >= versionMemory
}

// Versions returns the versions that services have had lately, ordered, two of each service at most.
func (ledger *Ledger) Versions(now time.Time) []ServiceVersion {
	var list []ServiceVersion
	for _, service := range slices.Sorted(maps.Keys(ledger.versions)) {
		versions := slices.Sorted(maps.Keys(ledger.recentVersions(now, service)))
		for _, software := range versions[:min(len(versions), maxListed)] {
			list = append(list, ServiceVersion{Service: service, Software: software})
		}
	}
	return list
}

// recentVersions returns the versions that a service has had lately, and forgets the others.
func (ledger *Ledger) recentVersions(now time.Time, service celerylanding.ServiceID) map[celerylanding.SoftwareVersion]time.Time {
	versions := ledger.versions[service]
	maps.DeleteFunc(versions, func(_ celerylanding.SoftwareVersion, seen time.Time) bool { return now.Sub(seen) > versionMemory })
	return versions
}

// IsStarting reports whether routers and targets may not have reported to the ledger yet.
func (ledger *Ledger) IsStarting(now time.Time) bool { return now.Sub(ledger.started) < discoveryTime }

// Find returns the version that began the call's stream: the recorded one, or the only one that the service has had lately.
func (ledger *Ledger) Find(now time.Time, call uint64, service celerylanding.ServiceID) (software celerylanding.SoftwareVersion, isKnown bool) {
	if software, isKnown = ledger.Recorded(now, call); isKnown {
		return software, true
	}
	versions := ledger.recentVersions(now, service)
	// After a restart, the only version that has been seen need not be the only one that has begun streams.
	if len(versions) != 1 || ledger.IsStarting(now) || !ledger.HasHistory(now) {
		return "", false
	}
	for software := range versions {
		return software, true
	}
	return "", false
}

// Recorded returns the version that is recorded as the one that began the call's stream.
func (ledger *Ledger) Recorded(now time.Time, call uint64) (software celerylanding.SoftwareVersion, isKnown bool) {
	number, ok := ledger.known[call]
	if !ok {
		return "", false
	}
	entry := ledger.records[number-ledger.first]
	return entry.software, now.Sub(entry.at) <= recordTTL
}
