package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/routing"
)

const (
	// overloadEngines and overloadModels are the size of the large deployment.
	overloadEngines = 256
	overloadModels  = 917
	// overloadRouters ask for loads without a pause for overloadTime.
	overloadRouters = 48
	overloadTime    = 4 * time.Second
	// maxAckTime is the time in which operators expect an acknowledgement, also while the leader is overloaded.
	maxAckTime = 2 * time.Second
)

func largeConfiguration(version uint64) *routing.Configuration {
	config := configuration(version)
	engine := &routing.Engine{Slots: 16, Memory: 83, AdapterSlots: 8, StoreLoadsPerSecond: 120}
	for i := range overloadModels {
		engine.Models = append(engine.Models, routing.Model{ID: celerylanding.ModelID(fmt.Sprintf("m%d", i)), Weights: 34,
			StoreLoadTime: 10 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second})
	}
	config.Services[0].Engine = engine
	return config
}

// announceLargeFleet announces engines with two models in memory and twelve on disk each.
func (cluster *testCluster) announceLargeFleet(ctx context.Context) {
	cluster.t.Helper()
	for i := range overloadEngines {
		args := announcement(fmt.Sprintf("t%d", i), 1, false)
		for copied := range 12 {
			id := celerylanding.ModelID(fmt.Sprintf("m%d", (i*12+copied)%overloadModels))
			if copied < 2 {
				args.Announcement.Inventory = append(args.Announcement.Inventory, celerylanding.LoadedModel{Model: id})
			}
			args.Announcement.Cached = append(args.Announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierDisk})
		}
		cluster.announceUntilAccepted(ctx, args)
	}
}

// TestLeaderKeepsItsRoleUnderWakes guards against a leader that falls over when routers ask for more loads than it can plan: it must keep its
// role, acknowledge configurations and accept heartbeats while the requests come, and have no backlog once they have stopped.
func TestLeaderKeepsItsRoleUnderWakes(t *testing.T) {
	cluster := newClusterWithSilence(t, 0, time.Minute)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := cluster.nodes[0].ctl.Submit(ctx, largeConfiguration(1))
	assert.NilError(t, err)
	cluster.announceLargeFleet(ctx)
	leader := cluster.nodes[0].ctl.Leader()

	floodCtx, stop := context.WithTimeout(ctx, overloadTime)
	defer stop()
	var answered atomic.Int64
	ended := make(chan struct{}, overloadRouters)
	for i := range overloadRouters {
		go func() {
			defer func() { ended <- struct{}{} }()
			flood(floodCtx, leader, uint64(i), &answered)
		}()
	}
	for version := uint64(2); floodCtx.Err() == nil; version++ {
		began := time.Now()
		_, err := cluster.nodes[version%3].ctl.Submit(ctx, largeConfiguration(version))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) <= maxAckTime, "acknowledged after %v", time.Since(began))
		assert.NilError(t, cluster.nodes[0].ctl.Announce(ctx, announcement("t0", version, false)))
		assert.Equal(t, cluster.nodes[0].ctl.Leader(), leader, "the leader has lost its role")
		time.Sleep(100 * time.Millisecond)
	}
	for range overloadRouters {
		<-ended
	}
	t.Logf("%d wakes answered", answered.Load())
	began := time.Now()
	assert.NilError(t, cluster.nodes[1].ctl.Announce(ctx, announcement("t1", 1000, false)))
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "heartbeat accepted after %v", time.Since(began))
	assert.Equal(t, cluster.nodes[1].ctl.Leader(), leader)
}

// flood asks the leader for loads of random models, eight at a time and without a pause, until the context ends.
func flood(ctx context.Context, leader string, seed uint64, answered *atomic.Int64) {
	peers := rpc.NewPeers(ctx, rpc.Options{LocalIP: "127.0.0.1", Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	defer peers.Close()
	const parallel = 8
	done := make(chan struct{}, parallel)
	for i := range parallel {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		go func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				callCtx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
				var reply feed.WakeReply
				args := &feed.WakeArgs{Node: celerylanding.NodeID(fmt.Sprintf("r%d", seed)), Service: "s", Waiting: 1, MaxWait: 8 * time.Second,
					Unit: feed.Unit{Model: celerylanding.ModelID(fmt.Sprintf("m%d", random.IntN(overloadModels)))}}
				if peers.Call(callCtx, leader, "Peer.Wake", args, &reply) == nil {
					answered.Add(1)
				}
				cancel()
			}
		}()
	}
	for range parallel {
		<-done
	}
}
