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

// largeSpec returns the engine settings of a large site: 320 models, of which ten have many adapters.
func largeSpec() *routing.Engine {
	engine := &routing.Engine{Slots: 12, Memory: 200 * gigabyte, AdapterSlots: 8, StoreLoadsPerSecond: 37}
	for i := range 320 {
		model := routing.Model{ID: celerylanding.ModelID(fmt.Sprintf("m%d", i)), Weights: 60 * gigabyte, AdapterWeights: gigabyte / 10,
			StoreLoadTime: 10 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second / 2}
		if i < 10 {
			for adapter := range 44 {
				model.Adapters = append(model.Adapters, fmt.Sprintf("a%d", adapter+1))
			}
		}
		engine.Models = append(engine.Models, model)
	}
	return engine
}

func largePlanner(now time.Time) (*loadplan.Planner, *routing.Engine) {
	planner, spec := loadplan.New(time.Time{}), largeSpec()
	for i := range 90 {
		announcement := celerylanding.Announcement{Target: celerylanding.TargetID(fmt.Sprintf("e%d", i)), Incarnation: 1, Sequence: 1, Group: "s"}
		for slot := range 3 {
			id := celerylanding.ModelID(fmt.Sprintf("m%d", (i*3+slot)%320))
			if slot == 0 {
				id = celerylanding.ModelID(fmt.Sprintf("m%d", i%10))
			}
			announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: id})
		}
		for copied := range 13 {
			announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{
				Model: celerylanding.ModelID(fmt.Sprintf("m%d", (i*13+copied)%320)), Tier: celerylanding.TierDisk})
		}
		planner.Observe(now, announcement, spec, true)
		planner.HandleReport(now, celerylanding.Endpoint{Target: announcement.Target, Incarnation: 1}, &loadplan.Report{Inventory: announcement.Inventory})
	}
	for i := range 320 {
		planner.RecordUsage(now, "n", "s", feed.Usage{Unit: feed.Unit{Model: celerylanding.ModelID(fmt.Sprintf("m%d", i))}, Arrivals: 1, Urgency: 1})
	}
	return planner, spec
}

// BenchmarkStep measures one step of the planner at the size of a large site, with about forty units waiting.
func BenchmarkStep(b *testing.B) {
	now := start
	planner, _ := largePlanner(now)
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		for i := range 2 {
			unit := feed.Unit{Model: celerylanding.ModelID(fmt.Sprintf("m%d", int(now.UnixNano()/1e6+int64(i*7))%320))}
			planner.Wake(now, feed.WakeArgs{Node: "n", Service: "s", Unit: unit, Waiting: 1, MaxWait: 2 * time.Second})
		}
		for _, order := range planner.Step(now).Orders {
			planner.HandleOutcome(now, order, loadplan.OutcomeAccepted)
		}
	}
}
