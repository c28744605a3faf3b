package relay

import (
	"sync"
	"time"

	"celerylanding.example/celerylanding/feed"
)

// usage counts what callers ask for, for the leader.
type usage struct {
	mutex sync.Mutex
	units map[feed.Unit]*feed.Usage
}

func newUsage() *usage { return &usage{units: make(map[feed.Unit]*feed.Usage)} }

// begin counts an arrival; the returned function ends it.
func (counts *usage) begin(unit feed.Unit, _ time.Duration) func() {
	if unit.Model == "" {
		return func() {}
	}
	counts.mutex.Lock()
	defer counts.mutex.Unlock()
	count := counts.units[unit]
	if count == nil {
		count = &feed.Usage{Unit: unit}
		counts.units[unit] = count
	}
	count.Arrivals++
	count.InFlight++
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
		if count.Arrivals > 0 || count.InFlight > 0 || count.Worth > 0 {
			list = append(list, *count)
		}
		// Worth marks a unit whose last count was not zero, so that the leader is told once that nothing runs any more.
		count.Worth = float64(min(count.InFlight, 1))
		count.Arrivals = 0
	}
	return list
}
