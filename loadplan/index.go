package loadplan

import (
	"slices"
	"strings"

	celerylanding "celerylanding.example/celerylanding"
)

// modelKey identifies a model of a service.
type modelKey struct {
	service celerylanding.ServiceID
	model   celerylanding.ModelID
}

// modelEngines lists the engines that matter for one model, so that a decision about it does not visit all engines.
type modelEngines struct {
	// holders are the engines that have the model in memory, available or not.
	holders []*engine
	// copies are the engines that have a local copy of the model's weights, available or not.
	copies []*engine
}

// modelIndex maps each model to its engines.
type modelIndex map[modelKey]*modelEngines

func (index modelIndex) entry(key modelKey) *modelEngines {
	entry := index[key]
	if entry == nil {
		entry = &modelEngines{}
		index[key] = entry
	}
	return entry
}

func (index modelIndex) holders(service celerylanding.ServiceID, id celerylanding.ModelID) []*engine {
	if entry := index[modelKey{service, id}]; entry != nil {
		return entry.holders
	}
	return nil
}

func (index modelIndex) copies(service celerylanding.ServiceID, id celerylanding.ModelID) []*engine {
	if entry := index[modelKey{service, id}]; entry != nil {
		return entry.copies
	}
	return nil
}

// addHolder records that the engine has the model in memory.
func (index modelIndex) addHolder(eng *engine, id celerylanding.ModelID) {
	entry := index.entry(modelKey{eng.service, id})
	entry.holders = append(entry.holders, eng)
}

// removeHolder records that the engine no longer has the model in memory.
func (index modelIndex) removeHolder(eng *engine, id celerylanding.ModelID) {
	entry := index.entry(modelKey{eng.service, id})
	entry.holders = without(entry.holders, eng)
}

func (index modelIndex) addCopy(eng *engine, id celerylanding.ModelID) {
	entry := index.entry(modelKey{eng.service, id})
	entry.copies = append(entry.copies, eng)
}

func (index modelIndex) removeCopy(eng *engine, id celerylanding.ModelID) {
	entry := index.entry(modelKey{eng.service, id})
	entry.copies = without(entry.copies, eng)
}

// addEngine records all models and copies of an engine.
func (index modelIndex) addEngine(eng *engine) {
	for id := range eng.residents {
		index.addHolder(eng, id)
	}
	for id := range eng.cached {
		index.addCopy(eng, id)
	}
}

// removeEngine removes all records of an engine.
func (index modelIndex) removeEngine(eng *engine) {
	for id := range eng.residents {
		index.removeHolder(eng, id)
	}
	for id := range eng.cached {
		index.removeCopy(eng, id)
	}
}

// without returns the list without the engine; the order of the others may change.
func without(list []*engine, eng *engine) []*engine {
	at := slices.Index(list, eng)
	if at < 0 {
		return list
	}
	last := len(list) - 1
	list[at], list[last] = list[last], nil
	return list[:last]
}

// addResident records that the engine has the model in memory.
func (planner *Planner) addResident(eng *engine, id celerylanding.ModelID, added *resident) {
	eng.residents[id] = added
	planner.index.addHolder(eng, id)
}

// removeResident records that the engine no longer has the model in memory.
func (planner *Planner) removeResident(eng *engine, id celerylanding.ModelID) {
	if eng.residents[id] == nil {
		return
	}
	delete(eng.residents, id)
	planner.index.removeHolder(eng, id)
}

// setCached replaces the record of the engine's local copies.
func (planner *Planner) setCached(eng *engine, cached []celerylanding.CachedCheckpoint) {
	next := make(map[celerylanding.ModelID]copyTiers, len(cached))
	for _, entry := range cached {
		tiers := next[entry.Model]
		if entry.Tier == celerylanding.TierMemory {
			tiers.memory = true
		} else {
			tiers.disk = true
		}
		next[entry.Model] = tiers
	}
	for id := range eng.cached {
		if _, ok := next[id]; !ok {
			planner.index.removeCopy(eng, id)
		}
	}
	for id := range next {
		if _, ok := eng.cached[id]; !ok {
			planner.index.addCopy(eng, id)
		}
	}
	eng.cached = next
}

// addEngine adds an engine to the planner.
func (planner *Planner) addEngine(id celerylanding.TargetID, eng *engine) {
	planner.engines[id] = eng
	at, _ := slices.BinarySearchFunc(planner.ordered, id, compareTarget)
	planner.ordered = slices.Insert(planner.ordered, at, eng)
}

// dropEngine removes an engine from the planner and clears its queue; without such an engine it does nothing.
func (planner *Planner) dropEngine(id celerylanding.TargetID) {
	eng := planner.engines[id]
	if eng == nil {
		return
	}
	planner.clearQueue(eng)
	planner.index.removeEngine(eng)
	delete(planner.engines, id)
	if at, ok := slices.BinarySearchFunc(planner.ordered, id, compareTarget); ok {
		planner.ordered = slices.Delete(planner.ordered, at, at+1)
	}
}

func compareTarget(eng *engine, id celerylanding.TargetID) int {
	return strings.Compare(string(eng.endpoint.Target), string(id))
}
