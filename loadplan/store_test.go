package loadplan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/routing"
)

// storeSite is a site of empty engines before a weight store that serves some loads at full speed and lets more of them share its bandwidth.
type storeSite struct {
	planner   *loadplan.Planner
	now       time.Time
	fullSpeed int
	remaining map[celerylanding.TargetID]time.Duration
	orders    map[celerylanding.TargetID]loadplan.Order
	accepted  map[celerylanding.TargetID]uint64
	held      map[celerylanding.TargetID][]celerylanding.ModelID
	sequence  uint64
	spec      *routing.Engine
	mostBusy  int
}

const storeLoadTime = 10 * time.Second

func newStoreSite(engines, models, fullSpeed int) *storeSite {
	site := &storeSite{planner: loadplan.New(time.Time{}), now: start, fullSpeed: fullSpeed, remaining: make(map[celerylanding.TargetID]time.Duration),
		orders: make(map[celerylanding.TargetID]loadplan.Order), accepted: make(map[celerylanding.TargetID]uint64),
		held: make(map[celerylanding.TargetID][]celerylanding.ModelID),
		spec: &routing.Engine{Slots: 16, Memory: 70 * gigabyte, StoreLoadsPerSecond: 120}}
	for i := range models {
		site.spec.Models = append(site.spec.Models, routing.Model{ID: celerylanding.ModelID(fmt.Sprintf("m%d", i)), Weights: 30 * gigabyte,
			StoreLoadTime: storeLoadTime, DiskLoadTime: time.Second, MemoryLoadTime: time.Second})
	}
	for i := range engines {
		id := celerylanding.TargetID(fmt.Sprintf("e%02d", i))
		site.announce(id)
		site.planner.HandleReport(site.now, celerylanding.Endpoint{Target: id, Incarnation: 1}, &loadplan.Report{Incarnation: 1})
	}
	return site
}

func (site *storeSite) announce(id celerylanding.TargetID) {
	site.sequence++
	announcement := celerylanding.Announcement{Target: id, Incarnation: 1, Sequence: site.sequence, Group: "s", Address: "10.0.0.1:1"}
	for _, model := range site.held[id] {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: model})
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: model, Tier: celerylanding.TierDisk})
	}
	site.planner.Observe(site.now, announcement, site.spec, true)
}

// run lets the site work for a time, and returns the number of models that engines have at its end.
func (site *storeSite) run(length time.Duration) int {
	const tick = 50 * time.Millisecond
	for end := site.now.Add(length); site.now.Before(end); site.now = site.now.Add(tick) {
		share := min(1, float64(site.fullSpeed)/float64(max(1, len(site.remaining))))
		site.mostBusy = max(site.mostBusy, len(site.remaining))
		for id := range site.remaining {
			if site.remaining[id] -= time.Duration(share * float64(tick)); site.remaining[id] <= 0 {
				delete(site.remaining, id)
				site.held[id] = append(site.held[id], site.orders[id].Unit.Model)
				site.announce(id)
			}
		}
		for _, order := range site.planner.Step(site.now).Orders {
			id := order.Endpoint.Target
			site.accepted[id]++
			site.orders[id], site.remaining[id] = order, storeLoadTime
			site.planner.HandleOutcome(site.now, order, loadplan.OutcomeAccepted)
		}
	}
	models := 0
	for _, held := range site.held {
		models += len(held)
	}
	return models
}

// TestModelsWithoutACopyAreFetchedBeforeTheFirstRequest guards against a store that is idle until callers wait for it: no engine has any
// model at the start, and nobody has asked yet.
func TestModelsWithoutACopyAreFetchedBeforeTheFirstRequest(t *testing.T) {
	site := newStoreSite(24, 20, 4)
	// Before traffic starts, the first loads end.
	assert.Assert(t, site.run(14*time.Second) >= 3)
	models := site.run(60 * time.Second)
	assert.Equal(t, models, 20, "each model is loaded once")

	// Where nearly all models are missing, it is not known which ones will be asked for.
	site = newStoreSite(18, 700, 10)
	assert.Equal(t, site.run(14*time.Second), 0)
}

// TestStoreLimitFollowsItsCapacity guards against a limit of concurrent loads that takes a minute to find what the store serves, or that
// overloads it: the store serves ten or four loads at full speed.
func TestStoreLimitFollowsItsCapacity(t *testing.T) {
	for _, tc := range []struct {
		fullSpeed int
		// least is the number of models that are loaded after 45 s: at full speed from the second round on, a tenth less. mostBusy is the largest
		// number of concurrent loads that is allowed: twice the store's capacity.
		least, mostBusy int
	}{{10, 16, 20}, {4, 13, 8}} {
		t.Run(fmt.Sprint(tc.fullSpeed), func(t *testing.T) {
			site := newStoreSite(40, 40, tc.fullSpeed)
			models := site.run(45 * time.Second)
			assert.Assert(t, models >= tc.least, "%d models", models)
			assert.Assert(t, site.mostBusy <= tc.mostBusy, "%d loads at a time", site.mostBusy)
		})
	}
}
