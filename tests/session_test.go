package tests_test

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"celerylanding.example/celerylanding/node"
)

const sessionBase = `revision: 1
site: session
groups:
  engines: {kind: engine, target_memory: 80GiB}
  ledgers: {kind: service}
models:
  drafting:
    group: engines
    versions:
      v1: {memory: 18GiB, kv_reserve: 4GiB}
adapters:
  drafting-astana: {base: drafting, memory: 200MiB}
services:
  vouchers: {group: ledgers, deadline: 5s}
idling: {keep_alive_min: 1s, keep_alive_max: 2s}
`

const sessionOverlay = "site: session-overlay\n"

// transcript collects the text that is compared with the golden file.
type transcript struct {
	text strings.Builder
}

func (transcript *transcript) add(format string, args ...any) {
	fmt.Fprintf(&transcript.text, format+"\n", args...)
}

var (
	digestPattern  = regexp.MustCompile(`[0-9a-f]{32}`)
	requestPattern = regexp.MustCompile(`"(id|request_id)":"[0-9a-f]{24}"`)
)

func (transcript *transcript) addReply(label string, got reply) {
	body := requestPattern.ReplaceAllString(strings.TrimSpace(got.body), `"$1":"REQUEST"`)
	transcript.add("%s: %d %s\n  %s", label, got.status, got.verdict, strings.ReplaceAll(body, "\n", "\n  "))
}

// TestSessionGolden runs a whole session over three nodes and compares what callers and operators see with a golden file: submissions,
// cold starts, a stream, idempotency keys, unloading of idle models and shutdown.
func TestSessionGolden(t *testing.T) {
	site := newSite(t, 3).init().startAll()
	site.startTargets()
	var record transcript

	text, code := site.submit(site.nodes[1], sessionBase, sessionOverlay)
	record.add("submit: exit %d: %s", code, digestPattern.ReplaceAllString(strings.TrimSpace(text), "DIGEST"))
	text, code = site.submit(site.nodes[2], sessionBase, sessionOverlay)
	record.add("submit again: exit %d: %s", code, digestPattern.ReplaceAllString(strings.TrimSpace(text), "DIGEST"))
	site.awaitShow(site.nodes[0], "all nodes and targets are known", func(shown node.ShowReply) bool {
		return len(shown.Targets) == 4 && isInForce(shown, 1, 3)
	})

	replies := make([]reply, 2)
	var requests sync.WaitGroup
	for i := range replies {
		requests.Go(func() { replies[i] = site.nodes[i].chat("drafting", "cold") })
	}
	requests.Wait()
	record.addReply("cold request on a", replies[0])
	record.addReply("cold request on b at the same moment", replies[1])
	shown, err := site.nodes[2].show()
	assert.NilError(t, err)
	record.add("replicas of drafting: %d", replicasOf(shown, "drafting@v1"))

	record.addReply("stream through an adapter on c", site.nodes[2].post("/v1/chat/completions",
		`{"model":"drafting-astana","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"s"}]}`, nil))
	key := http.Header{"Idempotency-Key": {"k1"}}
	record.addReply("redeem on a", site.nodes[0].post("/services/vouchers/redeem", `{"voucher":"v1"}`, key))
	record.addReply("redeem again on b", site.nodes[1].post("/services/vouchers/redeem", `{"voucher":"v1"}`, key))
	record.addReply("same key, other voucher", site.nodes[1].post("/services/vouchers/redeem", `{"voucher":"v2"}`, key))
	record.addReply("unknown model", site.nodes[0].chat("nothing", "x"))

	text, code = site.submit(site.nodes[0], strings.Replace(sessionBase, "deadline: 5s", "deadline: 6s", 1), sessionOverlay)
	record.add("other files, same number: exit %d: %s", code, digestPattern.ReplaceAllString(strings.TrimSpace(text), "DIGEST"))
	text, code = site.submit(site.nodes[0], strings.Replace(sessionBase, "revision: 1", "revision: 2", 1), sessionOverlay)
	record.add("next number: exit %d: %s", code, digestPattern.ReplaceAllString(strings.TrimSpace(text), "DIGEST"))
	site.awaitShow(site.nodes[2], "revision 2 is in force", func(shown node.ShowReply) bool { return isInForce(shown, 2, 3) })
	record.add("revision 2 is in force on 3 nodes")

	site.awaitShow(site.nodes[1], "the idle models are unloaded", func(shown node.ShowReply) bool {
		return replicasOf(shown, "drafting@v1")+replicasOf(shown, "drafting-astana") == 0
	})
	record.add("idle models are unloaded")
	for _, process := range site.nodes {
		process.signal(syscall.SIGTERM)
		record.add("%s ended with exit code %d", process.name, process.awaitExit())
	}
	golden.Assert(t, record.text.String(), "session.golden")
	assertOneLoadOrder(t, site)
}

// assertOneLoadOrder checks in the merged timeline that the two cold requests caused one load order.
func assertOneLoadOrder(t *testing.T, site *site) {
	t.Helper()
	files := []string{"timeline"}
	for _, process := range site.nodes {
		files = append(files, process.timeline())
	}
	merged := site.mustRun(append(files, "--model", "drafting@v1")...)
	assert.Equal(t, strings.Count(merged, "order_load"), 1, merged)
	_, err := os.Stat(site.nodes[0].timeline())
	assert.NilError(t, err)
}

// isInForce reports whether the revision is in force on exactly count nodes.
func isInForce(shown node.ShowReply, revision uint64, count int) bool {
	found := 0
	for _, status := range shown.Nodes {
		if status.Revision == revision {
			found++
		}
	}
	return found == count
}

func replicasOf(shown node.ShowReply, model string) int {
	for _, row := range shown.Models {
		if string(row.Model) == model {
			return len(row.Replicas)
		}
	}
	return 0
}
