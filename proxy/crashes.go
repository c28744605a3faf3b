package proxy

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// crashWindow is the time after an interrupted exchange in which a refused connection counts as evidence that the target has crashed.
	crashWindow = time.Second
	// probeDelay is the time between an interrupted exchange and the probe of its target, in which the other exchanges break off too.
	probeDelay = 20 * time.Millisecond
	// probeInterval is the shortest time between two probes of a target that is alive.
	probeInterval = 250 * time.Millisecond
	// maxSuspects is the largest number of interrupted exchanges that are kept.
	maxSuspects = 1024
	// answerMemory is the time for which an answered fingerprint is not blamed for a crash; it is kept for up to twice as long.
	answerMemory = 10 * time.Second
	// maxAnswered bounds the answered fingerprints that are kept for one answerMemory.
	maxAnswered = 8192
)

// brokenExchange is an interrupted exchange, which may be due to a crash of the target.
type brokenExchange struct {
	endpoint     celerylanding.Endpoint
	fingerprints []uint64
	run          uint64
	at           time.Time
}

// crashTracker finds the requests that were running on a target when it crashed, and holds the fingerprints of quarantined requests and
// prompt parts.
type crashTracker struct {
	mutex       sync.Mutex
	suspects    []brokenExchange
	confirmed   []feed.Crash
	quarantined map[uint64]bool
	// watched are the fingerprints that the leader suspects.
	watched []uint64
	// answered and answeredBefore hold the fingerprints of answered requests since rotatedAt and in the answerMemory before it.
	answered, answeredBefore map[uint64]bool
	rotatedAt                time.Time
	// probes holds the probes by the address of the target.
	probes map[string]*targetProbe
	// brokenAt is when targets last broke off an exchange.
	brokenAt map[celerylanding.Endpoint]time.Time
}

// targetProbe is the state of the probes of one target.
type targetProbe struct {
	// isRunning is set while a goroutine probes the target, and isDue if an exchange has broken off since its last connection was begun.
	isRunning, isDue bool
	// allowedAt is when the target may be probed again.
	allowedAt time.Time
}

func newCrashTracker() *crashTracker {
	return &crashTracker{answered: make(map[uint64]bool), answeredBefore: make(map[uint64]bool), probes: make(map[string]*targetProbe),
		brokenAt: make(map[celerylanding.Endpoint]time.Time)}
}

// fingerprints returns hashes of what requests can have in common: the whole request, which is the same for all attempts, also by its caller
// and for another model, and each part of its prompt but the last, which is the request's own. The first one is that of the whole request.
func (call *call) fingerprints() []uint64 {
	if call.hashes != nil {
		return call.hashes
	}
	parts := call.metadata.PromptParts
	shared := parts[:max(0, len(parts)-1)]
	whole := []string{call.host, call.method, call.requestURI}
	for _, part := range parts {
		whole = append(whole, part.ID)
	}
	call.hashes = append(make([]uint64, 0, 1+len(shared)), hash(append(whole, string(call.body))...))
	for _, part := range shared {
		call.hashes = append(call.hashes, hash("prompt part", part.ID))
	}
	return call.hashes
}

func hash(texts ...string) uint64 {
	digest := xxhash.New()
	for _, text := range texts {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(text)
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
	run := hash(call.metadata.ID, strconv.Itoa(call.sends))
	tracker.suspects = append(tracker.suspects, brokenExchange{endpoint, call.fingerprints(), run, now})
}

// recordBreak records that a target has broken off an exchange.
func (tracker *crashTracker) recordBreak(now time.Time, endpoint celerylanding.Endpoint) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	maps.DeleteFunc(tracker.brokenAt, func(_ celerylanding.Endpoint, at time.Time) bool { return now.Sub(at) > crashWindow })
	tracker.brokenAt[endpoint] = now
}

// hasBroken reports whether a target has broken off an exchange since a time, at most crashWindow ago.
func (tracker *crashTracker) hasBroken(endpoint celerylanding.Endpoint, since time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	at, ok := tracker.brokenAt[endpoint]
	return ok && !at.Before(since)
}

// confirmation is the result of a refused connection to a target.
type confirmation struct {
	// crashed are the exchanges with the target that it explains, and copies is the largest number of them with the same request.
	crashed int
	copies  int
	// mostCopied is the fingerprint of that request.
	mostCopied uint64
	// expired are the exchanges with any target that are too old to be explained.
	expired int
}

// confirm records a crash for each recent suspect exchange with the target, after a connection to it was refused.
func (tracker *crashTracker) confirm(now time.Time, endpoint celerylanding.Endpoint) confirmation {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var result confirmation
	copies := make(map[uint64]int)
	kept := tracker.suspects[:0]
	for _, suspect := range tracker.suspects {
		isSame := suspect.endpoint.Target == endpoint.Target && suspect.endpoint.Incarnation == endpoint.Incarnation
		switch {
		case now.Sub(suspect.at) > crashWindow:
			result.expired++
		case isSame:
			result.crashed++
			whole := suspect.fingerprints[0]
			if copies[whole]++; copies[whole] > result.copies {
				result.copies, result.mostCopied = copies[whole], whole
			}
			tracker.report(suspect)
		default:
			kept = append(kept, suspect)
		}
	}
	tracker.suspects = kept
	return result
}

// report adds a crash for each fingerprint of the request that was not answered recently.
func (tracker *crashTracker) report(suspect brokenExchange) {
	for part, fingerprint := range suspect.fingerprints {
		if tracker.wasAnswered(fingerprint) {
			continue
		}
		crash := feed.Crash{Fingerprint: fingerprint, Target: suspect.endpoint.Target, Incarnation: suspect.endpoint.Incarnation, Part: part}
		if part == 0 {
			crash.Run = suspect.run
		}
		tracker.confirmed = append(tracker.confirmed, crash)
	}
}

// beginProbe records that an exchange with the target at an address has broken off. It reports whether the caller has to start a probe, and
// after which delay; otherwise the probe that runs covers this exchange too.
func (tracker *crashTracker) beginProbe(now time.Time, address string) (delay time.Duration, isNeeded bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	probe := tracker.probes[address]
	if probe != nil && probe.isRunning {
		probe.isDue = true
		return 0, false
	}
	maps.DeleteFunc(tracker.probes, func(_ string, other *targetProbe) bool { return !other.isRunning && !now.Before(other.allowedAt) })
	delay = probeDelay
	if probe != nil {
		delay = max(delay, probe.allowedAt.Sub(now))
	}
	tracker.probes[address] = &targetProbe{isRunning: true}
	return delay, true
}

// beginConnection records that a probe connects to the target now: an exchange that breaks off later needs another one.
func (tracker *crashTracker) beginConnection(address string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.probes[address].isDue = false
}

// endConnection records the result of a probe, and reports whether the target must be probed again. A target that refuses connections may be
// probed again at once, for exchanges that broke off late.
func (tracker *crashTracker) endConnection(now time.Time, address string, isRefused bool) (isDue bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	probe := tracker.probes[address]
	if isRefused {
		probe.isRunning, probe.allowedAt = false, now
		return false
	}
	probe.isRunning, probe.allowedAt = probe.isDue, now.Add(probeInterval)
	return probe.isDue
}

// collect returns the confirmed crashes since the last call, and the fingerprints that the leader suspects although requests with them were
// answered recently.
func (tracker *crashTracker) collect(now time.Time) (crashes []feed.Crash, answered []uint64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.rotate(now)
	for _, fingerprint := range tracker.watched {
		if tracker.wasAnswered(fingerprint) {
			answered = append(answered, fingerprint)
		}
	}
	crashes = tracker.confirmed
	tracker.confirmed = nil
	return crashes, answered
}

// recordAnswer records that a target has answered the request completely.
func (tracker *crashTracker) recordAnswer(now time.Time, call *call) {
	fingerprints := call.fingerprints()
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.rotate(now)
	for _, fingerprint := range fingerprints {
		if len(tracker.answered) < maxAnswered {
			tracker.answered[fingerprint] = true
		}
	}
}

// rotate drops the fingerprints that were answered longer ago than answerMemory.
func (tracker *crashTracker) rotate(now time.Time) {
	if now.Sub(tracker.rotatedAt) < answerMemory {
		return
	}
	if now.Sub(tracker.rotatedAt) < 2*answerMemory {
		tracker.answeredBefore = tracker.answered
	} else {
		tracker.answeredBefore = make(map[uint64]bool)
	}
	tracker.answered, tracker.rotatedAt = make(map[uint64]bool), now
}

func (tracker *crashTracker) wasAnswered(fingerprint uint64) bool {
	return tracker.answered[fingerprint] || tracker.answeredBefore[fingerprint]
}

// setQuarantine replaces the fingerprints to refuse, and those that the leader suspects.
func (tracker *crashTracker) setQuarantine(quarantined, suspects []uint64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.watched = suspects
	tracker.quarantined = make(map[uint64]bool, len(quarantined))
	for _, fingerprint := range quarantined {
		tracker.quarantined[fingerprint] = true
	}
}

// quarantineCause returns why the request is refused, or "" if it is not.
func (tracker *crashTracker) quarantineCause(call *call) string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if len(tracker.quarantined) == 0 {
		return ""
	}
	for part, fingerprint := range call.fingerprints() {
		switch {
		case !tracker.quarantined[fingerprint]:
		case part == 0:
			return "the request has crashed the targets that ran it"
		default:
			return "requests with part " + strconv.Quote(call.metadata.PromptParts[part-1].ID) + " of the prompt have crashed the targets that ran them"
		}
	}
	return ""
}
