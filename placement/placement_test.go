package placement_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/placement"
	"celerylanding.example/celerylanding/state"
)

// bench drives a planner as a leader does: every decision is committed before the next round.
type bench struct {
	t         *testing.T
	state     *state.State
	directory *membership.Directory
	planner   *placement.Planner
	index     uint64
	now       time.Time
}

func newBench(t *testing.T, text string, targets ...celerylanding.Announcement) *bench {
	t.Helper()
	fresh, err := state.New()
	assert.NilError(t, err)
	directory, err := membership.NewDirectory(time.Hour)
	assert.NilError(t, err)
	bench := &bench{t: t, state: fresh, directory: directory, planner: placement.New(start), now: start}
	bench.commit(state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "b", Base: text}}})
	for _, target := range targets {
		target.Incarnation, target.Sequence, target.Kind, target.Group, target.Memory = 1, 1, celerylanding.KindEngine, "g", 80*gib
		directory.Observe(start, target)
		bench.commit(state.Command{Register: &state.Register{Target: state.Target{ID: target.Target, Incarnation: 1, Domain: target.Domain,
			Group: "g", Kind: target.Kind, Memory: target.Memory}}})
	}
	return bench
}

func (bench *bench) commit(command state.Command) state.Result {
	bench.t.Helper()
	data, err := state.Encode(command)
	assert.NilError(bench.t, err)
	bench.index++
	return bench.state.Apply(bench.index, data)
}

// round lets the time pass, commits what is decided and plays engines that obey at once.
func (bench *bench) round(passes time.Duration, wanted ...celerylanding.ModelID) []state.Command {
	bench.t.Helper()
	bench.now = bench.now.Add(passes)
	for _, model := range wanted {
		bench.planner.Report(bench.now, "n", []celerylanding.DemandReport{{Model: model, Waiting: 1, Patience: 10 * time.Second}})
	}
	commands := bench.planner.Decide(bench.now, bench.state, bench.directory)
	for _, command := range commands {
		result := bench.commit(command)
		assert.Equal(bench.t, result.Code, state.CodeAccepted, result.Detail)
	}
	return commands
}

func (bench *bench) obey() {
	for _, replica := range bench.state.Replicas() {
		event := state.EventLoaded
		if replica.State() == state.StateUnloading {
			event = state.EventAbsent
		}
		bench.commit(state.Command{Advance: &state.Advance{Order: replica.Order(), Event: string(event)}})
	}
}

const text = `revision: 1
site: s
groups: {g: {target_memory: 80GiB}}
models:
  m: {group: g, versions: {v: {memory: 50GiB}}}
  n: {group: g, versions: {v: {memory: 50GiB}}}
adapters:
  a: {base: m, memory: 1GiB}
store: {loads_per_second: 1, full_speed_loads: 1}
`

func target(id string, cached ...celerylanding.CachedCheckpoint) celerylanding.Announcement {
	return celerylanding.Announcement{Target: celerylanding.TargetID(id), Domain: "d", Cached: cached}
}

func placed(commands []state.Command) []string {
	var list []string
	for _, command := range commands {
		if command.Place != nil {
			list = append(list, string(command.Place.Model)+" on "+string(command.Place.Target))
		}
	}
	return list
}

func TestNearestCheckpointWithinTheStoresLimits(t *testing.T) {
	withKept := strings.Replace(text, "adapters:", "  kept: {group: g, replicas: {min: 1}, versions: {v: {memory: 10GiB}}}\nadapters:", 1)
	bench := newBench(t, withKept, target("t1"), target("t2", celerylanding.CachedCheckpoint{Model: "m@v", Tier: celerylanding.TierDisk}),
		target("t3", celerylanding.CachedCheckpoint{Model: "m@v", Tier: celerylanding.TierMemory}))
	assert.DeepEqual(t, placed(bench.round(time.Second, "m@v", "n@v")), []string{"m@v on t3"})
	assert.Equal(t, len(bench.round(2*time.Second, "m@v", "n@v")), 0, "one load at full speed at a time")
	bench.obey()
	assert.DeepEqual(t, placed(bench.round(2*time.Second, "m@v", "n@v")), []string{"n@v on t1"})
	bench.obey()
	assert.Equal(t, len(placed(bench.round(100*time.Millisecond))), 0, "the next token is not there yet")
	assert.DeepEqual(t, placed(bench.round(time.Second)), []string{"kept@v on t2"})
}

func TestAdapterWaitsForItsBase(t *testing.T) {
	bench := newBench(t, text, target("t1"))
	assert.DeepEqual(t, placed(bench.round(time.Second, "a")), []string{"m@v on t1"})
	assert.Equal(t, len(placed(bench.round(time.Second, "a"))), 0)
	bench.obey()
	assert.DeepEqual(t, placed(bench.round(time.Second, "a")), []string{"a on t1"})
}

func TestIdleReplicaIsEvictedForDemand(t *testing.T) {
	bench := newBench(t, text, target("t1"))
	bench.round(time.Second, "m@v")
	bench.obey()
	bench.round(time.Second)
	assert.Equal(t, len(bench.round(time.Second, "n@v")), 0, "a replica that was just loaded stays for a while")
	commands := bench.round(10*time.Second, "n@v")
	assert.Equal(t, commands[0].Advance.Event, string(state.EventUnload))
	bench.obey()
	assert.DeepEqual(t, placed(bench.round(time.Second, "n@v")), []string{"n@v on t1"})
}

func TestNoLoadWithoutWaitingRequests(t *testing.T) {
	bench := newBench(t, text, target("t1"), target("t2"))
	bench.round(time.Second, "m@v")
	bench.planner.Report(bench.now, "n", []celerylanding.DemandReport{{Model: "n@v", Waiting: 1, Patience: time.Second}})
	bench.obey()
	for range 5 {
		assert.Equal(t, len(placed(bench.round(2*time.Second))), 0)
	}
	assert.Equal(t, len(bench.state.ReplicasOf("n@v")), 0, "its waiters have left before the load began")
}

func TestFailedLoadIsNotRepeatedAtOnce(t *testing.T) {
	bench := newBench(t, text, target("t1"))
	bench.round(time.Second, "m@v")
	bench.round(100*time.Millisecond, "m@v")
	replica := bench.state.ReplicasOf("m@v")[0]
	bench.commit(state.Command{Advance: &state.Advance{Order: replica.Order(), Event: string(state.EventLoadFailed), Cause: "broken"}})
	assert.Equal(t, len(placed(bench.round(1500*time.Millisecond, "m@v"))), 0)
	assert.Equal(t, bench.state.Failure("m@v"), "broken")
	assert.Assert(t, bench.planner.Blocked("m@v") != "")
	assert.DeepEqual(t, placed(bench.round(2*time.Second, "m@v")), []string{"m@v on t1"})
}
