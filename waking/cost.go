package waking

import (
	"cmp"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// replicaRate is the arrivals per second that one replica serves without its batch slowing the others down; from the
	// prefill rates of the served systems, at a quarter of what an engine reads.
	replicaRate = 12.0
	// crowdedCost is the delay in seconds for each arrival of a model that has too few replicas for its arrivals or adapters.
	crowdedCost = 0.5
	// sharedCost is the delay in seconds for each arrival that moves to another replica, whose prompt cache does not know it.
	sharedCost = 0.05
	// reloadCost weighs the delay of the next request for a model that is loaded nowhere any more.
	reloadCost = 3.0
	// minResidency is how long a model that was just loaded is kept, so that the requests that it was loaded for can begin: one push
	// to the routers, their way to the engine and the reading of their prompts. A longer time makes the other residents give way.
	minResidency = 500 * time.Millisecond
	// adapterShare is the cost of an adapter on an engine whose places for adapters are all taken; less than any load.
	adapterShare = 0.1
	// evictCost is the cost of an adapter that another one has to make way for, which is likely to be asked for again.
	evictCost = 0.3
	// storeCost is the charge in seconds for a load from the store beside its time, since all engines share it.
	storeCost = 3.0
)

// victim is a resident that can make way.
type victim struct {
	id   celerylanding.ModelID
	loss float64
}

// cost returns the delay in request-seconds that loading the wanted unit on the engine causes; it is false when the engine
// can't load it.
func (planner *Planner) cost(now time.Time, eng *engine, wanted *want) (float64, bool) {
	id := wanted.unit.Model
	if wanted.replica != 0 && (eng.held[id] != nil || planner.isWanted(eng, id)) {
		return 0, false
	}
	if held := eng.held[id]; held != nil {
		return planner.adapterCost(now, eng, wanted), !held.closing && held.missing.IsZero()
	}
	if eng.isComing(id) {
		// Units of one model wait for the same load.
		return planner.backlog(now, eng, nil).Seconds()*float64(max(1, wanted.count())) + adapterShare, true
	}
	wait := planner.backlog(now, eng, nil) + planner.stepsTime(eng, wanted.unit)
	cost := wait.Seconds() * float64(max(1, wanted.count()))
	if _, ok := eng.spec.Model(id); !ok {
		return 0, false
	}
	if eng.tier(id) == celerylanding.TierRemote {
		if wanted.replica != 0 {
			return 0, false
		}
		cost += storeCost
	}
	victims, ok := planner.victims(now, eng, id)
	if !ok {
		return 0, false
	}
	for _, victim := range victims {
		cost += victim.loss
	}
	return cost, true
}

// adapterCost returns the delay that an adapter causes on an engine that holds its model.
func (planner *Planner) adapterCost(now time.Time, eng *engine, wanted *want) float64 {
	cost := planner.remaining(now, eng).Seconds() * float64(max(1, wanted.count()))
	if eng.adapterCount() >= eng.spec.AdapterSlots {
		cost += evictCost
	}
	return cost + adapterShare*float64(eng.adapterCount())/float64(max(1, eng.spec.AdapterSlots))
}

// victims returns the residents to unload so that the model fits, the cheapest set that a greedy choice finds.
func (planner *Planner) victims(now time.Time, eng *engine, id celerylanding.ModelID) ([]victim, bool) {
	need := eng.used() + eng.weights(id) - eng.spec.Memory
	if need <= 0 {
		return nil, true
	}
	var candidates []victim
	for held := range eng.held {
		if held != id && !planner.isWanted(eng, held) {
			candidates = append(candidates, victim{held, planner.loss(now, eng, held)})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.id, b.id))
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

// isWanted reports whether requests wait for the model on this engine.
func (planner *Planner) isWanted(eng *engine, id celerylanding.ModelID) bool {
	return slices.ContainsFunc(eng.wants, func(want *want) bool { return want.unit.Model == id })
}

// loss returns the delay in request-seconds, weighed by urgency, that the model's absence from the engine costs.
func (planner *Planner) loss(now time.Time, eng *engine, id celerylanding.ModelID) float64 {
	if eng.held[id].closing {
		return 0
	}
	urgency := planner.modelUrgency(now, eng.service, id)
	others := planner.replicas(eng.service, id) - 1
	recent := 0.0
	if now.Sub(eng.held[id].since) < minResidency {
		recent = 2
	}
	if others > 0 {
		if others < planner.wantedReplicas(now, eng.spec, eng.service, id) {
			recent += crowdedCost * urgency / float64(others+1)
		}
		return recent + sharedCost*urgency/float64(others+1)
	}
	if planner.isRunning(eng.service, id) {
		recent++
	}
	return recent + reloadCost*urgency*planner.returnTime(now, eng, id).Seconds() + 0.05
}

// returnTime returns how long a model that is unloaded from the engine would take to come back, there or on another engine with a
// copy of its weights. On a large site it is up to returnsAge old.
func (planner *Planner) returnTime(now time.Time, eng *engine, id celerylanding.ModelID) time.Duration {
	if planner.returns == nil || now.Sub(planner.returnsAt) > returnsAge {
		planner.returns, planner.returnsAt = planner.returnTimes(now), now
	}
	if soonest, ok := planner.returns[demandKey{eng.service, feed.Unit{Model: id}}]; ok {
		return soonest
	}
	return eng.loadTime(id)
}

// returnsAge is how long the times of return are used; a few rounds of decisions.
const returnsAge = 50 * time.Millisecond

func (planner *Planner) returnTimes(now time.Time) map[demandKey]time.Duration {
	returns := make(map[demandKey]time.Duration, len(planner.returns))
	for _, eng := range planner.engines {
		if !eng.isOpen() || eng.spec == nil {
			continue
		}
		wait := planner.backlog(now, eng, nil)
		for _, copies := range []map[celerylanding.ModelID]bool{eng.onDisk, eng.inMemory} {
			for id := range copies {
				key := demandKey{eng.service, feed.Unit{Model: id}}
				length := wait + eng.loadTime(id)
				if soonest, ok := returns[key]; !ok || length < soonest {
					returns[key] = length
				}
			}
		}
	}
	return returns
}

// replicas counts the usable engines that hold the model for new work.
func (planner *Planner) replicas(service celerylanding.ServiceID, id celerylanding.ModelID) int {
	count := 0
	for _, eng := range planner.engines {
		if held := eng.held[id]; eng.isOpen() && eng.service == service && held != nil && !held.closing {
			count++
		}
	}
	return count
}
