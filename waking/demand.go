package waking

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// demandHalfLife is the time after which an arrival counts half; about the time in which the popular models change.
const demandHalfLife = 6 * time.Second

// demandKey names a unit of a service.
type demandKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// demand is what the routers have lately asked of one unit.
type demand struct {
	// weight is the decayed number of arrivals as of the time at.
	weight   float64
	at       time.Time
	lastUsed time.Time
	inFlight map[celerylanding.NodeID]int
}

func (dem *demand) decayed(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.weight * math.Exp2(-now.Sub(dem.at).Seconds()/demandHalfLife.Seconds())
}

// rate returns the arrivals per second.
func (dem *demand) rate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.decayed(now) * math.Ln2 / demandHalfLife.Seconds()
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

// Use takes one router's count of a unit; a unit with an adapter counts for its model as well.
func (planner *Planner) Use(now time.Time, node celerylanding.NodeID, service celerylanding.ServiceID, usage feed.Usage) {
	planner.use(now, node, demandKey{service, usage.Unit}, usage)
	if usage.Unit.Adapter != "" {
		planner.use(now, node, demandKey{service, feed.Unit{Model: usage.Unit.Model}}, feed.Usage{Arrivals: usage.Arrivals})
	}
}

func (planner *Planner) use(now time.Time, node celerylanding.NodeID, key demandKey, usage feed.Usage) {
	dem := planner.demand[key]
	if dem == nil {
		dem = &demand{at: now, inFlight: make(map[celerylanding.NodeID]int)}
		planner.demand[key] = dem
	}
	dem.weight = dem.decayed(now) + float64(usage.Arrivals)
	dem.at = now
	if usage.Arrivals > 0 || usage.InFlight > 0 {
		dem.lastUsed = now
	}
	if key.unit == usage.Unit {
		dem.inFlight[node] = usage.InFlight
	}
}

// modelRate returns the arrivals per second for a model and all its adapters.
func (planner *Planner) modelRate(now time.Time, service celerylanding.ServiceID, id celerylanding.ModelID) float64 {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].rate(now)
}

func (planner *Planner) isRunning(service celerylanding.ServiceID, id celerylanding.ModelID) bool {
	return planner.demand[demandKey{service, feed.Unit{Model: id}}].running() > 0
}
