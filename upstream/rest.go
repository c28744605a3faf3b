package upstream

import (
	"sync"
	"time"
)

const (
	// leastRest is the shortest time that idle connections are kept, and the shortest rest after which a reset is put down to it; a
	// reset right after an answer is rather the target's end.
	leastRest = 100 * time.Millisecond
	// restShare is the part of the rest that ended in a reset for which connections are kept from then on; targets may forget a
	// connection at any time before.
	restShare = 0.7
	// restRecovery is the time in which the limit doubles again; targets that forget connections do so for some seconds.
	restRecovery = 5 * time.Second
)

// restLimit learns how long idle connections may rest before targets forget them without a word, which shows only when the next
// request on them is reset. All targets share it, since a request is lost for each lesson.
type restLimit struct {
	mutex sync.Mutex
	limit time.Duration
	// learned is when the limit was last lowered; zero while there is none.
	learned time.Time
	// unproved holds, by address, the rests of connections that were reset, until a new connection shows whether the target works.
	unproved map[string]time.Duration
}

// reset takes note of a connection that was reset by the first request after a rest.
func (rest *restLimit) reset(address string, rested time.Duration) {
	if rested < leastRest {
		return
	}
	rest.mutex.Lock()
	defer rest.mutex.Unlock()
	if rest.unproved == nil {
		rest.unproved = make(map[string]time.Duration)
	}
	rest.unproved[address] = rested
}

// fresh takes the outcome of the first request on a new connection: a target that answers there has forgotten the one before, and
// one that does not fails whatever it is sent on.
func (rest *restLimit) fresh(now time.Time, address string, isAnswered bool) {
	rest.mutex.Lock()
	defer rest.mutex.Unlock()
	rested, ok := rest.unproved[address]
	delete(rest.unproved, address)
	if !ok || !isAnswered {
		return
	}
	limit := max(leastRest, time.Duration(restShare*float64(rested)))
	if known, ok := rest.current(now); !ok || limit < known {
		rest.limit, rest.learned = limit, now
		return
	}
	rest.limit, _ = rest.current(now)
	rest.learned = now
}

// at returns the limit, and whether there is one.
func (rest *restLimit) at(now time.Time) (time.Duration, bool) {
	rest.mutex.Lock()
	defer rest.mutex.Unlock()
	return rest.current(now)
}

func (rest *restLimit) current(now time.Time) (time.Duration, bool) {
	if rest.learned.IsZero() {
		return 0, false
	}
	limit := rest.limit << min(now.Sub(rest.learned)/restRecovery, maxDoublings)
	return limit, limit < longestRest
}

const (
	// longestRest is the limit from which there is none any more; longer than the platforms' targets keep connections.
	longestRest = 15 * time.Second
	// maxDoublings is more than any limit needs to pass longestRest.
	maxDoublings = 10
)
