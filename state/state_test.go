package state_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/state"
)

// TestMain fixes the seed, so that every run tries the same histories; flags on the command line win.
func TestMain(main *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(main.Run())
}

const gib = 1 << 30

func site(number int, text string) state.Command {
	return state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "b", Base: fmt.Sprintf(`revision: %d
site: s
groups: {g: {target_memory: 80GiB}}
models:
  m: {group: g, replicas: {max: 2}, versions: {v: {memory: 30GiB}}}
adapters:
  a: {base: m, memory: 1GiB}
%s`, number, text)}}}
}

// machine applies commands with rising indexes.
type machine struct {
	t     *testing.T
	state *state.State
	index uint64
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	fresh, err := state.New()
	assert.NilError(t, err)
	return &machine{t: t, state: fresh}
}

func (machine *machine) apply(command state.Command) state.Result {
	machine.t.Helper()
	data, err := state.Encode(command)
	assert.NilError(machine.t, err)
	machine.index++
	return machine.state.Apply(machine.index, data)
}

func (machine *machine) expect(code state.Code, command state.Command) state.Result {
	machine.t.Helper()
	result := machine.apply(command)
	assert.Equal(machine.t, result.Code, code, result.Detail)
	return result
}

func register(id string, incarnation uint64, held ...celerylanding.LoadedModel) state.Command {
	return state.Command{Register: &state.Register{Target: state.Target{ID: celerylanding.TargetID(id),
		Incarnation: celerylanding.Incarnation(incarnation), Domain: "d", Group: "g", Address: "127.0.0.1:1",
		Kind: celerylanding.KindEngine, Memory: 80 * gib}, Inventory: held}}
}

func place(model, target string, incarnation uint64) state.Command {
	return state.Command{Place: &state.Place{Model: celerylanding.ModelID(model), Target: celerylanding.TargetID(target),
		Incarnation: celerylanding.Incarnation(incarnation)}}
}

func TestRevisionsNeverRevert(t *testing.T) {
	machine := newMachine(t)
	machine.expect(state.CodeAccepted, site(2, ""))
	machine.expect(state.CodeUnchanged, site(2, ""))
	winner := machine.state.Config().Digest()
	result := machine.expect(state.CodeRefused, site(2, "# other\n"))
	assert.Equal(t, result.Digest, winner, "the winner is named")
	machine.expect(state.CodeRefused, site(1, ""))
	machine.expect(state.CodeAccepted, site(5, ""))
	machine.expect(state.CodeUnchanged, site(2, ""))
	machine.expect(state.CodeRefused, site(3, ""))
	assert.Equal(t, machine.state.Config().Number(), uint64(5))
	machine.expect(state.CodeRefused, state.Command{Submit: &state.Submit{Document: config.Document{Base: "revision: x"}}})
	machine.expect(state.CodeRefused, state.Command{})
}

func TestPlacementBounds(t *testing.T) {
	machine := newMachine(t)
	machine.expect(state.CodeRefused, place("m@v", "t1", 1))
	machine.expect(state.CodeAccepted, site(1, ""))
	for _, id := range []string{"t1", "t2", "t3"} {
		machine.expect(state.CodeAccepted, register(id, 1))
	}
	machine.expect(state.CodeRefused, place("a", "t1", 1))
	first := machine.expect(state.CodeAccepted, place("m@v", "t1", 1))
	machine.expect(state.CodeRefused, place("m@v", "t1", 1))
	machine.expect(state.CodeRefused, place("m@v", "t2", 9))
	machine.expect(state.CodeAccepted, place("m@v", "t2", 1))
	machine.expect(state.CodeRefused, place("m@v", "t3", 1))
	order := state.OrderAt(first.Index, 0)
	machine.expect(state.CodeRefused, place("a", "t1", 1))
	machine.expect(state.CodeAccepted, state.Command{Advance: &state.Advance{Order: order, Event: string(state.EventLoaded)}})
	machine.expect(state.CodeAccepted, place("a", "t1", 1))
	result := machine.expect(state.CodeRefused, state.Command{Advance: &state.Advance{Order: order, Event: string(state.EventUnload)}})
	assert.Assert(t, result.Detail != "", "its adapter is still there")
}

func TestUnplannedReplicasAreCounted(t *testing.T) {
	machine := newMachine(t)
	machine.expect(state.CodeAccepted, site(1, ""))
	machine.expect(state.CodeAccepted, register("t1", 1, celerylanding.LoadedModel{Model: "old", Bytes: 60 * gib, State: "ready"}))
	assert.Equal(t, machine.state.Used("t1"), celerylanding.Bytes(60*gib))
	machine.expect(state.CodeRefused, place("m@v", "t1", 1))
	ghosts := machine.state.ReplicasOn("t1")
	assert.Equal(t, len(ghosts), 1)
	assert.Assert(t, ghosts[0].IsGhost())
	assert.Equal(t, ghosts[0].State(), state.StateUnloading)
	machine.expect(state.CodeAccepted, state.Command{Adopt: &state.Adopt{Target: "t1", Incarnation: 1, Model: "late", Bytes: gib}})
	machine.expect(state.CodeUnchanged, state.Command{Adopt: &state.Adopt{Target: "t1", Incarnation: 1, Model: "late", Bytes: gib}})
	machine.expect(state.CodeAccepted, state.Command{Advance: &state.Advance{Order: ghosts[0].Order(), Event: string(state.EventAbsent)}})
	machine.expect(state.CodeAccepted, place("m@v", "t1", 1))
}

func TestOldIncarnationsAndFences(t *testing.T) {
	machine := newMachine(t)
	machine.expect(state.CodeAccepted, site(1, ""))
	machine.expect(state.CodeAccepted, register("t1", 5))
	first := machine.expect(state.CodeAccepted, place("m@v", "t1", 5))
	machine.expect(state.CodeRefused, register("t1", 4))
	machine.expect(state.CodeUnchanged, state.Command{Forget: &state.Forget{Target: "t1", Incarnation: 4}})
	lease := machine.expect(state.CodeAccepted, state.Command{GrantLease: &state.GrantLease{Domain: "d", Holder: "x"}})
	machine.expect(state.CodeRefused, state.Command{GrantLease: &state.GrantLease{Domain: "d", Holder: "y"}})
	machine.expect(state.CodeRefused, state.Command{Advance: &state.Advance{Order: state.OrderAt(first.Index, 0),
		Event: string(state.EventLoaded), Fence: celerylanding.Fence(lease.Index - 1)}})
	machine.expect(state.CodeAccepted, state.Command{Advance: &state.Advance{Order: state.OrderAt(first.Index, 0),
		Event: string(state.EventLoaded), Fence: celerylanding.Fence(lease.Index)}})
	machine.expect(state.CodeAccepted, register("t1", 6))
	assert.Equal(t, len(machine.state.ReplicasOf("m@v")), 0, "a newer incarnation proves that the older one is gone")
	machine.expect(state.CodeAccepted, state.Command{Forget: &state.Forget{Target: "t1", Incarnation: 6}})
}

func TestClaims(t *testing.T) {
	machine := newMachine(t)
	machine.expect(state.CodeAccepted, site(1, "claim_ttl: 1h\n"))
	claim := func(owner string, print uint64, at int64) celerylanding.ClaimState {
		return machine.apply(state.Command{Claim: &state.Claim{Service: "s", Key: "k", Fingerprint: print, Owner: owner, TimeMillis: at}}).Claim
	}
	assert.Equal(t, claim("one", 7, 0), celerylanding.ClaimGranted)
	assert.Equal(t, claim("one", 7, 0), celerylanding.ClaimGranted, "the owner's own proposal may come twice")
	assert.Equal(t, claim("two", 7, 0), celerylanding.ClaimInProgress)
	assert.Equal(t, claim("two", 8, 0), celerylanding.ClaimMismatch)
	machine.expect(state.CodeRefused, state.Command{ReleaseClaim: &state.ReleaseClaim{Service: "s", Key: "k", Owner: "two"}})
	machine.expect(state.CodeAccepted, state.Command{ReleaseClaim: &state.ReleaseClaim{Service: "s", Key: "k", Owner: "one"}})
	assert.Equal(t, claim("two", 7, 0), celerylanding.ClaimGranted)
	machine.expect(state.CodeAccepted, state.Command{SettleClaim: &state.SettleClaim{Service: "s", Key: "k", Owner: "two",
		Answer: celerylanding.RecordedAnswer{Status: 200, Body: []byte("done")}}})
	result := machine.apply(state.Command{Claim: &state.Claim{Service: "s", Key: "k", Fingerprint: 7, Owner: "three"}})
	assert.Equal(t, result.Claim, celerylanding.ClaimSettled)
	assert.Equal(t, string(result.Answer.Body), "done")
	assert.Equal(t, claim("four", 7, 3_600_000), celerylanding.ClaimGranted, "after its time a key is forgotten")
	assert.Equal(t, machine.state.Claims(), 1)
}

// anyCommand draws a command, sensible or not.
func anyCommand(t *rapid.T) state.Command {
	target := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target")
	incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	order := state.OrderAt(rapid.Uint64Range(1, 40).Draw(t, "order"), 0)
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return site(rapid.IntRange(1, 4).Draw(t, "number"), rapid.SampledFrom([]string{"", "# x\n"}).Draw(t, "text"))
	case 1:
		return register(target, incarnation, celerylanding.LoadedModel{Model: "old", Bytes: gib})
	case 2:
		return place(rapid.SampledFrom([]string{"m@v", "a"}).Draw(t, "model"), target, incarnation)
	case 3:
		return state.Command{Advance: &state.Advance{Order: order, Cause: "c", Event: rapid.SampledFrom([]string{"loaded", "unload",
			"absent", "load_failed", "incarnation_gone", "nonsense"}).Draw(t, "event")}}
	case 4:
		return state.Command{GrantLease: &state.GrantLease{Domain: "d", Holder: "h", ExpectedFence: celerylanding.Fence(rapid.Uint64Range(0, 20).Draw(t, "fence"))}}
	case 5:
		return state.Command{Claim: &state.Claim{Service: "s", Key: target, Fingerprint: incarnation, Owner: "o", TimeMillis: int64(incarnation) * 40_000_000}}
	case 6:
		return state.Command{SettleClaim: &state.SettleClaim{Service: "s", Key: target, Owner: "o"}}
	}
	return state.Command{ReleaseClaim: &state.ReleaseClaim{Service: "s", Key: target, Owner: "o"}}
}

// TestRestoredStateEqualsOriginal restores a snapshot in the middle of any history and goes on with both states.
func TestRestoredStateEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, err := state.New()
		assert.NilError(t, err)
		commands := rapid.SliceOfN(rapid.Custom(anyCommand), 1, 60).Draw(t, "commands")
		middle := rapid.IntRange(0, len(commands)-1).Draw(t, "middle")
		var restored *state.State
		for i, command := range commands {
			data, err := state.Encode(command)
			assert.NilError(t, err)
			if i == middle {
				snapshot, err := original.Snapshot()
				assert.NilError(t, err)
				restored, err = state.Restore(snapshot)
				assert.NilError(t, err)
			}
			result := original.Apply(uint64(i+1), data)
			if restored != nil {
				assert.DeepEqual(t, restored.Apply(uint64(i+1), data), result)
			}
		}
		left, err := original.Snapshot()
		assert.NilError(t, err)
		right, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, left, right)
		for _, target := range original.Targets() {
			assert.Assert(t, original.Used(target.ID) <= target.Memory)
		}
	})
}

func FuzzApply(f *testing.F) {
	data, err := state.Encode(site(1, ""))
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		fresh, err := state.New()
		assert.NilError(t, err)
		result := fresh.Apply(1, data)
		assert.Assert(t, result.Code != 0)
		_, err = fresh.Snapshot()
		assert.NilError(t, err)
	})
}
