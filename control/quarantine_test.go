package control_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// crashingPart is the fingerprint of a part of prompts that crashes targets.
const crashingPart = 42

// reportCrashes reports crashes of three targets with the part to the leader.
func (cluster *testCluster) reportCrashes(ctx context.Context, peers *rpc.Peers) {
	cluster.t.Helper()
	args := &feed.WatchArgs{Node: "r", Router: true}
	for number := range 3 {
		target := celerylanding.TargetID(fmt.Sprintf("t%d", number))
		args.Crashes = append(args.Crashes, feed.Crash{Fingerprint: crashingPart, Part: 3, Target: target, Incarnation: 1},
			feed.Crash{Fingerprint: uint64(100 + number), Target: target, Incarnation: 1})
	}
	for ctx.Err() == nil {
		var reply feed.WatchReply
		if err := peers.Call(ctx, cluster.nodes[0].ctl.Leader(), "Peer.Watch", args, &reply); err == nil && reply.Leads {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatal("no leader takes the report")
}

// awaitQuarantine waits until all running nodes that lead or relay refuse the part, and at least one does.
func (cluster *testCluster) awaitQuarantine(ctx context.Context, peers *rpc.Peers) {
	cluster.t.Helper()
	for ctx.Err() == nil {
		refusing, publishing := 0, 0
		for _, node := range cluster.nodes {
			if node.cancel == nil {
				continue
			}
			reply, err := watchAsRouter(ctx, peers, node, "r2")
			if err == nil && reply.IsState() {
				publishing++
				if slices.Equal(reply.Quarantined, []uint64{crashingPart}) {
					refusing++
				}
			}
		}
		if refusing > 0 && refusing == publishing {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatal("not all nodes that publish the state quarantine the part")
}

// TestQuarantineOutlastsLeadersAndRestarts guards against a part of prompts that crashes targets again after a change of the leader or a
// restart of all nodes, also from a compacted log.
func TestQuarantineOutlastsLeadersAndRestarts(t *testing.T) {
	for name, versions := range map[string]uint64{"from the log": 1, "from a snapshot": 70} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 3*stepTimeout)
			defer cancel()
			cluster.submit(cluster.nodes[0], 1)
			peers := newTestPeers(t)
			cluster.reportCrashes(ctx, peers)
			cluster.awaitQuarantine(ctx, peers)
			for version := uint64(2); version <= versions; version++ {
				cluster.submit(cluster.nodes[0], version)
			}
			cluster.stopLeader()
			cluster.awaitQuarantine(ctx, peers)
			for _, node := range cluster.nodes {
				cluster.stop(node)
			}
			for _, node := range cluster.nodes {
				cluster.start(node, nil, false)
			}
			cluster.awaitQuarantine(ctx, peers)
			assert.Equal(t, cluster.read(cluster.nodes[0]), fmt.Sprintf("version %d", versions))
		})
	}
}

// TestFirstReplyAfterARestartHasTheQuarantine guards against routers that serve callers before they know which requests to refuse: a reply
// with the configuration must contain the quarantine too.
func TestFirstReplyAfterARestartHasTheQuarantine(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	peers := newTestPeers(t)
	cluster.reportCrashes(ctx, peers)
	cluster.awaitQuarantine(ctx, peers)
	for _, node := range cluster.nodes {
		cluster.stop(node)
	}
	for _, node := range cluster.nodes {
		cluster.start(node, nil, false)
	}
	for replies := 0; replies < 20; time.Sleep(5 * time.Millisecond) {
		assert.NilError(t, ctx.Err())
		for _, node := range cluster.nodes {
			if reply, err := watchAsRouter(ctx, peers, node, "r2"); err == nil && reply.IsState() && reply.Configuration != nil {
				assert.DeepEqual(t, reply.Quarantined, []uint64{crashingPart})
				replies++
			}
		}
	}
}

// TestLogEntriesWithoutQuarantine guards against an upgrade that misreads entries and snapshots of earlier versions, and against a
// quarantine that an earlier version takes for a configuration.
func TestLogEntriesWithoutQuarantine(t *testing.T) {
	old, err := cbor.Marshal(withEngine(7))
	assert.NilError(t, err)
	decoded, fingerprints, err := control.DecodeReplicated(old)
	assert.NilError(t, err)
	assert.Equal(t, len(fingerprints), 0)
	again, err := cbor.Marshal(decoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, old)

	snapshot, err := control.EncodeReplicated(withEngine(7), []uint64{crashingPart})
	assert.NilError(t, err)
	previous := configuration(0)
	assert.NilError(t, cbor.Unmarshal(snapshot, previous))
	assert.Equal(t, previous.Version, uint64(7))
	command, err := control.EncodeReplicated(nil, []uint64{crashingPart})
	assert.NilError(t, err)
	previous = configuration(0)
	assert.NilError(t, cbor.Unmarshal(command, previous))
	assert.Equal(t, previous.Version, uint64(0), "an earlier version ignores a configuration without a version")
}

// TestRelayPassesOnAnsweredSuspects guards against sound parts that are blamed on large sites, whose routers report to relays.
func TestRelayPassesOnAnsweredSuspects(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	reports.Add(now, &feed.WatchArgs{Node: "r1", Answered: []uint64{1, 2}})
	reports.Add(now, &feed.WatchArgs{Node: "r2", Answered: []uint64{2, 3}})
	args := reports.Collect(now)
	assert.DeepEqual(t, args.Answered, []uint64{1, 2, 3})
	assert.Equal(t, len(reports.Collect(now).Answered), 0)
}

// TestRelayPassesOnOrigins guards against streams that can't go on where routers report to relays.
func TestRelayPassesOnOrigins(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	origin := feed.Origin{Call: 7, Software: "v1"}
	reports.Add(now, &feed.WatchArgs{Node: "r1", Origins: []feed.Origin{origin}})
	assert.DeepEqual(t, reports.Collect(now).Origins, []feed.Origin{origin})
	assert.DeepEqual(t, reports.Collect(now).Origins, []feed.Origin{origin})
	reports.Acknowledge()
	assert.Equal(t, len(reports.Collect(now).Origins), 0)
}

// TestLeaderKnowsTheOriginOfStreams guards against streams that a caller can't take up after a change of the leader.
func TestLeaderKnowsTheOriginOfStreams(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 3*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	peers := newTestPeers(t)
	for _, change := range []func(){func() {}, cluster.stopLeader} {
		change()
		args := &feed.WatchArgs{Node: "r1", Router: true, Origins: []feed.Origin{{Call: 7, Software: "v2"}}}
		for {
			assert.NilError(t, ctx.Err())
			var watched feed.WatchReply
			var found feed.OriginReply
			leader := cluster.running().ctl.Leader()
			if err := peers.Call(ctx, leader, "Peer.Watch", args, &watched); err != nil || !watched.Leads {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			if err := peers.Call(ctx, leader, "Peer.Origin", &feed.OriginArgs{Service: "s", Call: 7}, &found); err == nil && found.Leads {
				assert.Assert(t, found.IsKnown)
				assert.Equal(t, found.Software, celerylanding.SoftwareVersion("v2"))
				break
			}
		}
	}
}

// askTrial calls the leader about a copy of the request with the fingerprint until a leader answers.
func (cluster *testCluster) askTrial(ctx context.Context, peers *rpc.Peers, args feed.TrialArgs) feed.TrialReply {
	cluster.t.Helper()
	args.Fingerprint, args.Longest = crashingPart, 4*time.Second
	for ctx.Err() == nil {
		var reply feed.TrialReply
		if err := peers.Call(ctx, cluster.running().ctl.Leader(), "Peer.Trial", &args, &reply); err == nil && reply.Leads {
			return reply
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatal("no leader answers")
	return feed.TrialReply{}
}

// reportRuns reports copies of a request that ended with one target, from two routers.
func (cluster *testCluster) reportRuns(ctx context.Context, peers *rpc.Peers) {
	cluster.t.Helper()
	for run, node := range []celerylanding.NodeID{"r1", "r2"} {
		args := &feed.WatchArgs{Node: node, Router: true,
			Crashes: []feed.Crash{{Fingerprint: crashingPart, Target: "t1", Incarnation: 1, Run: uint64(run + 1)}}}
		for {
			assert.NilError(cluster.t, ctx.Err())
			var reply feed.WatchReply
			if err := peers.Call(ctx, cluster.running().ctl.Leader(), "Peer.Watch", args, &reply); err == nil && reply.Leads {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// awaitTrials waits until the state that nodes publish lists the fingerprints.
func (cluster *testCluster) awaitTrials(ctx context.Context, peers *rpc.Peers, want ...uint64) {
	cluster.t.Helper()
	for ctx.Err() == nil {
		publishing, listing := 0, 0
		for _, node := range cluster.nodes {
			if node.cancel == nil {
				continue
			}
			if reply, err := watchAsRouter(ctx, peers, node, "r3"); err == nil && reply.IsState() {
				publishing++
				if slices.Equal(reply.Trials, want) {
					listing++
				}
			}
		}
		if publishing > 0 && publishing == listing {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatalf("not all nodes that publish the state list %v", want)
}

// running returns a node that has not been stopped.
func (cluster *testCluster) running() *testNode {
	for _, node := range cluster.nodes {
		if node.cancel != nil {
			return node
		}
	}
	cluster.t.Fatal("no node is running")
	return nil
}

// TestLeaderLetsOneRouterTryARequest guards against copies of a request that several routers send at once after two have ended with a target, also
// through a change of the leader.
func TestLeaderLetsOneRouterTryARequest(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 3*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	peers := newTestPeers(t)
	cluster.reportRuns(ctx, peers)
	cluster.awaitTrials(ctx, peers, crashingPart)
	assert.Assert(t, cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r1", Run: 11}).MayRun)
	assert.Assert(t, !cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r2", Run: 12}).MayRun)
	cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r1", Run: 11, HasEnded: true})
	assert.Assert(t, !cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r2", Run: 12}).MayRun, "the crash may not have been reported yet")

	cluster.stopLeader()
	assert.Assert(t, cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r1", Run: 13}).MayRun)
	assert.Assert(t, !cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r2", Run: 14}).MayRun, "a new leader that has no report yet")
	cluster.reportRuns(ctx, peers)
	cluster.awaitTrials(ctx, peers, crashingPart)
	cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r1", Run: 13, HasEnded: true, Answered: true})
	cluster.awaitTrials(ctx, peers)
	time.Sleep(1200 * time.Millisecond)
	for run := uint64(15); run < 18; run++ {
		assert.Assert(t, cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r2", Run: run}).MayRun, "an answer frees all copies")
	}
}

// TestBlamedRequestGetsNoTrial guards against a copy that runs while the quarantine of the request is on its way to the routers.
func TestBlamedRequestGetsNoTrial(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	peers := newTestPeers(t)
	cluster.reportCrashes(ctx, peers)
	cluster.awaitQuarantine(ctx, peers)
	reply := cluster.askTrial(ctx, peers, feed.TrialArgs{Node: "r1", Run: 1})
	assert.Assert(t, !reply.MayRun && reply.IsQuarantined)
}
