package waking

import (
	"maps"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// resident is a model in an engine's memory.
type resident struct {
	since time.Time
	// adapters maps each adapter to the time from which it counts as loaded.
	adapters map[string]time.Time
	// missing is since when the engine's announcements leave the model out though nobody has unloaded it; zero if they don't.
	missing time.Time
	// closing is set when the model gets no new work because it is about to be unloaded.
	closing     bool
	closedSince time.Time
}

// engine is one incarnation of a model engine as the planner knows it.
type engine struct {
	endpoint celerylanding.Endpoint
	service  celerylanding.ServiceID
	spec     *routing.Engine
	usable   bool
	// sequence numbers the last announcement that was taken.
	sequence uint64
	// suspect is set when the engine does not answer orders, until it is heard of again.
	suspect  bool
	held     map[celerylanding.ModelID]*resident
	onDisk   map[celerylanding.ModelID]bool
	inMemory map[celerylanding.ModelID]bool

	// accepted is the number of orders that the engine has accepted, while isCountKnown.
	accepted     uint64
	isCountKnown bool
	inspectDue   time.Time
	inspecting   bool
	// unanswered counts the orders in a row that got no answer.
	unanswered int
	// order is the one for a model that is under way; the engine refuses all others meanwhile.
	order *Order
	// inherited is the model that the engine loads from the store on the order of an earlier leader, until it shows; else "".
	inherited celerylanding.ModelID
	// adapterOrder is the one for an adapter whose answer has not come yet.
	adapterOrder *Order
	// prepareDue is when to look again for something to prepare.
	prepareDue time.Time
	// wants are the units that wait for this engine, the first one next.
	wants []*want
}

func (eng *engine) weights(id celerylanding.ModelID) celerylanding.Bytes {
	if model, ok := eng.spec.Model(id); ok {
		return model.Weights
	}
	// A model that the configuration does not know may take as much as the largest one.
	var largest celerylanding.Bytes
	for _, model := range eng.spec.Models {
		largest = max(largest, model.Weights)
	}
	return largest
}

// used returns the memory that is taken by what the engine holds or is about to hold.
func (eng *engine) used() celerylanding.Bytes {
	var sum celerylanding.Bytes
	for id, held := range eng.held {
		model, _ := eng.spec.Model(id)
		sum += eng.weights(id) + celerylanding.Bytes(len(held.adapters))*model.AdapterWeights
	}
	if order := eng.order; order != nil && order.Kind == celerylanding.OrderLoad && eng.held[order.Unit.Model] == nil {
		sum += eng.weights(order.Unit.Model)
	}
	return sum
}

func (eng *engine) adapterCount() int {
	count := 0
	for _, held := range eng.held {
		count += len(held.adapters)
	}
	return count
}

// tier returns where a load would take the weights from.
func (eng *engine) tier(id celerylanding.ModelID) celerylanding.Tier {
	switch {
	case eng.inMemory[id]:
		return celerylanding.TierMemory
	case eng.onDisk[id]:
		return celerylanding.TierDisk
	}
	return celerylanding.TierRemote
}

// loadTime returns how long a load of the model takes here.
func (eng *engine) loadTime(id celerylanding.ModelID) time.Duration {
	model, ok := eng.spec.Model(id)
	if !ok {
		return 0
	}
	switch eng.tier(id) {
	case celerylanding.TierMemory:
		return model.MemoryLoadTime
	case celerylanding.TierDisk:
		return model.DiskLoadTime
	}
	return model.StoreLoadTime
}

// holds reports whether requests for the unit can run here at the time.
func (eng *engine) holds(now time.Time, unit feed.Unit) bool {
	held := eng.held[unit.Model]
	if held == nil || held.closing || !held.missing.IsZero() {
		return false
	}
	if unit.Adapter == "" {
		return true
	}
	ready, ok := held.adapters[unit.Adapter]
	return ok && !now.Before(ready)
}

// isLoading reports whether the engine is loading the model.
func (eng *engine) isLoading(id celerylanding.ModelID) bool {
	return eng.order != nil && eng.order.Kind == celerylanding.OrderLoad && eng.order.Unit.Model == id
}

// isFetching reports whether the engine takes part of the store's width.
func (eng *engine) isFetching() bool {
	return eng.isOpen() && (isFetch(eng.order) || eng.inherited != "")
}

// isComing reports whether the engine is loading the model or will, for requests that wait.
func (eng *engine) isComing(id celerylanding.ModelID) bool {
	return eng.isLoading(id) || eng.inherited == id || slices.ContainsFunc(eng.wants, func(want *want) bool { return want.unit.Model == id })
}

// isOpen reports whether the engine can take new work.
func (eng *engine) isOpen() bool { return eng.usable && !eng.suspect }

// view returns what routers are told of the engine's models.
func (eng *engine) view(now time.Time) []feed.LoadedModel {
	list := make([]feed.LoadedModel, 0, len(eng.held))
	for _, id := range slices.Sorted(maps.Keys(eng.held)) {
		resident := eng.held[id]
		entry := feed.LoadedModel{Model: id, Draining: resident.closing || !resident.missing.IsZero()}
		for _, adapter := range slices.Sorted(maps.Keys(resident.adapters)) {
			if !now.Before(resident.adapters[adapter]) {
				entry.Adapters = append(entry.Adapters, adapter)
			}
		}
		list = append(list, entry)
	}
	return list
}
