package loadplan_test

import (
	"fmt"
	"testing"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/routing"
)

// siteSize is the size of a site on which a planning round is measured.
type siteSize struct {
	engines, models int
	// wakes is the number of wakes in each round.
	wakes int
}

// siteSizes are a grown site, the large deployment and the target size of the project.
var siteSizes = []siteSize{{90, 320, 2}, {256, 917, 6}, {600, 1500, 13}}

// spec returns the settings of the site's engines; ten of the models have many adapters.
func (size siteSize) spec() *routing.Engine {
	engine := &routing.Engine{Slots: 12, Memory: 200 * gigabyte, AdapterSlots: 8, StoreLoadsPerSecond: 37}
	for i := range size.models {
		model := routing.Model{ID: celerylanding.ModelID(fmt.Sprintf("m%d", i)), Weights: 60 * gigabyte, AdapterWeights: gigabyte / 10,
			StoreLoadTime: 10 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second / 2}
		if i < 10 {
			for adapter := range 44 {
				model.Adapters = append(model.Adapters, fmt.Sprintf("a%d", adapter+1))
			}
		}
		engine.Models = append(engine.Models, model)
	}
	engine.BuildIndex()
	return engine
}

// planner returns a planner that knows all engines of the site and has counted an arrival for each model.
func (size siteSize) planner(now time.Time) *loadplan.Planner {
	planner, spec := loadplan.New(time.Time{}), size.spec()
	for i := range size.engines {
		announcement := celerylanding.Announcement{Target: celerylanding.TargetID(fmt.Sprintf("e%d", i)), Incarnation: 1, Sequence: 1, Group: "s"}
		for slot := range 3 {
			id := celerylanding.ModelID(fmt.Sprintf("m%d", (i*3+slot)%size.models))
			if slot == 0 {
				id = celerylanding.ModelID(fmt.Sprintf("m%d", i%10))
			}
			announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: id})
		}
		for copied := range 13 {
			announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{
				Model: celerylanding.ModelID(fmt.Sprintf("m%d", (i*13+copied)%size.models)), Tier: celerylanding.TierDisk})
		}
		planner.Observe(now, announcement, spec, true)
		planner.HandleReport(now, celerylanding.Endpoint{Target: announcement.Target, Incarnation: 1}, &loadplan.Report{Inventory: announcement.Inventory})
	}
	for i := range size.models {
		planner.RecordUsage(now, "n", "s", feed.Usage{Unit: feed.Unit{Model: celerylanding.ModelID(fmt.Sprintf("m%d", i))}, Arrivals: 1, Urgency: 1})
	}
	return planner
}

// round plays the wakes that arrive between two rounds, the step and the outcomes of its orders.
func (size siteSize) round(now time.Time, planner *loadplan.Planner) {
	for i := range size.wakes {
		unit := feed.Unit{Model: celerylanding.ModelID(fmt.Sprintf("m%d", int(now.UnixNano()/1e6+int64(i*7))%size.models))}
		planner.Wake(now, feed.WakeArgs{Node: "n", Service: "s", Unit: unit, Waiting: 1, MaxWait: 2 * time.Second})
	}
	for _, order := range planner.Step(now).Orders {
		planner.HandleOutcome(now, order, loadplan.OutcomeAccepted)
	}
}

// BenchmarkStep measures one round of the planner.
func BenchmarkStep(b *testing.B) {
	for _, size := range siteSizes {
		b.Run(fmt.Sprintf("engines=%d,models=%d", size.engines, size.models), func(b *testing.B) {
			now := start
			planner := size.planner(now)
			for b.Loop() {
				now = now.Add(20 * time.Millisecond)
				size.round(now, planner)
			}
		})
	}
}
