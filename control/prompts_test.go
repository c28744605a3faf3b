package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
)

// TestKeptPartsReachTheRoutersOfAllRelays reports a part of prompts at one node, and expects it once at the routers of each node.
func TestKeptPartsReachTheRoutersOfAllRelays(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	peers := newTestPeers(t)
	first := cluster.awaitRelays(ctx, peers, "t1")[0]
	var reporter *testNode
	for _, node := range cluster.nodes {
		if node.addr != first.Leader {
			reporter = node
		}
	}
	part := feed.KeptPart{Target: 11, Chain: 12, Tokens: 2520, Age: time.Second}
	var reply feed.WatchReply
	args := feed.WatchArgs{Node: "reporter", Router: true, Term: first.Term, Kept: []feed.KeptPart{part}}
	assert.NilError(t, peers.Call(ctx, reporter.addr, "Peer.Watch", &args, &reply))
	for _, node := range cluster.nodes {
		args := feed.WatchArgs{Node: "other", Router: true, Term: first.Term}
		for len(reply.Kept) == 0 || args.KeptNext == 0 {
			assert.NilError(t, ctx.Err(), "%s has not received the part", node.addr)
			reply = feed.WatchReply{}
			assert.NilError(t, peers.Call(ctx, node.addr, "Peer.Watch", &args, &reply))
			if len(reply.Kept) > 0 {
				args.KeptNext = reply.KeptNext
			}
		}
		assert.Equal(t, len(reply.Kept), 1)
		assert.Assert(t, reply.Kept[0].Age >= time.Second)
		reply.Kept[0].Age = part.Age
		assert.DeepEqual(t, reply.Kept[0], part)
		reply = feed.WatchReply{}
		assert.NilError(t, peers.Call(ctx, node.addr, "Peer.Watch", &args, &reply))
		assert.Equal(t, len(reply.Kept), 0, "a part is sent once")
		args.Term--
		assert.NilError(t, peers.Call(ctx, node.addr, "Peer.Watch", &args, &reply))
		assert.Equal(t, len(reply.Kept), 1, "a router of an earlier term gets all parts")
		reply = feed.WatchReply{}
	}
}

// TestRelayBoundsWhatItHolds checks that a relay without a leader holds a bounded number of reported parts, and that it counts the time that they
// have waited.
func TestRelayBoundsWhatItHolds(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	for number := range 1000 {
		reports.Add(now, &feed.WatchArgs{Node: "r1", Kept: []feed.KeptPart{{Target: 1, Chain: uint64(number), Tokens: 1000, Age: time.Second}}})
	}
	args := reports.Collect(now.Add(2 * time.Second))
	assert.Equal(t, len(args.Kept), 256)
	assert.Equal(t, args.Kept[0].Age, 3*time.Second)
	assert.Equal(t, len(reports.Collect(now).Kept), 0)
}
