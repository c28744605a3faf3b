package demand

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// halfLife is the half-life of an arrival's weight; popularity shifts between models about as fast.
const halfLife = 6 * time.Second

// minRateWindow is the shortest time over which a rate is computed; routers report arrivals four times a second.
const minRateWindow = time.Second

// Source identifies a router's count of running requests for a model itself or for one of its adapters. The number of running requests of a unit is
// the sum over its sources.
type Source struct {
	Node    celerylanding.NodeID
	Adapter string
}

// Usage is what a router reports at once.
type Usage struct {
	// Arrivals and Late count requests and late answers; Urgency is the sum of the arrivals' urgencies and Tokens that of their prompt tokens.
	Arrivals, Late, Tokens int
	Urgency                float64
}

// Demand is the recent demand for one unit; the methods that read it accept nil for none. It is not safe for concurrent use.
type Demand struct {
	// arrivals, urgency, late and tokens are exponentially decayed sums, as of updated.
	arrivals, urgency, late, tokens float64
	updated                         time.Time
	// since is when counting began, for all units.
	since    time.Time
	inFlight map[Source]int
	// total is the sum over inFlight.
	total int
}

// New returns a demand without requests, where counting began at since.
func New(now, since time.Time) *Demand {
	return &Demand{updated: now, since: since, inFlight: make(map[Source]int)}
}

// Add adds a router's usage.
func (dem *Demand) Add(now time.Time, usage Usage) {
	decay := dem.decay(now)
	dem.arrivals = dem.arrivals*decay + float64(usage.Arrivals)
	dem.urgency = dem.urgency*decay + usage.Urgency
	dem.late = dem.late*decay + float64(usage.Late)
	dem.tokens = dem.tokens*decay + float64(usage.Tokens)
	dem.updated = now
}

// decay returns the factor by which the counts have decayed since the last update.
func (dem *Demand) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(dem.updated).Seconds() / halfLife.Seconds())
}

// Recent returns the decayed number of arrivals.
func (dem *Demand) Recent(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.arrivals * dem.decay(now)
}

// UrgencyRate returns the sum of the urgencies of the arrivals per second.
func (dem *Demand) UrgencyRate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.urgency * dem.decay(now) / dem.window(now)
}

// Rate returns the arrivals per second.
func (dem *Demand) Rate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.Recent(now) / dem.window(now)
}

// TokenRate returns the prompt tokens per second.
func (dem *Demand) TokenRate(now time.Time) float64 {
	if dem == nil {
		return 0
	}
	return dem.tokens * dem.decay(now) / dem.window(now)
}

// Late returns the decayed number of late answers, and their share of the arrivals.
func (dem *Demand) Late(now time.Time) (count, share float64) {
	if dem == nil || dem.late == 0 {
		return 0, 0
	}
	return dem.late * dem.decay(now), dem.late / dem.arrivals
}

// Objective returns the latency objective of the arrivals in seconds, as the inverse of their mean urgency, or 0 if there are none.
func (dem *Demand) Objective() float64 {
	if dem == nil || dem.urgency <= 0 {
		return 0
	}
	return dem.arrivals / dem.urgency
}

// window returns the length in seconds of an undecayed window equivalent to the decayed counts; it is shorter soon after counting began.
func (dem *Demand) window(now time.Time) float64 {
	counted := max(now.Sub(dem.since), minRateWindow)
	return (1 - math.Exp2(-counted.Seconds()/halfLife.Seconds())) * halfLife.Seconds() / math.Ln2
}

// Running returns the number of running requests.
func (dem *Demand) Running() int {
	if dem == nil {
		return 0
	}
	return dem.total
}

// SetInFlight replaces the number of running requests that a source reports.
func (dem *Demand) SetInFlight(source Source, count int) {
	dem.total += count - dem.inFlight[source]
	if count == 0 {
		delete(dem.inFlight, source)
	} else {
		dem.inFlight[source] = count
	}
}

// Forget drops the running requests that a router has reported.
func (dem *Demand) Forget(node celerylanding.NodeID) {
	for source := range dem.inFlight {
		if source.Node == node {
			dem.SetInFlight(source, 0)
		}
	}
}
