package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// crashesToRefuse is the number of distinct targets lost to a request after which it is refused.
	crashesToRefuse = 2
	// quarantineTime is how long a fingerprint is remembered after its last crash.
	quarantineTime = 10 * time.Minute
)

// Crash records that a request was in flight on an incarnation of a target when that died.
type Crash struct {
	Fingerprint uint64                    `cbor:"1,keyasint"`
	Target      celerylanding.TargetID    `cbor:"2,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"3,keyasint"`
}

// suspect is what is known of one fingerprint.
type suspect struct {
	crashes map[Crash]bool
	until   time.Time
}

// Quarantine remembers the requests that were in flight on targets that died.
type Quarantine struct {
	suspects map[uint64]*suspect
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: make(map[uint64]*suspect)}
}

// Add records a crash and reports whether it was news.
func (quarantine *Quarantine) Add(now time.Time, crash Crash) bool {
	known, ok := quarantine.suspects[crash.Fingerprint]
	if !ok || !now.Before(known.until) {
		known = &suspect{crashes: make(map[Crash]bool)}
		quarantine.suspects[crash.Fingerprint] = known
	}
	if known.crashes[crash] {
		return false
	}
	known.crashes[crash] = true
	known.until = now.Add(quarantineTime)
	return true
}

// Crashes returns how many targets were lost with the request in flight.
func (quarantine *Quarantine) Crashes(now time.Time, fingerprint uint64) int {
	known, ok := quarantine.suspects[fingerprint]
	if !ok || !now.Before(known.until) {
		return 0
	}
	return len(known.crashes)
}

// IsRefused reports whether the request may not be tried again.
func (quarantine *Quarantine) IsRefused(now time.Time, fingerprint uint64) bool {
	return quarantine.Crashes(now, fingerprint) >= crashesToRefuse
}

// Expire forgets what is past its time.
func (quarantine *Quarantine) Expire(now time.Time) {
	for fingerprint, known := range quarantine.suspects {
		if !now.Before(known.until) {
			delete(quarantine.suspects, fingerprint)
		}
	}
}

// Clear forgets a request that a target has answered.
func (quarantine *Quarantine) Clear(fingerprint uint64) {
	delete(quarantine.suspects, fingerprint)
}
