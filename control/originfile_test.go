package control_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
)

// TestOriginsOutlastARestartOfAllNodes guards against streams that callers can't take up (LOST) since their router and all control nodes were killed
// together, while both software versions serve. More restarts follow before the records have expired, each after another stream has begun.
func TestOriginsOutlastARestartOfAllNodes(t *testing.T) {
	cluster := newCluster(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*stepTimeout)
	defer cancel()
	cluster.submit(cluster.nodes[0], 1)
	cluster.announceUntilAccepted(ctx, versioned("t1", 1, "v1"))
	cluster.announceUntilAccepted(ctx, versioned("t2", 1, "v2"))
	peers := newTestPeers(t)
	report := func(origins ...feed.Origin) {
		leader, _ := cluster.leaderAndFollower()
		var reply feed.WatchReply
		assert.NilError(t, peers.Call(ctx, leader.addr, "Peer.Watch", &feed.WatchArgs{Node: "r1", Router: true, Origins: origins}, &reply))
		assert.Assert(t, reply.IsState())
		time.Sleep(600 * time.Millisecond)
	}
	report(feed.Origin{Call: 7, Software: "v1"}, feed.Origin{Call: 8, Software: "v2"})
	for round := range uint64(3) {
		for _, node := range cluster.nodes {
			cluster.stop(node)
		}
		for _, node := range cluster.nodes {
			cluster.start(node, nil, false)
		}
		for call, want := range map[uint64]celerylanding.SoftwareVersion{7: "v1", 8: "v2"} {
			found := cluster.findOrigin(ctx, peers, call)
			assert.Assert(t, found.IsKnown, "call %d", call)
			assert.Equal(t, found.Software, want)
		}
		assert.Assert(t, !cluster.findOrigin(ctx, peers, 9).IsKnown)
		report(feed.Origin{Call: 100 + round, Software: "v1"})
	}
}

// TestOriginLogIsReadUpToWhatIsTorn guards against records that are misread, or lost, after a kill in the middle of a write.
func TestOriginLogIsReadUpToWhatIsTorn(t *testing.T) {
	folder, now := t.TempDir(), time.Unix(1_700_000_000, 0)
	origins, err := control.LoadOrigins(folder)
	assert.NilError(t, err, "a missing file is not an error")
	assert.Equal(t, len(origins), 0)
	log := control.NewOriginLog(folder)
	for call := uint64(1); call <= 4; call++ {
		assert.NilError(t, log.Append(now.Add(time.Duration(call)*25*time.Second), []feed.Origin{{Call: call, Software: "v1"}}))
	}
	assert.NilError(t, log.Close())
	origins, err = control.LoadOrigins(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(origins), 4, "the file before holds the records of the last minute")
	for i, origin := range origins {
		assert.Equal(t, origin.Call, uint64(i+1))
	}
	path := filepath.Join(folder, "origins.log")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for length := range data {
		assert.NilError(t, os.WriteFile(path, data[:length], 0o600))
		origins, err = control.LoadOrigins(folder)
		assert.NilError(t, err)
		assert.Assert(t, len(origins) == 3, "%d records of %d bytes", len(origins), length)
		damaged := append([]byte(nil), data...)
		damaged[length] ^= 1
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		origins, _ = control.LoadOrigins(folder)
		assert.Assert(t, len(origins) == 3, "byte %d is damaged", length)
	}
}
