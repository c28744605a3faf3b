package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// findOrigin asks the nodes for the origin of a stream until one that leads answers.
func (cluster *testCluster) findOrigin(ctx context.Context, peers *rpc.Peers, call uint64) feed.OriginReply {
	cluster.t.Helper()
	for ctx.Err() == nil {
		for _, node := range cluster.nodes {
			var reply feed.OriginReply
			callCtx, cancel := context.WithTimeout(ctx, answerTime)
			err := peers.Call(callCtx, node.addr, "Peer.Origin", &feed.OriginArgs{Service: "s", Call: call}, &reply)
			cancel()
			if err == nil && reply.Leads {
				return reply
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatal("no node leads")
	return feed.OriginReply{}
}

// TestOriginsOutlastLeadersAndRouters guards against streams that callers can't take up because the leader and the router that began them are lost,
// together or in turn, and with them the record of the software version: the router reports once, and each controller is then replaced by one that knows
// nothing.
func TestOriginsOutlastLeadersAndRouters(t *testing.T) {
	for name, isRelayed := range map[string]bool{"reported to the leader": false, "reported to a relay": true} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
			defer cancel()
			cluster.submit(cluster.nodes[0], 1)
			cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
			peers := newTestPeers(t)
			cluster.awaitRelays(ctx, peers, "t1")
			leader, follower := cluster.leaderAndFollower()
			node := leader
			if isRelayed {
				node = follower
			}
			var reply feed.WatchReply
			args := &feed.WatchArgs{Node: "r1", Router: true, Origins: []feed.Origin{{Call: 7, Software: "v1"}, {Call: 8, Software: "v2"}}}
			assert.NilError(t, peers.Call(ctx, node.addr, "Peer.Watch", args, &reply))
			assert.Assert(t, reply.IsState())
			for range 3 {
				time.Sleep(time.Second)
				leader, _ := cluster.leaderAndFollower()
				cluster.stop(leader)
				for call, want := range map[uint64]string{7: "v1", 8: "v2"} {
					found := cluster.findOrigin(ctx, peers, call)
					assert.Assert(t, found.IsKnown, "call %d", call)
					assert.Equal(t, string(found.Software), want)
				}
				cluster.start(leader, nil, false)
			}
		})
	}
}
