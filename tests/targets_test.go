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

// TestSlowWeightStore calls a model that takes longer to load than most callers wait. Those calls must be refused before their timeout,
// and the model must be loaded on one engine only, for the caller that waits longer.
func TestSlowWeightStore(t *testing.T) {
	site := startSite(t, 3, "--load-time=6s")
	shortTimeout := http.Header{"X-Request-Timeout": {"1s"}}
	for range 3 {
		began := time.Now()
		got := site.nodes[1].post("/v1/chat/completions", chatBody("drafting", "x", false), shortTimeout)
		assert.Assert(t, time.Since(began) < time.Second, "must be refused before the timeout")
		assert.Equal(t, got.verdict, "not_run", got.body)
		assert.Equal(t, got.status >= 500, true, got.body)
	}
	got := site.nodes[2].chat("drafting", "patient")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assertOneLoadTarget(t, site, "drafting@v1")
}

// TestLostFailureDomain kills the node and the engine of one failure domain. Its model must be loaded in another domain, and requests
// through the other nodes must be answered.
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
		site.awaitShow(process, "all engines are known", func(shown node.ShowReply) bool { return len(shown.Targets) == 3 && isInForce(shown, 1, 3) })
	}
	assert.Equal(t, site.nodes[1].chat("drafting", "before").status, http.StatusOK)
	lost := -1
	site.awaitShow(site.nodes[0], "the engine that holds the model is known", func(shown node.ShowReply) bool {
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

// TestLeavingTargetIsKnownToAllNodes announces a target as leaving to one node only and kills that node right afterwards. The other
// nodes must treat the target as leaving, although one of them then gets an older announcement.
func TestLeavingTargetIsKnownToAllNodes(t *testing.T) {
	site := startSite(t, 3)
	announce := func(process *process, sequence int, leaving bool) {
		body := fmt.Sprintf(`{"target":"x","incarnation":7,"sequence":%d,"failure_domain":"domain-a","group":"engines","address":"127.0.0.1:1","kind":"engine","memory":1,"leaving":%t}`, sequence, leaving)
		response, err := http.Post("http://"+process.address(targetPort)+"/targets/announce", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	announce(site.nodes[0], 1, false)
	announce(site.nodes[1], 2, true)
	site.nodes[1].kill()
	announce(site.nodes[2], 1, false)
	for _, process := range site.others(site.nodes[1]) {
		site.awaitShow(process, "the target is leaving", func(shown node.ShowReply) bool {
			for _, target := range shown.Targets {
				if target.Target == "x" {
					return target.State == "leaving"
				}
			}
			return false
		})
	}
}

// TestRolesFollowTheConfiguration changes the role of a group twice; all its engines must change to the new role.
func TestRolesFollowTheConfiguration(t *testing.T) {
	site := startSite(t, 3)
	for number, role := range []string{"decode", "prefill"} {
		base := strings.Replace(baseWithRevision(number+2), "kind: engine,", "kind: engine, role: "+role+",", 1)
		site.submitAndAwait(site.nodes[0], base)
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
