package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is one reading of the clock; timestamps order events across processes.
type Timestamp struct {
	// Wall is the wall time in nanoseconds since the Unix epoch.
	Wall int64 `cbor:"1,keyasint" json:"wall"`
	// Counter orders timestamps with the same wall time.
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Before reports whether the timestamp is earlier than the other one.
func (timestamp Timestamp) Before(other Timestamp) bool {
	if timestamp.Wall != other.Wall {
		return timestamp.Wall < other.Wall
	}
	return timestamp.Counter < other.Counter
}

// String returns the timestamp as "wall.counter".
func (timestamp Timestamp) String() string {
	return fmt.Sprintf("%d.%d", timestamp.Wall, timestamp.Counter)
}

// Clock issues timestamps; it is safe for concurrent use.
type Clock struct {
	mutex    sync.Mutex
	last     Timestamp
	maxAhead time.Duration
}

// New returns a clock that accepts observed timestamps up to maxAhead ahead of its wall time.
func New(maxAhead time.Duration) *Clock {
	return &Clock{maxAhead: maxAhead}
}

// Now returns a timestamp later than all issued or observed before; now is the current wall time.
func (clock *Clock) Now(now time.Time) Timestamp {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.advance(now)
}

// Observe makes later timestamps follow the observed one. It ignores a timestamp that is more than maxAhead ahead of now and reports false.
func (clock *Clock) Observe(now time.Time, observed Timestamp) bool {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	if observed.Wall > now.Add(clock.maxAhead).UnixNano() {
		return false
	}
	if clock.last.Before(observed) {
		clock.last = observed
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
