package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// TestNewerConfigurationOfARelayThatIsBehind guards against a router that ignores a newer configuration since the targets that come with it are older.
func TestNewerConfigurationOfARelayThatIsBehind(t *testing.T) {
	roster, now := dispatch.NewRoster(), time.Unix(1_700_000_000, 0)
	target := feed.Target{ID: "t", Incarnation: 1, Service: "s"}
	leaving := target
	leaving.Leaving = true
	roster.Apply(now, &feed.WatchReply{Leads: true, Term: 2, Revision: 10, Configuration: &routing.Configuration{Version: 1},
		Targets: feed.NewTargetList([]feed.Target{leaving})})
	table := roster.Apply(now, &feed.WatchReply{Relayed: true, Term: 2, Revision: 9, Configuration: &routing.Configuration{Version: 2},
		Targets: feed.NewTargetList([]feed.Target{target})})
	assert.Assert(t, table != nil)
	assert.Equal(t, table.Routes().Version(), uint64(2))
	assert.Equal(t, len(table.Targets("s")), 0, "older targets are ignored")
	term, revision, _ := roster.Position()
	assert.Equal(t, term, uint64(2))
	assert.Equal(t, revision, uint64(10))
	assert.Assert(t, roster.Apply(now, &feed.WatchReply{Relayed: true, Term: 1, Revision: 99, Configuration: &routing.Configuration{Version: 1}}) == nil)
}
