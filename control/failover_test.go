package control_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/routing"
)

// TestRestartedLeaderLearnsTargetsFromOthers guards against a leader without targets: a restarted leader has an empty directory when it
// is elected again.
func TestRestartedLeaderLearnsTargetsFromOthers(t *testing.T) {
	cluster := newCluster(t, 0)
	cluster.submit(cluster.nodes[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	// The followers learn of the target with the leader's next reply to their watch requests.
	time.Sleep(600 * time.Millisecond)
	for _, node := range cluster.nodes {
		if node.addr == cluster.nodes[0].ctl.Leader() {
			cluster.stop(node)
			cluster.start(node, nil, false)
			break
		}
	}
	assert.Equal(t, cluster.awaitTargets(ctx)[0].ID, celerylanding.TargetID("t1"))
}

// awaitTargets watches as a router until a leader lists targets, and returns them.
func (cluster *testCluster) awaitTargets(ctx context.Context) []feed.Target {
	cluster.t.Helper()
	peers := rpc.NewPeers(ctx, rpc.Options{LocalIP: "127.0.0.1", Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	defer peers.Close()
	for ctx.Err() == nil {
		for _, node := range cluster.nodes {
			var reply feed.WatchReply
			err := peers.Call(ctx, node.addr, "Peer.Watch", &feed.WatchArgs{Node: "r", Router: true}, &reply)
			if err == nil && reply.Leads && len(reply.Targets.All()) > 0 {
				return reply.Targets.All()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatal("no leader lists a target")
	return nil
}

// withEngine returns a configuration whose service has an engine with one model.
func withEngine(version uint64) *routing.Configuration {
	config := configuration(version)
	config.Services[0].Engine = &routing.Engine{Slots: 1, Memory: 100, StoreLoadsPerSecond: 5, Models: []routing.Model{{ID: "m", Weights: 10,
		StoreLoadTime: time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second}}}
	return config
}

// TestEnginesAreKnownAfterAllNodesRestart guards against engines that stay unknown until their next heartbeat: all nodes restart and no
// engine sends one. An engine that isn't ready must not be listed.
func TestEnginesAreKnownAfterAllNodesRestart(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, err := cluster.nodes[0].ctl.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	cluster.announceUntilAccepted(ctx, announcement(leavingEngine, 1, false))
	for _, node := range cluster.nodes {
		for known := 0; known < 2; time.Sleep(20 * time.Millisecond) {
			assert.NilError(t, ctx.Err(), "the engine cache was not written in time")
			engines, err := control.LoadEngines(node.folder)
			assert.NilError(t, err)
			known = len(engines)
		}
	}
	for _, node := range cluster.nodes {
		cluster.stop(node)
	}
	for _, node := range cluster.nodes {
		cluster.start(node, nil, false)
	}
	targets := cluster.awaitTargets(ctx)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].ID, celerylanding.TargetID("t1"))
	assert.Equal(t, targets[0].Address, "127.0.0.1:1")
}

// TestDepartureOutlastsARestartOfAllNodes guards against an engine whose departure was acknowledged and that is in use again after all nodes have
// restarted: it still answers, and does not say that it leaves.
func TestDepartureOutlastsARestartOfAllNodes(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, err := cluster.nodes[0].ctl.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	cached := func(node *testNode) int {
		engines, err := control.LoadEngines(node.folder)
		assert.NilError(t, err)
		return len(engines)
	}
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	cluster.announceUntilAccepted(ctx, announcement("t2", 1, false))
	for _, node := range cluster.nodes {
		for ; cached(node) < 2; time.Sleep(20 * time.Millisecond) {
			assert.NilError(t, ctx.Err(), "the engine cache was not written in time")
		}
	}
	cluster.announceUntilAccepted(ctx, &control.AnnounceArgs{Leaving: "t2", Incarnation: announcement("t2", 1, false).Announcement.Incarnation})
	// The controllers are killed 0.3 s later.
	time.Sleep(300 * time.Millisecond)
	for _, node := range cluster.nodes {
		assert.Equal(t, cached(node), 1, "the departure is on disk")
	}
	for _, node := range cluster.nodes {
		cluster.stop(node)
	}
	for _, node := range cluster.nodes {
		cluster.start(node, nil, false)
	}
	targets := cluster.awaitTargets(ctx)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].ID, celerylanding.TargetID("t1"))
}

// TestEngineCacheOutlastsATimeWithoutConfiguration guards against a cache that a node empties after its start, while it knows targets, but no
// configuration that says which of them are engines.
func TestEngineCacheOutlastsATimeWithoutConfiguration(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	saved := []feed.Target{{ID: "t1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 2}}
	for _, node := range cluster.nodes {
		assert.NilError(t, control.SaveEngines(node.folder, saved))
	}
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	// The cache is written every 2 s.
	time.Sleep(2500 * time.Millisecond)
	for _, node := range cluster.nodes {
		engines, err := control.LoadEngines(node.folder)
		assert.NilError(t, err)
		assert.Equal(t, len(engines), 1)
	}
}

// TestTruncatedEngineCacheIsRejected guards against an engine cache that is truncated by a crash and still accepted.
func TestTruncatedEngineCacheIsRejected(t *testing.T) {
	folder := t.TempDir()
	engines, err := control.LoadEngines(folder)
	assert.NilError(t, err, "a missing file is not an error")
	assert.Equal(t, len(engines), 0)
	saved := []feed.Target{{ID: "t1", Incarnation: 7, Service: "s", Address: "127.0.0.1:1", Slots: 2, OnDisk: []celerylanding.ModelID{"m"}}}
	assert.NilError(t, control.SaveEngines(folder, saved))
	engines, err = control.LoadEngines(folder)
	assert.NilError(t, err)
	assert.DeepEqual(t, engines, saved)

	path := filepath.Join(folder, "engines.cache")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for size := range len(data) {
		assert.NilError(t, os.WriteFile(path, data[:size], 0o600))
		_, err := control.LoadEngines(folder)
		assert.Assert(t, errorx.IsOfType(err, control.ErrEngineCacheCorrupt), "truncated to %d bytes: %v", size, err)
	}
}

// TestNewLeaderKeepsTargetsWithUnchangedHeartbeats guards against a new leader that considers live targets silent because followers don't
// receive unchanged heartbeats. A target that was silent before the change must stay silent.
func TestNewLeaderKeepsTargetsWithUnchangedHeartbeats(t *testing.T) {
	const silence = 1500 * time.Millisecond
	cluster := newClusterWithSilence(t, 0, silence)
	cluster.submit(cluster.nodes[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	cluster.announceUntilAccepted(ctx, announcement("dead", 1, false))
	for sequence, began := uint64(1), time.Now(); time.Since(began) < 2*silence; sequence++ {
		cluster.announceUntilAccepted(ctx, announcement("quiet", sequence, false))
		time.Sleep(silence / 5)
	}
	cluster.stopLeader()
	targets := cluster.awaitTargets(ctx)
	assert.Equal(t, len(targets), 2)
	for _, target := range targets {
		assert.Equal(t, target.Silent, target.ID == "dead", "%+v", target)
	}
}

// TestStoppingLeaderHandsOver guards against a planned stop of the leader that delays orders by an election timeout or a whole lease.
func TestStoppingLeaderHandsOver(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, err := cluster.nodes[0].ctl.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	for round := range 2 {
		cluster.announceIdleEngine(ctx, round)
		began := time.Now()
		cluster.awaitOrders(round + 1)
		if round == 1 {
			// The lease is 1 s, and the former leader still replies.
			assert.Assert(t, time.Since(began) < 900*time.Millisecond, "%s", time.Since(began))
			return
		}
		for _, node := range cluster.nodes {
			if node.addr == cluster.nodes[0].ctl.Leader() {
				began := time.Now()
				node.ctl.StepDown(ctx)
				assert.Assert(t, node.ctl.Leader() != node.addr && node.ctl.Leader() != "", "led by %q", node.ctl.Leader())
				// An election timeout is 600 ms at least.
				assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
				break
			}
		}
	}
}

// TestFollowersBatchUnchangedHeartbeats guards against a target that is considered silent, or whose changes get lost, when it sends
// its heartbeats only to a follower, which batches them.
func TestFollowersBatchUnchangedHeartbeats(t *testing.T) {
	const silence = time.Second
	cluster := newClusterWithSilence(t, 0, silence)
	cluster.submit(cluster.nodes[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	var follower *testNode
	for _, node := range cluster.nodes {
		if node.addr != cluster.nodes[0].ctl.Leader() {
			follower = node
		}
	}
	sequence := uint64(1)
	for began := time.Now(); time.Since(began) < 3*silence; time.Sleep(silence / 10) {
		sequence++
		assert.NilError(t, follower.ctl.Announce(ctx, announcement("t1", sequence, false)))
	}
	targets := cluster.awaitTargets(ctx)
	assert.Assert(t, !targets[0].Silent, "%+v", targets)
	changed := announcement("t1", sequence+1, false)
	changed.Announcement.Address = "127.0.0.1:2"
	assert.NilError(t, follower.ctl.Announce(ctx, changed))
	assert.Equal(t, cluster.awaitTargets(ctx)[0].Address, "127.0.0.1:2")
	leaving := announcement("t1", sequence+2, true)
	leaving.Announcement.Address = changed.Announcement.Address
	assert.NilError(t, follower.ctl.Announce(ctx, leaving))
	assert.Assert(t, cluster.awaitTargets(ctx)[0].Leaving, "a leaving announcement must not be batched")
}
