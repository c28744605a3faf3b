package tests_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/node"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// TestCrashingRequestIsQuarantined repeatedly sends a request that crashes any engine, through all nodes and next to other requests.
// It must be quarantined after at most two crashes, and the other requests must be answered.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	site := newSite(t, 3, fastFlags...).init().startAll()
	site.awaitVoters(site.nodes[0])
	base := strings.Replace(sessionBase, "    group: engines\n", "    group: engines\n    replicas: {min: 4, max: 4}\n", 1)
	var engines []*process
	for i, process := range append(site.nodes, site.nodes[0]) {
		engines = append(engines, site.startTargetsIn(fmt.Sprintf("targets%d", i), []string{process.domain}, "--fragile",
			"--tokens=25", fmt.Sprintf("--prefix=engine%d", i), "--no-service"))
	}
	text, code := site.submit(site.nodes[0], base, sessionOverlay)
	assert.Equal(t, code, 0, text)
	for _, process := range site.nodes {
		site.awaitShow(process, "four replicas are ready", func(shown node.ShowReply) bool {
			return strings.Count(fmt.Sprint(shown.Models), " ready ") == 4
		})
	}

	unrelated := make([]reply, 9)
	var requests sync.WaitGroup
	for i := range unrelated {
		requests.Go(func() { unrelated[i] = site.nodes[i%3].chat("drafting", fmt.Sprintf("innocent %d", i)) })
	}
	time.Sleep(200 * time.Millisecond)
	var refused int
	for i := range 9 {
		got := site.nodes[i%3].chat("drafting", "CRASH")
		assert.Assert(t, got.status != http.StatusOK, got.body)
		if got.code == "request_quarantined" {
			refused++
		}
	}
	requests.Wait()
	for i, got := range unrelated {
		assert.Equal(t, got.status, http.StatusOK, "unrelated request %d: %s", i, got.body)
	}
	assert.Assert(t, refused >= 7, "%d of 9 refused", refused)
	lost := 0
	for _, engine := range engines {
		select {
		case <-engine.ended:
			lost++
		default:
		}
	}
	assert.Assert(t, lost <= 2, "%d engines were crashed by one request", lost)
	got := site.nodes[0].chat("drafting", "after")
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// loadGenerator sends requests to the nodes that are ready, as a load balancer does, until it is stopped.
type loadGenerator struct {
	site    *site
	stop    chan struct{}
	done    sync.WaitGroup
	sent    atomic.Int64
	mutex   sync.Mutex
	failed  []string
	clients []*http.Client
}

func (site *site) startLoad(callers int) *loadGenerator {
	generator := &loadGenerator{site: site, stop: make(chan struct{})}
	for i := range callers {
		client := &http.Client{Transport: &http.Transport{}, Timeout: time.Minute}
		generator.clients = append(generator.clients, client)
		generator.done.Go(func() { generator.run(client, i) })
	}
	return generator
}

// run sends requests one after another over a client that reuses its connections, as callers do.
func (generator *loadGenerator) run(client *http.Client, start int) {
	for index := start; ; index++ {
		select {
		case <-generator.stop:
			return
		default:
		}
		process := generator.site.nodes[index%len(generator.site.nodes)]
		if !process.isReady(client) {
			continue
		}
		generator.sent.Add(1)
		if err := streamOnce(client, process, fmt.Sprintf("load %d", index)); err != nil {
			generator.mutex.Lock()
			generator.failed = append(generator.failed, process.name+": "+err.Error())
			generator.mutex.Unlock()
		}
	}
}

func (process *process) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + process.address(callerPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// streamOnce requests a stream and returns an error unless it ends with its terminal event.
func streamOnce(client *http.Client, process *process, prompt string) error {
	response, err := client.Post("http://"+process.address(callerPort)+"/v1/chat/completions", "application/json",
		bytes.NewBufferString(chatBody("drafting", prompt, true)))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	last := ""
	for scanner.Scan() {
		if scanner.Text() != "" {
			last = scanner.Text()
		}
	}
	if scanner.Err() != nil {
		return scanner.Err()
	}
	if last != "data: [DONE]" {
		return fmt.Errorf("status %d, last line %q", response.StatusCode, last)
	}
	return nil
}

func (generator *loadGenerator) stopAndCheck(t *testing.T) {
	t.Helper()
	close(generator.stop)
	generator.done.Wait()
	t.Logf("%d requests, %d failed", generator.sent.Load(), len(generator.failed))
	assert.Assert(t, generator.sent.Load() > 20)
	assert.Equal(t, len(generator.failed), 0, "%v", generator.failed)
}

// TestRollingRestartFailsNoRequest restarts two nodes in turn under streaming load. No request and no stream may fail.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	site := startSite(t, 3, "--tokens=40")
	assert.Equal(t, site.nodes[0].chat("drafting", "warm").status, http.StatusOK)
	generator := site.startLoad(8)
	for _, process := range site.nodes[:2] {
		time.Sleep(500 * time.Millisecond)
		process.signal(syscall.SIGTERM)
		assert.Equal(t, process.awaitExit(), 0)
		process.start()
		process.awaitReady()
	}
	time.Sleep(500 * time.Millisecond)
	generator.stopAndCheck(t)
}

// TestDrainServesQueuedColdRequests drains a node while a request waits for a model to load. The request must be answered before exit.
func TestDrainServesQueuedColdRequests(t *testing.T) {
	site := startSite(t, 3, "--load-time=2s")
	waiting := make(chan reply, 1)
	drained := site.nodes[1]
	go func() { waiting <- drained.chat("drafting", "cold") }()
	time.Sleep(300 * time.Millisecond)
	drained.signal(syscall.SIGTERM)
	got := <-waiting
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, drained.awaitExit(), 0)
}

// TestStopUnderCallsOfPeers guards against a node that never exits, because calls of peers that arrive while it stops are never answered.
func TestStopUnderCallsOfPeers(t *testing.T) {
	const callers = 64
	site := newSite(t, 1, fastFlags...)
	site.init().startAll()
	process := site.nodes[0]
	process.awaitReady()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			peers := rpc.NewPeers(ctx, rpc.Options{Clock: hlc.New(time.Minute), Counters: &rpccodec.Counters{}})
			defer peers.Close()
			for ctx.Err() == nil {
				// The node does not know the sender; what counts is that it answers.
				_ = peers.Call(ctx, process.address(peerPort), "Peer.Deliver", &node.DeliverArgs{Messages: []quorum.Message{{}}}, &node.Empty{})
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	process.signal(syscall.SIGTERM)
	assert.Equal(t, process.awaitExit(), 0)
	assert.Assert(t, time.Since(began) < 5*time.Second, "took %v", time.Since(began))
	cancel()
	calls.Wait()
}

// TestDrainOfANodeWithoutLease stops nodes of which only one holds the executor lease of their common failure domain. Each node must
// exit promptly, also those without the lease.
func TestDrainOfANodeWithoutLease(t *testing.T) {
	site := newSite(t, 3, fastFlags...)
	for _, process := range site.nodes {
		process.domain = "common"
	}
	site.init().startAll()
	site.awaitVoters(site.nodes[0])
	time.Sleep(time.Second)
	for _, process := range site.nodes {
		began := time.Now()
		process.signal(syscall.SIGTERM)
		assert.Equal(t, process.awaitExit(), 0)
		assert.Assert(t, time.Since(began) < 5*time.Second, "%s took %v", process.name, time.Since(began))
	}
}

// TestSecondSignalEndsAtOnce sends SIGTERM twice while a request waits for a 20 s load. The second signal must end the drain.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	site := startSite(t, 1, "--load-time=20s")
	go site.nodes[0].chat("drafting", "cold")
	time.Sleep(300 * time.Millisecond)
	site.nodes[0].signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	site.nodes[0].signal(syscall.SIGTERM)
	site.nodes[0].awaitExit()
	assert.Assert(t, time.Since(began) < 8*time.Second)
}

// TestColdBurst sends 200 concurrent requests for one cold model through three nodes. All must be answered, each with its own answer,
// and the model must be loaded on one engine only.
func TestColdBurst(t *testing.T) {
	site := startSite(t, 3)
	replies := make([]reply, 200)
	var requests sync.WaitGroup
	began := time.Now()
	for i := range replies {
		requests.Go(func() { replies[i] = site.nodes[i%3].chat("drafting", fmt.Sprintf("burst %d", i)) })
	}
	requests.Wait()
	t.Logf("200 requests answered in %v", time.Since(began))
	for i, got := range replies {
		assert.Equal(t, got.status, http.StatusOK, "%d: %s", i, got.body)
		assert.Assert(t, strings.Contains(got.body, fmt.Sprintf("burst %d#0", i)), "answer of another request: %s", got.body)
	}
	assertOneLoadTarget(t, site, "drafting@v1")
}

// TestStoreLimitsWithFortyColdModels requests 40 cold models at once. The loads must stay within the weight store's rate limit, and all
// requests must be answered.
func TestStoreLimitsWithFortyColdModels(t *testing.T) {
	site := startSite(t, 3, "--load-time=200ms")
	var models strings.Builder
	for i := range 40 {
		fmt.Fprintf(&models, "  cold%d:\n    group: engines\n    versions:\n      v1: {memory: 4GiB}\n", i)
	}
	base := strings.Replace(baseWithRevision(2), "adapters:", models.String()+"adapters:", 1)
	base += "store: {loads_per_second: 5, full_speed_loads: 4}\n"
	site.submitAndAwait(site.nodes[0], base)
	replies := make([]reply, 40)
	var requests sync.WaitGroup
	began := time.Now()
	for i := range replies {
		requests.Go(func() { replies[i] = site.nodes[i%3].chat(fmt.Sprintf("cold%d", i), "x") })
	}
	requests.Wait()
	took := time.Since(began)
	answered := 0
	for _, got := range replies {
		if got.status == http.StatusOK {
			answered++
			continue
		}
		assert.Equal(t, got.verdict, "not_run", got.body)
	}
	t.Logf("%d of 40 cold models answered in %v", answered, took)
	assert.Equal(t, answered, 40)
	assert.Assert(t, took > 6*time.Second, "40 loads exceeded the store's limit of 5 loads per second: %v", took)
}
