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

// TestNoticeEndsAtTheEarliestTimeKnown guards against a notice that seems to end later, because a new leader repeats it, a heartbeat was late, or the
// target is listed without it.
func TestNoticeEndsAtTheEarliestTimeKnown(t *testing.T) {
	roster, start := dispatch.NewRoster(), time.Unix(1_700_000_000, 0)
	apply := func(after time.Duration, term, revision uint64, target feed.Target) time.Time {
		table := roster.Apply(start.Add(after), &feed.WatchReply{Leads: true, Term: term, Revision: revision, Targets: feed.NewTargetList([]feed.Target{target})})
		assert.Assert(t, table != nil)
		return table.NoticeEnd(target.Endpoint())
	}
	target := feed.Target{ID: "t", Incarnation: 1, Service: "s", Address: "10.0.0.1:80"}
	assert.Assert(t, apply(0, 1, 1, target).IsZero())
	target.Leaving, target.Notice = true, 2*time.Second
	assert.Equal(t, apply(0, 1, 2, target), start.Add(2*time.Second))
	assert.Equal(t, apply(time.Second, 2, 1, target), start.Add(2*time.Second), "repeated by a new leader")
	target.Notice = 500 * time.Millisecond
	assert.Equal(t, apply(time.Second, 2, 2, target), start.Add(1500*time.Millisecond), "the first heartbeat was late")
	target.Notice = 0
	assert.Equal(t, apply(time.Second, 2, 3, target), start.Add(1500*time.Millisecond))
	target.Incarnation = 2
	assert.Assert(t, apply(time.Second, 2, 4, target).IsZero(), "another incarnation")
}
