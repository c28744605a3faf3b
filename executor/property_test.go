package executor_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/lease"
	"celerylanding.example/celerylanding/state"
)

const (
	domain       = "d"
	gib          = 1 << 30
	leaseTTL     = 3 * time.Second
	clockDrift   = 200 * time.Millisecond
	orderTimeout = 12 * time.Second
)

const siteText = `revision: 1
site: property
groups:
  engines: {kind: engine, target_memory: 80GiB}
models:
  one: {group: engines, versions: {v: {memory: 30GiB}}}
  two: {group: engines, versions: {v: {memory: 50GiB}}, replicas: {max: 2}}
  three: {group: engines, versions: {v: {memory: 40GiB}}}
adapters:
  extra: {base: one, memory: 5GiB}
`

var models = []celerylanding.ModelID{"one@v", "two@v", "three@v", "extra"}

// TestMain fixes the seed so that every run generates the same histories; flags on the command line take precedence.
func TestMain(main *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "4000", "rapid.steps": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(main.Run())
}

// check compares the state with the models that the engines actually hold: at most one lease holder, every loaded model counted, memory and
// replicas within their limits.
func (world *world) check(*rapid.T) {
	t := world.t
	holders := 0
	for _, worker := range world.workers {
		if _, held := worker.holder.Fence(world.clock(worker)); held && worker.up {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d executors hold the lease of one domain", holders)
	}
	counts := make(map[celerylanding.ModelID]int)
	for _, engine := range world.engines {
		var used celerylanding.Bytes
		for model, held := range engine.loaded {
			counts[model]++
			used += held.Bytes
			isCounted := slices.ContainsFunc(world.state.ReplicasOn(engine.id), func(replica *state.Replica) bool {
				return replica.Model() == model
			})
			if !isCounted {
				t.Fatalf("%s holds %s (%s), which the state does not count", engine.id, model, held.State)
			}
		}
		if used > 80*gib || world.state.ReservedBytes(engine.id) > 80*gib {
			t.Fatalf("%s holds %d bytes, %d are reserved", engine.id, used, world.state.ReservedBytes(engine.id))
		}
	}
	for model, count := range counts {
		configured, _ := world.state.Config().Model(model)
		if count > configured.Replicas().Max {
			t.Fatalf("%d replicas of %s are loaded, the configured maximum is %d", count, model, configured.Replicas().Max)
		}
	}
}

// drawEngine draws one of the engines.
func (world *world) drawEngine(t *rapid.T) *engine {
	return world.engines[rapid.IntRange(0, len(world.engines)-1).Draw(t, "engine")]
}

// TestReplicasAndMemoryUnderFaults guards against two lease holders, uncounted models, too many replicas and overcommitted memory. These
// could come about when orders and responses are lost or delayed while engines restart, workers crash and the leader changes.
func TestReplicasAndMemoryUnderFaults(t *testing.T) {
	placed, released := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"": world.check,
			"run": func(t *rapid.T) {
				faults := faults{
					lose:  rapid.IntRange(0, 500).Draw(t, "lose"),
					delay: rapid.IntRange(0, 700).Draw(t, "delay"),
					lag:   rapid.IntRange(0, 700).Draw(t, "lag"),
				}
				for range rapid.IntRange(1, 60).Draw(t, "steps") {
					world.step(faults)
					world.check(t)
				}
			},
			"place": func(t *rapid.T) {
				engine := world.drawEngine(t)
				if world.commit(state.Command{Place: &state.Place{Model: rapid.SampledFrom(models).Draw(t, "model"),
					Target: engine.id, Incarnation: engine.incarnation}}).Code == state.CodeAccepted {
					placed++
				}
			},
			"place many": func(*rapid.T) {
				for range 8 {
					engine := world.engines[world.random.IntN(len(world.engines))]
					if world.commit(state.Command{Place: &state.Place{Model: models[world.random.IntN(len(models))],
						Target: engine.id, Incarnation: engine.incarnation}}).Code == state.CodeAccepted {
						placed++
					}
					world.step(faults{lose: 400, delay: 200})
				}
			},
			"unload": func(t *rapid.T) {
				if replicas := world.state.Replicas(); len(replicas) > 0 {
					replica := rapid.SampledFrom(replicas).Draw(t, "replica")
					if world.commit(state.Command{Advance: &state.Advance{Order: replica.Order(), Event: string(state.EventUnload)}}).Code == state.CodeAccepted {
						released++
					}
				}
			},
			"engine restarts": func(t *rapid.T) { world.restartEngine(world.drawEngine(t)) },
			"worker dies": func(t *rapid.T) {
				worker := rapid.SampledFrom(world.workers).Draw(t, "worker")
				worker.up = false
				for range 20 {
					world.step(faults{delay: 300})
					world.check(t)
				}
				world.boot(worker)
			},
			"leader changes": func(*rapid.T) {
				world.granter = lease.NewGranter(world.now, leaseSettings())
				for _, command := range world.pending {
					if command.GrantLease != nil {
						world.commit(command)
					}
				}
			},
		})
		world.healAndSettle(t)
	})
	assert.Assert(t, placed > 1000 && released > 500, "the histories must place and release enough replicas, got %d and %d", placed, released)
}

// healAndSettle runs without faults until every replica is ready or released.
func (world *world) healAndSettle(t *rapid.T) {
	for range 2000 {
		world.step(faults{})
		world.check(t)
		isOpen := slices.ContainsFunc(world.state.Replicas(), func(replica *state.Replica) bool {
			return replica.State() != state.StateReady
		})
		if !isOpen {
			return
		}
	}
	for _, replica := range world.state.Replicas() {
		t.Logf("%s on %s is %s", replica.Model(), replica.Target(), replica.State())
	}
	t.Fatalf("replicas are still loading or unloading after all faults have ended")
}
