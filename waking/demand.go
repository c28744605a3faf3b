package waking

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// demandHalfLife is the time after which an arrival counts half; about the time in which the popular models change.
const demandHalfLife = 6 * time.Second

// leastWindow is the shortest time that a rate is taken over; routers report arrivals four times a second.
const leastWindow = time.Second

// forgottenDemand is the decayed number of arrivals below which a unit is forgotten; one arrival ten half-lives ago.
const forgottenDemand = 0.001

// demandKey names a unit of a service.
type demandKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// usageSource tells the counts apart that make up the requests of a unit.
type usageSource struct {
	node    celerylanding.NodeID
	adapter string
}

// demand is what the routers have lately asked of one unit.
type demand struct {
	// weight is the decayed number of arrivals as of the time at.
	weight float64
	// urgency is the decayed sum of the arrivals' weights.
	urgency float64
	at      time.Time
	// since is when the planner began to count arrivals of all units.
	since    time.Time
	inFlight map[usageSource]int
}

// decay returns what is left of a count since it was made.
func (dem *demand) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(dem.at).Seconds() / demandHalfLife.Seconds())
}

// recent returns the decayed number of arrivals.
func (dem *demand) recent(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.weight * dem.decay(now)
}

// urgencyRate returns the weights of the arrivals per second.
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

// window returns the seconds that the decayed counts stand for, which are fewer while arrivals have been counted for a short time.
func (dem *demand) window(now time.Time) float64 {
	counted := max(now.Sub(dem.since), leastWindow)
	return (1 - math.Exp2(-counted.Seconds()/demandHalfLife.Seconds())) * demandHalfLife.Seconds() / math.Ln2
}

func (dem *demand) running() int {
	sum := 0
	if dem != nil {
		for _, count := range dem.inFlight {
			sum += count
		}
	}
	return sum
}

// RecordUsage takes one router's count of a unit; a unit with an adapter counts for its model as well.
func (planner *Planner) RecordUsage(now time.Time, node celerylanding.NodeID, service celerylanding.ServiceID, usage feed.Usage) {
	source := usageSource{node, usage.Unit.Adapter}
	planner.use(now, source, demandKey{service, usage.Unit}, usage)
	if usage.Unit.Adapter != "" {
		planner.use(now, source, demandKey{service, feed.Unit{Model: usage.Unit.Model}}, usage)
	}
}

func (planner *Planner) use(now time.Time, source usageSource, key demandKey, usage feed.Usage) {
	dem := planner.demand[key]
	if dem == nil {
		if planner.countedSince.IsZero() {
			planner.countedSince = now
		}
		dem = &demand{at: now, since: planner.countedSince, inFlight: make(map[usageSource]int)}
		planner.demand[key] = dem
	}
	decay := dem.decay(now)
	dem.weight = dem.weight*decay + float64(usage.Arrivals)
	dem.urgency = dem.urgency*decay + usage.Urgency
	dem.at = now
	dem.inFlight[source] = usage.InFlight
}

// modelRate returns the arrivals per second for a model and all its adapters.
func (planner *Planner) modelRate(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].rate(now)
}

// modelUrgency returns the weights of the arrivals per second for a model and all its adapters.
func (planner *Planner) modelUrgency(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].urgencyRate(now)
}

// wantedReplicas returns how many replicas a model's arrivals and adapters need.
func (planner *Planner) wantedReplicas(now time.Time, spec *routing.Engine, service celerylanding.ServiceID, id celerylanding.ModelID) int {
	byRate := planner.modelRate(now, service, id) / replicaRate
	running := planner.demand[demandKey{service, feed.Unit{Model: id}}].running()
	byRunning := float64(running) / (fullShare * float64(max(1, spec.Slots)))
	model, _ := spec.Model(id)
	adapters := 0
	for _, adapter := range model.Adapters {
		if planner.demand[demandKey{service, feed.Unit{Model: id, Adapter: adapter}}].recent(now) >= activeAdapter {
			adapters++
		}
	}
	byAdapters := float64(adapters) / float64(max(1, spec.AdapterSlots))
	return int(math.Ceil(max(byRate, byRunning, byAdapters)))
}

// fullShare is the part of an engine's places that the requests of one model may take before it should have another replica; the
// rest is for the engine's other models.
const fullShare = 0.5

// activeAdapter is the decayed number of arrivals from which an adapter keeps its place; one arrival within two half-lives.
const activeAdapter = 0.25

func (planner *Planner) isRunning(service celerylanding.ServiceID, id celerylanding.ModelID) bool {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].running() > 0
}
