package loadplan

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/demand"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// minDemand is the decayed number of arrivals below which the demand for a unit without running requests is dropped: one arrival ten
// half-lives ago.
const minDemand = 0.001

// demandKey identifies a unit of a service.
type demandKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// RecordUsage adds one router's usage of a unit; usage of an adapter also counts for its model.
func (planner *Planner) RecordUsage(now time.Time, node celerylanding.NodeID, service celerylanding.ServiceID, usage feed.Usage) {
	source := demand.Source{Node: node, Adapter: usage.Unit.Adapter}
	planner.recordUsage(now, source, demandKey{service, usage.Unit}, usage)
	if usage.Unit.Adapter != "" {
		planner.recordUsage(now, source, demandKey{service, feed.Unit{Model: usage.Unit.Model}}, usage)
	}
}

func (planner *Planner) recordUsage(now time.Time, source demand.Source, key demandKey, usage feed.Usage) {
	dem := planner.demandOf(now, key)
	dem.Add(now, demand.Usage{Arrivals: usage.Arrivals, Late: usage.Late, Urgency: usage.Urgency})
	dem.SetInFlight(source, usage.InFlight)
}

// demandOf returns the demand for a unit, which begins now if there was none.
func (planner *Planner) demandOf(now time.Time, key demandKey) *demand.Demand {
	dem := planner.demand[key]
	if dem == nil {
		if planner.countedSince.IsZero() {
			planner.countedSince = now
		}
		dem = demand.New(now, planner.countedSince)
		planner.demand[key] = dem
	}
	return dem
}

// ForgetRouter drops the running requests that a router has reported; the router no longer runs or can't be reached.
func (planner *Planner) ForgetRouter(node celerylanding.NodeID) {
	for _, dem := range planner.demand {
		dem.Forget(node)
	}
}

// modelRate returns the arrivals per second for a model and all its adapters.
func (planner *Planner) modelRate(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].Rate(now)
}

// modelUrgency returns the urgency rate of a model and all its adapters.
func (planner *Planner) modelUrgency(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].UrgencyRate(now)
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
	running := planner.demand[demandKey{service, feed.Unit{Model: id}}].Running()
	byRunning := float64(running) / (maxModelShare * float64(max(1, spec.Slots)))
	model, _ := spec.Model(id)
	adapters := 0
	for _, adapter := range model.Adapters {
		if planner.demand[demandKey{service, feed.Unit{Model: id, Adapter: adapter}}].Recent(now) >= activeAdapterDemand {
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
	if late, share := dem.Late(now); late < minLate || share < lateShare {
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
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].Running() > 0
}
