package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/membership"
)

// tell reports outcomes of each round from the routers in turn, five rounds a second, and returns when the target was found ailing.
func tell(ailing *membership.Ailing, routers []celerylanding.NodeID, rounds, answered, failed int) (found time.Duration, ok bool) {
	begin := time.Unix(1000, 0)
	for round := range rounds {
		now := begin.Add(time.Duration(round) * 200 * time.Millisecond)
		if ailing.Report(now, routers[round%len(routers)], "t", 1, answered, failed) {
			return now.Sub(begin), true
		}
	}
	return 0, false
}

func TestAilingTargets(t *testing.T) {
	two := []celerylanding.NodeID{"r1", "r2"}
	for _, tc := range []struct {
		name             string
		routers          []celerylanding.NodeID
		rounds           int
		answered, failed int
		found            bool
	}{
		{"fails all", two, 15, 0, 1, true},
		{"fails four of five", two, 15, 1, 4, true},
		{"fails half", two, 15, 3, 3, false},
		{"fails all for one router", two[:1], 15, 0, 3, false},
		{"fails once", two, 1, 0, 20, false},
		{"breaks off all at once, and then nothing", two, 3, 0, 20, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at, found := tell(membership.NewAiling(), tc.routers, tc.rounds, tc.answered, tc.failed)
			assert.Equal(t, found, tc.found)
			assert.Assert(t, at < 2*time.Second, "found after %s", at)
		})
	}
}

func TestEjectedTargetIsTriedAgain(t *testing.T) {
	ailing := membership.NewAiling()
	at, found := tell(ailing, []celerylanding.NodeID{"r1", "r2"}, 15, 0, 2)
	assert.Assert(t, found)
	now := time.Unix(1000, 0).Add(at)
	assert.Assert(t, ailing.IsAiling(now, "t", 1))
	assert.Assert(t, !ailing.IsAiling(now, "t", 2), "a later incarnation starts well")
	assert.Equal(t, len(ailing.Recovered(now.Add(time.Second))), 0)
	later := now.Add(5 * time.Second)
	assert.Assert(t, !ailing.IsAiling(later, "t", 1))
	assert.DeepEqual(t, ailing.Recovered(later), []celerylanding.TargetID{"t"})
	assert.Equal(t, len(ailing.Recovered(later)), 0, "once")
}
