package control_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/common/boottime"
	"celerylanding.example/celerylanding/control"
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

// TestRestartedProcessIsNoProofThatNothingWasOrdered guards against orders of two leaders within a lease where engines do not check fencing tokens: the
// former leader has restarted, perhaps without its disk, and knows no order of its predecessor, or it had to wait for the orders of one that has left the log.
func TestRestartedProcessIsNoProofThatNothingWasOrdered(t *testing.T) {
	const lease = 3 * time.Second
	now := time.Unix(1000, 0)
	wholeLease := now.Add(2 * time.Second)
	// The zero time is further away than a duration can say.
	const atOnce = time.Duration(math.MinInt64)
	failed := errors.New("no reply")
	for name, tc := range map[string]struct {
		isFenced bool
		reply    control.LastOrderReply
		err      error
		// earliest is the time until the first order at least, and latest at most.
		earliest, latest time.Duration
	}{
		"restarted just now":              {false, control.LastOrderReply{NoOrder: true}, nil, lease, lease + time.Second},
		"restarted a while ago":           {false, control.LastOrderReply{NoOrder: true, Uptime: time.Second}, nil, 2 * time.Second, 3 * time.Second},
		"restarted more than a lease ago": {false, control.LastOrderReply{NoOrder: true, Uptime: time.Minute}, nil, -time.Hour, 0},
		"restarted, fenced":               {true, control.LastOrderReply{NoOrder: true}, nil, atOnce, 0},
		"order a while ago":               {false, control.LastOrderReply{Age: time.Second, Uptime: time.Minute}, nil, 2 * time.Second, 3 * time.Second},
		"no reply":                        {false, control.LastOrderReply{}, failed, 2 * time.Second, 2 * time.Second},
		"no reply, fenced":                {true, control.LastOrderReply{}, failed, atOnce, 0},
		"still leads":                     {true, control.LastOrderReply{Leads: true}, nil, 2 * time.Second, 2 * time.Second},
		"stops, fenced":                   {true, control.LastOrderReply{Stopping: true, Age: time.Millisecond}, nil, atOnce, 0},
		"gave none, had to wait":          {false, control.LastOrderReply{NoOrder: true, Uptime: time.Minute, Wait: time.Second}, nil, time.Second, lease},
		"gave one, had to wait":           {false, control.LastOrderReply{Age: 2500 * time.Millisecond, Uptime: time.Minute, Wait: time.Second}, nil, time.Second, lease},
		"had to wait, fenced":             {true, control.LastOrderReply{NoOrder: true, Uptime: time.Minute, Wait: time.Second}, nil, atOnce, 0},
		"stops":                           {false, control.LastOrderReply{Stopping: true, Age: time.Millisecond}, nil, lease - time.Millisecond, lease + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			got := control.EarliestOrder(now, wholeLease, lease, tc.isFenced, &tc.reply, tc.err).Sub(now)
			assert.Assert(t, got >= tc.earliest && got <= tc.latest, "%v", got)
		})
	}
}
