package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/boottime"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/soak/netfault"
)

// ackTime is the time in which operators and targets need an acknowledgement while the control nodes are calm.
const ackTime = 4 * time.Second

// newLinkedCluster starts nodes whose links to each other have a delay and can be cut.
func newLinkedCluster(t *testing.T, delay time.Duration) (*testCluster, *netfault.Network) {
	links := netfault.New(1, delay)
	cluster := &testCluster{t: t, engines: &fakeEngines{}, clock: boottime.Now, silence: 5 * time.Second, dialFrom: links.DialFrom}
	return startCluster(cluster, 0), links
}

// TestLogKeepsUpOverSlowLinks guards against log messages that queue up behind one another while a round trip takes longer than the time between two
// heartbeats.
func TestLogKeepsUpOverSlowLinks(t *testing.T) {
	cluster, _ := newLinkedCluster(t, 80*time.Millisecond)
	cluster.submit(cluster.nodes[0], 1)
	for version := uint64(2); version < 8; version++ {
		time.Sleep(time.Second)
		began := time.Now()
		cluster.submit(cluster.nodes[version%3], version)
		assert.Assert(t, time.Since(began) < ackTime, "version %d was acknowledged after %v", version, time.Since(began))
	}
}

// TestDepartureOutlastsTheLeader guards against a target that is used again after its departure was acknowledged by a leader that had just been cut off.
func TestDepartureOutlastsTheLeader(t *testing.T) {
	cluster, links := newLinkedCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	// Followers learn of the target with their next reply.
	time.Sleep(600 * time.Millisecond)
	var leader *testNode
	var others []*testNode
	for _, node := range cluster.nodes {
		if node.addr == cluster.nodes[0].ctl.Leader() {
			leader = node
		} else {
			others = append(others, node)
		}
	}
	links.Cut([]string{leader.host()}, []string{others[0].host(), others[1].host()})
	args := &control.AnnounceArgs{Leaving: "t1", Incarnation: announcement("t1", 1, false).Announcement.Incarnation}
	callCtx, cancelCall := context.WithTimeout(ctx, answerTime)
	defer cancelCall()
	if leader.ctl.Announce(callCtx, args) != nil {
		return
	}
	cluster.nodes = others
	for leading := leader.addr; leading == leader.addr || leading == ""; leading = others[0].ctl.Leader() {
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
	targets := cluster.awaitTargets(ctx)
	assert.Equal(t, targets[0].ID, celerylanding.TargetID("t1"))
	assert.Assert(t, targets[0].Leaving, "the departure was acknowledged")
}

// TestNoticeReachesRouters guards against routers that do not know when a leaving target is taken away: they watch the leader or a relay, and the target
// may have said that it leaves before it named a time.
func TestNoticeReachesRouters(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, true))
	peers := newTestPeers(t)
	cluster.awaitRelays(ctx, peers, "t1")
	args := announcement("t1", 2, true)
	args.Announcement.Notice = 2 * time.Second
	cluster.announceUntilAccepted(ctx, args)
	for {
		replies := cluster.awaitRelays(ctx, peers, "t1")
		known := 0
		for _, reply := range replies {
			if reply.Targets.All()[0].Notice == 2*time.Second {
				known++
			}
		}
		if known == len(replies) {
			return
		}
		assert.NilError(t, ctx.Err(), "known by %d of %d nodes", known, len(replies))
	}
}

// TestDeparturesOutlastSnapshots guards against a target that is used again by nodes that know its departure from a snapshot only.
func TestDeparturesOutlastSnapshots(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	cluster.announceUntilAccepted(ctx, announcement("t1", 2, true))
	for version := uint64(2); version < 70; version++ {
		cluster.submit(cluster.nodes[version%3], version)
	}
	for _, node := range cluster.nodes {
		cluster.stop(node)
	}
	for _, node := range cluster.nodes {
		cluster.start(node, nil, false)
	}
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	assert.Assert(t, cluster.awaitTargets(ctx)[0].Leaving, "the departure was acknowledged")
}

// TestSearchesAreAnsweredAtOnce guards against control nodes that hold a search for the leader until there is news, for longer than routers wait.
func TestSearchesAreAnsweredAtOnce(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	peers := newTestPeers(t)
	state := cluster.awaitRelays(ctx, peers, "t1")[0]
	for _, node := range cluster.nodes {
		// A node answers the first call on a connection later.
		for range 2 {
			began := time.Now()
			var reply feed.WatchReply
			args := feed.WatchArgs{Node: "r", IsSearch: true, Term: state.Term, Revision: state.Revision, Version: 1}
			assert.NilError(t, peers.Call(ctx, node.addr, "Peer.Watch", &args, &reply))
			assert.Assert(t, reply.IsState() && reply.Targets == nil && reply.Configuration == nil)
			assert.Assert(t, time.Since(began) < 150*time.Millisecond, "%v", time.Since(began))
		}
	}
}

// TestDepartureThatCantBeRecordedIsNotAcknowledged guards against a target that is used after the acknowledgement of a departure that names no incarnation.
func TestDepartureThatCantBeRecordedIsNotAcknowledged(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	for _, node := range cluster.nodes {
		assert.Assert(t, node.ctl.Announce(ctx, &control.AnnounceArgs{Leaving: "unknown"}) != nil)
	}
	cluster.announceUntilAccepted(ctx, announcement("t1", 1, false))
	cluster.announceUntilAccepted(ctx, &control.AnnounceArgs{Leaving: "t1"})
	assert.Assert(t, cluster.awaitTargets(ctx)[0].Leaving)
}

// TestLeaseHoldsOverSlowLinks guards against a leader that keeps its role and publishes nothing, since answers to its heartbeats wait for one another.
func TestLeaseHoldsOverSlowLinks(t *testing.T) {
	cluster, _ := newLinkedCluster(t, 120*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	time.Sleep(2 * time.Second)
	peers := newTestPeers(t)
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		leader := cluster.nodes[0].ctl.Leader()
		var reply feed.WatchReply
		assert.NilError(t, peers.Call(ctx, leader, "Peer.Watch", &feed.WatchArgs{Node: "r", IsSearch: true}, &reply))
		assert.Assert(t, reply.Leads, "the leader has no lease")
	}
}
