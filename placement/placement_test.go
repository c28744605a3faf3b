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

// plannerHarness drives a planner like the leader: it commits every command before the next round.
type plannerHarness struct {
	t         *testing.T
	state     *state.State
	directory *membership.Directory
	planner   *placement.Planner
	index     uint64
	now       time.Time
}

func newHarness(t *testing.T, text string, targets ...celerylanding.Announcement) *plannerHarness {
	t.Helper()
	fresh, err := state.New()
	assert.NilError(t, err)
	directory, err := membership.NewDirectory(time.Hour)
	assert.NilError(t, err)
	harness := &plannerHarness{t: t, state: fresh, directory: directory, planner: placement.New(start), now: start}
	harness.commit(state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "b", Base: text}}})
	for _, target := range targets {
		target.Incarnation, target.Sequence, target.Kind, target.Group, target.Memory = 1, 1, celerylanding.KindEngine, "g", 80*gib
		directory.Observe(start, target)
		harness.commit(state.Command{Register: &state.Register{Target: state.Target{ID: target.Target, Incarnation: 1, Domain: target.Domain,
			Group: "g", Kind: target.Kind, Memory: target.Memory}}})
	}
	return harness
}

func (harness *plannerHarness) commit(command state.Command) state.Result {
	harness.t.Helper()
	data, err := state.Encode(command)
	assert.NilError(harness.t, err)
	harness.index++
	return harness.state.Apply(harness.index, data)
}

// round advances the time, reports one waiting request for each given model and commits the commands of one placement round.
func (harness *plannerHarness) round(elapsed time.Duration, waiting ...celerylanding.ModelID) []state.Command {
	harness.t.Helper()
	harness.now = harness.now.Add(elapsed)
	for _, model := range waiting {
		harness.planner.Report(harness.now, "n", []celerylanding.DemandReport{{Model: model, Waiting: 1, MaxWait: 10 * time.Second}})
	}
	commands := harness.planner.Decide(harness.now, harness.state, harness.directory)
	for _, command := range commands {
		result := harness.commit(command)
		assert.Equal(harness.t, result.Code, state.CodeAccepted, result.Detail)
	}
	return commands
}

// completeOrders finishes all open loads and unloads successfully.
func (harness *plannerHarness) completeOrders() {
	for _, replica := range harness.state.Replicas() {
		event := state.EventLoaded
		if replica.State() == state.StateUnloading {
			event = state.EventAbsent
		}
		harness.commit(state.Command{Advance: &state.Advance{Order: replica.Order(), Event: string(event)}})
	}
}

const siteText = `revision: 1
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

func placements(commands []state.Command) []string {
	var list []string
	for _, command := range commands {
		if command.Place != nil {
			list = append(list, string(command.Place.Model)+" on "+string(command.Place.Target))
		}
	}
	return list
}

// TestNearestCheckpointWithinTheStoresLimits guards against loads that ignore cached checkpoints or exceed the weight store's concurrency
// and rate limits.
func TestNearestCheckpointWithinTheStoresLimits(t *testing.T) {
	withMinimum := strings.Replace(siteText, "adapters:", "  kept: {group: g, replicas: {min: 1}, versions: {v: {memory: 10GiB}}}\nadapters:", 1)
	harness := newHarness(t, withMinimum, target("t1"), target("t2", celerylanding.CachedCheckpoint{Model: "m@v", Tier: celerylanding.TierDisk}),
		target("t3", celerylanding.CachedCheckpoint{Model: "m@v", Tier: celerylanding.TierMemory}))
	assert.DeepEqual(t, placements(harness.round(time.Second, "m@v", "n@v")), []string{"m@v on t3"})
	assert.Equal(t, len(harness.round(2*time.Second, "m@v", "n@v")), 0, "one load at full speed at a time")
	harness.completeOrders()
	assert.DeepEqual(t, placements(harness.round(2*time.Second, "m@v", "n@v")), []string{"n@v on t1"})
	harness.completeOrders()
	assert.Equal(t, len(placements(harness.round(100*time.Millisecond))), 0, "the next load token is not available yet")
	assert.DeepEqual(t, placements(harness.round(time.Second)), []string{"kept@v on t2"})
}

// TestAdapterWaitsForItsBase guards against an adapter that is placed before its base model is ready on the target.
func TestAdapterWaitsForItsBase(t *testing.T) {
	harness := newHarness(t, siteText, target("t1"))
	assert.DeepEqual(t, placements(harness.round(time.Second, "a")), []string{"m@v on t1"})
	assert.Equal(t, len(placements(harness.round(time.Second, "a"))), 0)
	harness.completeOrders()
	assert.DeepEqual(t, placements(harness.round(time.Second, "a")), []string{"a on t1"})
}

// TestIdleReplicaIsEvictedForDemand guards against a model that cannot load because idle replicas hold the memory, and against the
// eviction of a replica that was just loaded.
func TestIdleReplicaIsEvictedForDemand(t *testing.T) {
	harness := newHarness(t, siteText, target("t1"))
	harness.round(time.Second, "m@v")
	harness.completeOrders()
	harness.round(time.Second)
	assert.Equal(t, len(harness.round(time.Second, "n@v")), 0, "a replica is not evicted before its minimum residence")
	commands := harness.round(10*time.Second, "n@v")
	assert.Equal(t, commands[0].Advance.Event, string(state.EventUnload))
	harness.completeOrders()
	assert.DeepEqual(t, placements(harness.round(time.Second, "n@v")), []string{"n@v on t1"})
}

// TestNoLoadWithoutWaitingRequests guards against a load that starts after the deadlines of all waiting requests have passed.
func TestNoLoadWithoutWaitingRequests(t *testing.T) {
	harness := newHarness(t, siteText, target("t1"), target("t2"))
	harness.round(time.Second, "m@v")
	harness.planner.Report(harness.now, "n", []celerylanding.DemandReport{{Model: "n@v", Waiting: 1, MaxWait: time.Second}})
	harness.completeOrders()
	for range 5 {
		assert.Equal(t, len(placements(harness.round(2*time.Second))), 0)
	}
	assert.Equal(t, len(harness.state.ReplicasOf("n@v")), 0, "the deadline of its waiting request passed before the load began")
}

// TestFailedLoadIsNotRepeatedAtOnce guards against a load that is repeated without backoff after a failure.
func TestFailedLoadIsNotRepeatedAtOnce(t *testing.T) {
	harness := newHarness(t, siteText, target("t1"))
	harness.round(time.Second, "m@v")
	harness.round(100*time.Millisecond, "m@v")
	replica := harness.state.ReplicasOf("m@v")[0]
	harness.commit(state.Command{Advance: &state.Advance{Order: replica.Order(), Event: string(state.EventLoadFailed), Cause: "broken"}})
	assert.Equal(t, len(placements(harness.round(1500*time.Millisecond, "m@v"))), 0)
	assert.Equal(t, harness.state.Failure("m@v"), "broken")
	assert.Assert(t, harness.planner.Blocked("m@v") != "")
	assert.DeepEqual(t, placements(harness.round(2*time.Second, "m@v")), []string{"m@v on t1"})
}
