package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// crashWindow is the time after a broken exchange within which a refused connection shows that the target has died.
	crashWindow = time.Second
	// refuseTime is how long a request is refused after the leader has last named it.
	refuseTime = 5 * time.Minute
	// maxSuspects bounds the broken exchanges that are remembered.
	maxSuspects = 1024
)

// broken is an exchange that broke off, which may have been the target's death.
type broken struct {
	crash feed.Crash
	at    time.Time
}

// crashes finds the requests that were running on targets when these died.
type crashes struct {
	mutex     sync.Mutex
	suspects  []broken
	confirmed []feed.Crash
	// quarantined holds until when requests are refused; a new leader does not know them.
	quarantined map[uint64]time.Time
}

func newCrashes() *crashes { return &crashes{quarantined: make(map[uint64]time.Time)} }

// fingerprint is the same for all tries of a request, also those that its caller sends later.
func (call *call) fingerprint() uint64 {
	digest := xxhash.New()
	parts := []string{call.host, call.method, call.target, string(call.said.Model)}
	for _, part := range call.said.Parts {
		parts = append(parts, part.ID)
	}
	for _, part := range append(parts, string(call.body)) {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// suspect remembers that an exchange broke off.
func (list *crashes) suspect(now time.Time, call *call, endpoint celerylanding.Endpoint) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if len(list.suspects) >= maxSuspects {
		list.suspects = list.suspects[1:]
	}
	list.suspects = append(list.suspects, broken{feed.Crash{Fingerprint: call.fingerprint(), Target: endpoint.Target,
		Incarnation: endpoint.Incarnation}, now})
}

// confirm takes a refused connection as the sign that the target has died.
func (list *crashes) confirm(now time.Time, endpoint celerylanding.Endpoint) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	kept := list.suspects[:0]
	for _, suspect := range list.suspects {
		isSame := suspect.crash.Target == endpoint.Target && suspect.crash.Incarnation == endpoint.Incarnation
		switch {
		case now.Sub(suspect.at) > crashWindow:
		case isSame:
			list.confirmed = append(list.confirmed, suspect.crash)
		default:
			kept = append(kept, suspect)
		}
	}
	list.suspects = kept
}

// take returns the crashes since the last call.
func (list *crashes) take() []feed.Crash {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	taken := list.confirmed
	list.confirmed = nil
	return taken
}

// refuse adds requests that are refused from now on.
func (list *crashes) refuse(now time.Time, fingerprints []uint64) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		list.quarantined[fingerprint] = now.Add(refuseTime)
	}
	for fingerprint, until := range list.quarantined {
		if !now.Before(until) {
			delete(list.quarantined, fingerprint)
		}
	}
}

// isQuarantined reports whether the request has crashed too many targets.
func (list *crashes) isQuarantined(now time.Time, call *call) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return len(list.quarantined) > 0 && now.Before(list.quarantined[call.fingerprint()])
}
