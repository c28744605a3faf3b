package loadplan

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// loadMemory is the time over which the speed and the unread tokens of an engine are averaged: several times that of a short slow moment.
	loadMemory = 3 * time.Second
	// maxPressure is the pressure on an engine, in relation to the mean one, from which its models get further replicas.
	maxPressure = 1.6
	// maxWaitShare is the share of its callers' latency objective that a prompt may be unread on average before a model gets another replica: as much
	// again is left for the slow moments of engines. A replica is kept from evictions down to half of it.
	maxWaitShare = 0.5
	// minSlowdown and maxSlowdown bound what an engine's false report can do; they are far from those of sound machines.
	minSlowdown, maxSlowdown = 0.25, 4.0
	// pressureCost is the cost in seconds of a replica on an engine under the mean pressure, or of the usual speed.
	pressureCost = 0.1
)

// engineLoad is what routers report of an engine's work.
type engineLoad struct {
	// slowdown is the mean time that work takes on the engine, 1 as usual, and unread the mean number of unread prompt tokens, as of updated.
	slowdown, unread float64
	updated          time.Time
}

// SetLoad records how long work takes on an engine now, 1 as usual, and the number of prompt tokens that it has not read yet. Engines whose slowdown is
// not positive don't report it, and their models get replicas by arrivals only.
func (planner *Planner) SetLoad(now time.Time, id celerylanding.TargetID, slowdown float64, unread int) {
	eng := planner.engines[id]
	if eng == nil || slowdown <= 0 {
		return
	}
	load := &eng.load
	gain := 1.0
	if !load.updated.IsZero() {
		gain = 1 - math.Exp(-max(0, now.Sub(load.updated).Seconds())/loadMemory.Seconds())
	}
	load.slowdown += (min(max(slowdown, minSlowdown), maxSlowdown) - load.slowdown) * gain
	load.unread += (float64(max(0, unread)) - load.unread) * gain
	load.updated = now
}

// RecordWork adds prompt tokens that a router has sent to engines for a model.
func (planner *Planner) RecordWork(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID, tokens int) {
	dem := planner.demandOf(now, demandKey{service, feed.Unit{Model: id}})
	dem.advance(now)
	dem.tokens += float64(max(0, tokens))
}

// unreadAt returns the mean number of unread tokens. Without reports, nothing tells that prompts still wait.
func (load *engineLoad) unreadAt(now time.Time) float64 {
	return load.unread * math.Exp(-max(0, now.Sub(load.updated).Seconds())/loadMemory.Seconds())
}

// speed returns the speed of an engine in relation to the usual one, or 0 if it is not known.
func (eng *engine) speed() float64 {
	if eng.load.slowdown <= 0 || !eng.isAvailable() {
		return 0
	}
	return 1 / eng.load.slowdown
}

// modelPressure returns the prompt tokens per second of a model for each holder of the usual speed. It is zero if the speeds are not known.
func (planner *Planner) modelPressure(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	speeds := 0.0
	for _, eng := range planner.index.holders(service, id) {
		if !eng.residents[id].draining {
			speeds += eng.speed()
		}
	}
	if speeds == 0 {
		return 0
	}
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].tokenRate(now) / speeds
}

// pressure returns the prompt tokens per second on an engine in relation to its speed.
func (planner *Planner) pressure(now time.Time, eng *engine) float64 {
	sum := 0.0
	for id := range eng.residents {
		sum += planner.modelPressure(now, eng.service, id)
	}
	return sum
}

// meanPressure returns the prompt tokens per second of a service in relation to the speed of all its engines, cached for cacheTTL.
func (planner *Planner) meanPressure(now time.Time, service celerylanding.ServiceID) float64 {
	cached, ok := planner.pressures[service]
	if ok && isFreshAt(now, cached.at) {
		return cached.value
	}
	tokens, speeds := 0.0, 0.0
	for _, eng := range planner.ordered {
		if eng.service == service {
			speeds += eng.speed()
		}
	}
	for key, dem := range planner.demand {
		if key.service == service && key.unit.Adapter == "" {
			tokens += dem.tokenRate(now)
		}
	}
	cached = cachedRate{at: now}
	if speeds > 0 {
		cached.value = tokens / speeds
	}
	planner.pressures[service] = cached
	return cached.value
}

// replicasForWork returns the number of replicas that a model needs because reading its prompts keeps all of its holders busier than other engines, and
// takes much of the time that its callers give: one more than it has, once the newest has had time to help. It returns zero if fewer would do.
func (planner *Planner) replicasForWork(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) int {
	mean, own := planner.meanPressure(now, service), planner.modelPressure(now, service, id)
	dem := planner.demand[demandKey{service, feed.Unit{Model: id}}]
	if mean <= 0 || own <= 0 || dem.urgency <= 0 {
		return 0
	}
	replicas, isSettled := 0, true
	lowest, unread, tokens := math.Inf(1), 0.0, 0.0
	for _, eng := range planner.index.holders(service, id) {
		resident := eng.residents[id]
		if !eng.isAvailable() || resident.draining {
			continue
		}
		pressure := planner.pressure(now, eng)
		lowest = min(lowest, pressure)
		unread += eng.load.unreadAt(now)
		tokens += pressure * eng.speed()
		isSettled = isSettled && now.Sub(resident.loadedAt) >= replicaSettleTime
		replicas++
	}
	if tokens <= 0 {
		return 0
	}
	// By Little's law, the mean time for which a token is unread.
	wait, objective := unread/tokens, dem.arrivals/dem.urgency
	switch {
	case wait < maxWaitShare/2*objective:
		return 0
	case wait >= maxWaitShare*objective && lowest > maxPressure*mean && own >= lowest/2 && isSettled:
		return replicas + 1
	case replicas > 1 && own*float64(replicas)/float64(replicas-1) > maxPressure*mean:
		return replicas
	}
	return 0
}

// placementCost returns the cost in seconds of a replica on a slow or busy engine, zero where the speeds are not known.
func (planner *Planner) placementCost(now time.Time, eng *engine) float64 {
	mean := planner.meanPressure(now, eng.service)
	if mean <= 0 || eng.load.slowdown <= 0 {
		return 0
	}
	return pressureCost * (planner.pressure(now, eng)/mean + eng.load.slowdown)
}
