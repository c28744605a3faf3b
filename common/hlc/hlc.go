package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is one reading of the clock; stamps order events over processes.
type Timestamp struct {
	// Wall is in nanoseconds since the Unix epoch.
	Wall    int64  `cbor:"1,keyasint" json:"wall"`
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Before reports whether the stamp is earlier than the other one.
func (stamp Timestamp) Before(other Timestamp) bool {
	if stamp.Wall != other.Wall {
		return stamp.Wall < other.Wall
	}
	return stamp.Counter < other.Counter
}

// String returns the stamp as "wall.counter".
func (stamp Timestamp) String() string {
	return fmt.Sprintf("%d.%d", stamp.Wall, stamp.Counter)
}

// Clock hands out stamps; it is safe for concurrent use.
type Clock struct {
	mutex sync.Mutex
	last  Timestamp
	drift time.Duration
}

// New returns a clock that follows other clocks at most drift ahead of its own time.
func New(drift time.Duration) *Clock {
	return &Clock{drift: drift}
}

// Now returns a stamp later than all before it.
func (clock *Clock) Now(now time.Time) Timestamp {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.advance(now)
}

// Observe makes later stamps follow the one heard; a stamp too far ahead is not followed and reported false.
func (clock *Clock) Observe(now time.Time, heard Timestamp) bool {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	if heard.Wall > now.Add(clock.drift).UnixNano() {
		return false
	}
	if clock.last.Before(heard) {
		clock.last = heard
	}
	return true
}

func (clock *Clock) advance(now time.Time) Timestamp {
	wall := now.UnixNano()
	if wall > clock.last.Wall {
		clock.last = Timestamp{Wall: wall}
		return clock.last
	}
	clock.last.Counter++
	return clock.last
}
