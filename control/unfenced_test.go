package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/common/boottime"
)

// TestUnfencedHandoverWaitsForTheLease guards against orders of two leaders within a lease where engines do not check fencing tokens: the new
// leader can't reach the former one, which may still send orders by its own view.
func TestUnfencedHandoverWaitsForTheLease(t *testing.T) {
	cluster := startCluster(&testCluster{t: t, engines: &fakeEngines{}, clock: boottime.Now, silence: 5 * time.Second, ignoresFences: true}, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	_, err := cluster.nodes[0].ctl.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	for round := range 2 {
		cluster.announceIdleEngine(ctx, round)
		cluster.awaitOrders(round + 1)
		if round == 0 {
			cluster.stopLeader()
		}
	}
	for i := 1; i < len(cluster.engines.sent); i++ {
		if cluster.engines.fences[i] != cluster.engines.fences[i-1] {
			gap := cluster.engines.sent[i].Sub(cluster.engines.sent[i-1])
			assert.Assert(t, gap >= leaseTime, "orders of two leaders are %v apart", gap)
			return
		}
	}
	t.Fatal("only one leader has sent orders")
}
