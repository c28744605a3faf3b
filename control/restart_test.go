package control_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAllNodesRestartAndTheLeaderLostItsDisk guards against a restart of all nodes that ends without a leader or without the acknowledged
// configuration because the node that led, and whose restart the others would follow without an election, came back with an empty disk.
func TestAllNodesRestartAndTheLeaderLostItsDisk(t *testing.T) {
	cluster := newCluster(t, 1)
	cluster.submit(cluster.nodes[0], 7)
	leader := cluster.nodes[0].ctl.Leader()
	for _, node := range cluster.nodes {
		cluster.stop(node)
	}
	for _, node := range cluster.nodes {
		if node.addr == leader {
			node.folder = filepath.Join(t.TempDir(), "empty")
		}
		cluster.start(node, nil, false)
	}
	for _, node := range cluster.nodes {
		assert.Equal(t, cluster.read(node), "version 7")
	}
}
