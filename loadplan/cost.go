package loadplan

import (
	"cmp"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// replicaRate is the number of arrivals per second that one replica serves without its batches slowing down the engine's other models:
	// a quarter of an engine's prefill rate.
	replicaRate = 12.0
	// underReplicatedCost is the delay in seconds of each arrival for a model with too few replicas for its arrivals or adapters.
	underReplicatedCost = 0.5
	// rerouteCost is the delay in seconds of each arrival that moves to another replica and misses its prompt cache.
	rerouteCost = 0.05
	// reloadWeight multiplies the delay of the next request for a model whose last replica is evicted.
	reloadWeight = 3.0
	// minResidency is how long a newly loaded model is protected from eviction, so that the requests that waited for it can start: one push
	// to the routers, their transit to the engine and the prefill of their prompts. A longer time evicts the other residents instead.
	minResidency = 500 * time.Millisecond
	// adapterSlotCost is the cost in seconds of an adapter, multiplied by the fraction of the engine's adapter slots that are taken. For an
	// engine that has yet to load the model, the fraction is 1. The cost is less than that of any load.
	adapterSlotCost = 0.1
	// adapterEvictionCost is the cost in seconds of evicting an adapter, which is likely to be requested again.
	adapterEvictionCost = 0.3
	// storeLoadCost is the cost in seconds of a load from the store in addition to its time, since all engines share the store.
	storeLoadCost = 3.0
	// limitedEngineCost is the cost in seconds for each waiting request of an engine that announces a limit on requests: it may have to be loaded
	// elsewhere soon, which takes a load from disk and the time to notice.
	limitedEngineCost = 2.0
	// maxLimitShare is the share of an engine's limit up to which the requests of one model leave room for the engine's other models.
	maxLimitShare = 0.25
)

// victim is a resident that can be evicted.
type victim struct {
	id   celerylanding.ModelID
	cost float64
}

// cost returns the cost of the load on the engine in request-seconds: the delay of the waiting requests, the evictions and the use of the
// store. The second result is false if the engine can't load the unit, or if the cost exceeds the limit.
func (planner *Planner) cost(now time.Time, eng *engine, load *pendingLoad, limit float64) (float64, bool) {
	id := load.unit.Model
	if load.replica != 0 && (eng.residents[id] != nil || planner.isQueued(eng, id)) {
		return 0, false
	}
	if resident := eng.residents[id]; resident != nil {
		return planner.adapterCost(now, eng, load), !resident.draining && resident.missingSince.IsZero()
	}
	if eng.willLoad(id) {
		// All units of a model share its load.
		return planner.backlog(now, eng, nil).Seconds()*float64(max(1, load.count())) + adapterSlotCost, true
	}
	cost := 0.0
	if eng.tier(id) == celerylanding.TierRemote {
		if load.replica != 0 {
			return 0, false
		}
		cost += storeLoadCost
	}
	wait := planner.backlog(now, eng, nil) + planner.setupTime(eng, load.unit)
	cost += wait.Seconds() * float64(max(1, load.count()))
	if load.replica > 0 {
		cost += planner.placementCost(now, eng)
	}
	if cost > limit {
		return 0, false
	}
	if _, ok := eng.spec.Model(id); !ok {
		return 0, false
	}
	victims, ok := planner.victims(now, eng, id)
	if !ok {
		return 0, false
	}
	for _, victim := range victims {
		cost += victim.cost
	}
	return cost, true
}

// adapterCost returns the cost in request-seconds of an adapter load on an engine on which the adapter's model is loaded.
func (planner *Planner) adapterCost(now time.Time, eng *engine, load *pendingLoad) float64 {
	cost := planner.orderRemaining(now, eng).Seconds() * float64(max(1, load.count()))
	if eng.adapterCount() >= eng.spec.AdapterSlots {
		cost += adapterEvictionCost
	}
	return cost + adapterSlotCost*float64(eng.adapterCount())/float64(max(1, eng.spec.AdapterSlots))
}

// victims returns the residents to evict so that the model fits, chosen greedily by cost; the second result is false
// if they don't free enough memory.
func (planner *Planner) victims(now time.Time, eng *engine, id celerylanding.ModelID) ([]victim, bool) {
	need := eng.used() + eng.weights(id) - eng.spec.Memory
	if need <= 0 {
		return nil, true
	}
	var candidates []victim
	for other := range eng.residents {
		if other != id && !planner.isQueued(eng, other) {
			candidates = append(candidates, victim{other, planner.evictionCost(now, eng, other)})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
	})
	var chosen []victim
	for _, candidate := range candidates {
		if need <= 0 {
			break
		}
		chosen = append(chosen, candidate)
		need -= eng.weights(candidate.id)
	}
	return chosen, need <= 0
}

// isQueued reports whether a load of the model is queued on the engine.
func (planner *Planner) isQueued(eng *engine, id celerylanding.ModelID) bool {
	return slices.ContainsFunc(eng.queue, func(load *pendingLoad) bool { return load.unit.Model == id })
}

// evictionCost returns the delay in request-seconds, weighted by urgency, that evicting the model from the engine causes.
func (planner *Planner) evictionCost(now time.Time, eng *engine, id celerylanding.ModelID) float64 {
	if eng.residents[id].draining {
		return 0
	}
	urgency := planner.modelUrgency(now, eng.service, id)
	others := planner.replicas(now, eng.service, id) - 1
	cost := 0.0
	if now.Sub(eng.residents[id].loadedAt) < minResidency {
		cost = 2
	}
	if others > 0 {
		if others < planner.desiredReplicas(now, eng.spec, eng.service, id) {
			cost += underReplicatedCost * urgency / float64(others+1)
		}
		return cost + rerouteCost*urgency/float64(others+1)
	}
	if planner.hasRunningRequests(eng.service, id) {
		cost++
	}
	return cost + reloadWeight*urgency*planner.reloadTime(now, eng, id).Seconds() + 0.05
}

// cacheTTL is how long reload times and replica needs are cached; it covers a few rounds.
const cacheTTL = 50 * time.Millisecond

// cachedDuration, cachedCount and cachedRate are values that were computed at a time.
type cachedDuration struct {
	value time.Duration
	at    time.Time
}

type cachedCount struct {
	value int
	at    time.Time
}

type cachedRate struct {
	value float64
	at    time.Time
}

// isFreshAt reports whether a value computed at a time is still used.
func isFreshAt(now, computed time.Time) bool {
	age := now.Sub(computed)
	return age >= 0 && age <= cacheTTL
}

// reloadTime returns the shortest expected time to reload the model on any available engine with a local copy of its weights, or the load
// time on the given engine if no engine has a copy. The times are cached for cacheTTL.
func (planner *Planner) reloadTime(now time.Time, eng *engine, id celerylanding.ModelID) time.Duration {
	key := modelKey{eng.service, id}
	cached, ok := planner.reloadTimes[key]
	if !ok || !isFreshAt(now, cached.at) {
		cached = cachedDuration{value: planner.localReloadTime(now, key), at: now}
		planner.reloadTimes[key] = cached
	}
	if cached.value < 0 {
		return eng.loadTime(id)
	}
	return cached.value
}

// localReloadTime returns the shortest expected time to load the model from a local copy, or -1 if no available engine has one.
func (planner *Planner) localReloadTime(now time.Time, key modelKey) time.Duration {
	shortest := time.Duration(-1)
	for _, eng := range planner.index.copies(key.service, key.model) {
		if !eng.isAvailable() || eng.spec == nil {
			continue
		}
		if reload := planner.backlog(now, eng, nil) + eng.loadTime(key.model); shortest < 0 || reload < shortest {
			shortest = reload
		}
	}
	return shortest
}

// replicas counts the available engines on which the model is loaded and not draining. An engine that announces a limit counts for a model
// whose requests take a small part of it.
func (planner *Planner) replicas(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) int {
	count := 0
	for _, eng := range planner.index.holders(service, id) {
		if eng.isAvailable() && !eng.residents[id].draining && (!eng.isLimited || planner.modelRate(now, service, id) <= maxLimitShare*eng.limit) {
			count++
		}
	}
	return count
}
