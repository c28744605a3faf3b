package proxy

import (
	"sync"
	"time"

	"celerylanding.example/celerylanding/feed"
)

// usageCounter counts the requests per unit, for the reports to the leader.
type usageCounter struct {
	mutex sync.Mutex
	units map[feed.Unit]*unitUsage
}

// unitUsage is the count of one unit.
type unitUsage struct {
	feed.Usage
	// wasRunning is set when the last report had requests in flight, so that one more report tells the leader that none are left.
	wasRunning bool
}

func newUsageCounter() *usageCounter { return &usageCounter{units: make(map[feed.Unit]*unitUsage)} }

// begin counts the arrival of a request; the returned function records its end.
func (counts *usageCounter) begin(unit feed.Unit, objective time.Duration) func() {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	count := counts.units[unit]
	if count == nil {
		count = &unitUsage{Usage: feed.Usage{Unit: unit}}
		counts.units[unit] = count
	}
	count.Arrivals++
	count.InFlight++
	count.Urgency += urgencyOf(objective)
	return func() {
		counts.mutex.Lock()
		defer counts.mutex.Unlock()
		count.InFlight--
	}
}

// recordLate counts an answer whose first byte came too late.
func (counts *usageCounter) recordLate(unit feed.Unit) {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	if count := counts.units[unit]; count != nil {
		count.Late++
	}
}

// collect returns the counts that the leader needs and resets all but the requests in flight.
func (counts *usageCounter) collect() []feed.Usage {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	list := make([]feed.Usage, 0, len(counts.units))
	for _, count := range counts.units {
		if count.Arrivals > 0 || count.Late > 0 || count.InFlight > 0 || count.wasRunning {
			list = append(list, count.Usage)
		}
		count.wasRunning = count.InFlight > 0
		count.Arrivals, count.Late, count.Urgency = 0, 0, 0
	}
	return list
}

// The bounds of a request's urgency, for routes whose latency objective is far from the time of a model load.
const (
	minUrgency = 0.2
	maxUrgency = 4
)

// urgencyOf returns the urgency of a request: the inverse of the latency objective in seconds, within bounds;
// a delay matters more the sooner the answer should begin.
func urgencyOf(objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	return min(max(1/objective.Seconds(), minUrgency), maxUrgency)
}
