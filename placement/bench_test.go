package placement_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/placement"
	"celerylanding.example/celerylanding/state"
)

const gib = 1 << 30

// newSite returns a state and directory with the given numbers of targets and models; every third model has a ready replica.
func newSite(t testing.TB, targets, models int) (*state.State, *membership.Directory) {
	t.Helper()
	fresh, err := state.New()
	assert.NilError(t, err)
	directory, err := membership.NewDirectory(time.Hour)
	assert.NilError(t, err)
	index := uint64(0)
	apply := func(command state.Command) {
		data, err := state.Encode(command)
		assert.NilError(t, err)
		index++
		result := fresh.Apply(index, data)
		assert.Equal(t, result.Code, state.CodeAccepted, result.Detail)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "revision: 1\nsite: s\ngroups:\n  g: {target_memory: 640GiB}\nmodels:\n")
	for i := range models {
		fmt.Fprintf(&text, "  m%d: {group: g, versions: {v: {memory: 1GiB}}}\n", i)
	}
	text.WriteString("store: {loads_per_second: 10000, full_speed_loads: 10000}\n")
	apply(state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "b", Base: text.String()}}})
	for i := range targets {
		registered := state.Target{ID: celerylanding.TargetID(fmt.Sprintf("t%d", i)), Incarnation: 1, Domain: "d", Group: "g",
			Address: "127.0.0.1:1", Kind: celerylanding.KindEngine, Memory: 640 * gib}
		apply(state.Command{Register: &state.Register{Target: registered}})
		directory.Observe(start, celerylanding.Announcement{Target: registered.ID, Incarnation: 1, Sequence: 1, Domain: "d", Group: "g",
			Address: registered.Address, Kind: registered.Kind, Memory: registered.Memory})
	}
	for i := 0; i < models; i += 3 {
		apply(state.Command{Place: &state.Place{Model: celerylanding.ModelID(fmt.Sprintf("m%d@v", i)),
			Target: celerylanding.TargetID(fmt.Sprintf("t%d", i%targets)), Incarnation: 1}})
		apply(state.Command{Advance: &state.Advance{Order: state.OrderAt(index, 0), Event: string(state.EventLoaded)}})
	}
	return fresh, directory
}

var start = time.Unix(1_000_000, 0)

// BenchmarkDecide measures one placement round with an unchanged state and demand for six models that are not loaded.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ targets, models int }{{12, 100}, {100, 1000}, {600, 8000}, {600, 32500}} {
		b.Run(fmt.Sprintf("targets=%d/models=%d", size.targets, size.models), func(b *testing.B) {
			current, directory := newSite(b, size.targets, size.models)
			planner := placement.New(start)
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				var reports []celerylanding.DemandReport
				for i := range 6 {
					reports = append(reports, celerylanding.DemandReport{Model: celerylanding.ModelID(fmt.Sprintf("m%d@v", 3*i+1)),
						Waiting: 1, MaxWait: time.Second})
				}
				planner.Report(now, "n", reports)
				planner.Decide(now, current, directory)
			}
		})
	}
}

// BenchmarkState measures the size of the replicated state in memory and as a snapshot, and the time to take the snapshot.
func BenchmarkState(b *testing.B) {
	for _, models := range []int{1000, 8000, 32500} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			current, directory := newSite(b, 600, models)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var size int
			for b.Loop() {
				data, err := current.Snapshot()
				assert.NilError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MiB")
			b.ReportMetric(float64(size)/(1<<20), "snapshot-MiB")
			runtime.KeepAlive(directory)
		})
	}
}

// BenchmarkRestore measures a restart from a snapshot.
func BenchmarkRestore(b *testing.B) {
	for _, models := range []int{1000, 32500} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			current, _ := newSite(b, 600, models)
			data, err := current.Snapshot()
			assert.NilError(b, err)
			for b.Loop() {
				_, err := state.Restore(data)
				assert.NilError(b, err)
			}
		})
	}
}
