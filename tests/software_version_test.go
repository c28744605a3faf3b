package tests_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

// versionLog records the software versions of the engines that sent events of each stream.
type versionLog struct {
	mutex    sync.Mutex
	versions map[string][]string
}

func (log *versionLog) add(stream, version string) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.versions[stream] = append(log.versions[stream], version)
}

// hasBegun reports whether an engine has sent an event of the stream.
func (log *versionLog) hasBegun(stream string) bool {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return len(log.versions[stream]) > 0
}

// attempt sends one attempt for a stream to a router and returns the events that its caller gets. Its ID is STREAM.NUMBER.
func (fleet *fleet) attempt(ctx context.Context, router *fleetProcess, stream string, number int) string {
	const timeout = 4 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := fake.NewRequest(ctx, router.ip+":8149", fake.PathResumable, fmt.Sprintf("%s.%d", stream, number), fleet.models[0], timeout)
	if err != nil {
		fleet.t.Error(err)
		return ""
	}
	fake.SetBody(request, stream)
	if number > 1 {
		request.Header.Set("Last-Event-Id", "1")
		request.Header.Set("Resumes", stream+".1")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	// An error means that the stream broke off; what came before counts.
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// TestStreamsTakenUpAtOtherRoutersHoldOneSoftwareVersion guards against streams with events of two software versions, when their callers take them up
// at another router, also after the first router or the leader was killed, or that router with all controllers.
func TestStreamsTakenUpAtOtherRoutersHoldOneSoftwareVersion(t *testing.T) {
	const streams = 24
	log := &versionLog{versions: make(map[string][]string)}
	isFirst := func(request *http.Request) bool {
		return strings.HasSuffix(fake.AttemptID(request), ".1")
	}
	fleet := newFleet(t, 4, func(number int) fake.Options {
		version := fmt.Sprintf("v%d", number%2)
		return fake.Options{Software: version, HasAllLoaded: true,
			OnExecute: func(id string) { log.add(id[:strings.LastIndex(id, ".")], version) },
			BreaksAfter: func(request *http.Request) int {
				if isFirst(request) {
					return 1
				}
				return 0
			}}
	})
	pause(t.Context(), time.Second)
	for phase, disrupt := range []func(){
		func() {},
		func() { fleet.routers[0].kill() },
		func() {
			for _, proc := range fleet.controllers[:2] {
				proc.kill()
				proc.start(false)
			}
		},
		func() {
			fleet.routers[0].kill()
			for _, proc := range fleet.controllers {
				proc.kill()
			}
			for _, proc := range fleet.controllers {
				proc.start(false)
			}
		},
	} {
		name := func(number int) string { return fmt.Sprintf("s%d-%d", phase, number) }
		var calls sync.WaitGroup
		for number := range streams {
			calls.Go(func() { fleet.attempt(t.Context(), fleet.routers[0], name(number), 1) })
		}
		calls.Wait()
		// The records of the streams travel with the routers' next reports.
		pause(t.Context(), 600*time.Millisecond)
		disrupt()
		began, wentOn := 0, 0
		for number := range streams {
			if !log.hasBegun(name(number)) {
				continue
			}
			began++
			if rest := fleet.attempt(t.Context(), fleet.routers[1], name(number), 2); rest != "" {
				wentOn++
			}
		}
		if phase == 1 {
			fleet.routers[0].start(false)
			fleet.awaitReady()
		}
		log.mutex.Lock()
		mixed := 0
		for _, versions := range log.versions {
			for _, version := range versions {
				if version != versions[0] {
					mixed++
					break
				}
			}
		}
		log.mutex.Unlock()
		t.Logf("phase %d: %d streams began, %d went on, %d are mixed", phase, began, wentOn, mixed)
		assert.Check(t, mixed == 0, "%d streams hold events of two versions", mixed)
		assert.Check(t, began >= streams/2 && wentOn >= began/2, "%d of %d streams went on", wentOn, began)
	}
}
