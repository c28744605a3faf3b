package tests_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	withdrawnKey = "ring-of-the-left"
	keptKey      = "ring-of-the-kept"
	// The workspaces of the two keys.
	leftWorkspace, keptWorkspace = "left", "kept"
)

// keyedCall is a request that was sent with a key, or without one to a public route.
type keyedCall struct {
	router int
	key    string
	sent   time.Time
	status int
}

// keyedFleet sends requests with keys to all its routers, and records which of them engines run.
type keyedFleet struct {
	*fleet
	mutex sync.Mutex
	calls map[string]*keyedCall
	ran   map[string]bool
	// foreign lists the requests that reached an engine with a caller's key or for another workspace.
	foreign []string
}

func newKeyedFleet(t *testing.T) *keyedFleet {
	keyed := &keyedFleet{calls: make(map[string]*keyedCall), ran: make(map[string]bool)}
	keyed.fleet = newFleet(t, 2, func(int) fake.Options {
		return fake.Options{HasAllLoaded: true, OnArrival: keyed.arrive}
	})
	return keyed
}

func (keyed *keyedFleet) arrive(request *http.Request) {
	keyed.mutex.Lock()
	defer keyed.mutex.Unlock()
	id := fake.AttemptID(request)
	keyed.ran[id] = true
	want := map[string]string{withdrawnKey: leftWorkspace, keptKey: keptWorkspace}[keyed.calls[id].key]
	if fake.CarriesKey(request) || fake.Workspace(request) != want {
		keyed.foreign = append(keyed.foreign, id)
	}
}

// submit puts a configuration in force through a controller and returns when it was acknowledged.
func (fleet *fleet) submit(controller int, version uint64, keysOf map[string][]string) time.Time {
	fleet.t.Helper()
	body, err := fake.KeyedConfiguration(version, fleet.models, len(fleet.models), keysOf)
	assert.NilError(fleet.t, err)
	request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPut, "http://"+fleet.controls[controller]+"/config", bytes.NewReader(body))
	assert.NilError(fleet.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(fleet.t, err)
	_ = response.Body.Close()
	assert.Equal(fleet.t, response.StatusCode, http.StatusOK)
	return time.Now()
}

// ask sends one request to a router; without a key it goes to the public route.
func (keyed *keyedFleet) ask(ctx context.Context, router int, id, key string) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	path := fake.PathStream
	if key == "" {
		path = fake.PathResumable
	}
	request, err := fake.NewRequest(ctx, keyed.routers[router].ip+":8149", path, id, keyed.models[0], timeout)
	if err != nil {
		keyed.t.Error(err)
		return
	}
	if key != "" {
		fake.SetKey(request, key)
	}
	call := &keyedCall{router: router, key: key, sent: time.Now()}
	keyed.mutex.Lock()
	keyed.calls[id] = call
	keyed.mutex.Unlock()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		keyed.mutex.Lock()
		call.status = response.StatusCode
		keyed.mutex.Unlock()
	}
}

// send sends requests of each kind to all routers until the context ends, and waits for their answers.
func (keyed *keyedFleet) send(ctx context.Context) {
	const interval = 60 * time.Millisecond
	var calls sync.WaitGroup
	for turn := 0; ctx.Err() == nil; turn++ {
		for router := range keyed.routers {
			for _, key := range []string{withdrawnKey, keptKey, ""} {
				calls.Go(func() { keyed.ask(keyed.t.Context(), router, fmt.Sprintf("%d-%d-%s", router, turn, key), key) })
			}
		}
		pause(ctx, interval)
	}
	calls.Wait()
}

// count returns the number of requests to a router that were sent in a time, and of those that were answered with a status.
func (keyed *keyedFleet) count(router int, key string, from, to time.Time, status int) (sent, answered int) {
	keyed.mutex.Lock()
	defer keyed.mutex.Unlock()
	for _, call := range keyed.calls {
		if call.router != router || call.key != key || call.sent.Before(from) || call.sent.After(to) {
			continue
		}
		sent++
		if call.status == status {
			answered++
		}
	}
	return sent, answered
}

// assertAnswered checks that nine in ten requests of a time were answered with a status.
func (keyed *keyedFleet) assertAnswered(what string, router int, key string, from, to time.Time, status int) {
	keyed.t.Helper()
	sent, answered := keyed.count(router, key, from, to, status)
	keyed.t.Logf("%s: %d of %d answered with %d", what, answered, sent, status)
	assert.Check(keyed.t, sent >= 5 && answered*10 >= sent*9, what)
}

// TestWithdrawnKeyStopsEverywhere guards against requests that run with a withdrawn key later than the bound after its withdrawal was
// acknowledged: at a router in touch, at one that stood still, at one that is cut off, and at one behind a relay that stood still.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	const inTouch, frozen, cutOff, relayed = 0, 1, 2, 3
	keyed := newKeyedFleet(t)
	siteCount.Add(2)
	cutLink, relayLink := keyed.newLink(3), keyed.newLink(4)
	leader := cutLink.leader(t.Context())
	relay := (leader + 1) % controllerCount
	relayLink.relayThrough(relay)
	for i, link := range []*linkService{cutLink, relayLink} {
		number := len(keyed.routers)
		keyed.routers = append(keyed.routers, keyed.add("router", keyed.ip(1, cutOff+i), number, link.seeds()))
	}
	keyed.awaitReady()
	keyed.submit(leader, 2, map[string][]string{leftWorkspace: {withdrawnKey}, keptWorkspace: {keptKey}})
	pause(t.Context(), stabilityWindow)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		keyed.send(ctx)
	}()
	began := time.Now()
	pause(t.Context(), time.Second)
	before := time.Now()
	keyed.routers[frozen].signal(syscall.SIGSTOP)
	keyed.controllers[relay].signal(syscall.SIGSTOP)
	cutLink.set()
	acknowledged := keyed.submit(leader, 3, map[string][]string{keptWorkspace: {keptKey}})
	bound := acknowledged.Add(revocationBound)
	pause(t.Context(), revocationBound+2*time.Second)
	thawed := time.Now()
	keyed.routers[frozen].signal(syscall.SIGCONT)
	keyed.controllers[relay].signal(syscall.SIGCONT)
	pause(t.Context(), 2*time.Second)
	healed := time.Now()
	cutLink.set(0, 1, 2)
	pause(t.Context(), 3*time.Second)
	end := time.Now()
	cancel()
	<-done

	keyed.mutex.Lock()
	late := 0
	for id, call := range keyed.calls {
		if keyed.ran[id] && call.key == withdrawnKey && call.sent.After(bound) {
			late++
			t.Logf("%s ran, sent %v after the bound", id, call.sent.Sub(bound))
		}
	}
	assert.Check(t, late == 0, "%d requests ran with the withdrawn key", late)
	assert.Check(t, len(keyed.foreign) == 0, "with a key or for another workspace: %v", keyed.foreign)
	keyed.mutex.Unlock()
	for router := range keyed.routers {
		keyed.assertAnswered(fmt.Sprintf("router %d before", router), router, withdrawnKey, began, before.Add(-200*time.Millisecond), http.StatusOK)
		keyed.assertAnswered(fmt.Sprintf("router %d, kept key at the end", router), router, keptKey, healed.Add(time.Second), end, http.StatusOK)
		keyed.assertAnswered(fmt.Sprintf("router %d, withdrawn key at the end", router), router, withdrawnKey, healed.Add(time.Second), end,
			http.StatusUnauthorized)
	}
	keyed.assertAnswered("in touch, kept key all the while", inTouch, keptKey, before, healed, http.StatusOK)
	// The bound leaves the cut-off router the time up to the proof's end; it must not refuse much earlier.
	keyed.assertAnswered("cut off, kept key while the proof holds", cutOff, keptKey, before, before.Add(revocationBound-time.Second), http.StatusOK)
	keyed.assertAnswered("cut off, kept key afterwards", cutOff, keptKey, bound, healed.Add(-200*time.Millisecond), http.StatusServiceUnavailable)
	keyed.assertAnswered("cut off, public route all the while", cutOff, "", before, healed, http.StatusOK)
	keyed.assertAnswered("thawed, kept key", frozen, keptKey, thawed, healed, http.StatusOK)
}
