package tests_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/node"
)

// TestCrashingRequestCostsTwoTargets sends a request that kills every engine again and again on different nodes, beside
// innocent ones.
func TestCrashingRequestCostsTwoTargets(t *testing.T) {
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

	innocent := make([]reply, 9)
	var asked sync.WaitGroup
	for i := range innocent {
		asked.Go(func() { innocent[i] = site.nodes[i%3].chat("drafting", fmt.Sprintf("innocent %d", i)) })
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
	asked.Wait()
	for i, got := range innocent {
		assert.Equal(t, got.status, http.StatusOK, "innocent %d: %s", i, got.body)
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
	assert.Assert(t, lost <= 2, "%d engines were lost to one request", lost)
	got := site.nodes[0].chat("drafting", "after")
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// load sends requests to the nodes that are ready, as a balancer would, until it is stopped.
type load struct {
	site    *site
	stop    chan struct{}
	done    sync.WaitGroup
	sent    atomic.Int64
	mutex   sync.Mutex
	failed  []string
	clients []*http.Client
}

func (site *site) startLoad(callers int) *load {
	load := &load{site: site, stop: make(chan struct{})}
	for i := range callers {
		client := &http.Client{Transport: &http.Transport{}, Timeout: time.Minute}
		load.clients = append(load.clients, client)
		load.done.Go(func() { load.run(client, i) })
	}
	return load
}

// run keeps its connections open, as real callers do.
func (load *load) run(client *http.Client, number int) {
	for turn := number; ; turn++ {
		select {
		case <-load.stop:
			return
		default:
		}
		process := load.site.nodes[turn%len(load.site.nodes)]
		if !process.isReady(client) {
			continue
		}
		load.sent.Add(1)
		if err := streamOnce(client, process, fmt.Sprintf("load %d", turn)); err != nil {
			load.mutex.Lock()
			load.failed = append(load.failed, process.name+": "+err.Error())
			load.mutex.Unlock()
		}
	}
}

func (process *process) isReady(client *http.Client) bool {
	answer, err := client.Get("http://" + process.at(callerAt) + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// streamOnce reads a stream up to its terminal event.
func streamOnce(client *http.Client, process *process, prompt string) error {
	answer, err := client.Post("http://"+process.at(callerAt)+"/v1/chat/completions", "application/json",
		bytes.NewBufferString(chatBody("drafting", prompt, true)))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	scanner := bufio.NewScanner(answer.Body)
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
		return fmt.Errorf("status %d, last line %q", answer.StatusCode, last)
	}
	return nil
}

func (load *load) end(t *testing.T) {
	t.Helper()
	close(load.stop)
	load.done.Wait()
	t.Logf("%d requests, %d failed", load.sent.Load(), len(load.failed))
	assert.Assert(t, load.sent.Load() > 20)
	assert.Equal(t, len(load.failed), 0, "%v", load.failed)
}

func TestRollingRestartFailsNoRequest(t *testing.T) {
	site := startSite(t, 3, "--tokens=40")
	assert.Equal(t, site.nodes[0].chat("drafting", "warm").status, http.StatusOK)
	load := site.startLoad(8)
	for _, process := range site.nodes[:2] {
		time.Sleep(500 * time.Millisecond)
		process.signal(syscall.SIGTERM)
		assert.Equal(t, process.awaitEnd(), 0)
		process.start()
		process.awaitReady()
	}
	time.Sleep(500 * time.Millisecond)
	load.end(t)
}

func TestDrainServesQueuedColdRequests(t *testing.T) {
	site := startSite(t, 3, "--load-time=2s")
	waiting := make(chan reply, 1)
	drained := site.nodes[1]
	go func() { waiting <- drained.chat("drafting", "cold") }()
	time.Sleep(300 * time.Millisecond)
	drained.signal(syscall.SIGTERM)
	got := <-waiting
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, drained.awaitEnd(), 0)
}

// TestDrainOfANodeWithoutLease stops nodes of which only one holds the lease of their common failure domain.
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
		assert.Equal(t, process.awaitEnd(), 0)
		assert.Assert(t, time.Since(began) < 5*time.Second, "%s took %v", process.name, time.Since(began))
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	site := startSite(t, 1, "--load-time=20s")
	go site.nodes[0].chat("drafting", "cold")
	time.Sleep(300 * time.Millisecond)
	site.nodes[0].signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	site.nodes[0].signal(syscall.SIGTERM)
	site.nodes[0].awaitEnd()
	assert.Assert(t, time.Since(began) < 8*time.Second)
}

// TestColdBurst sends 200 requests to three nodes in the same moment for one cold model.
func TestColdBurst(t *testing.T) {
	site := startSite(t, 3)
	replies := make([]reply, 200)
	var asked sync.WaitGroup
	began := time.Now()
	for i := range replies {
		asked.Go(func() { replies[i] = site.nodes[i%3].chat("drafting", fmt.Sprintf("burst %d", i)) })
	}
	asked.Wait()
	t.Logf("200 requests answered in %v", time.Since(began))
	for i, got := range replies {
		assert.Equal(t, got.status, http.StatusOK, "%d: %s", i, got.body)
		assert.Assert(t, strings.Contains(got.body, fmt.Sprintf("burst %d#0", i)), "answer of another request: %s", got.body)
	}
	assertLoads(t, site, "drafting@v1")
}

// TestStoreLimitsWithFortyColdModels holds the weight store's limits while 40 models are wanted at once.
func TestStoreLimitsWithFortyColdModels(t *testing.T) {
	site := startSite(t, 3, "--load-time=200ms")
	var models strings.Builder
	for i := range 40 {
		fmt.Fprintf(&models, "  cold%d:\n    group: engines\n    versions:\n      v1: {memory: 4GiB}\n", i)
	}
	base := strings.Replace(withRevision(2), "adapters:", models.String()+"adapters:", 1)
	base += "store: {loads_per_second: 5, full_speed_loads: 4}\n"
	site.putInForce(site.nodes[0], base)
	replies := make([]reply, 40)
	var asked sync.WaitGroup
	began := time.Now()
	for i := range replies {
		asked.Go(func() { replies[i] = site.nodes[i%3].chat(fmt.Sprintf("cold%d", i), "x") })
	}
	asked.Wait()
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
	assert.Assert(t, took > 6*time.Second, "40 loads at 5 a second were faster than the store allows: %v", took)
}
