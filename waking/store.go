package waking

import (
	"maps"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// firstFetches is the number of loads from the store that are under way at once at first; beyond some number, which differs
	// from site to site, all of them slow down.
	firstFetches = 3
	// leastFetches and mostFetches bound that number.
	leastFetches = 2
	mostFetches  = 8
	// slowFetch and fastFetch are the times of a load, as multiples of a load alone, above and below which the number changes.
	slowFetch = 1.4
	fastFetch = 1.15
	// maxBackground is the number of loads from the store that nobody waits for, so that one more can begin for a request.
	maxBackground = 2
	// fetchWindow is the time over which the store's limit of loads counts.
	fetchWindow = 5 * time.Second
	// enoughCopies is the number of engines that should have a copy of a model that is asked for, so that none is lost with one. A busy
	// model needs as many as it needs replicas, since a replica is loaded only where a copy lies.
	enoughCopies = 2
	// leastDemand is the decayed number of arrivals from which a model gets a further copy.
	leastDemand = 0.5
	// busyUrgency is the weight of arrivals per second from which a model's last copy is not left alone on any site.
	busyUrgency = 1.0
	// backgroundLoss is the largest loss for which a resident makes way for a copy that nobody waits for.
	backgroundLoss = 0.5
	// backgroundShare is the part of the engines that may be taken by loads that nobody waits for; one takes several seconds.
	backgroundShare = 0.05
)

// isFetch reports whether the order loads from the store.
func isFetch(order *Order) bool {
	return order != nil && order.Kind == celerylanding.OrderLoad && order.Unit.Adapter == "" && order.Tier == celerylanding.TierRemote
}

// fetches counts the loads from the store that are under way; those of engines that are gone have ended with them.
func (planner *Planner) fetches() int {
	count := 0
	for _, eng := range planner.engines {
		if eng.isFetching() {
			count++
		}
	}
	return count
}

// learnFetch adapts the number of loads at once to how long one has taken; busy is the number that were under way.
func (planner *Planner) learnFetch(took, alone time.Duration, busy int) {
	if alone <= 0 {
		return
	}
	switch ratio := took.Seconds() / alone.Seconds(); {
	case ratio > slowFetch:
		planner.maxFetches = max(leastFetches, planner.maxFetches-1)
	case ratio < fastFetch && busy >= planner.maxFetches:
		planner.maxFetches = min(mostFetches, planner.maxFetches+1)
	}
}

// keepsStoreLimit reports whether one more load keeps to what the store allows in a window.
func (planner *Planner) keepsStoreLimit(now time.Time, perSecond float64) bool {
	for len(planner.storeLoads) > 0 && now.Sub(planner.storeLoads[0]) > fetchWindow {
		planner.storeLoads = planner.storeLoads[1:]
	}
	return float64(len(planner.storeLoads)) < perSecond*fetchWindow.Seconds()
}

// mayFetch reports whether it is the wanted unit's turn at the store: the most urgent ones come first.
func (planner *Planner) mayFetch(now time.Time, wanted *want) bool {
	free := planner.maxFetches - planner.fetches()
	if free <= 0 || now.Before(planner.settled) || !planner.keepsStoreLimit(now, wanted.engine.spec.StoreLoadsPerSecond) {
		return false
	}
	return planner.fetchesAhead(now, wanted) < free
}

// fetchesAhead counts the wanted units that need the store more urgently.
func (planner *Planner) fetchesAhead(now time.Time, wanted *want) int {
	urgency := planner.modelUrgency(now, wanted.service, wanted.unit.Model)
	ahead := 0
	for _, other := range planner.wants {
		if other == wanted || other.engine == nil || other.engine.held[other.unit.Model] != nil || isFetch(other.engine.order) ||
			other.engine.tier(other.unit.Model) != celerylanding.TierRemote {
			continue
		}
		if planner.modelUrgency(now, other.service, other.unit.Model) > urgency {
			ahead++
		}
	}
	return ahead
}

// fetchWait returns how long the wanted unit waits for its turn at the store.
func (planner *Planner) fetchWait(now time.Time, wanted *want) time.Duration {
	eng := wanted.engine
	if eng.held[wanted.unit.Model] != nil || eng.tier(wanted.unit.Model) != celerylanding.TierRemote {
		return 0
	}
	before := max(0, planner.fetches()+planner.fetchesAhead(now, wanted)-planner.maxFetches+1)
	return time.Duration(before) * eng.loadTime(wanted.unit.Model) / time.Duration(planner.maxFetches)
}

// background wants a copy of the model that is asked for most among those with too few copies, where it costs least.
func (planner *Planner) background(now time.Time) {
	pending, ahead := planner.storeQueue()
	if ahead >= maxBackground || now.Before(planner.settled) {
		return
	}
	isLarge := float64(pending+1) <= backgroundShare*float64(len(planner.engines))
	key, ok := planner.scarcest(now, isLarge)
	// A busy model whose replicas are overloaded comes before requests that wait for other models.
	if !ok || (pending >= maxBackground && planner.demand[key].urgencyRate(now) < busyUrgency) {
		return
	}
	var best *engine
	lowest := backgroundLoss
	for _, id := range slices.Sorted(maps.Keys(planner.engines)) {
		eng := planner.engines[id]
		if loss, ok := planner.backgroundLoss(now, eng, key); ok && loss < lowest {
			best, lowest = eng, loss
		}
	}
	if best == nil {
		return
	}
	wanted := &want{service: key.service, unit: key.unit, since: now, until: now.Add(spreadPatience), replica: backgroundReplica, engine: best}
	best.wants = append(best.wants, wanted)
	planner.wants[wantKey{key.service, key.unit, backgroundReplica}] = wanted
}

// storeQueue counts the loads from the store that are under way or wanted, and those of them that nobody waits for.
func (planner *Planner) storeQueue() (pending, background int) {
	pending = planner.fetches()
	for _, wanted := range planner.wants {
		if wanted.engine != nil && wanted.engine.tier(wanted.unit.Model) == celerylanding.TierRemote {
			pending++
		}
		if wanted.replica == backgroundReplica {
			background++
		}
	}
	return pending, background
}

// backgroundReplica numbers the want of a copy that no request waits for.
const backgroundReplica = -1

// scarcest returns the model with too few copies that is asked for most. Where a load takes a large part of the engines, only the
// models that have no copy left and the busy ones count.
func (planner *Planner) scarcest(now time.Time, isLarge bool) (demandKey, bool) {
	copies := planner.copies()
	var best demandKey
	highest := 0.0
	for key, dem := range planner.demand {
		if key.unit.Adapter != "" || dem.recent(now) < leastDemand || copies[key] >= planner.neededCopies(now, key) ||
			planner.wants[wantKey{key.service, key.unit, backgroundReplica}] != nil {
			continue
		}
		if !isLarge && copies[key] > 0 && dem.urgencyRate(now) < busyUrgency {
			continue
		}
		need := dem.urgencyRate(now) / float64(1+copies[key]*copies[key]*4)
		if need > highest || (need == highest && key.unit.Model < best.unit.Model) {
			best, highest = key, need
		}
	}
	return best, highest > 0
}

// neededCopies returns the number of engines that should have a copy of the model.
func (planner *Planner) neededCopies(now time.Time, key demandKey) int {
	holder := planner.holder(key.service, key.unit.Model)
	if holder == nil {
		return enoughCopies
	}
	return max(enoughCopies, planner.wantedReplicas(now, holder.spec, key.service, key.unit.Model))
}

// copies counts for each model the engines whose disk has a copy of its weights.
func (planner *Planner) copies() map[demandKey]int {
	copies := make(map[demandKey]int)
	for _, eng := range planner.engines {
		if !eng.isOpen() || eng.spec == nil {
			continue
		}
		for id := range eng.onDisk {
			copies[demandKey{eng.service, feed.Unit{Model: id}}]++
		}
	}
	return copies
}

// backgroundLoss returns what a copy of the model on the engine costs; it is false where it can't be had or would keep requests
// waiting.
func (planner *Planner) backgroundLoss(now time.Time, eng *engine, key demandKey) (float64, bool) {
	id := key.unit.Model
	if !eng.isOpen() || eng.spec == nil || eng.service != key.service || eng.order != nil || len(eng.wants) > 0 ||
		eng.held[id] != nil || eng.tier(id) != celerylanding.TierRemote {
		return 0, false
	}
	victims, ok := planner.victims(now, eng, id)
	if !ok {
		return 0, false
	}
	loss := 0.0
	for _, victim := range victims {
		loss += victim.loss
	}
	return loss, true
}
