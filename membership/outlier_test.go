package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/membership"
)

// reportRounds reports the outcomes of each round from the routers in turn, five rounds a second, and returns the time from the
// first report to the ejection; it is false if the target was not ejected.
func reportRounds(detector *membership.OutlierDetector, routers []celerylanding.NodeID,
	rounds, answered, failed int) (ejectedAfter time.Duration, ejected bool) {
	begin := time.Unix(1000, 0)
	for round := range rounds {
		now := begin.Add(time.Duration(round) * 200 * time.Millisecond)
		if detector.Report(now, routers[round%len(routers)], "t", 1, answered, failed) {
			return now.Sub(begin), true
		}
	}
	return 0, false
}

// TestOutlierTargets guards against targets that fail most requests and stay in service, and against ejections for short or one-sided
// failures.
func TestOutlierTargets(t *testing.T) {
	two := []celerylanding.NodeID{"r1", "r2"}
	for _, tc := range []struct {
		name             string
		routers          []celerylanding.NodeID
		rounds           int
		answered, failed int
		ejected          bool
	}{
		{"fails all", two, 15, 0, 1, true},
		{"fails four of five", two, 15, 1, 4, true},
		{"fails half", two, 15, 3, 3, false},
		{"fails all for one router", two[:1], 15, 0, 3, false},
		{"fails once", two, 1, 0, 20, false},
		{"fails all for 400 ms", two, 3, 0, 20, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			after, ejected := reportRounds(membership.NewOutlierDetector(), tc.routers, tc.rounds, tc.answered, tc.failed)
			assert.Equal(t, ejected, tc.ejected)
			assert.Assert(t, after < 2*time.Second, "ejected after %s", after)
		})
	}
}

// TestEjectedTargetIsTriedAgain guards against an ejection that never ends, ends more than once, or affects the next incarnation.
func TestEjectedTargetIsTriedAgain(t *testing.T) {
	detector := membership.NewOutlierDetector()
	after, ejected := reportRounds(detector, []celerylanding.NodeID{"r1", "r2"}, 15, 0, 2)
	assert.Assert(t, ejected)
	now := time.Unix(1000, 0).Add(after)
	assert.Assert(t, detector.IsEjected(now, "t", 1))
	assert.Assert(t, !detector.IsEjected(now, "t", 2), "a later incarnation is not ejected")
	assert.Equal(t, len(detector.EndEjections(now.Add(time.Second))), 0)
	later := now.Add(5 * time.Second)
	assert.Assert(t, !detector.IsEjected(later, "t", 1))
	assert.DeepEqual(t, detector.EndEjections(later), []celerylanding.TargetID{"t"})
	assert.Equal(t, len(detector.EndEjections(later)), 0, "an ejection ends only once")
}
