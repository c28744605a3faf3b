package tests_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/node"
)

// TestSlowWeightStore waits for loads that take far longer than the callers' patience.
func TestSlowWeightStore(t *testing.T) {
	site := startSite(t, 3, "--load-time=6s")
	impatient := http.Header{"X-Request-Timeout": {"1s"}}
	for range 3 {
		began := time.Now()
		got := site.nodes[1].post("/v1/chat/completions", chatBody("drafting", "x", false), impatient)
		assert.Assert(t, time.Since(began) < time.Second, "refused in time")
		assert.Equal(t, got.verdict, "not_run", got.body)
		assert.Equal(t, got.status >= 500, true, got.body)
	}
	got := site.nodes[2].chat("drafting", "patient")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assertLoads(t, site, "drafting@v1")
}

// TestLostFailureDomain kills the node and the engine of one failure domain at once; its models are loaded elsewhere.
func TestLostFailureDomain(t *testing.T) {
	site := newSite(t, 3, fastFlags...).init().startAll()
	site.awaitVoters(site.nodes[0])
	engines := make([]*process, len(site.nodes))
	for i, process := range site.nodes {
		engines[i] = site.startTargetsIn("targets-"+process.name, []string{process.domain}, "--prefix=engine-"+process.name, "--no-service")
	}
	text, code := site.submit(site.nodes[0], sessionBase, sessionOverlay)
	assert.Equal(t, code, 0, text)
	for _, process := range site.nodes {
		site.awaitShow(process, "all engines are known", func(shown node.ShowReply) bool { return len(shown.Targets) == 3 && inForce(shown, 1, 3) })
	}
	assert.Equal(t, site.nodes[1].chat("drafting", "before").status, http.StatusOK)
	lost := -1
	site.awaitShow(site.nodes[0], "the model's place is known", func(shown node.ShowReply) bool {
		for _, target := range shown.Targets {
			for i, process := range site.nodes {
				if target.Replicas == 1 && string(target.Domain) == process.domain {
					lost = i
				}
			}
		}
		return lost >= 0
	})
	site.nodes[lost].kill()
	engines[lost].kill()
	began := time.Now()
	for i, process := range site.others(site.nodes[lost]) {
		got := process.chat("drafting", fmt.Sprintf("after %d", i))
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
	t.Logf("answered %v after the loss", time.Since(began))
}

// TestLeavingTargetIsKnownToAllNodes announces that a target leaves to one node, which dies right after; the others learn it.
func TestLeavingTargetIsKnownToAllNodes(t *testing.T) {
	site := startSite(t, 3)
	announce := func(process *process, sequence int, leaving bool) {
		body := fmt.Sprintf(`{"target":"x","incarnation":7,"sequence":%d,"failure_domain":"domain-a","group":"engines","address":"127.0.0.1:1","kind":"engine","memory":1,"leaving":%t}`, sequence, leaving)
		answer, err := http.Post("http://"+process.at(targetAt)+"/targets/announce", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		assert.Equal(t, answer.StatusCode, http.StatusOK)
	}
	announce(site.nodes[0], 1, false)
	announce(site.nodes[1], 2, true)
	site.nodes[1].kill()
	announce(site.nodes[2], 1, false)
	for _, process := range site.others(site.nodes[1]) {
		site.awaitShow(process, "the target leaves", func(shown node.ShowReply) bool {
			for _, target := range shown.Targets {
				if target.Target == "x" {
					return target.State == "leaving"
				}
			}
			return false
		})
	}
}

// TestRolesFollowTheConfiguration changes the role of a group and waits until all its engines have it.
func TestRolesFollowTheConfiguration(t *testing.T) {
	site := startSite(t, 3)
	for number, role := range []string{"decode", "prefill"} {
		base := strings.Replace(withRevision(number+2), "kind: engine,", "kind: engine, role: "+role+",", 1)
		site.putInForce(site.nodes[0], base)
		site.awaitShow(site.nodes[1], "the engines have their role", func(shown node.ShowReply) bool {
			count := 0
			for _, target := range shown.Targets {
				if string(target.Role) == role {
					count++
				}
			}
			return count == 3
		})
	}
}
