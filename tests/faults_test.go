package tests_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/node"
)

// fastFlags shorten leases and order timeouts, so that failovers take seconds.
var fastFlags = []string{"--lease-ttl", "1s", "--election-timeout", "500ms", "--order-timeout", "3s", "--clock-drift", "100ms"}

// startSite starts nodes and targets and puts the session's configuration in force on all nodes.
func startSite(t *testing.T, count int, targetFlags ...string) *site {
	t.Helper()
	site := newSite(t, count, fastFlags...).init().startAll()
	site.awaitVoters(site.nodes[0])
	site.startTargets(targetFlags...)
	site.submitAndAwait(site.nodes[0], sessionBase)
	return site
}

// submitAndAwait submits the configuration and waits until all nodes have it in force.
func (site *site) submitAndAwait(through *process, base string) {
	site.t.Helper()
	text, code := site.submit(through, base, sessionOverlay)
	assert.Equal(site.t, code, 0, text)
	number := revisionOf(base)
	site.awaitShow(through, "the revision is in force and all targets are known", func(shown node.ShowReply) bool {
		return len(shown.Targets) >= len(site.nodes)+1 && isInForce(shown, number, len(site.nodes))
	})
}

func revisionOf(base string) (number uint64) {
	_, _ = fmt.Sscanf(base, "revision: %d", &number)
	return number
}

func baseWithRevision(number int) string {
	return strings.Replace(sessionBase, "revision: 1", fmt.Sprintf("revision: %d", number), 1)
}

// leader waits until the node knows a leader and returns it.
func (site *site) leader(through *process) *process {
	site.t.Helper()
	var found *process
	site.awaitShow(through, "a leader is known", func(shown node.ShowReply) bool {
		for _, status := range shown.Nodes {
			for _, process := range site.nodes {
				if status.Role == "leader" && string(status.Node) == process.name {
					found = process
				}
			}
		}
		return found != nil
	})
	return found
}

func (site *site) others(except *process) []*process {
	var rest []*process
	for _, process := range site.nodes {
		if process != except {
			rest = append(rest, process)
		}
	}
	return rest
}

// TestExecutorKilledDuringLoad kills the node that executes a load order. The node that takes over must answer the waiting request
// without ordering the load on another engine, whether or not engines enforce fencing.
func TestExecutorKilledDuringLoad(t *testing.T) {
	for _, row := range []struct {
		name  string
		flags []string
	}{
		{"engines that enforce fencing", []string{"--load-time=2s"}},
		{"engines that ignore fencing", []string{"--load-time=2s", "--no-fencing"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			site := startSite(t, 3, row.flags...)
			waiting := make(chan reply, 1)
			caller := site.nodes[2]
			go func() { waiting <- caller.chat("drafting", "cold") }()
			var executor *process
			site.awaitShow(caller, "the load has begun", func(shown node.ShowReply) bool {
				for _, target := range shown.Targets {
					if target.Replicas == 1 {
						executor = site.nodeInDomain(string(target.Domain))
					}
				}
				return executor != nil
			})
			assert.Assert(t, executor != caller, "the executor must run on another node than the caller")
			time.Sleep(300 * time.Millisecond)
			executor.kill()
			got := <-waiting
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assertOneLoadTarget(t, site, "drafting@v1")
		})
	}
}

func (site *site) nodeInDomain(domain string) *process {
	for _, process := range site.nodes {
		if process.domain == domain {
			return process
		}
	}
	return nil
}

// assertOneLoadTarget checks that exactly one target was ordered to load the model.
func assertOneLoadTarget(t *testing.T, site *site, model string) {
	t.Helper()
	files := []string{"timeline", "--model", model}
	for _, process := range site.nodes {
		files = append(files, process.timeline())
	}
	targets := make(map[string]bool)
	for _, line := range strings.Split(site.mustRun(files...), "\n") {
		if strings.Contains(line, "order_load") {
			for _, field := range strings.Fields(line) {
				if strings.HasPrefix(field, "engine-") {
					targets[field] = true
				}
			}
		}
	}
	assert.Equal(t, len(targets), 1, "%v", targets)
}

// TestLeaderKilledWhileRequestsWait kills the leader while cold requests wait on the other nodes. The new leader must not lose the
// requests or order the load on a second target.
func TestLeaderKilledWhileRequestsWait(t *testing.T) {
	site := startSite(t, 3, "--load-time=1s")
	leader := site.leader(site.nodes[0])
	callers := site.others(leader)
	replies := make([]reply, len(callers))
	var requests sync.WaitGroup
	for i, caller := range callers {
		requests.Go(func() { replies[i] = caller.chat("drafting", "cold") })
	}
	time.Sleep(100 * time.Millisecond)
	leader.kill()
	requests.Wait()
	for _, got := range replies {
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	assertOneLoadTarget(t, site, "drafting@v1")
}

// TestNodesRejoinAfterDataLoss deletes the data of two nodes in turn. Each must rejoin as a voter, so that the loss of another voter
// right afterwards leaves a majority.
func TestNodesRejoinAfterDataLoss(t *testing.T) {
	site := startSite(t, 3)
	for number, lost := range []*process{site.nodes[1], site.nodes[2]} {
		lost.kill()
		lost.deleteData()
		lost.start()
		lost.awaitReady()
		site.awaitVoters(lost)
		// Another voter fails right after the rejoin; the remaining ones still commit.
		other := site.nodes[0]
		other.kill()
		through := site.nodes[1]
		text, code := site.submit(through, baseWithRevision(number+2), sessionOverlay)
		assert.Equal(t, code, 0, text)
		other.start()
		other.awaitReady()
		site.awaitShow(other, "the revision is in force everywhere", func(shown node.ShowReply) bool {
			return isInForce(shown, uint64(number+2), 3)
		})
	}
}

// awaitVoters waits until all nodes are voters and no earlier incarnation is still a member.
func (site *site) awaitVoters(through *process) {
	site.t.Helper()
	site.awaitShow(through, "all nodes are voters", func(shown node.ShowReply) bool {
		voters := 0
		for _, status := range shown.Nodes {
			if status.Voter {
				voters++
			}
		}
		return len(shown.Nodes) == len(site.nodes) && voters == len(site.nodes)
	})
}

// TestRestartAfterHundredsOfChanges restarts all nodes after the log was compacted to snapshots, one of which missed 240 revisions.
// All must recover the last revision, and must still distinguish an old revision from other files with the same number.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	site := newSite(t, 3, append([]string{"--snapshot-at", "100"}, fastFlags...)...).init().startAll()
	site.awaitVoters(site.nodes[0])
	site.submitRevisions(1, 20)
	stopped := site.nodes[2]
	stopped.kill()
	site.submitRevisions(21, 260)
	for _, process := range site.nodes[:2] {
		process.kill()
		process.start()
	}
	stopped.start()
	for _, process := range site.nodes {
		process.awaitReady()
	}
	for _, process := range site.nodes {
		site.awaitShow(process, "the last revision is in force", func(shown node.ShowReply) bool { return isInForce(shown, 260, 3) })
	}
	text, code := site.submit(stopped, baseWithRevision(20), sessionOverlay)
	assert.Equal(t, code, 0, text)
	assert.Assert(t, strings.Contains(text, "already accepted"), text)
	text, code = site.submit(stopped, strings.Replace(baseWithRevision(20), "6s", "7s", 1)+"# other\n", sessionOverlay)
	assert.Equal(t, code, 3, text)
}

// submitRevisions submits a range of revisions over HTTP, alternating between the first two nodes.
func (site *site) submitRevisions(from, to int) {
	site.t.Helper()
	for number := from; number <= to; number++ {
		through := site.nodes[number%2]
		outcome := through.submitText(baseWithRevision(number))
		assert.Equal(site.t, outcome, node.OutcomeAccepted, "revision %d", number)
	}
}

// TestFrozenNodeCatchesUp suspends a follower's process while a revision is accepted. After it resumes, it must catch up without an
// election that raises the term.
func TestFrozenNodeCatchesUp(t *testing.T) {
	site := startSite(t, 3)
	leader := site.leader(site.nodes[0])
	frozen := site.others(leader)[0]
	frozen.signal(syscall.SIGSTOP)
	began := time.Now()
	outcome := leader.submitText(baseWithRevision(2))
	assert.Equal(t, outcome, node.OutcomeAccepted)
	site.awaitShow(leader, "two nodes have the revision", func(shown node.ShowReply) bool { return isInForce(shown, 2, 2) })
	t.Logf("in force on the others after %v", time.Since(began))
	time.Sleep(3 * time.Second)
	term := site.term(leader)
	frozen.signal(syscall.SIGCONT)
	began = time.Now()
	site.awaitShow(frozen, "the frozen node has the revision", func(shown node.ShowReply) bool { return isInForce(shown, 2, 3) })
	assert.Assert(t, time.Since(began) < 14*time.Second)
	t.Logf("in force on the frozen node %v after it resumed", time.Since(began))
	assert.Equal(t, site.term(leader), term, "a node that rejoins must not cause an election")
}

func (site *site) term(through *process) uint64 {
	site.t.Helper()
	shown, err := through.show()
	assert.NilError(site.t, err)
	var term uint64
	for _, status := range shown.Nodes {
		term = max(term, status.Term)
	}
	return term
}

// TestPartitionedNodeServesLoadedModels partitions a follower from the other nodes. It must keep serving loaded models, refuse
// submissions and calls with idempotency keys, which need a quorum, and rejoin without an election after the partition heals.
func TestPartitionedNodeServesLoadedModels(t *testing.T) {
	site := newSite(t, 3, fastFlags...)
	proxy := newPeerProxy(t, site)
	site.init().startAll()
	site.awaitVoters(site.nodes[0])
	site.startTargets()
	site.submitAndAwait(site.nodes[0], strings.Replace(sessionBase, "keep_alive_min: 1s, keep_alive_max: 2s", "keep_alive_min: 10m, keep_alive_max: 10m", 1))
	got := site.nodes[0].chat("drafting", "warm")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	leader := site.leader(site.nodes[0])
	term := site.term(leader)
	partitioned := site.others(leader)[0]
	proxy.isolate(partitioned)
	time.Sleep(2 * time.Second)

	got = partitioned.chat("drafting", "still here")
	assert.Equal(t, got.status, http.StatusOK, "a loaded model must still be served: %s", got.body)
	got = partitioned.post("/services/vouchers/redeem", `{"voucher":"cut"}`, http.Header{"Idempotency-Key": {"cut"}, "X-Request-Timeout": {"2s"}})
	assert.Equal(t, got.verdict, "not_run", got.body)
	assert.Equal(t, got.code, "no_quorum", got.body)
	got = partitioned.post("/v1/chat/completions", chatBody("drafting@v1", "x", false), nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, leader.submitText(baseWithRevision(2)), node.OutcomeAccepted)
	text, code := site.submit(partitioned, baseWithRevision(3), sessionOverlay)
	assert.Assert(t, code == 3 || code == 4, "a submission without a quorum must fail: exit %d %s", code, text)

	proxy.heal()
	site.awaitShow(partitioned, "the revision of the majority is in force", func(shown node.ShowReply) bool { return isInForce(shown, 2, 3) })
	assert.Equal(t, site.term(leader), term, "a node that rejoins must not cause an election")
	got = partitioned.post("/services/vouchers/redeem", `{"voucher":"cut"}`, http.Header{"Idempotency-Key": {"cut"}})
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, strings.Contains(got.body, `"runs":1`), got.body)
}
