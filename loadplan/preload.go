package loadplan

import (
	"maps"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// placedTTL is how long the set of placed units is cached; only preloads depend on it, and computing it for 3,000 engines takes three
// milliseconds.
const placedTTL = 150 * time.Millisecond

// preloadInterval is the time between two checks of an engine that had nothing to preload.
const preloadInterval = 500 * time.Millisecond

// preload returns a load for an engine without queued loads that has free slots or memory, or nil. It prefers an adapter that is
// loaded on no engine; otherwise it loads a model that is loaded on no engine and of which this engine has a local copy.
func (planner *Planner) preload(now time.Time, eng *engine) *Order {
	if now.Before(eng.preloadDue) {
		return nil
	}
	if unit, ok := planner.unplacedAdapter(now, eng); ok {
		return &Order{Kind: celerylanding.OrderLoad, Unit: unit}
	}
	if id, ok := planner.unplacedModel(now, eng); ok {
		return &Order{Kind: celerylanding.OrderLoad, Unit: feed.Unit{Model: id}, Tier: eng.tier(id)}
	}
	eng.preloadDue = now.Add(preloadInterval)
	return nil
}

// unplacedAdapter returns the adapter with the highest arrival rate among those of the engine's resident models that are loaded on no
// engine. The second result is false if there is none, or if no slot or memory is free.
func (planner *Planner) unplacedAdapter(now time.Time, eng *engine) (feed.Unit, bool) {
	if eng.adapterCount() >= eng.spec.AdapterSlots {
		return feed.Unit{}, false
	}
	var best feed.Unit
	highest := -1.0
	for _, id := range slices.Sorted(maps.Keys(eng.residents)) {
		model, ok := eng.spec.Model(id)
		resident := eng.residents[id]
		if !ok || resident.draining || !resident.missingSince.IsZero() || eng.used()+model.AdapterWeights > eng.spec.Memory {
			continue
		}
		for _, adapter := range model.Adapters {
			unit := feed.Unit{Model: id, Adapter: adapter}
			rate := planner.demand[demandKey{eng.service, unit}].Rate(now)
			if rate > highest && !planner.isPlaced(now, eng.service, unit) {
				best, highest = unit, rate
			}
		}
	}
	return best, highest >= 0
}

// unplacedModel returns the model with the highest arrival rate among those that are loaded on no engine, have a local copy on
// this engine and fit into its free memory. The second result is false if there is none.
func (planner *Planner) unplacedModel(now time.Time, eng *engine) (celerylanding.ModelID, bool) {
	free := eng.spec.Memory - eng.used()
	var best celerylanding.ModelID
	highest := -1.0
	for id := range eng.cached {
		model, ok := eng.spec.Model(id)
		if !ok || model.Weights > free || eng.residents[id] != nil {
			continue
		}
		rate := planner.modelRate(now, eng.service, model.ID)
		if (rate > highest || (rate == highest && id < best)) && !planner.isPlaced(now, eng.service, feed.Unit{Model: id}) {
			best, highest = id, rate
		}
	}
	return best, highest >= 0
}

// isPlaced reports whether the unit is loaded on an available engine or being loaded on any engine.
func (planner *Planner) isPlaced(now time.Time, service celerylanding.ServiceID, unit feed.Unit) bool {
	if planner.placed == nil {
		planner.placed, planner.placedAt = planner.placedUnits(), now
	}
	return planner.placed[demandKey{service, unit}]
}

// placedUnits returns all units that are loaded on available engines or being loaded on any engine.
func (planner *Planner) placedUnits() map[demandKey]bool {
	placed := make(map[demandKey]bool)
	for _, eng := range planner.engines {
		for _, order := range []*Order{eng.order, eng.adapterOrder} {
			if order != nil && order.Kind == celerylanding.OrderLoad {
				placed[demandKey{eng.service, order.Unit}] = true
			}
		}
		if !eng.isAvailable() {
			continue
		}
		for id, resident := range eng.residents {
			placed[demandKey{eng.service, feed.Unit{Model: id}}] = true
			for adapter := range resident.adapters {
				placed[demandKey{eng.service, feed.Unit{Model: id, Adapter: adapter}}] = true
			}
		}
	}
	return placed
}
