package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/boottime"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// poll sends one watch request of a router to a node, and applies the reply; it returns false if the node has no state.
func (router *viewRouter) poll(ctx context.Context, peers *rpc.Peers, node *testNode) bool {
	sent, args := boottime.Now(), router.args()
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	var reply feed.WatchReply
	if err := peers.Call(ctx, node.addr, "Peer.Watch", &args, &reply); err != nil || !reply.IsState() {
		return false
	}
	router.apply(sent, &reply)
	return true
}

// pollAny polls the nodes in turn, and reports whether one of them had state.
func (router *viewRouter) pollAny(ctx context.Context, peers *rpc.Peers, nodes []*testNode) bool {
	for _, node := range nodes {
		if node.cancel != nil && router.poll(ctx, peers, node) {
			return true
		}
	}
	time.Sleep(10 * time.Millisecond)
	return false
}

// pollUntil polls the nodes until the router's use of a target is as wanted.
func (cluster *testCluster) pollUntil(ctx context.Context, peers *rpc.Peers, router *viewRouter, nodes []*testNode, id celerylanding.TargetID, isUsed bool) bool {
	for ctx.Err() == nil {
		if !router.pollAny(ctx, peers, nodes) {
			continue
		}
		if _, targets, _ := router.view(); targets[id] == isUsed {
			return true
		}
	}
	return false
}

// TestRouterLearnsOfADepartureThatItMissed guards against requests to a target that has left (DRAIN): a router stands still while the departure is
// acknowledged, and wakes after all control nodes have restarted, so that none of them has heard of the target.
func TestRouterLearnsOfADepartureThatItMissed(t *testing.T) {
	departure := &control.AnnounceArgs{Leaving: "t1", Incarnation: 1}
	type step func(ctx context.Context, cluster *testCluster)
	stopAll := func(_ context.Context, cluster *testCluster) {
		for _, node := range cluster.nodes {
			cluster.stop(node)
		}
	}
	startAll := func(_ context.Context, cluster *testCluster) {
		for _, node := range cluster.nodes {
			cluster.start(node, nil, false)
		}
	}
	announce := func(args *control.AnnounceArgs) step {
		return func(ctx context.Context, cluster *testCluster) { cluster.announceUntilAccepted(ctx, args) }
	}
	// awaken stands for a router that gets the new leader's state, which does not list the target, before the next step.
	var awaken step
	for name, tc := range map[string]struct {
		unseen []step
		// isRelayed is set if the router watches a follower when it wakes.
		isRelayed bool
		isUsed    bool
	}{
		"before the restart":             {[]step{announce(departure), stopAll, startAll}, false, false},
		"before the restart, at a relay": {[]step{announce(departure), stopAll, startAll}, true, false},
		"after the restart":              {[]step{stopAll, startAll, announce(departure)}, false, false},
		"after the restart and the wake": {[]step{stopAll, startAll, awaken, announce(departure)}, false, false},
		"of a later incarnation": {[]step{announce(versioned("t1", 2, "")), announce(&control.AnnounceArgs{Leaving: "t1", Incarnation: 2}),
			stopAll, startAll}, false, false},
		"of a later incarnation, of which no heartbeat came": {[]step{announce(&control.AnnounceArgs{Leaving: "t1", Incarnation: 2})}, false, false},
		"of a later incarnation, and a late heartbeat": {[]step{announce(versioned("t1", 2, "")), announce(&control.AnnounceArgs{Leaving: "t1", Incarnation: 2}),
			stopAll, startAll, announce(announcement("t1", 2, false))}, false, false},
		"and the target starts again": {[]step{announce(departure), stopAll, startAll, announce(versioned("t1", 2, ""))}, false, true},
		"none":                        {[]step{stopAll, startAll}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
			defer cancel()
			peers := newTestPeers(t)
			cluster.submit(cluster.nodes[0], 1)
			announce(announcement("t1", 1, false))(ctx, cluster)
			router := &viewRouter{host: "r", roster: dispatch.NewRoster()}
			assert.Assert(t, cluster.pollUntil(ctx, peers, router, cluster.nodes, "t1", true))
			for _, unseen := range tc.unseen {
				if unseen == nil {
					assert.Assert(t, cluster.pollUntil(ctx, peers, router, cluster.nodes, "t1", true))
					continue
				}
				unseen(ctx, cluster)
			}
			nodes := cluster.nodes
			if tc.isRelayed {
				_, follower := cluster.leaderAndFollower()
				nodes = []*testNode{follower}
			}
			for !router.pollAny(ctx, peers, nodes) {
				assert.NilError(t, ctx.Err())
			}
			// Requests may reach the target for drainMs, 2 s at most sites, after the acknowledgement; without word, orphans are used for 5 s.
			wakeCtx, cancel := context.WithTimeout(ctx, viewBound)
			defer cancel()
			isChanged := cluster.pollUntil(wakeCtx, peers, router, nodes, "t1", false)
			assert.Equal(t, !isChanged, tc.isUsed)
		})
	}
}
