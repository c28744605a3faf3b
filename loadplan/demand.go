package loadplan

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// demandHalfLife is the half-life of an arrival's weight; popularity shifts between models about as fast.
const demandHalfLife = 6 * time.Second

// minRateWindow is the shortest time over which a rate is computed; routers report arrivals four times a second.
const minRateWindow = time.Second

// minDemand is the decayed number of arrivals below which the demand for a unit without running requests is dropped: one arrival ten
// half-lives ago.
const minDemand = 0.001

// demandKey identifies a unit of a service.
type demandKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// usageSource identifies a router's count of running requests for a model itself or for one of its adapters. The number of running requests
// of a unit is the sum over its sources.
type usageSource struct {
	node    celerylanding.NodeID
	adapter string
}

// demand is the recent demand for one unit, as reported by the routers.
type demand struct {
	// arrivals is the exponentially decayed number of arrivals, as of updated.
	arrivals float64
	// urgency is the decayed sum of the arrivals' urgencies, as of updated.
	urgency float64
	// late is the decayed number of late answers, as of updated.
	late float64
	// tokens is the decayed number of prompt tokens that were sent to engines, as of updated.
	tokens  float64
	updated time.Time
	// since is when the planner began to count arrivals of all units.
	since    time.Time
	inFlight map[usageSource]int
	// total is the sum over inFlight.
	total int
}

// decay returns the factor by which the counts have decayed since the last update.
func (dem *demand) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(dem.updated).Seconds() / demandHalfLife.Seconds())
}

// recent returns the decayed number of arrivals.
func (dem *demand) recent(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.arrivals * dem.decay(now)
}

// urgencyRate returns the sum of the urgencies of the arrivals per second.
func (dem *demand) urgencyRate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.urgency * dem.decay(now) / dem.window(now)
}

// rate returns the arrivals per second.
func (dem *demand) rate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.recent(now) / dem.window(now)
}

// tokenRate returns the prompt tokens per second.
func (dem *demand) tokenRate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.tokens * dem.decay(now) / dem.window(now)
}

// advance decays the counts up to now.
func (dem *demand) advance(now time.Time) {
	decay := dem.decay(now)
	dem.arrivals *= decay
	dem.urgency *= decay
	dem.late *= decay
	dem.tokens *= decay
	dem.updated = now
}

// window returns the length in seconds of an undecayed window equivalent to the decayed counts; it is shorter soon after counting began.
func (dem *demand) window(now time.Time) float64 {
	counted := max(now.Sub(dem.since), minRateWindow)
	return (1 - math.Exp2(-counted.Seconds()/demandHalfLife.Seconds())) * demandHalfLife.Seconds() / math.Ln2
}

func (dem *demand) running() int {
	if dem == nil {
		return 0
	}
	return dem.total
}

// setInFlight replaces the number of running requests that a source reports.
func (dem *demand) setInFlight(source usageSource, count int) {
	dem.total += count - dem.inFlight[source]
	if count == 0 {
		delete(dem.inFlight, source)
	} else {
		dem.inFlight[source] = count
	}
}

// RecordUsage adds one router's usage of a unit; usage of an adapter also counts for its model.
func (planner *Planner) RecordUsage(now time.Time, node celerylanding.NodeID, service celerylanding.ServiceID, usage feed.Usage) {
	source := usageSource{node, usage.Unit.Adapter}
	planner.recordUsage(now, source, demandKey{service, usage.Unit}, usage)
	if usage.Unit.Adapter != "" {
		planner.recordUsage(now, source, demandKey{service, feed.Unit{Model: usage.Unit.Model}}, usage)
	}
}

func (planner *Planner) recordUsage(now time.Time, source usageSource, key demandKey, usage feed.Usage) {
	dem := planner.demandOf(now, key)
	dem.advance(now)
	dem.arrivals += float64(usage.Arrivals)
	dem.urgency += usage.Urgency
	dem.late += float64(usage.Late)
	dem.setInFlight(source, usage.InFlight)
}

// demandOf returns the demand for a unit, which begins now if there was none.
func (planner *Planner) demandOf(now time.Time, key demandKey) *demand {
	dem := planner.demand[key]
	if dem == nil {
		if planner.countedSince.IsZero() {
			planner.countedSince = now
		}
		dem = &demand{updated: now, since: planner.countedSince, inFlight: make(map[usageSource]int)}
		planner.demand[key] = dem
	}
	return dem
}

// ForgetRouter drops the running requests that a router has reported; the router no longer runs or can't be reached.
func (planner *Planner) ForgetRouter(node celerylanding.NodeID) {
	for _, dem := range planner.demand {
		for source := range dem.inFlight {
			if source.node == node {
				dem.setInFlight(source, 0)
			}
		}
	}
}

// modelRate returns the arrivals per second for a model and all its adapters.
func (planner *Planner) modelRate(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].rate(now)
}

// modelUrgency returns the urgency rate of a model and all its adapters.
func (planner *Planner) modelUrgency(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].urgencyRate(now)
}

// desiredReplicas returns the number of replicas that a model needs for its arrivals, running requests and active adapters. The number is
// cached for cacheTTL.
func (planner *Planner) desiredReplicas(now time.Time, spec *routing.Engine, service celerylanding.ServiceID, id celerylanding.ModelID) int {
	key := modelKey{service, id}
	cached, ok := planner.replicaNeeds[key]
	if !ok || !isFreshAt(now, cached.at) {
		cached = cachedCount{value: planner.countDesiredReplicas(now, spec, service, id), at: now}
		planner.replicaNeeds[key] = cached
	}
	return cached.value
}

func (planner *Planner) countDesiredReplicas(now time.Time, spec *routing.Engine, service celerylanding.ServiceID, id celerylanding.ModelID) int {
	byRate := planner.modelRate(now, service, id) / replicaRate
	running := planner.demand[demandKey{service, feed.Unit{Model: id}}].running()
	byRunning := float64(running) / (maxModelShare * float64(max(1, spec.Slots)))
	model, _ := spec.Model(id)
	adapters := 0
	for _, adapter := range model.Adapters {
		if planner.demand[demandKey{service, feed.Unit{Model: id, Adapter: adapter}}].recent(now) >= activeAdapterDemand {
			adapters++
		}
	}
	byAdapters := float64(adapters) / float64(max(1, spec.AdapterSlots))
	return max(int(math.Ceil(max(byRate, byRunning, byAdapters))), planner.replicasForLateAnswers(now, service, id),
		planner.replicasForWork(now, service, id))
}

const (
	// lateShare is the share of late answers from which a model gets another replica, and minLate the decayed number of them.
	lateShare = 0.25
	minLate   = 3
	// replicaSettleTime is how long the newest replica of a model is given to make answers faster before the model gets another one.
	replicaSettleTime = 3 * time.Second
)

// replicasForLateAnswers returns the number of replicas that a model needs because its replicas answer late: one more than it has, once the
// newest has had time to help. Requests
// and slots say too little where long prompts take most of an engine's time.
func (planner *Planner) replicasForLateAnswers(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) int {
	dem := planner.demand[demandKey{service, feed.Unit{Model: id}}]
	if dem == nil || dem.late*dem.decay(now) < minLate || dem.late < lateShare*dem.arrivals {
		return 0
	}
	replicas, needed := 0, 1
	for _, eng := range planner.index.holders(service, id) {
		if !eng.isAvailable() || eng.residents[id].draining {
			continue
		}
		if now.Sub(eng.residents[id].loadedAt) < replicaSettleTime {
			needed = 0
		}
		replicas++
	}
	return replicas + needed
}

// maxModelShare is the share of an engine's slots that the requests of one model may take before the model gets another replica; the rest is
// for the engine's other models.
const maxModelShare = 0.5

// activeAdapterDemand is the minimum decayed number of arrivals of an active adapter, which needs a slot: one arrival within two half-lives.
const activeAdapterDemand = 0.25

func (planner *Planner) hasRunningRequests(service celerylanding.ServiceID, id celerylanding.ModelID) bool {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].running() > 0
}
