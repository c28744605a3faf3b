package proxy

import (
	"context"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// wakePollInterval is the interval at which a waiting request looks for a target again when the table does not change.
	wakePollInterval = 250 * time.Millisecond
	// wakeTimeout is the timeout of one wake request to the leader.
	wakeTimeout = 400 * time.Millisecond
	// wakeReplyTTL is how long the leader's reply for a unit is reused for all requests that wait for the unit. Errors and infeasible replies
	// are not reused.
	wakeReplyTTL = 200 * time.Millisecond
)

// wakeKey identifies the unit that requests wait for.
type wakeKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
}

// wakeState is the state of the wake requests for one unit.
type wakeState struct {
	waiting int
	// onTimeUntil is the latest time at which a load of the unit lets a waiting request still meet its latency objective.
	onTimeUntil time.Time
	askedAt     time.Time
	reply       feed.WakeReply
	err         error
	// done is closed when the pending wake request ends; nil while none is pending.
	done chan struct{}
}

// waker sends one wake request to the leader for all requests that wait for the same unit.
type waker struct {
	node   celerylanding.NodeID
	leader Leader
	mutex  sync.Mutex
	units  map[wakeKey]*wakeState
}

func newWaker(node celerylanding.NodeID, leader Leader) *waker {
	return &waker{node: node, leader: leader, units: make(map[wakeKey]*wakeState)}
}

// wake returns the leader's reply for the unit; it sends a wake request unless one is pending or the last reply is still valid.
// Refusals force a new request unless one is pending.
func (waker *waker) wake(ctx context.Context, now time.Time, service celerylanding.ServiceID, unit feed.Unit, remaining, slack time.Duration,
	refusals, unreachable []celerylanding.Endpoint) (feed.WakeReply, error) {
	key := wakeKey{service, unit}
	waker.mutex.Lock()
	state := waker.units[key]
	if state == nil {
		state = &wakeState{}
		waker.units[key] = state
	}
	state.waiting++
	if onTimeUntil := now.Add(slack); onTimeUntil.After(state.onTimeUntil) {
		state.onTimeUntil = onTimeUntil
	}
	defer waker.release(key, state)
	if done := state.done; done != nil {
		waker.mutex.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return waker.lastReply(state)
	}
	isFresh := now.Sub(state.askedAt) < wakeReplyTTL && state.err == nil && !state.reply.Infeasible
	if isFresh && len(refusals) == 0 {
		defer waker.mutex.Unlock()
		return state.reply, nil
	}
	state.done = make(chan struct{})
	args := feed.WakeArgs{Node: waker.node, Service: service, Unit: unit, Waiting: state.waiting, MaxWait: remaining, Slack: max(0, state.onTimeUntil.Sub(now)),
		Refusals: refusals, Unreachable: unreachable}
	waker.mutex.Unlock()
	wakeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wakeTimeout)
	defer cancel()
	reply, err := waker.leader.Wake(wakeCtx, args)
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state.askedAt, state.reply, state.err = now, reply, err
	close(state.done)
	state.done = nil
	return reply, err
}

func (waker *waker) lastReply(state *wakeState) (feed.WakeReply, error) {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	return state.reply, state.err
}

// release ends the wait of one request, and deletes the state of the unit when no request waits for it and no load is expected.
func (waker *waker) release(key wakeKey, state *wakeState) {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state.waiting--
	isSettled := state.reply.Expected == 0 || state.reply.Infeasible || state.err != nil
	if state.waiting == 0 && state.done == nil && isSettled {
		delete(waker.units, key)
	}
}
