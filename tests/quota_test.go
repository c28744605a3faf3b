package tests_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/platform/fake"
)

const (
	hotKey, calmKey             = "ring-of-the-hot", "ring-of-the-calm"
	hotWorkspace, calmWorkspace = "hot", "calm"
	behindLink                  = "behind a link"
	// quotaRate and quotaBurst limit the hot workspace; quotaWindow and quotaOverage are the platform's defaults.
	quotaRate    = 20.0
	quotaBurst   = 20.0
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
)

// Quota passes on a router's request for units.
func (end *linkEnd) Quota(args *feed.QuotaArgs, reply *feed.QuotaReply) error {
	link := end.link
	if err := link.pass(end.index); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(link.ends, forwardTimeout)
	defer cancel()
	if err := link.peers.Call(ctx, link.controllers[end.index], "Peer.Quota", args, reply); err != nil {
		return err
	}
	return link.pass(end.index)
}

// quotaFleet is a fleet whose engines record when they begin to run requests, by workspace.
type quotaFleet struct {
	*fleet
	mutex sync.Mutex
	runs  map[string][]time.Time
	// answers counts the answers of each key by status, and for routers behind a link those of both keys: these may refuse keys when they are cut off.
	answers map[string]map[int]int
}

func newQuotaFleet(t *testing.T) *quotaFleet {
	fleet := &quotaFleet{runs: make(map[string][]time.Time)}
	fleet.takeAnswers()
	fleet.fleet = newFleet(t, 4, func(int) fake.Options {
		return fake.Options{HasAllLoaded: true, OnArrival: func(request *http.Request) {
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			workspace := fake.Workspace(request)
			fleet.runs[workspace] = append(fleet.runs[workspace], time.Now())
		}}
	})
	return fleet
}

func (fleet *quotaFleet) takeAnswers() map[string]map[int]int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	answers := fleet.answers
	fleet.answers = map[string]map[int]int{hotKey: {}, calmKey: {}, behindLink: {}}
	return answers
}

// limit submits a version in which the hot workspace has a limit.
func (fleet *quotaFleet) limit(version uint64) {
	fleet.t.Helper()
	body, err := fake.KeyedConfiguration(version, fleet.models, len(fleet.models), map[string][]string{hotWorkspace: {hotKey}, calmWorkspace: {calmKey}})
	assert.NilError(fleet.t, err)
	body, err = fake.SetQuota(body, hotWorkspace, quotaRate, quotaBurst)
	assert.NilError(fleet.t, err)
	fleet.await("the configuration", func() bool {
		request, err := http.NewRequestWithContext(fleet.t.Context(), http.MethodPut, "http://"+fleet.controls[0]+"/config", bytes.NewReader(body))
		assert.NilError(fleet.t, err)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (fleet *quotaFleet) await(what string, check func() bool) {
	fleet.t.Helper()
	for end := time.Now().Add(awaitTimeout); !check(); pause(fleet.t.Context(), 50*time.Millisecond) {
		assert.Assert(fleet.t, time.Now().Before(end), what)
	}
}

// send sends requests of both workspaces to each router for a time: of the hot one as many as its whole rate at each router, of the other a few.
func (fleet *quotaFleet) send(length time.Duration) {
	ctx, cancel := context.WithTimeout(fleet.t.Context(), length)
	defer cancel()
	var calls sync.WaitGroup
	for turn := 0; ctx.Err() == nil; turn++ {
		for number, router := range fleet.routers {
			keys := []string{hotKey}
			if turn%4 == number {
				keys = append(keys, calmKey)
			}
			for _, key := range keys {
				calls.Go(func() { fleet.ask(router, fmt.Sprintf("%s-%d-%d", key, number, time.Now().UnixNano()), key) })
			}
		}
		pause(ctx, time.Second/quotaRate)
	}
	calls.Wait()
}

func (fleet *quotaFleet) ask(router *fleetProcess, id, key string) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(fleet.t.Context(), timeout+time.Second)
	defer cancel()
	request, err := fake.NewRequest(ctx, router.ip+":8149", fake.PathStream, id, fleet.models[0], timeout)
	if err != nil {
		fleet.t.Error(err)
		return
	}
	fake.SetKey(request, key)
	status := 0
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
		status = response.StatusCode
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if !slices.Contains(fleet.routers[:routerCount], router) {
		key = behindLink
	}
	fleet.answers[key][status]++
}

// most returns the largest number of runs of the hot workspace in a window, and how many there were.
func (fleet *quotaFleet) most() (most, all int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	runs, first := fleet.runs[hotWorkspace], 0
	for last, at := range runs {
		for at.Sub(runs[first]) > quotaWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, len(runs)
}

// TestQuotaHoldsBesideACutAndANewLeader guards against a workspace that gets more than its quota over all routers while one is cut off and the
// leader is killed, against one that gets much less, and against other workspaces that pay for it.
func TestQuotaHoldsBesideACutAndANewLeader(t *testing.T) {
	fleet := newQuotaFleet(t)
	siteCount.Add(1)
	link := fleet.newLink(3)
	fleet.routers = append(fleet.routers, fleet.add("router", fleet.ip(1, routerCount), routerCount, link.seeds()))
	fleet.awaitReady()
	fleet.limit(2)
	pause(t.Context(), stabilityWindow)
	began := time.Now()
	fleet.send(6 * time.Second)
	inTouch := fleet.takeAnswers()
	link.set()
	fleet.send(time.Second)
	leader := link.leader(t.Context())
	fleet.controllers[leader].kill()
	fleet.send(4 * time.Second)
	fleet.controllers[leader].start(false)
	link.set(0, 1, 2)
	fleet.send(5 * time.Second)
	took := time.Since(began)
	disturbed := fleet.takeAnswers()

	most, all := fleet.most()
	bound := int((quotaRate*quotaWindow.Seconds() + quotaBurst) * (1 + quotaOverage))
	t.Logf("%d requests of the hot workspace run in %v, at most %d in a window, allowed %d; in touch %v, disturbed %v", all, took, most, bound, inTouch,
		disturbed)
	assert.Check(t, most <= bound, "%d requests in a window, allowed %d", most, bound)
	assert.Check(t, float64(all) >= 0.6*quotaRate*took.Seconds(), "%d requests of the hot workspace run in %v", all, took)
	assert.Check(t, inTouch[hotKey][http.StatusTooManyRequests] > inTouch[hotKey][http.StatusOK]/2, "beyond the quota: %v", inTouch[hotKey])
	for _, answers := range []map[string]map[int]int{inTouch, disturbed} {
		calm, total := answers[calmKey], 0
		for _, count := range calm {
			total += count
		}
		assert.Check(t, total >= 20 && calm[http.StatusOK]*10 >= total*9, "the other workspace: %v", calm)
	}
}
