package loadplan

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
	loadedAt time.Time
	// adapters maps each adapter to the time from which it counts as loaded.
	adapters map[string]time.Time
	// missingSince is when the model was first absent from the engine's inventory without an unload order; zero while it is present.
	missingSince time.Time
	// draining is set when the model gets no new work because it is about to be unloaded.
	draining      bool
	drainingSince time.Time
}

// copyTiers names the local tiers that hold a copy of a model's weights.
type copyTiers struct {
	disk, memory bool
}

// engine is the planner's state of one incarnation of a model engine.
type engine struct {
	endpoint celerylanding.Endpoint
	service  celerylanding.ServiceID
	spec     *routing.Engine
	software celerylanding.SoftwareVersion
	usable   bool
	// sequence is the sequence number of the last announcement whose inventory was applied.
	sequence uint64
	// suspect is set when the engine does not answer orders or another target answers at its address, until its next announcement.
	suspect bool
	// limit is the number of requests per second that the engine takes, while isLimited is set.
	limit     float64
	isLimited bool
	load      engineLoad
	residents map[celerylanding.ModelID]*resident
	// cached holds the models whose weights the engine has a local copy of.
	cached map[celerylanding.ModelID]copyTiers

	// accepted is the number of orders that the engine has accepted; it is valid only while isAcceptedKnown is set.
	accepted        uint64
	isAcceptedKnown bool
	inspectDue      time.Time
	inspecting      bool
	// unanswered counts consecutive orders without an answer.
	unanswered int
	// order is the order in progress for a model, or nil; the engine refuses all others meanwhile.
	order *Order
	// inheritedFetch is the model that the engine is loading from the store on an earlier leader's order, or "".
	inheritedFetch celerylanding.ModelID
	// adapterOrder is the order for an adapter that the engine has not answered yet, or nil.
	adapterOrder *Order
	// preloadDue is when to check again whether there is something to preload.
	preloadDue time.Time
	// queue holds the pending loads that are assigned to this engine, next one first.
	queue []*pendingLoad
}

func (eng *engine) weights(id celerylanding.ModelID) celerylanding.Bytes {
	if model, ok := eng.spec.Model(id); ok {
		return model.Weights
	}
	// A model that is not in the configuration is assumed to be as large as the largest configured model.
	var largest celerylanding.Bytes
	for _, model := range eng.spec.Models {
		largest = max(largest, model.Weights)
	}
	return largest
}

// used returns the memory of the models and adapters that are loaded or being loaded on the engine.
func (eng *engine) used() celerylanding.Bytes {
	var sum celerylanding.Bytes
	for id, resident := range eng.residents {
		model, _ := eng.spec.Model(id)
		sum += eng.weights(id) + celerylanding.Bytes(len(resident.adapters))*model.AdapterWeights
	}
	if order := eng.order; order != nil && order.Kind == celerylanding.OrderLoad && eng.residents[order.Unit.Model] == nil {
		sum += eng.weights(order.Unit.Model)
	}
	return sum
}

func (eng *engine) adapterCount() int {
	count := 0
	for _, resident := range eng.residents {
		count += len(resident.adapters)
	}
	return count
}

// tier returns the tier that a load would read the weights from.
func (eng *engine) tier(id celerylanding.ModelID) celerylanding.Tier {
	switch tiers := eng.cached[id]; {
	case tiers.memory:
		return celerylanding.TierMemory
	case tiers.disk:
		return celerylanding.TierDisk
	}
	return celerylanding.TierRemote
}

// loadTime returns the expected time of a load of the model on this engine, or 0 for a model that is not in the configuration.
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

// canServe reports whether new requests for the unit can run on the engine.
func (eng *engine) canServe(now time.Time, unit feed.Unit) bool {
	resident := eng.residents[unit.Model]
	if resident == nil || resident.draining || !resident.missingSince.IsZero() {
		return false
	}
	if unit.Adapter == "" {
		return true
	}
	ready, ok := resident.adapters[unit.Adapter]
	return ok && !now.Before(ready)
}

// isLoading reports whether the order in progress loads the model.
func (eng *engine) isLoading(id celerylanding.ModelID) bool {
	return eng.order != nil && eng.order.Kind == celerylanding.OrderLoad && eng.order.Unit.Model == id
}

// isFetching reports whether the engine is available and loading from the store.
func (eng *engine) isFetching() bool {
	return eng.isAvailable() && (isFetch(eng.order) || eng.inheritedFetch != "")
}

// willLoad reports whether the engine is loading the model or has a load of it queued.
func (eng *engine) willLoad(id celerylanding.ModelID) bool {
	return eng.isLoading(id) || eng.inheritedFetch == id || slices.ContainsFunc(eng.queue, func(load *pendingLoad) bool { return load.unit.Model == id })
}

// isAvailable reports whether the engine can take new work.
func (eng *engine) isAvailable() bool { return eng.usable && !eng.suspect }

// loadedModels returns the engine's models as they are published to routers.
func (eng *engine) loadedModels(now time.Time) []feed.LoadedModel {
	list := make([]feed.LoadedModel, 0, len(eng.residents))
	for _, id := range slices.Sorted(maps.Keys(eng.residents)) {
		resident := eng.residents[id]
		entry := feed.LoadedModel{Model: id, Draining: resident.draining || !resident.missingSince.IsZero()}
		for _, adapter := range slices.Sorted(maps.Keys(resident.adapters)) {
			if !now.Before(resident.adapters[adapter]) {
				entry.Adapters = append(entry.Adapters, adapter)
			}
		}
		list = append(list, entry)
	}
	return list
}
