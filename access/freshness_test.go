package access_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/routing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.steps": "80"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// clock is the boot-time clock of a VM, which drifts.
type clock struct {
	offset time.Duration
	rate   float64
}

func newClock(t *rapid.T) clock {
	return clock{time.Duration(rapid.IntRange(0, 1e6).Draw(t, "offset")) * time.Millisecond, rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "rate")}
}

func (clock clock) read(now time.Duration) time.Time {
	return start.Add(clock.offset + time.Duration(clock.rate*float64(now)))
}

// exchange is a watch request of a router or relay, and the reply to it once that has been written.
type exchange struct {
	sent      time.Time
	isWritten bool
	age       time.Duration
	version   uint64
	// configuration is the version of the configuration in the reply, or zero if it has none.
	configuration uint64
}

// freshnessWorld is a leader, a relay and a router. Each step is an event at one of them; one without steps stands still or is cut off. The leader may
// change at any time, and only the one with the lease tells a version.
type freshnessWorld struct {
	now time.Duration
	// acknowledged holds when each version, from 1, was acknowledged at the earliest. The odd versions contain the key.
	acknowledged []time.Duration
	hasLeader    bool

	relayClock clock
	relayLog   uint64
	relayWord  access.Word
	relayAsks  *exchange

	routerClock clock
	inForce     uint64
	proof       access.Proof
	routerAsks  *exchange
}

func (world *freshnessWorld) newest() uint64 { return uint64(len(world.acknowledged)) }

// advance lets time pass.
func (world *freshnessWorld) advance(t *rapid.T) {
	world.now += time.Duration(rapid.SampledFrom([]int{1, 40, 250, 250, 900, 2500, 4900}).Draw(t, "ms")) * time.Millisecond
}

func (world *freshnessWorld) acknowledge(t *rapid.T) {
	if !world.hasLeader {
		t.Skip("no leader")
	}
	world.acknowledged = append(world.acknowledged, world.now)
}

// leaderReply returns the leader's answer to a request; without the lease it has none.
func (world *freshnessWorld) leaderReply(asks *exchange) {
	asks.isWritten = true
	if world.hasLeader {
		asks.version, asks.configuration = world.newest(), world.newest()
	}
}

func (world *freshnessWorld) stepRelay(t *rapid.T) {
	switch asks := world.relayAsks; {
	case asks == nil:
		world.relayAsks = &exchange{sent: world.relayClock.read(world.now)}
	case !asks.isWritten:
		world.leaderReply(asks)
	default:
		world.relayWord = access.NewWord(asks.sent, 0, asks.version)
		world.relayAsks = nil
	}
	world.relayLog = uint64(rapid.Uint64Range(world.relayLog, world.newest()).Draw(t, "log"))
}

func (world *freshnessWorld) stepRouter(t *rapid.T) {
	switch asks := world.routerAsks; {
	case asks == nil:
		world.routerAsks = &exchange{sent: world.routerClock.read(world.now)}
	case !asks.isWritten && rapid.Bool().Draw(t, "relayed"):
		asks.isWritten, asks.configuration = true, world.relayLog
		asks.age, asks.version = world.relayWord.At(world.relayClock.read(world.now))
	case !asks.isWritten:
		world.leaderReply(asks)
		if rapid.Bool().Draw(t, "withheld") {
			asks.configuration = 0
		}
	default:
		world.inForce = max(world.inForce, asks.configuration)
		if asks.age < time.Minute {
			world.proof = world.proof.Extend(access.NewWord(asks.sent, asks.age, asks.version), world.inForce)
		}
		world.routerAsks = nil
	}
}

// routes returns the routes of a version.
func (world *freshnessWorld) routes(version uint64) *routing.Table {
	if version%2 == 1 {
		return table(version, "k")
	}
	return table(version, "other")
}

// check sends a request with the key to the router.
func (world *freshnessWorld) check(t *rapid.T) {
	request := access.Request{Received: world.routerClock.read(world.now), Digest: celerylanding.Key("k").Digest(), HasKey: true}
	if world.inForce == 0 || bounds.Check(world.routes(world.inForce), world.proof, request).Cause != access.CauseNone {
		return
	}
	// Versions up to this one were acknowledged more than the bound ago, so that a router that runs the request must have the last of them.
	binding := uint64(0)
	for i, at := range world.acknowledged {
		if world.now-at > bounds.Revocation {
			binding = uint64(i + 1)
		}
	}
	assert.Assert(t, world.inForce >= binding, "at %v version %d admits the key, though version %d was acknowledged %v ago", world.now, world.inForce,
		binding, world.now-world.acknowledged[max(binding, 1)-1])
}

// TestWithdrawnKeysStopInTime guards against a request that runs with a key that was withdrawn for longer than the bound: at a router that is cut off,
// stands still or reads old replies, behind a relay that does so or whose log is behind, while leaders change and clocks drift.
func TestWithdrawnKeysStopInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := &freshnessWorld{hasLeader: true, relayClock: newClock(t), routerClock: newClock(t)}
		t.Repeat(map[string]func(*rapid.T){
			"advance":     world.advance,
			"acknowledge": world.acknowledge,
			"lease":       func(*rapid.T) { world.hasLeader = !world.hasLeader },
			"relay":       world.stepRelay,
			"relay again": world.stepRelay,
			"router":      world.stepRouter,
			"router more": world.stepRouter,
			"":            world.check,
		})
	})
}

// TestFreshRouterServesKeys guards against refusals that nothing calls for: a router that has asked within the bound serves a valid key.
func TestFreshRouterServesKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relayAge := time.Duration(rapid.IntRange(0, 1000).Draw(t, "relay")) * time.Millisecond
		since := time.Duration(rapid.IntRange(0, 3900).Draw(t, "since")) * time.Millisecond
		proof := access.Proof{}.Extend(access.NewWord(start, relayAge, 3), 3)
		request := access.Request{Received: start.Add(since), Digest: celerylanding.Key("k").Digest(), HasKey: true}
		assert.Equal(t, bounds.Check(table(3, "k"), proof, request).Cause, access.CauseNone)
	})
}
