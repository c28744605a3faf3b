package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// crashThreshold is the number of distinct target crashes with a request in flight after which the request is refused.
	crashThreshold = 2
	// quarantineTTL is how long a fingerprint's crashes are kept after the last one.
	quarantineTTL = 10 * time.Minute
)

// Crash records that a request was in flight on an incarnation of a target when that incarnation died.
type Crash struct {
	Fingerprint uint64                    `cbor:"1,keyasint"`
	Target      celerylanding.TargetID    `cbor:"2,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint"`
}

// crashRecord holds the crashes of one fingerprint.
type crashRecord struct {
	crashes map[Crash]bool
	expires time.Time
}

// Quarantine tracks the requests that were in flight on targets that died, so that a request that kills targets is not retried.
type Quarantine struct {
	records map[uint64]*crashRecord
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{records: make(map[uint64]*crashRecord)}
}

// Add records a crash and reports whether it was new.
func (quarantine *Quarantine) Add(now time.Time, crash Crash) bool {
	record, ok := quarantine.records[crash.Fingerprint]
	if !ok || !now.Before(record.expires) {
		record = &crashRecord{crashes: make(map[Crash]bool)}
		quarantine.records[crash.Fingerprint] = record
	}
	if record.crashes[crash] {
		return false
	}
	record.crashes[crash] = true
	record.expires = now.Add(quarantineTTL)
	return true
}

// Crashes returns the number of recorded crashes with the request in flight.
func (quarantine *Quarantine) Crashes(now time.Time, fingerprint uint64) int {
	record, ok := quarantine.records[fingerprint]
	if !ok || !now.Before(record.expires) {
		return 0
	}
	return len(record.crashes)
}

// IsQuarantined reports whether the request has reached the crash threshold and must not be dispatched again.
func (quarantine *Quarantine) IsQuarantined(now time.Time, fingerprint uint64) bool {
	return quarantine.Crashes(now, fingerprint) >= crashThreshold
}

// Expire removes the records whose time to live has passed.
func (quarantine *Quarantine) Expire(now time.Time) {
	for fingerprint, record := range quarantine.records {
		if !now.Before(record.expires) {
			delete(quarantine.records, fingerprint)
		}
	}
}

// Clear removes the record of a request that a target has answered.
func (quarantine *Quarantine) Clear(fingerprint uint64) {
	delete(quarantine.records, fingerprint)
}
