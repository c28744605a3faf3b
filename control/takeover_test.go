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

// TestRestartedLeaderLearnsTargetsFromOthers restarts a leader, which is elected again and has forgotten all targets.
func TestRestartedLeaderLearnsTargetsFromOthers(t *testing.T) {
	place := newSite(t, 0)
	place.submit(place.members[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	place.announceUntilTaken(ctx, announcement("t1", 1, false))
	// The others have heard of the target once an answer of the leader has reached them.
	time.Sleep(600 * time.Millisecond)
	for _, mem := range place.members {
		if mem.addr == place.members[0].node.Leader() {
			place.stop(mem)
			place.start(mem, nil, false)
			break
		}
	}
	assert.Equal(t, place.awaitTargets(ctx)[0].ID, celerylanding.TargetID("t1"))
}

// awaitTargets returns the targets that a leader tells a router of, once it knows any.
func (place *site) awaitTargets(ctx context.Context) []feed.Target {
	place.t.Helper()
	peers := rpc.NewPeers(ctx, rpc.Options{Local: "127.0.0.1", Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	defer peers.Close()
	for ctx.Err() == nil {
		for _, mem := range place.members {
			var reply feed.WatchReply
			err := peers.Call(ctx, mem.addr, "Peer.Watch", &feed.WatchArgs{Node: "r", Router: true}, &reply)
			if err == nil && len(reply.Targets) > 0 {
				return reply.Targets
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	place.t.Fatal("no leader knows a target")
	return nil
}

// withEngine returns a configuration whose service has one model.
func withEngine(version uint64) *routing.Configuration {
	with := configuration(version)
	with.Services[0].Engine = &routing.Engine{Slots: 1, Memory: 100, StoreLoads: 5, Models: []routing.Model{{ID: "m", Weights: 10,
		FromStore: time.Second, FromDisk: time.Second, FromMemory: time.Second}}}
	return with
}

// TestEnginesAreKnownAfterAllNodesRestart restarts all nodes; the engines are asked, and none sends a heartbeat.
func TestEnginesAreKnownAfterAllNodesRestart(t *testing.T) {
	place := newSite(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := place.members[0].node.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	place.announceUntilTaken(ctx, announcement("t1", 1, false))
	place.announceUntilTaken(ctx, announcement(leavingEngine, 1, false))
	for _, mem := range place.members {
		for known := 0; known < 2; time.Sleep(20 * time.Millisecond) {
			assert.NilError(t, ctx.Err(), "the engines are not saved")
			engines, err := control.LoadEngines(mem.folder)
			assert.NilError(t, err)
			known = len(engines)
		}
	}
	for _, mem := range place.members {
		place.stop(mem)
	}
	for _, mem := range place.members {
		place.start(mem, nil, false)
	}
	targets := place.awaitTargets(ctx)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].ID, celerylanding.TargetID("t1"))
	assert.Equal(t, targets[0].Address, "127.0.0.1:1")
}

func TestSavedEngines(t *testing.T) {
	folder := t.TempDir()
	engines, err := control.LoadEngines(folder)
	assert.NilError(t, err, "no file is no mistake")
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
		assert.Assert(t, errorx.IsOfType(err, control.ErrRecallDamaged), "torn after %d bytes: %v", size, err)
	}
}

// TestNewLeaderKeepsTargetsWithUnchangedHeartbeats changes the leader while a target goes on sending heartbeats that say nothing new, and
// another one has fallen silent.
func TestNewLeaderKeepsTargetsWithUnchangedHeartbeats(t *testing.T) {
	const silence = 1500 * time.Millisecond
	place := newSiteWithSilence(t, 0, silence)
	place.submit(place.members[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	place.announceUntilTaken(ctx, announcement("dead", 1, false))
	for sequence, begun := uint64(1), time.Now(); time.Since(begun) < 2*silence; sequence++ {
		place.announceUntilTaken(ctx, announcement("quiet", sequence, false))
		time.Sleep(silence / 5)
	}
	place.stopLeader()
	targets := place.awaitTargets(ctx)
	assert.Equal(t, len(targets), 2)
	for _, target := range targets {
		assert.Equal(t, target.Silent, target.ID == "dead", "%+v", target)
	}
}

// TestStoppingLeaderHandsOver gives orders, hands the lead over and expects the next ones well within the lease.
func TestStoppingLeaderHandsOver(t *testing.T) {
	place := newSite(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := place.members[0].node.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	for round := range 2 {
		place.announceIdleEngine(ctx, round)
		began := time.Now()
		place.awaitOrders(round + 1)
		if round == 1 {
			// The lease is 1 s, and the former leader still answers.
			assert.Assert(t, time.Since(began) < 900*time.Millisecond, "%s", time.Since(began))
			return
		}
		for _, mem := range place.members {
			if mem.addr == place.members[0].node.Leader() {
				began := time.Now()
				mem.node.StepDown(ctx)
				assert.Assert(t, mem.node.Leader() != mem.addr && mem.node.Leader() != "", "led by %q", mem.node.Leader())
				// An election timeout is 600 ms at least.
				assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%s", time.Since(began))
				break
			}
		}
	}
}

// TestFollowersBatchUnchangedHeartbeats sends a target's heartbeats to a follower only; the target must stay routable, and what is
// new must reach the leader at once.
func TestFollowersBatchUnchangedHeartbeats(t *testing.T) {
	const silence = time.Second
	place := newSiteWithSilence(t, 0, silence)
	place.submit(place.members[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	place.announceUntilTaken(ctx, announcement("t1", 1, false))
	var follower *member
	for _, mem := range place.members {
		if mem.addr != place.members[0].node.Leader() {
			follower = mem
		}
	}
	sequence := uint64(1)
	for begun := time.Now(); time.Since(begun) < 3*silence; time.Sleep(silence / 10) {
		sequence++
		assert.NilError(t, follower.node.Announce(ctx, announcement("t1", sequence, false)))
	}
	targets := place.awaitTargets(ctx)
	assert.Assert(t, !targets[0].Silent, "%+v", targets)
	changed := announcement("t1", sequence+1, false)
	changed.Announcement.Address = "127.0.0.1:2"
	assert.NilError(t, follower.node.Announce(ctx, changed))
	assert.Equal(t, place.awaitTargets(ctx)[0].Address, "127.0.0.1:2")
	leaving := announcement("t1", sequence+2, true)
	leaving.Announcement.Address = changed.Announcement.Address
	assert.NilError(t, follower.node.Announce(ctx, leaving))
	assert.Assert(t, place.awaitTargets(ctx)[0].Leaving, "leaving is never absorbed")
}
