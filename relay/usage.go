package relay

import (
	"sync"
	"time"

	"celerylanding.example/celerylanding/feed"
)

// usage counts what callers ask for, for the leader.
type usage struct {
	mutex sync.Mutex
	units map[feed.Unit]*unitUsage
}

// unitUsage is the count of one unit.
type unitUsage struct {
	feed.Usage
	// wasRunning is set when the last count was not zero, so that the leader is told once that nothing runs any more.
	wasRunning bool
}

func newUsage() *usage { return &usage{units: make(map[feed.Unit]*unitUsage)} }

// begin counts an arrival; the returned function ends it.
func (counts *usage) begin(unit feed.Unit, aim time.Duration) func() {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	count := counts.units[unit]
	if count == nil {
		count = &unitUsage{Usage: feed.Usage{Unit: unit}}
		counts.units[unit] = count
	}
	count.Arrivals++
	count.InFlight++
	count.Urgency += urgencyOf(aim)
	return func() {
		counts.mutex.Lock()
		defer counts.mutex.Unlock()
		count.InFlight--
	}
}

// take returns the counts that the leader should know and begins new ones.
func (counts *usage) take() []feed.Usage {
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	list := make([]feed.Usage, 0, len(counts.units))
	for _, count := range counts.units {
		if count.Arrivals > 0 || count.InFlight > 0 || count.wasRunning {
			list = append(list, count.Usage)
		}
		count.wasRunning = count.InFlight > 0
		count.Arrivals, count.Urgency = 0, 0
	}
	return list
}

// The bounds of a request's weight, for routes whose aim is far from the time of a load.
const (
	leastUrgency = 0.2
	mostUrgency  = 4
)

// urgencyOf returns the weight of a request: a delay hurts the more the sooner its answer should begin.
func urgencyOf(aim time.Duration) float64 {
	if aim <= 0 {
		return 1
	}
	return min(max(1/aim.Seconds(), leastUrgency), mostUrgency)
}
