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

// fastFlags make leases and orders short, so that take-overs are tested in seconds.
var fastFlags = []string{"--lease-ttl", "1s", "--election-timeout", "500ms", "--order-timeout", "3s", "--clock-drift", "100ms"}

// startSite starts nodes with targets and the session's configuration in force on all of them.
func startSite(t *testing.T, count int, targetFlags ...string) *site {
	t.Helper()
	site := newSite(t, count, fastFlags...).init().startAll()
	site.awaitVoters(site.nodes[0])
	site.startTargets(targetFlags...)
	site.putInForce(site.nodes[0], sessionBase)
	return site
}

func (site *site) putInForce(through *process, base string) {
	site.t.Helper()
	text, code := site.submit(through, base, sessionOverlay)
	assert.Equal(site.t, code, 0, text)
	number := revisionOf(base)
	site.awaitShow(through, "the revision is in force and all targets are known", func(shown node.ShowReply) bool {
		return len(shown.Targets) >= len(site.nodes)+1 && inForce(shown, number, len(site.nodes))
	})
}

func revisionOf(base string) (number uint64) {
	_, _ = fmt.Sscanf(base, "revision: %d", &number)
	return number
}

func withRevision(number int) string {
	return strings.Replace(sessionBase, "revision: 1", fmt.Sprintf("revision: %d", number), 1)
}

// voters returns the names of the voters as the node sees them.
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
			var holder *process
			site.awaitShow(caller, "the load has begun", func(shown node.ShowReply) bool {
				for _, target := range shown.Targets {
					if target.Replicas == 1 {
						holder = site.find(string(target.Domain))
					}
				}
				return holder != nil
			})
			assert.Assert(t, holder != caller, "the first engine is chosen")
			time.Sleep(300 * time.Millisecond)
			holder.kill()
			got := <-waiting
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assertLoads(t, site, "drafting@v1")
		})
	}
}

func (site *site) find(domain string) *process {
	for _, process := range site.nodes {
		if process.domain == domain {
			return process
		}
	}
	return nil
}

// assertLoads checks that no two targets were asked to load the model.
func assertLoads(t *testing.T, site *site, model string) {
	t.Helper()
	files := []string{"timeline", "--model", model}
	for _, process := range site.nodes {
		files = append(files, process.timeline())
	}
	targets := make(map[string]bool)
	for _, line := range strings.Split(site.run(files...), "\n") {
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

func TestLeaderKilledWhileRequestsWait(t *testing.T) {
	site := startSite(t, 3, "--load-time=1s")
	leader := site.leader(site.nodes[0])
	callers := site.others(leader)
	replies := make([]reply, len(callers))
	var asked sync.WaitGroup
	for i, caller := range callers {
		asked.Go(func() { replies[i] = caller.chat("drafting", "cold") })
	}
	time.Sleep(100 * time.Millisecond)
	leader.kill()
	asked.Wait()
	for _, got := range replies {
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	assertLoads(t, site, "drafting@v1")
}

func TestNodesRejoinAfterDataLoss(t *testing.T) {
	site := startSite(t, 3)
	for number, lost := range []*process{site.nodes[1], site.nodes[2]} {
		lost.kill()
		lost.wipe()
		lost.start()
		lost.awaitReady()
		site.awaitVoters(lost)
		// A second voter is lost right after the repair; the rest still commits.
		other := site.nodes[0]
		other.kill()
		through := site.nodes[1]
		text, code := site.submit(through, withRevision(number+2), sessionOverlay)
		assert.Equal(t, code, 0, text)
		other.start()
		other.awaitReady()
		site.awaitShow(other, "the revision is in force everywhere", func(shown node.ShowReply) bool {
			return inForce(shown, uint64(number+2), 3)
		})
	}
}

// awaitVoters waits until all nodes vote and no earlier incarnation is a member any more.
func (site *site) awaitVoters(through *process) {
	site.t.Helper()
	site.awaitShow(through, "all nodes vote", func(shown node.ShowReply) bool {
		voters := 0
		for _, status := range shown.Nodes {
			if status.Voter {
				voters++
			}
		}
		return len(shown.Nodes) == len(site.nodes) && voters == len(site.nodes)
	})
}

func TestRestartAfterHundredsOfChanges(t *testing.T) {
	site := newSite(t, 3, append([]string{"--snapshot-at", "100"}, fastFlags...)...).init().startAll()
	site.awaitVoters(site.nodes[0])
	site.putRevisions(1, 20)
	away := site.nodes[2]
	away.kill()
	site.putRevisions(21, 260)
	for _, process := range site.nodes[:2] {
		process.kill()
		process.start()
	}
	away.start()
	for _, process := range site.nodes {
		process.awaitReady()
	}
	for _, process := range site.nodes {
		site.awaitShow(process, "the last revision is in force", func(shown node.ShowReply) bool { return inForce(shown, 260, 3) })
	}
	text, code := site.submit(away, withRevision(20), sessionOverlay)
	assert.Equal(t, code, 0, text)
	assert.Assert(t, strings.Contains(text, "already accepted"), text)
	text, code = site.submit(away, strings.Replace(withRevision(20), "6s", "7s", 1)+"# other\n", sessionOverlay)
	assert.Equal(t, code, 3, text)
}

// putRevisions submits many revisions over HTTP, through all live nodes in turn.
func (site *site) putRevisions(from, to int) {
	site.t.Helper()
	for number := from; number <= to; number++ {
		through := site.nodes[number%2]
		outcome := through.submitText(withRevision(number))
		assert.Equal(site.t, outcome, node.OutcomeAccepted, "revision %d", number)
	}
}

func TestFrozenNodeCatchesUp(t *testing.T) {
	site := startSite(t, 3)
	leader := site.leader(site.nodes[0])
	frozen := site.others(leader)[0]
	frozen.signal(syscall.SIGSTOP)
	began := time.Now()
	outcome := leader.submitText(withRevision(2))
	assert.Equal(t, outcome, node.OutcomeAccepted)
	site.awaitShow(leader, "two nodes have the revision", func(shown node.ShowReply) bool { return inForce(shown, 2, 2) })
	t.Logf("in force on the others after %v", time.Since(began))
	time.Sleep(3 * time.Second)
	terms := site.term(leader)
	frozen.signal(syscall.SIGCONT)
	began = time.Now()
	site.awaitShow(frozen, "the frozen node has the revision", func(shown node.ShowReply) bool { return inForce(shown, 2, 3) })
	assert.Assert(t, time.Since(began) < 14*time.Second)
	t.Logf("in force on the frozen node %v after it went on", time.Since(began))
	assert.Equal(t, site.term(leader), terms, "a node that returns must not disturb the others")
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

func TestPartitionedNodeServesLoadedModels(t *testing.T) {
	site := newSite(t, 3, fastFlags...)
	relay := newRelay(t, site)
	site.init().startAll()
	site.awaitVoters(site.nodes[0])
	site.startTargets()
	site.putInForce(site.nodes[0], strings.Replace(sessionBase, "keep_alive_min: 1s, keep_alive_max: 2s", "keep_alive_min: 10m, keep_alive_max: 10m", 1))
	got := site.nodes[0].chat("drafting", "warm")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	leader := site.leader(site.nodes[0])
	terms := site.term(leader)
	cutOff := site.others(leader)[0]
	relay.isolate(cutOff)
	time.Sleep(2 * time.Second)

	got = cutOff.chat("drafting", "still here")
	assert.Equal(t, got.status, http.StatusOK, "what is loaded goes on: %s", got.body)
	got = cutOff.post("/services/vouchers/redeem", `{"voucher":"cut"}`, http.Header{"Idempotency-Key": {"cut"}, "X-Request-Timeout": {"2s"}})
	assert.Equal(t, got.verdict, "not_run", got.body)
	assert.Equal(t, got.code, "no_quorum", got.body)
	got = cutOff.post("/v1/chat/completions", chatBody("drafting@v1", "x", false), nil)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, leader.submitText(withRevision(2)), node.OutcomeAccepted)
	text, code := site.submit(cutOff, withRevision(3), sessionOverlay)
	assert.Assert(t, code == 3 || code == 4, "no quorum, so no revision: exit %d %s", code, text)

	relay.heal()
	site.awaitShow(cutOff, "the revision of the majority is in force", func(shown node.ShowReply) bool { return inForce(shown, 2, 3) })
	assert.Equal(t, site.term(leader), terms, "a node that returns must not disturb the others")
	got = cutOff.post("/services/vouchers/redeem", `{"voucher":"cut"}`, http.Header{"Idempotency-Key": {"cut"}})
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Assert(t, strings.Contains(got.body, `"runs":1`), got.body)
}
