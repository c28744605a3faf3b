package proxy

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// Charged is a request that was charged to its workspace.
type Charged struct {
	handler *Handler
	call    *call
}

// Charge charges a request of a workspace, as the handler does before it looks for a target. It returns the status of a refusal, or 0, and the delay
// after which the caller returns.
func (handler *Handler) Charge(ctx context.Context, workspace *routing.Workspace, tokens int, objective time.Duration) (*Charged, int, time.Duration) {
	return handler.ChargeRanked(ctx, workspace, 0, tokens, objective)
}

// ChargeRanked is Charge for a request of a route with a priority.
func (handler *Handler) ChargeRanked(ctx context.Context, workspace *routing.Workspace, priority, tokens int,
	objective time.Duration) (*Charged, int, time.Duration) {
	now := handler.options.Clock()
	call := &call{workspace: workspace, route: &routing.Route{LatencyObjective: objective, Priority: priority}, arrived: now,
		deadline: now.Add(10 * time.Second)}
	call.metadata.PromptTokens = tokens
	if refusal := handler.charge(ctx, call); refusal != nil {
		return nil, refusal.status, refusal.retryAfter
	}
	return &Charged{handler, call}, 0, 0
}

// RecordContact records that the leader has answered the router.
func (handler *Handler) RecordContact(now time.Time) {
	handler.state.mutex.Lock()
	defer handler.state.mutex.Unlock()
	handler.state.lastContact = now
}

// Use records that the request is sent.
func (charged *Charged) Use() { charged.handler.useCharge(charged.call) }

// End records that the request has ended.
func (charged *Charged) End() { charged.handler.returnCharge(charged.call) }

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
