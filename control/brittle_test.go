package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
)

// TestRelaySumsTheRejectionsOfBrittleTargets guards against brittle targets that crash on large sites, whose routers report to relays.
func TestRelaySumsTheRejectionsOfBrittleTargets(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	reports := control.NewRelayReports()
	report := feed.BrittleReport{Target: "t", Incarnation: 1, Service: "s", IsAnswered: true, IsBrittle: true, Tolerance: 4, Wanted: 3, Sent: 2, Rejected: 1}
	reports.Add(now, &feed.WatchArgs{Node: "r1", Brittle: []feed.BrittleReport{report}})
	older := feed.BrittleReport{Target: "t", Incarnation: 1, Service: "s", IsAnswered: true, Age: time.Second, Wanted: 1, Sent: 1, Rejected: 1}
	reports.Add(now, &feed.WatchArgs{Node: "r2", Brittle: []feed.BrittleReport{older}})
	reports.Collect(now)
	// The leader has not acknowledged the report.
	now = now.Add(100 * time.Millisecond)
	reports.Add(now, &feed.WatchArgs{Node: "r1", Brittle: []feed.BrittleReport{{Target: "t", Incarnation: 1, Service: "s", Rejected: 2}}})
	list := reports.Collect(now).Brittle
	assert.Equal(t, len(list), 1)
	assert.DeepEqual(t, list[0], feed.BrittleReport{Target: "t", Incarnation: 1, Service: "s", IsAnswered: true, Age: 100 * time.Millisecond, IsBrittle: true,
		Tolerance: 4, Wanted: 4, Sent: 3, Rejected: 4})
	reports.Acknowledge()
	assert.Equal(t, len(reports.Collect(now).Brittle), 0)
}
