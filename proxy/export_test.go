package proxy

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// Waker sends wake requests for one unit.
type Waker struct{ waker *waker }

// NewWaker returns a waker of the node "n" for the leader.
func NewWaker(leader Leader, clock func() time.Time) *Waker {
	return &Waker{newWaker("n", leader, clock)}
}

// Wait is one request's wait for the unit "m".
type Wait struct{ wait *unitWait }

// Join adds a waiting request.
func (waker *Waker) Join() *Wait { return &Wait{waker.waker.join("s", feed.Unit{Model: "m"}, "")} }

// HandleNewLeader forgets the replies of the former leader.
func (waker *Waker) HandleNewLeader() { waker.waker.forgetReplies() }

// Units returns the number of units that are kept.
func (waker *Waker) Units() int { return len(waker.waker.units) }

// Leave ends the wait.
func (wait *Wait) Leave() { wait.wait.leave() }

// Wake asks for the unit if a request is due.
func (wait *Wait) Wake(ctx context.Context, now time.Time, refusals ...celerylanding.Endpoint) (feed.WakeReply, error) {
	return wait.wait.wake(ctx, now, 10*time.Second, time.Second, refusals, nil)
}

// Refusals returns the number of refusals that are not reported yet.
func (waker *Waker) Refusals() int {
	waker.waker.mutex.Lock()
	defer waker.waker.mutex.Unlock()
	count := 0
	for _, state := range waker.waker.units {
		count += len(state.refusals)
	}
	return count
}
