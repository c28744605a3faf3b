package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// watchAsRouter sends one watch request of a new router to a node.
func watchAsRouter(ctx context.Context, peers *rpc.Peers, node *testNode, id celerylanding.NodeID) (feed.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var reply feed.WatchReply
	err := peers.Call(ctx, node.addr, "Peer.Watch", &feed.WatchArgs{Node: id, Router: true}, &reply)
	return reply, err
}

func newTestPeers(t *testing.T) *rpc.Peers {
	peers := rpc.NewPeers(t.Context(), rpc.Options{LocalIP: "127.0.0.1", Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	t.Cleanup(peers.Close)
	return peers
}

// awaitRelays watches all nodes until each either leads or relays the state with the target, and returns the last replies.
func (cluster *testCluster) awaitRelays(ctx context.Context, peers *rpc.Peers, want celerylanding.TargetID) []feed.WatchReply {
	cluster.t.Helper()
	for ctx.Err() == nil {
		var replies []feed.WatchReply
		for _, node := range cluster.nodes {
			reply, err := watchAsRouter(ctx, peers, node, celerylanding.NodeID("r-"+node.addr))
			if targets := reply.Targets.All(); err == nil && reply.IsState() && len(targets) == 1 && targets[0].ID == want {
				replies = append(replies, reply)
			}
		}
		if len(replies) == len(cluster.nodes) {
			return replies
		}
		time.Sleep(20 * time.Millisecond)
	}
	cluster.t.Fatal("not all nodes publish the target")
	return nil
}

// TestFollowersRelayTheLeadersState guards against routers that all depend on the leader's processor: followers must answer with the
// leader's term, configuration and targets, and the leader must know the number of all routers.
func TestFollowersRelayTheLeadersState(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	peers := newTestPeers(t)
	replies := cluster.awaitRelays(ctx, peers, "t1")
	leaders := 0
	for _, reply := range replies {
		assert.Equal(t, reply.Configuration.Version, uint64(1))
		assert.Equal(t, reply.Version, uint64(1), "the newest version is told, as of a time")
		assert.Assert(t, reply.Leads == (reply.Age == 0), "a relay's word has an age")
		assert.Equal(t, reply.Term, replies[0].Term)
		assert.Equal(t, reply.Leader, replies[0].Leader)
		assert.Assert(t, reply.Leads != reply.Relayed)
		if reply.Leads {
			leaders++
		}
	}
	assert.Equal(t, leaders, 1)
	for routers := 0; routers < len(cluster.nodes); time.Sleep(20 * time.Millisecond) {
		assert.NilError(t, ctx.Err(), "the leader counts %d routers", routers)
		for _, reply := range cluster.awaitRelays(ctx, peers, "t1") {
			if reply.Leads {
				routers = reply.Routers
				assert.Assert(t, len(reply.Relays) <= len(cluster.nodes))
			}
		}
	}
}

// TestLeaderTellsNoVersionItMayLack guards against word of an old version from a leader whose log has committed entries that it has not applied, as
// after a failed write.
func TestLeaderTellsNoVersionItMayLack(t *testing.T) {
	assert.Equal(t, control.ProvenVersion(7, 8, 3), uint64(0))
	assert.Equal(t, control.ProvenVersion(8, 8, 3), uint64(3))
	assert.Equal(t, control.ProvenVersion(9, 8, 3), uint64(3), "a restored snapshot is ahead of the commit index that the log knows")
}

// TestRelayWithoutLeaderStops guards against routers that hold an old state for good: a follower that has lost the leader must not go on
// relaying.
func TestRelayWithoutLeaderStops(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	peers := newTestPeers(t)
	cluster.awaitRelays(ctx, peers, "t1")
	leader := cluster.nodes[0].ctl.Leader()
	var last *testNode
	for _, node := range cluster.nodes {
		if node.addr != leader && last == nil {
			last = node
			continue
		}
		cluster.stop(node)
	}
	time.Sleep(1500 * time.Millisecond)
	reply, err := watchAsRouter(ctx, peers, last, "r")
	assert.NilError(t, err)
	assert.Assert(t, !reply.IsState())
}

func usage(arrivals, inFlight int) []feed.Usage {
	return []feed.Usage{{Unit: feed.Unit{Model: "m"}, Arrivals: arrivals, InFlight: inFlight, Urgency: float64(arrivals)}}
}

// TestRelaySumsTheUsageOfItsRouters guards against demand that is lost or counted twice on its way through a relay.
func TestRelaySumsTheUsageOfItsRouters(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	collect := func() feed.WatchArgs {
		args := reports.Collect(now)
		reports.Acknowledge()
		return args
	}
	reports.Add(now, &feed.WatchArgs{Node: "r1", Usage: usage(2, 3)})
	reports.Add(now, &feed.WatchArgs{Node: "r2", Usage: usage(1, 1)})
	args := collect()
	assert.Equal(t, args.Routers, 2)
	assert.DeepEqual(t, args.Usage, []feed.Usage{{Unit: feed.Unit{Model: "m"}, Arrivals: 3, InFlight: 4, Urgency: 3}})
	assert.Equal(t, len(collect().Usage), 0)
	reports.Add(now, &feed.WatchArgs{Node: "r1", Usage: usage(0, 1)})
	assert.DeepEqual(t, collect().Usage, []feed.Usage{{Unit: feed.Unit{Model: "m"}, InFlight: 2}})

	// A router that has stopped reporting runs nothing any more.
	now = now.Add(2 * time.Second)
	reports.Add(now, &feed.WatchArgs{Node: "r2", Usage: usage(0, 1)})
	now = now.Add(2 * time.Second)
	args = collect()
	assert.Equal(t, args.Routers, 1)
	assert.DeepEqual(t, args.Usage, []feed.Usage{{Unit: feed.Unit{Model: "m"}, InFlight: 1}})

	// A new leader knows of no running requests.
	reports.RepeatAll()
	assert.DeepEqual(t, collect().Usage, []feed.Usage{{Unit: feed.Unit{Model: "m"}, InFlight: 1}})
}

// TestRelayRepeatsWhatTheLeaderHasNotAnswered guards against reports that are lost with a relay's request to the leader: arrivals, crashes,
// and the last change of the running requests, without which the leader would protect a model from eviction for good.
func TestRelayRepeatsWhatTheLeaderHasNotAnswered(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	reports.Add(now, &feed.WatchArgs{Node: "r1", Usage: usage(1, 1)})
	reports.Collect(now)
	reports.Acknowledge()
	reports.Add(now, &feed.WatchArgs{Node: "r1", Usage: usage(1, 0), Crashes: []feed.Crash{{Fingerprint: 1, Target: "t", Incarnation: 1}},
		Outcomes: []feed.Outcome{{Target: "t", Incarnation: 1, Failed: 2}}})
	reports.Collect(now)
	reports.Add(now, &feed.WatchArgs{Node: "r2", Crashes: []feed.Crash{{Fingerprint: 2, Target: "t", Incarnation: 1}}})
	args := reports.Collect(now)
	assert.DeepEqual(t, args.Usage, []feed.Usage{{Unit: feed.Unit{Model: "m"}, Arrivals: 1, Urgency: 1}})
	assert.Equal(t, len(args.Crashes), 2)
	assert.Equal(t, len(args.Outcomes), 1)
	assert.Equal(t, args.Outcomes[0].Node, celerylanding.NodeID("r1"))
	reports.Acknowledge()
	args = reports.Collect(now)
	assert.Equal(t, len(args.Usage)+len(args.Crashes)+len(args.Outcomes), 0)
}

// TestChangedCopiesArePublished guards against a next leader that looks for a copy where there is none: an engine that replaces one copy by
// another has as many as before.
func TestChangedCopiesArePublished(t *testing.T) {
	before := feed.Target{ID: "t", OnDisk: []celerylanding.ModelID{"a"}, InMemory: []celerylanding.ModelID{"b"}}
	same, disk, memory, moved := before, before, before, before
	disk.OnDisk = []celerylanding.ModelID{"c"}
	memory.InMemory = []celerylanding.ModelID{"c"}
	moved.Domain = "d"
	assert.Assert(t, control.IsSameView(&before, &same))
	for _, changed := range []feed.Target{disk, memory, moved} {
		assert.Assert(t, !control.IsSameView(&before, &changed))
	}
}

// TestRelaySumsTheDemandForLimitedTargets guards against limits that are exceeded on large sites, whose routers report to relays: demand must
// not be lost with a reply, and the latest answer of a target counts.
func TestRelaySumsTheDemandForLimitedTargets(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	report := feed.LimitReport{Target: "t", Incarnation: 1, IsAnswered: true, HasLimit: true, Limit: 2, Wanted: 3, Sent: 1}
	reports.Add(now, &feed.WatchArgs{Node: "r1", Limits: []feed.LimitReport{report}})
	ended := feed.LimitReport{Target: "t", Incarnation: 1, IsAnswered: true, Age: time.Second, Wanted: 2, Sent: 2}
	reports.Add(now, &feed.WatchArgs{Node: "r2", Limits: []feed.LimitReport{ended, {Target: "u", Incarnation: 1, Wanted: 1}}})
	reports.Collect(now)
	now = now.Add(100 * time.Millisecond)
	reports.Add(now, &feed.WatchArgs{Node: "r1", Limits: []feed.LimitReport{{Target: "t", Incarnation: 1, Wanted: 1, Sent: 1}}})
	limits := reports.Collect(now).Limits
	assert.Equal(t, len(limits), 2)
	for _, limit := range limits {
		if limit.Target == "t" {
			assert.DeepEqual(t, limit, feed.LimitReport{Target: "t", Incarnation: 1, IsAnswered: true, Age: 100 * time.Millisecond, HasLimit: true,
				Limit: 2, Wanted: 6, Sent: 4})
		}
	}
	reports.Acknowledge()
	assert.Equal(t, len(reports.Collect(now).Limits), 0)
}

// TestRelayWithAnOldConfigurationIsNotFresh guards against routers that take a configuration for the newest since the relay's other state is new.
func TestRelayWithAnOldConfigurationIsNotFresh(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	relayed := &control.RelayedState{}
	assert.Assert(t, relayed.Age(began) > time.Hour, "nothing is known")
	relayed.Learn(began, &feed.WatchReply{Leads: true, Version: 5}, 5)
	assert.Equal(t, relayed.Age(began.Add(time.Second)), time.Second)
	relayed.Learn(began.Add(time.Second), &feed.WatchReply{Leads: true, Version: 6}, 5)
	assert.Equal(t, relayed.Age(began.Add(2*time.Second)), 2*time.Second)
	relayed.Learn(began.Add(3*time.Second), &feed.WatchReply{Leads: true, Version: 6}, 6)
	assert.Equal(t, relayed.Age(began.Add(4*time.Second)), time.Second)
}
