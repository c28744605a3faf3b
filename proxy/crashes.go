package proxy

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// crashWindow is the time after an interrupted exchange in which a refused connection counts as evidence that the target has crashed.
	crashWindow = time.Second
	// quarantineTime is how long a quarantined request is refused after the leader last published it as quarantined.
	quarantineTime = 5 * time.Minute
	// maxSuspects is the largest number of interrupted exchanges that are kept.
	maxSuspects = 1024
)

// brokenExchange is an interrupted exchange, which may be due to a crash of the target.
type brokenExchange struct {
	crash feed.Crash
	at    time.Time
}

// crashTracker finds the requests that were running on a target when it crashed, and stores the fingerprints of quarantined requests.
type crashTracker struct {
	mutex     sync.Mutex
	suspects  []brokenExchange
	confirmed []feed.Crash
	// quarantined maps the fingerprint of a request to the time until which the request is refused; each router stores these times because a
	// new leader does not have them.
	quarantined map[uint64]time.Time
}

func newCrashTracker() *crashTracker { return &crashTracker{quarantined: make(map[uint64]time.Time)} }

// fingerprint returns a hash that is the same for all attempts of a request, including retries by its caller.
func (call *call) fingerprint() uint64 {
	digest := xxhash.New()
	parts := []string{call.host, call.method, call.requestURI, string(call.metadata.Model)}
	for _, part := range call.metadata.PromptParts {
		parts = append(parts, part.ID)
	}
	for _, part := range append(parts, string(call.body)) {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// suspect records an interrupted exchange as a possible crash.
func (tracker *crashTracker) suspect(now time.Time, call *call, endpoint celerylanding.Endpoint) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if len(tracker.suspects) >= maxSuspects {
		tracker.suspects = tracker.suspects[1:]
	}
	tracker.suspects = append(tracker.suspects, brokenExchange{feed.Crash{Fingerprint: call.fingerprint(), Target: endpoint.Target,
		Incarnation: endpoint.Incarnation}, now})
}

// confirm records a crash for each recent suspect exchange with the target, after a connection to it was refused. It returns the number of
// these exchanges, and the number of those with any target that are too old to be confirmed.
func (tracker *crashTracker) confirm(now time.Time, endpoint celerylanding.Endpoint) (confirmed, expired int) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	kept := tracker.suspects[:0]
	for _, suspect := range tracker.suspects {
		isSame := suspect.crash.Target == endpoint.Target && suspect.crash.Incarnation == endpoint.Incarnation
		switch {
		case now.Sub(suspect.at) > crashWindow:
			expired++
		case isSame:
			confirmed++
			tracker.confirmed = append(tracker.confirmed, suspect.crash)
		default:
			kept = append(kept, suspect)
		}
	}
	tracker.suspects = kept
	return confirmed, expired
}

// collect returns the confirmed crashes since the last call.
func (tracker *crashTracker) collect() []feed.Crash {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	collected := tracker.confirmed
	tracker.confirmed = nil
	return collected
}

// quarantine adds fingerprints of requests to refuse, and removes expired ones.
func (tracker *crashTracker) quarantine(now time.Time, fingerprints []uint64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		tracker.quarantined[fingerprint] = now.Add(quarantineTime)
	}
	for fingerprint, until := range tracker.quarantined {
		if !now.Before(until) {
			delete(tracker.quarantined, fingerprint)
		}
	}
}

// isQuarantined reports whether the request has crashed too many targets.
func (tracker *crashTracker) isQuarantined(now time.Time, call *call) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.quarantined) > 0 && now.Before(tracker.quarantined[call.fingerprint()])
}
