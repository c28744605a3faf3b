package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// revocationBound is the time after the acknowledgement of a configuration from which no request may run with a key that it lacks.
	revocationBound = 3 * time.Second
	// newKeyBound is the time after the acknowledgement of a configuration from which no key that it has may be called unknown.
	newKeyBound = time.Second
	// workspaceCount and keysPerWorkspace are the numbers of workspaces and of their keys at any time.
	workspaceCount   = 3
	keysPerWorkspace = 2
	// rotationShare is the share of versions in which a key is replaced, and recentKeys the number of withdrawn keys that callers still use.
	rotationShare = 0.4
	recentKeys    = 3
	// withdrawnInterval is the time between two requests with a withdrawn key. They are sent whether the routers answer or stand still.
	withdrawnInterval = 50 * time.Millisecond
)

// ringKey is a key of a workspace; once withdrawn, it never returns.
type ringKey struct {
	text, workspace string
	// addedBy and droppedBy are the versions that added and withdrew it, and added and dropped when that was acknowledged. Zero means not yet.
	addedBy, droppedBy uint64
	added, dropped     time.Time
}

// keyUse is one request with a key.
type keyUse struct {
	key  *ringKey
	sent time.Time
}

// keyring holds the keys of all workspaces and detects requests that run, or are refused, against the configuration. It is safe for concurrent use.
type keyring struct {
	mutex   sync.Mutex
	version uint64
	// valid holds the keys of the newest submitted version, and withdrawn those of earlier ones.
	valid, withdrawn []*ringKey
	uses             map[string]keyUse
}

func newKeyring() *keyring {
	ring := &keyring{version: 1, uses: make(map[string]keyUse)}
	for number := range workspaceCount * keysPerWorkspace {
		ring.valid = append(ring.valid, &ringKey{text: fmt.Sprintf("key-%d", number), workspace: fmt.Sprintf("w%d", number%workspaceCount), addedBy: 1})
	}
	return ring
}

// submit returns the keys of a version by workspace; some versions replace a key.
func (ring *keyring) submit(version uint64, random *rand.Rand) map[string][]string {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	if version > ring.version && random.Float64() < rotationShare {
		at := random.IntN(len(ring.valid))
		old := ring.valid[at]
		old.droppedBy = version
		ring.withdrawn = append(ring.withdrawn, old)
		ring.valid[at] = &ringKey{text: fmt.Sprintf("key-of-%d", version), workspace: old.workspace, addedBy: version}
	}
	ring.version = version
	keys := make(map[string][]string)
	for _, key := range ring.valid {
		keys[key.workspace] = append(keys[key.workspace], key.text)
	}
	return keys
}

// acknowledge records that a version, and with it all earlier ones, was acknowledged.
func (ring *keyring) acknowledge(version uint64) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	now := time.Now()
	for _, key := range append(append([]*ringKey{}, ring.valid...), ring.withdrawn...) {
		if key.added.IsZero() && key.addedBy <= version {
			key.added = now
		}
		if key.dropped.IsZero() && key.droppedBy != 0 && key.droppedBy <= version {
			key.dropped = now
		}
	}
}

// use returns the key for a request, and whether a version that was acknowledged contains it, none withdraws it and its workspace has no limit.
func (ring *keyring) use(id string, random *rand.Rand) (text string, isEntitled bool) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	key := ring.valid[random.IntN(len(ring.valid))]
	ring.uses[id] = keyUse{key, time.Now()}
	return key.text, !key.added.IsZero() && key.workspace != limitedWorkspace
}

// useWithdrawn returns a withdrawn key for a request, or false if there is none.
func (ring *keyring) useWithdrawn(id string, random *rand.Rand) (text string, ok bool) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	recent := ring.withdrawn[max(0, len(ring.withdrawn)-recentKeys):]
	if len(recent) == 0 {
		return "", false
	}
	key := recent[random.IntN(len(recent))]
	ring.uses[id] = keyUse{key, time.Now()}
	return key.text, true
}

// runWithdrawn sends requests with withdrawn keys to all routers until the context ends.
func (run *runner) runWithdrawn(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		id, router := fmt.Sprintf("w%d", number), run.routers[number%len(run.routers)].ip
		if key, ok := run.keys.useWithdrawn(id, random); ok {
			run.checker.recordSent(id, kindIdempotent, false)
			run.available.recordSent(id, router)
			calls.Go(func() { run.sendRequest(client, id, key, kindIdempotent, router, nil) })
		}
		pause(ctx, withdrawnInterval)
	}
}

// checkArrival returns the violation that the arrival of a request at a target is, or "".
func (ring *keyring) checkArrival(request *http.Request) string {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	id := fake.AttemptID(request)
	use, ok := ring.uses[id]
	switch {
	case !ok && fake.IsOfVersion(request):
		return ""
	case !ok:
		return fmt.Sprintf("%s reached a target without a key", id)
	case fake.CarriesKey(request) || fake.Workspace(request) != use.key.workspace:
		return fmt.Sprintf("%s of workspace %s reached a target for workspace %q, key %t", id, use.key.workspace, fake.Workspace(request),
			fake.CarriesKey(request))
	case !use.key.dropped.IsZero() && use.sent.Sub(use.key.dropped) > revocationBound:
		return fmt.Sprintf("%s ran with a key of %s that had been withdrawn for %v", id, use.key.workspace, use.sent.Sub(use.key.dropped))
	}
	return ""
}

// checkAnswer returns the violation that the status of an answer is, or "".
func (ring *keyring) checkAnswer(id string, status int) string {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	use := ring.uses[id]
	if key := use.key; status == http.StatusUnauthorized && key.droppedBy == 0 && !key.added.IsZero() && use.sent.Sub(key.added) > newKeyBound {
		return fmt.Sprintf("%s was refused with 401, its key had been valid for %v", id, use.sent.Sub(key.added))
	}
	return ""
}
