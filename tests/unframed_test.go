package tests_test

import (
	"bufio"
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

// receive sends a request for a stream to a router. It calls onBegin when the first event arrives, and returns the status, the events, and the error
// that ends them.
func (fleet *fleet) receive(ctx context.Context, router *fleetProcess, path, id string, onBegin func()) (int, string, error) {
	const timeout = 4 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := fake.NewRequest(ctx, router.ip+":8149", path, id, fleet.models[0], timeout)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.Peek(1); err == nil {
		onBegin()
	}
	text, err := io.ReadAll(reader)
	return response.StatusCode, string(text), err
}

// TestUnframedStreamsThatEndEarlyDoNotLookComplete guards against streams that look complete before their last event: their engines send neither a
// length nor chunks and end between two events, or their router is killed.
func TestUnframedStreamsThatEndEarlyDoNotLookComplete(t *testing.T) {
	const streams = 40
	fleet := newFleet(t, 6, func(int) fake.Options {
		return fake.Options{HasAllLoaded: true, IsUnframed: true, CrashesAfter: func(request *http.Request) int {
			if strings.HasPrefix(fake.AttemptID(request), "crash-") {
				return 2
			}
			return 0
		}}
	})
	pause(t.Context(), time.Second)
	var calls sync.WaitGroup
	var mutex sync.Mutex
	complete, cut := 0, 0
	play := func(id, path string, router *fleetProcess, onBegin func()) {
		status, text, err := fleet.receive(t.Context(), router, path, id, onBegin)
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case status == http.StatusOK && err == nil:
			complete++
			assert.Check(t, text == fake.StreamBody(id), "%s ends as complete with %q", id, text)
		case text != "":
			cut++
		}
	}
	for number := range streams {
		id := fmt.Sprintf("sound-%d", number)
		if number%10 == 0 {
			id = fmt.Sprintf("crash-%d", number)
		}
		calls.Go(func() {
			play(id, []string{fake.PathStream, fake.PathResumable}[number%2], fleet.routers[number%2], func() {})
		})
		pause(t.Context(), 50*time.Millisecond)
	}
	calls.Wait()
	t.Logf("engines end: %d streams complete, %d cut", complete, cut)
	assert.Check(t, cut > 0 && complete > 0)

	pause(t.Context(), 2*time.Second)
	complete, cut = 0, 0
	began := make(chan struct{}, streams)
	for number := range streams {
		id := fmt.Sprintf("killed-%d", number)
		calls.Go(func() { play(id, fake.PathStream, fleet.routers[0], func() { began <- struct{}{} }) })
	}
	<-began
	fleet.routers[0].kill()
	calls.Wait()
	t.Logf("router killed: %d streams complete, %d cut", complete, cut)
	assert.Check(t, cut+complete > 0)
}
