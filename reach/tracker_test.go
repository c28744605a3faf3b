package reach_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/reach"
)

// domains is the number of failure domains of a world; targets alternate between them.
const domains = 4

var start = time.Unix(1000, 0)

// world is a router with targets, some of which it does not reach.
type world struct {
	tracker *reach.Tracker
	random  *rand.Rand
	now     time.Time
	targets []string
	// connects decides whether a connection to a target is made; one that is not made takes the delay.
	connects func(target string) bool
	delay    time.Duration
	probes   int
}

func newWorld(count int, connects func(target string) bool) *world {
	world := &world{tracker: reach.NewTracker("z0"), random: rand.New(rand.NewSource(20261206)), now: start, connects: connects,
		delay: 350 * time.Millisecond}
	var targets []*feed.Target
	for number := range count {
		world.targets = append(world.targets, fmt.Sprint(number))
		targets = append(targets, &feed.Target{Address: fmt.Sprint(number), Domain: celerylanding.FailureDomain(fmt.Sprint("z", number%domains))})
	}
	world.tracker.Update(targets)
	return world
}

// connect connects to a target at the current time; the result is known after the delay.
func (world *world) connect(target string) {
	if world.connects(target) {
		world.tracker.RecordConnected(world.now)
		return
	}
	world.now = world.now.Add(world.delay)
	world.tracker.RecordFailed(world.now, target)
}

// probe makes one round of probes if one is due.
func (world *world) probe() {
	began, ended := world.now, world.now
	for _, target := range world.tracker.NextProbes(began, world.random.Perm) {
		world.probes++
		world.now = began
		world.connect(target)
		ended = maxTime(ended, world.now)
	}
	world.now = ended
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestCutIsFoundWithinASecond guards against callers that are served worse for long: with one failed connection, however the connections end, the
// router knows soon that it reaches no target, and when it reaches them again.
func TestCutIsFoundWithinASecond(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 350 * time.Millisecond} {
		for _, count := range []int{3, 4, 20, 600} {
			isCut := true
			world := newWorld(count, func(string) bool { return !isCut })
			world.delay = delay
			world.connect(world.targets[0])
			world.probe()
			assert.Assert(t, world.tracker.IsCut(), "%d targets, %v", count, delay)
			assert.Assert(t, world.now.Sub(start) <= time.Second, "after %v", world.now.Sub(start))
			assert.Equal(t, world.tracker.ChangedAt(), world.now)
			world.probe()
			assert.Assert(t, world.tracker.IsCut())
			isCut = false
			world.probe()
			assert.Assert(t, !world.tracker.IsCut(), "the end of the cut is not found")
		}
	}
}

// TestFailingTargetsAreNoCut guards against a router that takes failures of targets for a cut: it reaches one of many that are dead, or only one service
// of which all are.
func TestFailingTargetsAreNoCut(t *testing.T) {
	for name, dead := range map[string]int{"one": 1, "a few": 4, "half": 10} {
		t.Run(name, func(t *testing.T) {
			world := newWorld(20, nil)
			world.connects = func(target string) bool { return slices.Index(world.targets, target) >= dead }
			cut := 0
			for range 1000 {
				world.connect(world.targets[world.random.Intn(len(world.targets))])
				world.probe()
				if world.tracker.IsCut() {
					cut++
				}
				world.now = world.now.Add(50 * time.Millisecond)
			}
			// With half of the targets dead, three in a row may be by chance; the next probe finds one of the others.
			assert.Assert(t, dead == 10 || cut == 0, "cut in %d of 1000", cut)
			assert.Assert(t, cut <= 100, "cut in %d of 1000", cut)
		})
	}
}

// TestPartitionBetweenDomainsIsNoCut guards against a router that gives up the targets of its own failure domain, since those of all others are cut off.
func TestPartitionBetweenDomainsIsNoCut(t *testing.T) {
	world := newWorld(40, nil)
	world.connects = func(target string) bool { return slices.Index(world.targets, target)%domains == 0 }
	for range 1000 {
		world.connect(world.targets[world.random.Intn(len(world.targets))])
		assert.Assert(t, !world.tracker.IsCut())
		world.probe()
		world.now = world.now.Add(50 * time.Millisecond)
	}
}

// TestOneReachedTargetEndsACut guards against a router that refuses its callers although the only living target is in its reach.
func TestOneReachedTargetEndsACut(t *testing.T) {
	world := newWorld(10, func(target string) bool { return target == "7" })
	for _, target := range []string{"0", "1", "2", "3", "4"} {
		world.delay = 0
		world.connect(target)
	}
	assert.Assert(t, world.tracker.IsCut())
	for range 20 {
		world.probe()
		world.now = world.now.Add(reach.ProbeInterval)
	}
	assert.Assert(t, !world.tracker.IsCut())
}

// TestWithoutFailuresNothingIsProbed guards against connections that cost targets something although nothing suggests a cut: the router is idle, its
// connections succeed, or a failure has been followed by a success or is long ago.
func TestWithoutFailuresNothingIsProbed(t *testing.T) {
	world := newWorld(20, func(string) bool { return true })
	world.probe()
	world.connect("1")
	world.probe()
	world.tracker.RecordFailed(world.now, "2")
	assert.Assert(t, world.tracker.IsSuspected(world.now))
	world.connect("1")
	assert.Assert(t, !world.tracker.IsSuspected(world.now))
	world.probe()
	world.tracker.RecordFailed(world.now, "2")
	world.now = world.now.Add(5 * time.Second)
	assert.Assert(t, !world.tracker.IsSuspected(world.now))
	world.probe()
	assert.Equal(t, world.probes, 0)
	// Failures of seconds ago don't add up.
	for _, target := range world.targets {
		world.tracker.RecordFailed(world.now, target)
		world.now = world.now.Add(2 * time.Second)
	}
	assert.Assert(t, !world.tracker.IsCut())
}

// TestFewTargetsAreNoEvidence guards against a router that counts as cut off because the two targets that there are restart.
func TestFewTargetsAreNoEvidence(t *testing.T) {
	world := newWorld(2, func(string) bool { return false })
	for range 10 {
		world.connect("0")
		world.connect("1")
		world.probe()
	}
	assert.Assert(t, !world.tracker.IsCut())
	assert.Equal(t, world.probes, 0)
}
