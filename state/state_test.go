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

// TestMain fixes the seed so that every run generates the same histories; flags on the command line take precedence.
func TestMain(main *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(main.Run())
}

const gib = 1 << 30

func submitSite(number int, text string) state.Command {
	return state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "b", Base: fmt.Sprintf(`revision: %d
site: s
groups: {g: {target_memory: 80GiB}}
models:
  m: {group: g, replicas: {max: 2}, versions: {v: {memory: 30GiB}}}
adapters:
  a: {base: m, memory: 1GiB}
%s`, number, text)}}}
}

// stateHarness applies commands with increasing log indexes.
type stateHarness struct {
	t     *testing.T
	state *state.State
	index uint64
}

func newHarness(t *testing.T) *stateHarness {
	t.Helper()
	fresh, err := state.New()
	assert.NilError(t, err)
	return &stateHarness{t: t, state: fresh}
}

func (harness *stateHarness) apply(command state.Command) state.Result {
	harness.t.Helper()
	data, err := state.Encode(command)
	assert.NilError(harness.t, err)
	harness.index++
	return harness.state.Apply(harness.index, data)
}

func (harness *stateHarness) expect(code state.Code, command state.Command) state.Result {
	harness.t.Helper()
	result := harness.apply(command)
	assert.Equal(harness.t, result.Code, code, result.Detail)
	return result
}

func registerCommand(id string, incarnation uint64, held ...celerylanding.LoadedModel) state.Command {
	return state.Command{Register: &state.Register{Target: state.Target{ID: celerylanding.TargetID(id),
		Incarnation: celerylanding.Incarnation(incarnation), Domain: "d", Group: "g", Address: "127.0.0.1:1",
		Kind: celerylanding.KindEngine, Memory: 80 * gib}, Inventory: held}}
}

func placeCommand(model, target string, incarnation uint64) state.Command {
	return state.Command{Place: &state.Place{Model: celerylanding.ModelID(model), Target: celerylanding.TargetID(target),
		Incarnation: celerylanding.Incarnation(incarnation)}}
}

// TestRevisionsNeverRevert guards against a revision number that is reused for another document and against a return to an older revision.
func TestRevisionsNeverRevert(t *testing.T) {
	harness := newHarness(t)
	harness.expect(state.CodeAccepted, submitSite(2, ""))
	harness.expect(state.CodeUnchanged, submitSite(2, ""))
	inForce := harness.state.Config().Digest()
	result := harness.expect(state.CodeRefused, submitSite(2, "# other\n"))
	assert.Equal(t, result.Digest, inForce, "the result names the revision in force")
	harness.expect(state.CodeRefused, submitSite(1, ""))
	harness.expect(state.CodeAccepted, submitSite(5, ""))
	harness.expect(state.CodeUnchanged, submitSite(2, ""))
	harness.expect(state.CodeRefused, submitSite(3, ""))
	assert.Equal(t, harness.state.Config().Revision(), uint64(5))
	harness.expect(state.CodeRefused, state.Command{Submit: &state.Submit{Document: config.Document{Base: "revision: x"}}})
	harness.expect(state.CodeRefused, state.Command{})
}

// TestPlacementBounds guards against placements beyond the replica maximum, on a wrong incarnation, or of adapters without a ready base,
// and against the unload of a base model that has adapters.
func TestPlacementBounds(t *testing.T) {
	harness := newHarness(t)
	harness.expect(state.CodeRefused, placeCommand("m@v", "t1", 1))
	harness.expect(state.CodeAccepted, submitSite(1, ""))
	for _, id := range []string{"t1", "t2", "t3"} {
		harness.expect(state.CodeAccepted, registerCommand(id, 1))
	}
	harness.expect(state.CodeRefused, placeCommand("a", "t1", 1))
	first := harness.expect(state.CodeAccepted, placeCommand("m@v", "t1", 1))
	harness.expect(state.CodeRefused, placeCommand("m@v", "t1", 1))
	harness.expect(state.CodeRefused, placeCommand("m@v", "t2", 9))
	harness.expect(state.CodeAccepted, placeCommand("m@v", "t2", 1))
	harness.expect(state.CodeRefused, placeCommand("m@v", "t3", 1))
	order := state.OrderAt(first.Index, 0)
	harness.expect(state.CodeRefused, placeCommand("a", "t1", 1))
	harness.expect(state.CodeAccepted, state.Command{Advance: &state.Advance{Order: order, Event: string(state.EventLoaded)}})
	harness.expect(state.CodeAccepted, placeCommand("a", "t1", 1))
	result := harness.expect(state.CodeRefused, state.Command{Advance: &state.Advance{Order: order, Event: string(state.EventUnload)}})
	assert.Assert(t, result.Detail != "", "its adapter is still loaded")
}

// TestUnplannedReplicasAreCounted guards against overcommitted memory: models that a target already holds count as soon as they are known.
func TestUnplannedReplicasAreCounted(t *testing.T) {
	harness := newHarness(t)
	harness.expect(state.CodeAccepted, submitSite(1, ""))
	harness.expect(state.CodeAccepted, registerCommand("t1", 1, celerylanding.LoadedModel{Model: "old", Bytes: 60 * gib, State: "ready"}))
	assert.Equal(t, harness.state.ReservedBytes("t1"), celerylanding.Bytes(60*gib))
	harness.expect(state.CodeRefused, placeCommand("m@v", "t1", 1))
	unplanned := harness.state.ReplicasOn("t1")
	assert.Equal(t, len(unplanned), 1)
	assert.Assert(t, unplanned[0].IsUnplanned())
	assert.Equal(t, unplanned[0].State(), state.StateUnloading)
	harness.expect(state.CodeAccepted, state.Command{Adopt: &state.Adopt{Target: "t1", Incarnation: 1, Model: "late", Bytes: gib}})
	harness.expect(state.CodeUnchanged, state.Command{Adopt: &state.Adopt{Target: "t1", Incarnation: 1, Model: "late", Bytes: gib}})
	harness.expect(state.CodeAccepted, state.Command{Advance: &state.Advance{Order: unplanned[0].Order(), Event: string(state.EventAbsent)}})
	harness.expect(state.CodeAccepted, placeCommand("m@v", "t1", 1))
}

// TestOldIncarnationsAndFences guards against commands of an older incarnation or of an earlier lease holder that change the state.
func TestOldIncarnationsAndFences(t *testing.T) {
	harness := newHarness(t)
	harness.expect(state.CodeAccepted, submitSite(1, ""))
	harness.expect(state.CodeAccepted, registerCommand("t1", 5))
	first := harness.expect(state.CodeAccepted, placeCommand("m@v", "t1", 5))
	harness.expect(state.CodeRefused, registerCommand("t1", 4))
	harness.expect(state.CodeUnchanged, state.Command{Deregister: &state.Deregister{Target: "t1", Incarnation: 4}})
	lease := harness.expect(state.CodeAccepted, state.Command{GrantLease: &state.GrantLease{Domain: "d", Holder: "x"}})
	harness.expect(state.CodeRefused, state.Command{GrantLease: &state.GrantLease{Domain: "d", Holder: "y"}})
	harness.expect(state.CodeRefused, state.Command{Advance: &state.Advance{Order: state.OrderAt(first.Index, 0),
		Event: string(state.EventLoaded), Fence: celerylanding.FencingToken(lease.Index - 1)}})
	harness.expect(state.CodeAccepted, state.Command{Advance: &state.Advance{Order: state.OrderAt(first.Index, 0),
		Event: string(state.EventLoaded), Fence: celerylanding.FencingToken(lease.Index)}})
	harness.expect(state.CodeAccepted, registerCommand("t1", 6))
	assert.Equal(t, len(harness.state.ReplicasOf("m@v")), 0, "a newer incarnation releases the replicas of the older one")
	harness.expect(state.CodeAccepted, state.Command{Deregister: &state.Deregister{Target: "t1", Incarnation: 6}})
}

// TestClaims guards against an idempotency key that is granted to two owners, is transferred while in progress or never expires.
func TestClaims(t *testing.T) {
	harness := newHarness(t)
	harness.expect(state.CodeAccepted, submitSite(1, "claim_ttl: 1h\n"))
	claim := func(owner string, fingerprint uint64, millis int64) celerylanding.ClaimState {
		return harness.apply(state.Command{Claim: &state.Claim{Service: "s", Key: "k", Fingerprint: fingerprint, Owner: owner, TimeMillis: millis}}).Claim
	}
	assert.Equal(t, claim("one", 7, 0), celerylanding.ClaimGranted)
	assert.Equal(t, claim("one", 7, 0), celerylanding.ClaimGranted, "the owner's proposal may be committed twice")
	assert.Equal(t, claim("two", 7, 0), celerylanding.ClaimInProgress)
	assert.Equal(t, claim("two", 8, 0), celerylanding.ClaimMismatch)
	harness.expect(state.CodeRefused, state.Command{ReleaseClaim: &state.ReleaseClaim{Service: "s", Key: "k", Owner: "two"}})
	harness.expect(state.CodeAccepted, state.Command{ReleaseClaim: &state.ReleaseClaim{Service: "s", Key: "k", Owner: "one"}})
	assert.Equal(t, claim("two", 7, 0), celerylanding.ClaimGranted)
	harness.expect(state.CodeAccepted, state.Command{SettleClaim: &state.SettleClaim{Service: "s", Key: "k", Owner: "two",
		Response: celerylanding.RecordedResponse{Status: 200, Body: []byte("done")}}})
	result := harness.apply(state.Command{Claim: &state.Claim{Service: "s", Key: "k", Fingerprint: 7, Owner: "three"}})
	assert.Equal(t, result.Claim, celerylanding.ClaimSettled)
	assert.Equal(t, string(result.Response.Body), "done")
	assert.Equal(t, claim("four", 7, 3_600_000), celerylanding.ClaimGranted, "a claim expires after its time to live")
	assert.Equal(t, harness.state.Claims(), 1)
}

// drawCommand draws a valid or invalid command.
func drawCommand(t *rapid.T) state.Command {
	target := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target")
	incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	order := state.OrderAt(rapid.Uint64Range(1, 40).Draw(t, "order"), 0)
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		return submitSite(rapid.IntRange(1, 4).Draw(t, "number"), rapid.SampledFrom([]string{"", "# x\n"}).Draw(t, "text"))
	case 1:
		return registerCommand(target, incarnation, celerylanding.LoadedModel{Model: "old", Bytes: gib})
	case 2:
		return placeCommand(rapid.SampledFrom([]string{"m@v", "a"}).Draw(t, "model"), target, incarnation)
	case 3:
		return state.Command{Advance: &state.Advance{Order: order, Cause: "c", Event: rapid.SampledFrom([]string{"loaded", "unload",
			"absent", "load_failed", "incarnation_gone", "nonsense"}).Draw(t, "event")}}
	case 4:
		return state.Command{GrantLease: &state.GrantLease{Domain: "d", Holder: "h", ExpectedFence: celerylanding.FencingToken(rapid.Uint64Range(0, 20).Draw(t, "fence"))}}
	case 5:
		return state.Command{Claim: &state.Claim{Service: "s", Key: target, Fingerprint: incarnation, Owner: "o", TimeMillis: int64(incarnation) * 40_000_000}}
	case 6:
		return state.Command{SettleClaim: &state.SettleClaim{Service: "s", Key: target, Owner: "o"}}
	}
	return state.Command{ReleaseClaim: &state.ReleaseClaim{Service: "s", Key: target, Owner: "o"}}
}

// TestRestoredStateEqualsOriginal guards against snapshots that lose or change a part of the state: it restores one in the middle of a
// random history, and the original and the restored state must return the same results for the remaining commands and equal snapshots at
// the end.
func TestRestoredStateEqualsOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original, err := state.New()
		assert.NilError(t, err)
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(t, "commands")
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
			assert.Assert(t, original.ReservedBytes(target.ID) <= target.Memory)
		}
	})
}

// FuzzApply guards against log entries whose decoding or execution panics or leaves a state that cannot be snapshotted.
func FuzzApply(f *testing.F) {
	data, err := state.Encode(submitSite(1, ""))
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
