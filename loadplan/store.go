package loadplan

import (
	"math"
	"slices"
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// initialFetchLimit is the initial limit of concurrent loads from the store. Above some number, which differs from site to site,
	// concurrent loads slow each other down.
	initialFetchLimit = 3
	// minFetchLimit and maxFetchLimit bound the limit of concurrent loads from the store.
	minFetchLimit = 2
	maxFetchLimit = 32
	// slowFetchRatio and fastFetchRatio are load times, as multiples of the time of a load that runs alone. Above the first the limit falls;
	// below the second it rises if it was reached.
	slowFetchRatio = 1.4
	fastFetchRatio = 1.15
	// maxPrefetches limits the concurrent prefetches from the store, so that a load for a waiting request can still start.
	maxPrefetches = 2
	// storeRateWindow is the time over which the store's rate limit is averaged.
	storeRateWindow = 5 * time.Second
	// minCopies is the number of engines that should have a copy of a model in demand, so that the loss of one engine loses no model. A
	// busy model needs a copy for each desired replica, since replicas are loaded only from local copies.
	minCopies = 2
	// minCopyDemand is the minimum decayed number of arrivals for which a model gets another copy.
	minCopyDemand = 0.5
	// busyUrgencyRate is the urgency of arrivals per second from which a model that has a copy gets another one on sites of any size, also
	// while requests wait for loads of other models.
	busyUrgencyRate = 1.0
	// maxPrefetchCost is the eviction cost, in request-seconds, that a prefetch must stay below.
	maxPrefetchCost = 0.5
	// maxPrefetchShare is the share of the engines that loads from the store may occupy for any model to be prefetched; above it, only busy
	// models and those without a copy are. A load blocks its engine for several seconds.
	maxPrefetchShare = 0.05
)

// isFetch reports whether the order loads from the store.
func isFetch(order *Order) bool {
	return order != nil && order.Kind == celerylanding.OrderLoad && order.Unit.Adapter == "" && order.Tier == celerylanding.TierRemote
}

// storeState caches what the decisions on loads from the store need to know about all engines and pending loads.
type storeState struct {
	// isValid is false after any change to an engine's order or availability.
	isValid bool
	// fetches is the number of loads from the store in progress.
	fetches int
	// waiting holds the urgencies of the pending loads from the store that have not started, ascending, as of waitingAt.
	waiting   []float64
	waitingAt time.Time
}

// waitingTTL is how long the urgencies of the loads that wait for the store are cached; it covers one round.
const waitingTTL = 15 * time.Millisecond

// fetches counts the loads from the store in progress; those of unavailable engines are taken to have ended.
func (planner *Planner) fetches() int {
	planner.refreshStoreState()
	return planner.store.fetches
}

func (planner *Planner) refreshStoreState() {
	if planner.store.isValid {
		return
	}
	planner.store = storeState{isValid: true}
	for _, eng := range planner.ordered {
		if eng.isFetching() {
			planner.store.fetches++
		}
	}
}

// waitingFetches returns the urgencies of the pending loads from the store that have not started, ascending.
func (planner *Planner) waitingFetches(now time.Time) []float64 {
	planner.refreshStoreState()
	if age := now.Sub(planner.store.waitingAt); age >= 0 && age <= waitingTTL {
		return planner.store.waiting
	}
	waiting := planner.store.waiting[:0]
	for _, load := range planner.pending {
		if load.engine == nil || load.engine.residents[load.unit.Model] != nil || isFetch(load.engine.order) ||
			load.engine.tier(load.unit.Model) != celerylanding.TierRemote {
			continue
		}
		waiting = append(waiting, planner.modelUrgency(now, load.service, load.unit.Model))
	}
	slices.Sort(waiting)
	planner.store.waiting, planner.store.waitingAt = waiting, now
	return waiting
}

// adjustFetchLimit adapts the limit of concurrent loads from the store after a load that started at the given time, by its duration compared
// with the time that it takes alone; busy is the number of loads from the store that were in progress. The limit grows by half
// until loads first slow each other down. Loads that started before the last change of the limit say nothing about the new one.
func (planner *Planner) adjustFetchLimit(now, started time.Time, alone time.Duration, busy int) {
	if alone <= 0 || started.Before(planner.fetchLimitChangedAt) {
		return
	}
	limit := planner.fetchLimit
	switch ratio := now.Sub(started).Seconds() / alone.Seconds(); {
	case ratio > slowFetchRatio:
		planner.isStoreLimitKnown = true
		// Concurrent loads share the store's bandwidth, so that their time shows how many of them it serves at full speed.
		limit = max(minFetchLimit, min(limit-1, int(math.Round(float64(busy)/ratio))))
	case ratio < fastFetchRatio && busy >= limit && planner.isStoreLimitKnown:
		limit = min(maxFetchLimit, limit+1)
	case ratio < fastFetchRatio && busy >= limit:
		limit = min(maxFetchLimit, limit+(limit+1)/2)
	}
	if limit != planner.fetchLimit {
		planner.fetchLimit, planner.fetchLimitChangedAt = limit, now
	}
}

// isWithinStoreRate reports whether one more load stays within the store's rate limit.
func (planner *Planner) isWithinStoreRate(now time.Time, perSecond float64) bool {
	for len(planner.storeLoads) > 0 && now.Sub(planner.storeLoads[0]) > storeRateWindow {
		planner.storeLoads = planner.storeLoads[1:]
	}
	return float64(len(planner.storeLoads)) < perSecond*storeRateWindow.Seconds()
}

// canFetch reports whether the pending load may start from the store now; loads of higher urgency start first.
func (planner *Planner) canFetch(now time.Time, load *pendingLoad) bool {
	free := planner.fetchLimit - planner.fetches()
	if free <= 0 || now.Before(planner.discoveryEnd) || !planner.isWithinStoreRate(now, load.engine.spec.StoreLoadsPerSecond) {
		return false
	}
	return planner.fetchesAhead(now, load) < free
}

// fetchesAhead counts the pending loads from the store with a higher urgency.
func (planner *Planner) fetchesAhead(now time.Time, load *pendingLoad) int {
	waiting := planner.waitingFetches(now)
	// All urgencies are taken at the same time, since they decay.
	urgency := planner.modelUrgency(planner.store.waitingAt, load.service, load.unit.Model)
	at := sort.Search(len(waiting), func(i int) bool { return waiting[i] > urgency })
	return len(waiting) - at
}

// fetchWait returns the expected queueing time of the pending load at the store.
func (planner *Planner) fetchWait(now time.Time, load *pendingLoad) time.Duration {
	eng := load.engine
	if eng.residents[load.unit.Model] != nil || eng.tier(load.unit.Model) != celerylanding.TierRemote {
		return 0
	}
	ahead := max(0, planner.fetches()+planner.fetchesAhead(now, load)-planner.fetchLimit+1)
	return time.Duration(ahead) * eng.loadTime(load.unit.Model) / time.Duration(planner.fetchLimit)
}

// prefetch queues a load of the most urgent model with too few copies, on the engine where the load costs least.
func (planner *Planner) prefetch(now time.Time) {
	if now.Before(planner.discoveryEnd) {
		return
	}
	key, ok := planner.nextPrefetch(now)
	if !ok {
		return
	}
	var best *engine
	lowest := maxPrefetchCost
	for _, eng := range planner.ordered {
		if cost, ok := planner.prefetchCost(now, eng, key); ok && cost < lowest {
			best, lowest = eng, cost
		}
	}
	if best == nil {
		return
	}
	load := &pendingLoad{service: key.service, unit: key.unit, expiry: now.Add(replicaLoadTTL), replica: prefetchReplica, engine: best}
	best.queue = append(best.queue, load)
	planner.pending[pendingKey{service: key.service, unit: key.unit, replica: prefetchReplica}] = load
}

// nextPrefetch returns the model to prefetch next; the second result is false if there is none or if the store has enough to do.
func (planner *Planner) nextPrefetch(now time.Time) (demandKey, bool) {
	pending, prefetches := planner.storeQueue()
	if planner.countedSince.IsZero() && !planner.isWoken {
		// Nobody has sent a request yet, so that the store serves nothing else.
		if planner.fetches() >= planner.fetchLimit {
			return demandKey{}, false
		}
		return planner.missingModel()
	}
	if prefetches >= maxPrefetches {
		return demandKey{}, false
	}
	isLargeSite := float64(pending+1) <= maxPrefetchShare*float64(len(planner.engines))
	key, ok := planner.prefetchCandidate(now, isLargeSite)
	// A busy model, whose replicas are overloaded, takes precedence over requests that wait for other models.
	return key, ok && (pending < maxPrefetches || planner.demand[key].UrgencyRate(now) >= busyUrgencyRate)
}

// storeQueue counts the loads from the store that are in progress or queued, and the queued prefetches.
func (planner *Planner) storeQueue() (pending, prefetches int) {
	pending = planner.fetches()
	for _, load := range planner.pending {
		if load.engine != nil && load.engine.tier(load.unit.Model) == celerylanding.TierRemote {
			pending++
		}
		if load.replica == prefetchReplica {
			prefetches++
		}
	}
	return pending, prefetches
}

// prefetchReplica is the replica number of a prefetch, for which no request waits.
const prefetchReplica = -1

// prefetchCandidate returns the most urgent model with too few copies. On a small site, where one load occupies a large share of the
// engines, it considers only busy models and those without any copy.
func (planner *Planner) prefetchCandidate(now time.Time, isLargeSite bool) (demandKey, bool) {
	var best demandKey
	highest := 0.0
	for key, dem := range planner.demand {
		if key.unit.Adapter != "" || dem.Recent(now) < minCopyDemand {
			continue
		}
		copies := planner.diskCopies(key.service, key.unit.Model)
		if copies >= planner.desiredCopies(now, key) ||
			planner.pending[pendingKey{service: key.service, unit: key.unit, replica: prefetchReplica}] != nil {
			continue
		}
		if !isLargeSite && copies > 0 && dem.UrgencyRate(now) < busyUrgencyRate {
			continue
		}
		need := dem.UrgencyRate(now) / float64(1+copies*copies*4)
		if need > highest || (need == highest && key.unit.Model < best.unit.Model) {
			best, highest = key, need
		}
	}
	return best, highest > 0
}

// missingModel returns a model that no engine has in memory or a copy of, so that the first request for it need not wait for the store. It
// returns none where more models are missing than there are engines, since nothing says which of them will be asked for.
func (planner *Planner) missingModel() (demandKey, bool) {
	var first demandKey
	missing := 0
	seen := make(map[celerylanding.ServiceID]bool)
	for _, eng := range planner.ordered {
		if !eng.isAvailable() || eng.spec == nil || seen[eng.service] {
			continue
		}
		seen[eng.service] = true
		for i := range eng.spec.Models {
			id := eng.spec.Models[i].ID
			if len(planner.index.holders(eng.service, id)) > 0 || len(planner.index.copies(eng.service, id)) > 0 || planner.willLoad(eng.service, id) {
				continue
			}
			if missing++; missing == 1 {
				first = demandKey{eng.service, feed.Unit{Model: id}}
			}
		}
	}
	return first, missing > 0 && missing <= len(planner.ordered)
}

// willLoad reports whether an engine is loading the model or has a load of it queued.
func (planner *Planner) willLoad(service celerylanding.ServiceID, id celerylanding.ModelID) bool {
	return slices.ContainsFunc(planner.ordered, func(eng *engine) bool { return eng.service == service && eng.willLoad(id) })
}

// desiredCopies returns the number of engines that should have a copy of the model.
func (planner *Planner) desiredCopies(now time.Time, key demandKey) int {
	serving := planner.servingEngine(key.service, key.unit.Model)
	if serving == nil {
		return minCopies
	}
	return max(minCopies, planner.desiredReplicas(now, serving.spec, key.service, key.unit.Model))
}

// diskCopies counts the available engines that have a copy of the model's weights on disk.
func (planner *Planner) diskCopies(service celerylanding.ServiceID, id celerylanding.ModelID) int {
	count := 0
	for _, eng := range planner.index.copies(service, id) {
		if eng.isAvailable() && eng.spec != nil && eng.cached[id].disk {
			count++
		}
	}
	return count
}

// prefetchCost returns the eviction cost of a prefetch of the model to the engine; the second result is false if the engine can't
// fetch the model or has an order or queued loads.
func (planner *Planner) prefetchCost(now time.Time, eng *engine, key demandKey) (float64, bool) {
	id := key.unit.Model
	if !eng.isAvailable() || eng.spec == nil || eng.service != key.service || eng.order != nil || len(eng.queue) > 0 ||
		eng.residents[id] != nil || eng.tier(id) != celerylanding.TierRemote {
		return 0, false
	}
	victims, ok := planner.victims(now, eng, id)
	if !ok {
		return 0, false
	}
	cost := 0.0
	for _, victim := range victims {
		cost += victim.cost
	}
	return cost, true
}
