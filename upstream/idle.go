package upstream

import (
	"sync"
	"time"
)

const (
	// minIdle is the lowest idle limit, and the shortest idle time after which a reset is attributed to that idle time; a reset right
	// after an answer more likely means that the target has stopped.
	minIdle = 100 * time.Millisecond
	// idleLimitFactor is the factor between the idle time that ended in a reset and the new limit; the target may have dropped the connection
	// at any time before the reset.
	idleLimitFactor = 0.7
	// idleLimitDoubling is the time in which the limit doubles again; targets that drop idle connections early do so for some seconds.
	idleLimitDoubling = 5 * time.Second
)

// idleLimit limits the idle time of reused connections. Targets may drop idle connections without closing them, which is detected only
// when the next request on them is reset. All targets share one limit, since each detection costs a failed request.
type idleLimit struct {
	mutex sync.Mutex
	limit time.Duration
	// loweredAt is when the limit was last lowered or confirmed; zero if no limit has been set yet.
	loweredAt time.Time
	// pendingResets holds, by address, the idle time before a reset, until a new connection shows whether the target works.
	pendingResets map[string]time.Duration
}

// recordReset records a connection that was reset on its first request after an idle time.
func (idle *idleLimit) recordReset(address string, idleTime time.Duration) {
	if idleTime < minIdle {
		return
	}
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	if idle.pendingResets == nil {
		idle.pendingResets = make(map[string]time.Duration)
	}
	idle.pendingResets[address] = idleTime
}

// recordFirstUse records the outcome of the first request on a new connection. If the target answers, it had dropped the idle connection
// and the limit is lowered; if it does not, the target itself fails and the reset says nothing about idle times.
func (idle *idleLimit) recordFirstUse(now time.Time, address string, isAnswered bool) {
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	idleTime, ok := idle.pendingResets[address]
	delete(idle.pendingResets, address)
	if !ok || !isAnswered {
		return
	}
	limit := max(minIdle, time.Duration(idleLimitFactor*float64(idleTime)))
	if known, ok := idle.current(now); !ok || limit < known {
		idle.limit, idle.loweredAt = limit, now
		return
	}
	idle.limit, _ = idle.current(now)
	idle.loweredAt = now
}

// get returns the limit and whether one is in force.
func (idle *idleLimit) get(now time.Time) (time.Duration, bool) {
	idle.mutex.Lock()
	defer idle.mutex.Unlock()
	return idle.current(now)
}

func (idle *idleLimit) current(now time.Time) (time.Duration, bool) {
	if idle.loweredAt.IsZero() {
		return 0, false
	}
	limit := idle.limit << min(now.Sub(idle.loweredAt)/idleLimitDoubling, maxDoublings)
	return limit, limit < maxIdle
}

const (
	// maxIdle is the idle limit at and above which none applies; the platform's targets close idle connections before that time.
	maxIdle = 15 * time.Second
	// maxDoublings bounds the shift; after this many doublings, every limit exceeds maxIdle.
	maxDoublings = 10
)
