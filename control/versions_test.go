package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/control"
)

// versioned returns an announcement of an incarnation of a target with a software version.
func versioned(id string, incarnation celerylanding.Incarnation, software celerylanding.SoftwareVersion) *control.AnnounceArgs {
	args := announcement(id, 1, false)
	args.Announcement.Incarnation, args.Announcement.Software = incarnation, software
	return args
}

// inferOrigin asks for the origin of a stream that no router has reported until the leader has heard of all targets, and returns what it infers.
func (cluster *testCluster) inferOrigin(ctx context.Context) (software celerylanding.SoftwareVersion, isKnown bool) {
	cluster.t.Helper()
	peers := newTestPeers(cluster.t)
	for {
		reply := cluster.findOrigin(ctx, peers, 99)
		if reply.IsKnown || !reply.IsStarting {
			return reply.Software, reply.IsKnown
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestRestartedLeadersGuessNoOrigin guards against streams that go on at another software version (ORDER) since a leader that has just started takes the
// only version that it has heard of for the only one, and against streams that are refused where there has been one (LOST).
func TestRestartedLeadersGuessNoOrigin(t *testing.T) {
	leave := &control.AnnounceArgs{Leaving: "t1", Incarnation: 1}
	restartAll := func(cluster *testCluster) {
		for _, node := range cluster.nodes {
			cluster.stop(node)
		}
		for _, node := range cluster.nodes {
			cluster.start(node, nil, false)
		}
	}
	for name, tc := range map[string]struct {
		// targets are announced in turn before the change, and heard after it.
		targets []*control.AnnounceArgs
		change  func(cluster *testCluster)
		heard   *control.AnnounceArgs
		known   bool
	}{
		"all restart, one version":          {[]*control.AnnounceArgs{versioned("t2", 1, "v2")}, restartAll, versioned("t2", 1, "v2"), true},
		"all restart, one has left":         {[]*control.AnnounceArgs{versioned("t1", 1, "v1"), versioned("t2", 1, "v2"), leave}, restartAll, versioned("t2", 1, "v2"), false},
		"all restart, one is not heard yet": {[]*control.AnnounceArgs{versioned("t1", 1, "v1"), versioned("t2", 1, "v2")}, restartAll, versioned("t2", 1, "v2"), false},
		"all restart, replaced in place":    {[]*control.AnnounceArgs{versioned("t1", 1, "v1"), versioned("t1", 2, "v2")}, restartAll, versioned("t1", 2, "v2"), false},
		"all restart, nothing is heard":     {[]*control.AnnounceArgs{versioned("t2", 1, "v2")}, restartAll, nil, true},
		"a follower takes over, replaced in place": {[]*control.AnnounceArgs{versioned("t1", 1, "v1"), versioned("t1", 2, "v2")}, func(cluster *testCluster) {
			// The followers have seen only the second version.
			leader, _ := cluster.leaderAndFollower()
			for _, node := range cluster.nodes {
				if node != leader {
					cluster.stop(node)
					cluster.start(node, nil, false)
					time.Sleep(time.Second)
				}
			}
			cluster.stop(leader)
		}, versioned("t1", 2, "v2"), false},
		"a follower takes over, one version": {[]*control.AnnounceArgs{versioned("t2", 1, "v2")}, (*testCluster).stopLeader, versioned("t2", 1, "v2"), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
			defer cancel()
			cluster.submit(cluster.nodes[0], 1)
			for _, target := range tc.targets {
				cluster.announceUntilAccepted(ctx, target)
			}
			// The log has the versions within a few round trips.
			time.Sleep(300 * time.Millisecond)
			tc.change(cluster)
			if tc.heard != nil {
				cluster.announceUntilAccepted(ctx, tc.heard)
			}
			software, isKnown := cluster.inferOrigin(ctx)
			assert.Equal(t, isKnown, tc.known)
			if tc.known {
				assert.Equal(t, software, celerylanding.SoftwareVersion("v2"))
			}
		})
	}
}

// TestLeadersOfEarlierBuildsLeaveNoHistory guards against a guess after an upgrade: the leader before this one has run another version without a record.
func TestLeadersOfEarlierBuildsLeaveNoHistory(t *testing.T) {
	for _, build := range builds {
		t.Run(build, func(t *testing.T) {
			cluster, _ := startFromBuild(t, build)
			ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
			defer cancel()
			// The data folder knows an engine of the same version.
			cluster.announceUntilAccepted(ctx, versioned("t3", 1, ""))
			_, isKnown := cluster.inferOrigin(ctx)
			assert.Assert(t, !isKnown)
		})
	}
}
