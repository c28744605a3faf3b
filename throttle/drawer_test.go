package throttle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// drawer asks an allocator for as much as it gets, and holds it.
type drawer struct {
	process, sequence, term uint64
	held                    float64
}

func (drawer *drawer) draw(now time.Time, allocator *throttle.Allocator) float64 {
	drawer.sequence++
	reply := allocator.Grant(now, drawer.args(1e6))
	if len(reply.Grants) == 0 {
		return 0
	}
	drawer.term = reply.Term
	drawer.held += reply.Grants[0].Units
	return reply.Grants[0].Units
}

func (drawer *drawer) args(needed float64) *feed.QuotaArgs {
	return &feed.QuotaArgs{Node: "r", Process: drawer.process, Sequence: drawer.sequence, Term: drawer.term,
		Requests: []feed.QuotaRequest{{Workspace: "w", Wanted: needed, Needed: needed, Demand: needed, Held: drawer.held}}}
}

// drawFor draws every 50 ms, as long as the units last, and returns their number.
func (drawer *drawer) drawFor(now time.Time, allocator *throttle.Allocator, length time.Duration) float64 {
	sum := 0.0
	for end := now.Add(length); now.Before(end); now = now.Add(hoardStep) {
		sum += drawer.draw(now, allocator)
	}
	return sum
}

// newDrawn returns the allocator of a term for a workspace with a rate and a burst of 1000 units and an excess of 1000 in 8 s, so that 1600 units can be
// available at once, and 200 while grants of an earlier leader may be in use.
func newDrawn(term uint64) *throttle.Allocator {
	allocator := throttle.NewAllocator(start, term, throttle.QuotaBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 100}, 1)
	allocator.SetWorkspaces(start, []routing.Workspace{{ID: "w", Quota: routing.Quota{Rate: 1000, Burst: 1000}}})
	return allocator
}

// TestNewLeaderGrantsLittleAtFirst guards against a new leader that grants what its predecessor has granted and routers still hold.
func TestNewLeaderGrantsLittleAtFirst(t *testing.T) {
	allocator, router := newDrawn(2), &drawer{process: 1}
	early := router.drawFor(start, allocator, 2500*time.Millisecond)
	assert.Assert(t, early > 150 && early < 200.1, "%.1f units are held after 2.5 s", early)
	now := start.Add(2600 * time.Millisecond)
	held := early + router.drawFor(now, allocator, 2500*time.Millisecond)
	assert.Assert(t, held > 1500 && held < 1600.1, "%.1f units are held after 5 s", held)
}

// TestLateReportFreesNoUnits guards against a report that was on its way for long, and makes the leader forget what it has granted since.
func TestLateReportFreesNoUnits(t *testing.T) {
	allocator, router := newDrawn(1), &drawer{process: 1}
	late := router.args(0)
	router.sequence++
	now := start.Add(4 * time.Second)
	held := router.drawFor(now, allocator, 2*time.Second)
	assert.Assert(t, held > 1500, "%.1f units are held", held)
	late.Term = 1
	now = now.Add(2 * time.Second)
	allocator.Grant(now, late)
	other := (&drawer{process: 2}).drawFor(now.Add(time.Second), allocator, time.Second)
	assert.Assert(t, other < 100, "another router gets %.1f units beyond", other)
}

// TestRestartedRouterFreesNoUnits guards against a leader that takes what a new process doesn't hold for unused, although a process that stands still may
// use it later.
func TestRestartedRouterFreesNoUnits(t *testing.T) {
	allocator, router := newDrawn(1), &drawer{process: 1}
	now := start.Add(4 * time.Second)
	held := router.drawFor(now, allocator, 2*time.Second)
	assert.Assert(t, held > 1500, "%.1f units are held", held)
	restarted := &drawer{process: 2, sequence: 1000}
	again := restarted.drawFor(now.Add(2*time.Second), allocator, time.Second)
	assert.Assert(t, again < 100, "the new process gets %.1f units beyond", again)
}

// TestReturnedUnitsOfAHigherLimitAreNotGrantedAgain guards against units of a limit that was lowered since, which a router returns and gets again.
func TestReturnedUnitsOfAHigherLimitAreNotGrantedAgain(t *testing.T) {
	allocator, router := newDrawn(1), &drawer{process: 1}
	now := start.Add(4 * time.Second)
	held := router.drawFor(now, allocator, 2*time.Second)
	assert.Assert(t, held > 1500, "%.1f units are held", held)
	now = now.Add(2 * time.Second)
	allocator.SetWorkspaces(now, []routing.Workspace{{ID: "w", Quota: routing.Quota{Rate: 100, Burst: 100}}})
	router.sequence++
	args := router.args(1e6)
	args.Requests[0].Held, args.Requests[0].Returned = 600, 1000
	granted := allocator.Grant(now, args).Grants[0].Units
	assert.Assert(t, granted == 0, "%.1f units are granted while 600 are held of the 214 that may be", granted)
}
