package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
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

// TestOrphansAreAskedForUntilTheyAreListed guards against requests to a target that has left while no leader could list it (DRAIN), and against questions
// without end.
func TestOrphansAreAskedForUntilTheyAreListed(t *testing.T) {
	roster, now := dispatch.NewRoster(), time.Unix(1_700_000_000, 0)
	list := func(ids ...celerylanding.TargetID) *feed.TargetList {
		var targets []feed.Target
		for _, id := range ids {
			targets = append(targets, feed.Target{ID: id, Incarnation: 5, Service: "s"})
		}
		return feed.NewTargetList(targets)
	}
	roster.Apply(now, &feed.WatchReply{Leads: true, Term: 1, Revision: 3, Targets: list("left", "listed", "lost", "restarted")})
	assert.Equal(t, len(roster.Unlisted(now)), 0)
	roster.Apply(now, &feed.WatchReply{Leads: true, Term: 2, Revision: 1})
	assert.Equal(t, len(roster.Unlisted(now)), 4)
	assert.Equal(t, len(roster.Unlisted(now.Add(100*time.Millisecond))), 0, "asked a moment ago")
	table := roster.Apply(now, &feed.WatchReply{Leads: true, Term: 2, Revision: 2, Targets: list("listed"),
		Departed: []feed.TargetIncarnation{{Target: "left", Incarnation: 5}, {Target: "restarted", Incarnation: 4}, {Target: "unknown", Incarnation: 1}}})
	assert.Equal(t, len(table.Targets("s")), 3, "an earlier incarnation has left, not this one")
	now = now.Add(time.Second)
	assert.Equal(t, len(roster.Unlisted(now)), 2)
	table = roster.Apply(now, &feed.WatchReply{Relayed: true, Term: 2, Revision: 1, Departed: []feed.TargetIncarnation{{Target: "restarted", Incarnation: 6}}})
	assert.Equal(t, len(table.Targets("s")), 2, "a relay that is behind knows of departures, too")
	now = now.Add(6 * time.Second)
	table = roster.Apply(now, &feed.WatchReply{Leads: true, Term: 2, Revision: 3, Targets: list("left")})
	assert.Equal(t, len(table.Targets("s")), 1, "leaving is final, and orphans are removed after a time")
	assert.Equal(t, len(roster.Unlisted(now)), 0)
}

// TestRosterIsRenewedAfterALongSilence guards against a target that a router uses for ever: it has left while the router stood still, and the leader, which
// is the same, lists it no more.
func TestRosterIsRenewedAfterALongSilence(t *testing.T) {
	roster, now := dispatch.NewRoster(), time.Unix(1_700_000_000, 0)
	targets := []feed.Target{{ID: "left", Incarnation: 1, Service: "s"}, {ID: "stays", Incarnation: 1, Service: "s"}}
	roster.Expire(now)
	roster.Apply(now, &feed.WatchReply{Leads: true, Term: 1, Revision: 7, Targets: feed.NewTargetList(targets)})
	roster.Confirm(now)
	roster.Expire(now.Add(30 * time.Second))
	_, revision, _ := roster.Position()
	assert.Equal(t, revision, uint64(7))
	// The reply to a request from before waits while the router stands still.
	asOf := now.Add(time.Second)
	now = now.Add(3 * time.Minute)
	roster.Apply(now, &feed.WatchReply{Leads: true, Term: 1, Revision: 8})
	roster.Confirm(asOf)
	roster.Expire(now)
	term, revision, _ := roster.Position()
	assert.Equal(t, term, uint64(1))
	assert.Equal(t, revision, uint64(0), "the whole list is wanted")
	roster.Apply(now, &feed.WatchReply{Leads: true, Term: 1, Revision: 9, Targets: feed.NewTargetList(targets[1:])})
	assert.DeepEqual(t, roster.Unlisted(now), []feed.TargetIncarnation{{Target: "left", Incarnation: 1}})
	table := roster.Apply(now, &feed.WatchReply{Leads: true, Term: 1, Revision: 9, Departed: []feed.TargetIncarnation{{Target: "left", Incarnation: 1}}})
	assert.Equal(t, len(table.Targets("s")), 1)
}
