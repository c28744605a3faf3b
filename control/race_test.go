package control_test

import (
	"context"
	"testing"
	"time"
)

// TestAbandonedAnnouncementsShareNothing guards, under the race detector, against calls that end with their contexts while the control goroutine works for
// them.
func TestAbandonedAnnouncementsShareNothing(t *testing.T) {
	cluster := newCluster(t, 0)
	cluster.submit(cluster.nodes[0], 1)
	for sequence := range uint64(500) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Microsecond)
		_ = cluster.nodes[0].ctl.Announce(ctx, announcement("t1", sequence, false))
		cancel()
	}
}
