package relay

import (
	"context"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// wakePoll is the longest time that a waiting request does not look again.
	wakePoll = 250 * time.Millisecond
	// wakeTimeout bounds one question to the leader.
	wakeTimeout = 400 * time.Millisecond
	// wakeFresh is how long the leader's word for a unit counts for all requests that wait for it.
	wakeFresh = 200 * time.Millisecond
)

// wakeKey names what requests wait for.
type wakeKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// wakeState is the question about one unit.
type wakeState struct {
	waiting int
	// onTime is until when the unit must be there for the last request that waits to be answered on time.
	onTime time.Time
	asked  time.Time
	reply  feed.WakeReply
	err    error
	// done is closed when the question under way is answered; nil while there is none.
	done chan struct{}
}

// waker puts one question for all requests that wait for the same unit.
type waker struct {
	node   celerylanding.NodeID
	leader Leader
	mutex  sync.Mutex
	units  map[wakeKey]*wakeState
}

func newWaker(node celerylanding.NodeID, leader Leader) *waker {
	return &waker{node: node, leader: leader, units: make(map[wakeKey]*wakeState)}
}

// ask returns the leader's word for the unit, a fresh one where the last one is old.
func (waker *waker) ask(ctx context.Context, now time.Time, service celerylanding.ServiceID, unit feed.Unit, patience, slack time.Duration,
	refusals, unreachable []celerylanding.Endpoint) (feed.WakeReply, error) {
	key := wakeKey{service, unit}
	waker.mutex.Lock()
	state := waker.units[key]
	if state == nil {
		state = &wakeState{}
		waker.units[key] = state
	}
	state.waiting++
	if onTime := now.Add(slack); onTime.After(state.onTime) {
		state.onTime = onTime
	}
	defer waker.leave(key, state)
	if done := state.done; done != nil {
		waker.mutex.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return waker.last(state)
	}
	isFresh := now.Sub(state.asked) < wakeFresh && state.err == nil && !state.reply.Hopeless
	if isFresh && len(refusals) == 0 {
		defer waker.mutex.Unlock()
		return state.reply, nil
	}
	state.done = make(chan struct{})
	args := feed.WakeArgs{Node: waker.node, Service: service, Unit: unit, Waiting: state.waiting, Patience: patience, Slack: max(0, state.onTime.Sub(now)),
		Refusals: refusals, Unreachable: unreachable}
	waker.mutex.Unlock()
	asked, cancel := context.WithTimeout(context.WithoutCancel(ctx), wakeTimeout)
	defer cancel()
	reply, err := waker.leader.Wake(asked, args)
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state.asked, state.reply, state.err = now, reply, err
	close(state.done)
	state.done = nil
	return reply, err
}

func (waker *waker) last(state *wakeState) (feed.WakeReply, error) {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	return state.reply, state.err
}

// leave forgets a unit that nobody has waited for in a while.
func (waker *waker) leave(key wakeKey, state *wakeState) {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state.waiting--
	isSettled := state.reply.Expected == 0 || state.reply.Hopeless || state.err != nil
	if state.waiting == 0 && state.done == nil && isSettled {
		delete(waker.units, key)
	}
}
