package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/preview"
)

const (
	// wakePollInterval is the interval at which a waiting request looks for a target again when the table does not change.
	wakePollInterval = 250 * time.Millisecond
	// wakeTimeout is the timeout of one wake request to the leader.
	wakeTimeout = 400 * time.Millisecond
	// minWakeInterval and maxWakeInterval bound the time after which the leader is asked again for a unit that it has promised. It is asked
	// when the promised time has passed, or when more requests wait, but not more often than once in minWakeInterval.
	minWakeInterval = 200 * time.Millisecond
	maxWakeInterval = time.Second
	// maxWakeBackoffDoublings bounds the exponential backoff after wake requests that the leader has not answered or has turned away.
	maxWakeBackoffDoublings = 3
)

// wakeKey identifies the unit that requests wait for.
type wakeKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
	// software is the version that the target must have; "" for any.
	software celerylanding.SoftwareVersion
}

// wakeState is the state of the wake requests for one unit.
type wakeState struct {
	waiting int
	// askedFor is the number of waiting requests that the last wake request reported.
	askedFor int
	// onTimeUntil is the latest time at which a load of the unit lets a waiting request still meet its latency objective.
	onTimeUntil time.Time
	// refusals and unreachable are the targets to report with the next wake request.
	refusals    []celerylanding.Endpoint
	unreachable []celerylanding.Endpoint
	askedAt     time.Time
	reply       feed.WakeReply
	err         error
	// failures counts the consecutive wake requests that ended in an error.
	failures int
	// askAgainAt is when the leader is asked again for the same number of waiting requests.
	askAgainAt time.Time
	// done is closed when the pending wake request ends; nil while none is pending.
	done chan struct{}
}

// waker sends one wake request to the leader for all requests that wait for the same unit.
type waker struct {
	node   celerylanding.NodeID
	leader Leader
	clock  func() time.Time
	mutex  sync.Mutex
	units  map[wakeKey]*wakeState
}

func newWaker(node celerylanding.NodeID, leader Leader, clock func() time.Time) *waker {
	return &waker{node: node, leader: leader, clock: clock, units: make(map[wakeKey]*wakeState)}
}

// forgetReplies makes the next request for each unit ask the leader at once; a new leader knows nothing of what the former one promised.
func (waker *waker) forgetReplies() {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	for _, state := range waker.units {
		state.askedAt, state.askAgainAt, state.failures = time.Time{}, time.Time{}, 0
	}
}

// peek returns what is known of the load of a unit, or nil if no request has waited for it lately.
func (waker *waker) peek(now time.Time, service celerylanding.ServiceID, unit feed.Unit, software celerylanding.SoftwareVersion) *preview.Load {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state := waker.units[wakeKey{service, unit, software}]
	if state == nil {
		return nil
	}
	load := &preview.Load{Waiting: state.waiting, FailedCalls: state.failures}
	if !state.askedAt.IsZero() && state.err == nil {
		load.HasAnswer, load.AnswerAgeSeconds = true, now.Sub(state.askedAt).Seconds()
		load.ExpectedSeconds, load.IsInfeasible, load.Cause = state.reply.Expected.Seconds(), state.reply.Infeasible, state.reply.Cause
	}
	return load
}

// unitWait is one request's wait for a unit.
type unitWait struct {
	waker *waker
	key   wakeKey
	state *wakeState
}

// join adds a request to those that wait for the unit on a target with the software; leave ends its wait.
func (waker *waker) join(service celerylanding.ServiceID, unit feed.Unit, software celerylanding.SoftwareVersion) *unitWait {
	key := wakeKey{service, unit, software}
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state := waker.units[key]
	if state == nil {
		state = &wakeState{}
		waker.units[key] = state
	}
	state.waiting++
	return &unitWait{waker: waker, key: key, state: state}
}

// leave ends the wait of one request, and forgets the unit when no request waits for it and nothing is left to report.
func (wait *unitWait) leave() {
	wait.waker.mutex.Lock()
	defer wait.waker.mutex.Unlock()
	wait.state.waiting--
	if wait.state.waiting == 0 && wait.state.done == nil && len(wait.state.refusals) == 0 {
		delete(wait.waker.units, wait.key)
	}
}

// wake returns the leader's reply for the unit; it sends a wake request unless one is pending or the last reply is still valid.
// Refusals force a new request unless one is pending; then they are reported with the next one.
func (wait *unitWait) wake(ctx context.Context, now time.Time, remaining, slack time.Duration,
	refusals, unreachable []celerylanding.Endpoint) (feed.WakeReply, error) {
	waker, state := wait.waker, wait.state
	waker.mutex.Lock()
	if onTimeUntil := now.Add(slack); onTimeUntil.After(state.onTimeUntil) {
		state.onTimeUntil = onTimeUntil
	}
	state.refusals = appendMissing(state.refusals, refusals)
	state.unreachable = appendMissing(state.unreachable, unreachable)
	if done := state.done; done != nil {
		waker.mutex.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return waker.lastReply(state)
	}
	if !state.isDue(now) {
		defer waker.mutex.Unlock()
		return state.reply, state.err
	}
	state.done = make(chan struct{})
	state.askedFor = state.waiting
	args := feed.WakeArgs{Node: waker.node, Service: wait.key.service, Unit: wait.key.unit, Software: wait.key.software, Waiting: state.waiting, MaxWait: remaining,
		Slack: max(0, state.onTimeUntil.Sub(now)), Refusals: state.refusals, Unreachable: state.unreachable}
	state.refusals, state.unreachable = nil, nil
	waker.mutex.Unlock()
	wakeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wakeTimeout)
	defer cancel()
	reply, err := waker.leader.Wake(wakeCtx, args)
	answered := waker.clock()
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	state.askedAt, state.reply, state.err = now, reply, err
	if err == nil {
		state.failures = 0
		state.askAgainAt = now.Add(min(max(reply.Expected, minWakeInterval), maxWakeInterval))
	} else {
		state.refusals = appendMissing(state.refusals, args.Refusals)
		state.askAgainAt = answered.Add(wakeBackoff(state.failures, rand.Float64()))
		state.failures++
	}
	close(state.done)
	state.done = nil
	return reply, err
}

// isDue reports whether the leader has to be asked for the unit now.
func (state *wakeState) isDue(now time.Time) bool {
	switch {
	case state.err != nil:
		return !now.Before(state.askAgainAt)
	case state.reply.Infeasible || len(state.refusals) > 0 || !now.Before(state.askAgainAt):
		return true
	}
	return state.waiting > state.askedFor && now.Sub(state.askedAt) >= minWakeInterval
}

// wakeBackoff returns the time before the next wake request after one that failed; jitter is between 0 and 1, so that routers do not ask
// a busy leader all at the same time.
func wakeBackoff(failures int, jitter float64) time.Duration {
	longest := minWakeInterval << min(failures, maxWakeBackoffDoublings)
	return longest/2 + time.Duration(jitter*float64(longest)/2)
}

// appendMissing appends the endpoints that the list lacks.
func appendMissing(list, added []celerylanding.Endpoint) []celerylanding.Endpoint {
	for _, endpoint := range added {
		if !slices.Contains(list, endpoint) {
			list = append(list, endpoint)
		}
	}
	return list
}

func (waker *waker) lastReply(state *wakeState) (feed.WakeReply, error) {
	waker.mutex.Lock()
	defer waker.mutex.Unlock()
	return state.reply, state.err
}
