package tests_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	crashingBody = "crash"
	// endedRunBound is the number of ended runs of a request from which its later retries count.
	endedRunBound = 3
	// copiesAtOnce is the number of copies of the request that callers send together.
	copiesAtOnce = 8
	// crashDelay is the time that an engine runs a copy before it ends.
	crashDelay = 100 * time.Millisecond
)

// sendCopy sends a copy of the request that crashes its engines, and returns the status of the answer.
func (fleet *fleet) sendCopy(ctx context.Context, number int) int {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	router := fleet.routers[number%len(fleet.routers)]
	request, err := fake.NewRequest(ctx, router.ip+":8149", fake.PathStream, fmt.Sprintf("copy-%d", number), rareModel, timeout)
	if err != nil {
		fleet.t.Error(err)
		return 0
	}
	fake.SetBody(request, crashingBody)
	fake.SetPromptParts(request, sharedPart, tenantPart, crashingPart)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestCopiesOfACrashingRequestAreNotSentTogether guards against copies of a request that wait for their model and then crash one engine after the other.
func TestCopiesOfACrashingRequestAreNotSentTogether(t *testing.T) {
	log := &crashLog{sound: make(map[time.Time]bool)}
	// The copies that arrive together are all running when the engine ends.
	crashes := func(request *http.Request) bool {
		isCrash := log.crash(request)
		if isCrash {
			time.Sleep(crashDelay)
		}
		return isCrash
	}
	fleet := newFleet(t, 6, func(int) fake.Options { return fake.Options{OnArrival: log.arrive, Crashes: crashes} })
	soundCtx, stopSound := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() { log.sendSound(soundCtx, fleet, caller) })
	}
	pause(t.Context(), time.Second)
	began := time.Now()
	statuses := make(map[int]int)
	for wave := range 3 {
		var copies sync.WaitGroup
		for number := range copiesAtOnce {
			copies.Go(func() {
				status := fleet.sendCopy(t.Context(), wave*copiesAtOnce+number)
				log.mutex.Lock()
				defer log.mutex.Unlock()
				statuses[status]++
			})
		}
		pause(t.Context(), stabilityWindow+500*time.Millisecond)
		copies.Wait()
	}
	stopSound()
	callers.Wait()

	log.mutex.Lock()
	defer log.mutex.Unlock()
	assert.Assert(t, len(log.crashes) >= endedRunBound, "%d runs of the request ended with their engine", len(log.crashes))
	late := 0
	for _, at := range log.arrivals {
		if at.After(log.crashes[endedRunBound-1].Add(stabilityWindow)) {
			late++
		}
	}
	share, count := log.servedShare(began, time.Now())
	t.Logf("%d runs ended with their engine, %d copies reached engines, %d of them late, answers %v; %.2f of %d sound requests served",
		len(log.crashes), len(log.arrivals), late, statuses, share, count)
	assert.Check(t, late <= maxLateArrivals, "%d copies reached engines late", late)
	assert.Check(t, share >= 0.5, "%.2f of %d sound requests were served", share, count)
}
