package tests_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/node"
)

func redeem(process *process, voucher string, timeout string) reply {
	return process.post("/services/vouchers/redeem", fmt.Sprintf(`{"voucher":%q}`, voucher),
		http.Header{"Idempotency-Key": {voucher}, "X-Request-Timeout": {timeout}})
}

// balance returns the fake service's response with the number of times that the voucher was redeemed.
func balance(site *site, through *process, voucher string) string {
	var body string
	site.await("the balance is answered", func() bool {
		response, err := http.Get("http://" + through.address(callerPort) + "/services/vouchers/balance?voucher=" + voucher)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		buffer := make([]byte, 256)
		count, _ := response.Body.Read(buffer)
		body = string(buffer[:count])
		return response.StatusCode == http.StatusOK
	})
	return body
}

// TestIdempotentCallRunsOnceAcrossNodeCrashes kills a node at different moments of a call with an idempotency key and resends the call
// to another node. It must run at most once, and exactly once if the resend is answered; any other reply must have the verdict may_have_run.
func TestIdempotentCallRunsOnceAcrossNodeCrashes(t *testing.T) {
	site := startSite(t, 3, "--service-time=300ms")
	for i, delay := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 320 * time.Millisecond} {
		voucher := fmt.Sprintf("kill-%d", i)
		first, second := site.nodes[i%3], site.nodes[(i+1)%3]
		done := make(chan reply, 1)
		go func() { done <- redeem(first, voucher, "5s") }()
		time.Sleep(delay)
		first.kill()
		<-done
		got := redeem(second, voucher, "8s")
		switch {
		case got.status == http.StatusOK:
			assert.Assert(t, strings.Contains(got.body, `"runs":1`), "%s: %s", voucher, got.body)
		default:
			assert.Equal(t, got.verdict, "may_have_run", "%s: %s", voucher, got.body)
		}
		time.Sleep(400 * time.Millisecond)
		counted := balance(site, second, voucher)
		assert.Assert(t, strings.Contains(counted, `"runs":1`) || (got.status != 200 && strings.Contains(counted, `"runs":0`)), "%s: %s", voucher, counted)
		first.start()
		first.awaitReady()
		site.awaitVoters(second)
	}
}

// TestConcurrentResendsRunOnce sends calls with one idempotency key to two nodes concurrently while the leader is killed. Only one of
// them may run.
func TestConcurrentResendsRunOnce(t *testing.T) {
	site := startSite(t, 3, "--service-time=100ms")
	leader := site.leader(site.nodes[0])
	rest := site.others(leader)
	results := make(chan reply, 12)
	for i := range 12 {
		go func() { results <- redeem(rest[i%2], "resent", "10s") }()
	}
	time.Sleep(20 * time.Millisecond)
	leader.kill()
	for range 12 {
		got := <-results
		isKnown := got.status == http.StatusOK && strings.Contains(got.body, `"runs":1`)
		assert.Assert(t, isKnown || got.code == "idempotency_key_in_progress", "%d %s", got.status, got.body)
	}
	assert.Assert(t, strings.Contains(balance(site, rest[0], "resent"), `"runs":1`))
}

// TestFrozenTargetsGetNoNewWork suspends the targets' process. Calls must end by their deadline, suspected targets must get no new
// calls, and a call that was refused with not_run must not run after the targets resume.
func TestFrozenTargetsGetNoNewWork(t *testing.T) {
	site := newSite(t, 3, append([]string{"--target-silence", "1s"}, fastFlags...)...).init().startAll()
	site.awaitVoters(site.nodes[0])
	targets := site.startTargets()
	site.submitAndAwait(site.nodes[0], sessionBase)
	assert.Equal(t, redeem(site.nodes[0], "before", "5s").status, http.StatusOK)
	targets.signal(syscall.SIGSTOP)
	began := time.Now()
	got := redeem(site.nodes[1], "frozen", "2s")
	assert.Assert(t, time.Since(began) < 2500*time.Millisecond, "must be answered by the deadline")
	assert.Assert(t, got.status != http.StatusOK && got.err == nil, "%v", got)
	site.awaitShow(site.nodes[2], "the silent targets are suspected", func(shown node.ShowReply) bool {
		for _, target := range shown.Targets {
			if target.State != "suspect" {
				return false
			}
		}
		return true
	})
	got = redeem(site.nodes[2], "suspected", "1s")
	assert.Equal(t, got.verdict, "not_run", "a suspected target must get no new work: %s", got.body)
	targets.signal(syscall.SIGCONT)
	site.awaitShow(site.nodes[2], "the targets are live again", func(shown node.ShowReply) bool {
		for _, target := range shown.Targets {
			if target.State != "live" {
				return false
			}
		}
		return true
	})
	assert.Equal(t, redeem(site.nodes[2], "suspected", "5s").status, http.StatusOK)
	assert.Assert(t, strings.Contains(balance(site, site.nodes[0], "suspected"), `"runs":1`))
}

// TestOperatorsRace submits different files with the same revision number through all nodes concurrently. Exactly one may be accepted,
// and all nodes must end with the same digest.
func TestOperatorsRace(t *testing.T) {
	site := newSite(t, 3, fastFlags...).init().startAll()
	site.awaitVoters(site.nodes[0])
	for number := 1; number <= 5; number++ {
		outcomes := make(chan string, 3)
		for i, process := range site.nodes {
			go func() {
				outcomes <- process.submitText(baseWithRevision(number) + fmt.Sprintf("# by operator %d\n", i))
			}()
		}
		counts := make(map[string]int)
		for range site.nodes {
			counts[<-outcomes]++
		}
		assert.Equal(t, counts[node.OutcomeAccepted], 1, "%v", counts)
		assert.Equal(t, counts[node.OutcomeRefused], 2, "%v", counts)
	}
	var digests []string
	for _, process := range site.nodes {
		site.awaitShow(process, "revision 5 is in force", func(shown node.ShowReply) bool { return isInForce(shown, 5, 3) })
		shown, err := process.show()
		assert.NilError(t, err)
		digests = append(digests, string(shown.Digest))
	}
	assert.Equal(t, digests[0], digests[1])
	assert.Equal(t, digests[1], digests[2])
}
