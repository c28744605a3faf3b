package waking

import (
	"maps"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// censusAge is how long a count of what is placed is used, which only decides about what nobody waits for; a count of 3,000 engines takes
// three milliseconds.
const censusAge = 150 * time.Millisecond

// prepareInterval is the time between two looks at an engine that had nothing to prepare.
const prepareInterval = 500 * time.Millisecond

// prepare returns an order that uses free places of an engine that nobody waits for: adapters that are nowhere, then models that
// are nowhere and whose weights lie here.
func (planner *Planner) prepare(now time.Time, eng *engine) *Order {
	if now.Before(eng.prepareDue) {
		return nil
	}
	if unit, ok := planner.missingAdapter(now, eng); ok {
		return &Order{Kind: celerylanding.OrderLoad, Unit: unit}
	}
	if id, ok := planner.missingModel(now, eng); ok {
		return &Order{Kind: celerylanding.OrderLoad, Unit: feed.Unit{Model: id}, Tier: eng.tier(id)}
	}
	eng.prepareDue = now.Add(prepareInterval)
	return nil
}

// missingAdapter returns the adapter of a model here with the most arrivals that no engine holds, if there is a free place for it.
func (planner *Planner) missingAdapter(now time.Time, eng *engine) (feed.Unit, bool) {
	if eng.adapterCount() >= eng.spec.AdapterSlots {
		return feed.Unit{}, false
	}
	var best feed.Unit
	highest := -1.0
	for _, id := range slices.Sorted(maps.Keys(eng.held)) {
		model, ok := eng.spec.Model(id)
		held := eng.held[id]
		if !ok || held.closing || !held.missing.IsZero() || eng.used()+model.AdapterWeights > eng.spec.Memory {
			continue
		}
		for _, adapter := range model.Adapters {
			unit := feed.Unit{Model: id, Adapter: adapter}
			rate := planner.demand[demandKey{eng.service, unit}].rate(now)
			if rate > highest && !planner.isPlaced(now, eng.service, unit) {
				best, highest = unit, rate
			}
		}
	}
	return best, highest >= 0
}

// missingModel returns the model with the most arrivals that no engine holds, whose weights lie here and that fits beside what the
// engine holds.
func (planner *Planner) missingModel(now time.Time, eng *engine) (celerylanding.ModelID, bool) {
	free := eng.spec.Memory - eng.used()
	var best celerylanding.ModelID
	highest := -1.0
	for _, model := range eng.spec.Models {
		if model.Weights > free || eng.held[model.ID] != nil || eng.tier(model.ID) == celerylanding.TierRemote {
			continue
		}
		rate := planner.modelRate(now, eng.service, model.ID)
		if rate > highest && !planner.isPlaced(now, eng.service, feed.Unit{Model: model.ID}) {
			best, highest = model.ID, rate
		}
	}
	return best, highest >= 0
}

// isPlaced reports whether some engine holds the unit or is about to.
func (planner *Planner) isPlaced(now time.Time, service celerylanding.ServiceID, unit feed.Unit) bool {
	if planner.placed == nil {
		planner.placed, planner.placedAt = planner.census(), now
	}
	return planner.placed[demandKey{service, unit}]
}

// census returns all units that engines hold or are about to.
func (planner *Planner) census() map[demandKey]bool {
	placed := make(map[demandKey]bool)
	for _, eng := range planner.engines {
		for _, order := range []*Order{eng.order, eng.adapterOrder} {
			if order != nil && order.Kind == celerylanding.OrderLoad {
				placed[demandKey{eng.service, order.Unit}] = true
			}
		}
		if !eng.isOpen() {
			continue
		}
		for id, held := range eng.held {
			placed[demandKey{eng.service, feed.Unit{Model: id}}] = true
			for adapter := range held.adapters {
				placed[demandKey{eng.service, feed.Unit{Model: id, Adapter: adapter}}] = true
			}
		}
	}
	return placed
}
