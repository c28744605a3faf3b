package tests_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	sharedPart   = "5c1e07a2"
	tenantPart   = "91bd3f06"
	crashingPart = "bad0bad0"
	// maxLateArrivals bounds the requests with a crashing part that reach engines later than the stability window after the fifth crash.
	maxLateArrivals = 3
	crashBound      = 5
)

// crashLog records what happens to requests with and without the crashing part.
type crashLog struct {
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	// sound holds the send times of requests without the part, with their success.
	sound map[time.Time]bool
}

func hasCrashingPart(request *http.Request) bool {
	return fake.HasPromptPart(request, crashingPart)
}

func (log *crashLog) arrive(request *http.Request) {
	if hasCrashingPart(request) {
		log.mutex.Lock()
		defer log.mutex.Unlock()
		log.arrivals = append(log.arrivals, time.Now())
	}
}

func (log *crashLog) crash(request *http.Request) bool {
	if !hasCrashingPart(request) {
		return false
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.crashes = append(log.crashes, time.Now())
	return true
}

// boundary returns the time of the fifth crash, or of the last one if there are fewer.
func (log *crashLog) boundary() time.Time {
	if len(log.crashes) == 0 {
		return time.Time{}
	}
	return log.crashes[min(len(log.crashes), crashBound)-1]
}

// servedShare returns the share of the requests without the part, sent in a span of time, that were served, and their number.
func (log *crashLog) servedShare(from, until time.Time) (share float64, count int) {
	served := 0
	for sent, ok := range log.sound {
		if sent.Before(from) || sent.After(until) {
			continue
		}
		count++
		if ok {
			served++
		}
	}
	return float64(served) / float64(max(1, count)), count
}

// sendSound sends requests that share all but the crashing part until the context ends.
func (log *crashLog) sendSound(ctx context.Context, fleet *fleet, caller int) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("sound-%d-%d", caller, number)
		sent := time.Now()
		ok := fleet.stream(fleet.t.Context(), id, sharedPart, tenantPart, id)
		log.mutex.Lock()
		log.sound[sent] = ok
		log.mutex.Unlock()
		pause(ctx, 60*time.Millisecond)
	}
}

// sendCrashing sends requests that have only the crashing part and the parts before it in common, until the context ends.
func (log *crashLog) sendCrashing(ctx context.Context, fleet *fleet, name string) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		calls.Go(func() { fleet.stream(fleet.t.Context(), id, sharedPart, tenantPart, crashingPart, id) })
		pause(ctx, 300*time.Millisecond)
	}
}

// TestPromptPartThatCrashesEnginesIsRefused guards against requests with a common prompt part that crash one engine after the other, also
// after all processes were killed.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	log := &crashLog{sound: make(map[time.Time]bool)}
	fleet := newFleet(t, 6, func(int) fake.Options { return fake.Options{OnArrival: log.arrive, Crashes: log.crash} })
	soundCtx, stopSound := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() { log.sendSound(soundCtx, fleet, caller) })
	}
	pause(t.Context(), 2*time.Second)
	began := time.Now()
	run := func(name string, length time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		log.sendCrashing(ctx, fleet, name)
	}
	run("first", 11*time.Second)
	checked := time.Now()
	for _, proc := range append(append([]*fleetProcess{}, fleet.controllers...), fleet.routers...) {
		proc.kill()
		proc.start(false)
	}
	fleet.awaitReady()
	run("restarted", 3*time.Second)
	stopSound()
	callers.Wait()

	log.mutex.Lock()
	defer log.mutex.Unlock()
	assert.Assert(t, len(log.crashes) > 0, "no request has crashed an engine")
	boundary := log.boundary()
	late := 0
	for _, at := range log.arrivals {
		if at.After(boundary.Add(stabilityWindow)) {
			late++
		}
	}
	before, count := log.servedShare(began.Add(-time.Second), began)
	beside, besideCount := log.servedShare(boundary.Add(2*stabilityWindow), checked)
	t.Logf("%d crashes, %d requests with the part reached engines, %d of them late; served %.2f of %d before and %.2f of %d beside them",
		len(log.crashes), len(log.arrivals), late, before, count, beside, besideCount)
	assert.Check(t, late <= maxLateArrivals, "%d requests with the part reached engines late", late)
	assert.Check(t, count >= 20 && besideCount >= 20, "%d and %d requests", count, besideCount)
	assert.Check(t, beside >= before/2, "requests without the part are served %.2f beside the crashes, %.2f before", beside, before)
}
