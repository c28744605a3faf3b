package celerylanding_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding"
)

// TestFetchingIsNoHeartbeat guards against a load from the store that other nodes never learn of, since the announcement of it was taken for
// a repeated one.
func TestFetchingIsNoHeartbeat(t *testing.T) {
	before := celerylanding.Announcement{Target: "t", Incarnation: 1, Sequence: 1}
	after := before
	after.Sequence = 2
	assert.Assert(t, after.DiffersOnlyInHeartbeat(before))
	after.Fetching = "m"
	assert.Assert(t, !after.DiffersOnlyInHeartbeat(before))
}
