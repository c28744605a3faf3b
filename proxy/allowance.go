package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/throttle"
)

const (
	// allowanceWaitShare is the share of its latency objective for which a request waits for a part of its workspace's allowance, and
	// allowanceWait that time without an objective.
	allowanceWaitShare = 0.5
	allowanceWait      = 500 * time.Millisecond
	// missingLeaderWait is how long after the leader's last answer a request waits for it, since another one is usually elected by then.
	missingLeaderWait = 2 * time.Second
	// answerCheckInterval is the time after which such a request is looked at again, since the leader may have said meanwhile that there is too little.
	answerCheckInterval = 50 * time.Millisecond
	// allowanceTimeout is the timeout of one call to the leader.
	allowanceTimeout = 300 * time.Millisecond
	// allowanceSpread is the part by which the delay after which a caller returns is prolonged at random.
	allowanceSpread = 0.2
)

// allowances charges the requests of workspaces with a limit, and asks the leader for parts of their allowances.
type allowances struct {
	mutex   sync.Mutex
	reserve *throttle.Reserve
	// waiting holds a channel for each charge that waits; it is closed when the charge is decided.
	waiting map[*throttle.Charge]chan struct{}
	// isAsking is set while a goroutine asks the leader, and isDue receives a value when it has to ask earlier than it had planned.
	isAsking bool
	isDue    chan struct{}
}

func newAllowances(node celerylanding.NodeID, started time.Time) *allowances {
	return &allowances{reserve: throttle.NewReserve(node, uint64(started.UnixNano())), waiting: make(map[*throttle.Charge]chan struct{}),
		isDue: make(chan struct{}, 1)}
}

// wake ends the wait of charges that have been admitted; the caller holds the mutex.
func (allowances *allowances) wake(admitted []*throttle.Charge) {
	for _, charge := range admitted {
		if done := allowances.waiting[charge]; done != nil {
			close(done)
			delete(allowances.waiting, charge)
		}
	}
}

// charge charges a request to its workspace, and refuses it if the allowance has too little left for as long as the request can wait.
func (handler *Handler) charge(ctx context.Context, call *call) *refusal {
	if call.workspace == nil || !call.workspace.Allowance.IsLimited() {
		return nil
	}
	units := call.workspace.Allowance.Cost(call.metadata)
	if units <= 0 {
		return nil
	}
	now, allowances := handler.options.Clock(), handler.allowances
	patience := call.allowancePatience(now)
	allowances.mutex.Lock()
	charge := allowances.reserve.BeginRanked(now, call.workspace, call.route.Priority, units, patience)
	var done chan struct{}
	if charge.State() == throttle.ChargeWaiting {
		done = make(chan struct{})
		allowances.waiting[charge] = done
	}
	if allowances.reserve.NeedsCall(now, charge) {
		if allowances.isAsking {
			select {
			case allowances.isDue <- struct{}{}:
			default:
			}
		} else {
			allowances.isAsking = true
			handler.probes.Go(handler.askAllowances)
		}
	}
	allowances.mutex.Unlock()
	if done != nil {
		handler.awaitCharge(ctx, call, charge, done, patience)
		call.waited += handler.options.Clock().Sub(now)
	}
	return handler.endCharge(call, charge)
}

// allowancePatience returns how long the request waits for a part of its workspace's allowance.
func (call *call) allowancePatience(now time.Time) time.Duration {
	patience := allowanceWait
	if call.route.LatencyObjective > 0 {
		patience = time.Duration(allowanceWaitShare * float64(call.route.LatencyObjective))
	}
	return min(patience, call.deadline.Sub(now)/2)
}

// awaitCharge waits until a charge is decided, for as long as its request can wait. While the leader does not answer, the request waits for the next one:
// a late answer is worth more to its caller than none.
func (handler *Handler) awaitCharge(ctx context.Context, call *call, charge *throttle.Charge, done <-chan struct{}, patience time.Duration) {
	allowances := handler.allowances
	latest := call.deadline.Add(-call.deadline.Sub(handler.options.Clock()) / 2)
	for {
		timer := time.NewTimer(patience)
		select {
		case <-done:
			timer.Stop()
			return
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		now := handler.options.Clock()
		patience = min(missingLeaderWait-handler.state.sinceContact(now), latest.Sub(now), answerCheckInterval)
		allowances.mutex.Lock()
		if ctx.Err() == nil && patience > 0 && allowances.reserve.IsUnanswered(now, charge) {
			allowances.mutex.Unlock()
			continue
		}
		allowances.wake(allowances.reserve.GiveUp(now, charge))
		delete(allowances.waiting, charge)
		allowances.mutex.Unlock()
		return
	}
}

// endCharge records the decision on a charge, and returns the refusal of a request that may not be sent.
func (handler *Handler) endCharge(call *call, charge *throttle.Charge) *refusal {
	scope := handler.options.Metrics.Tagged(map[string]string{"workspace": string(charge.Workspace())})
	if charge.State() == throttle.ChargeAdmitted {
		call.charge = charge
		scope.Counter("allowance_admitted_units").Inc(int64(charge.Units()))
		return nil
	}
	cause := "used_up"
	if charge.IsCutOff() {
		cause = "cut_off"
	}
	scope.Tagged(map[string]string{"cause": cause}).Counter("allowance_refused").Inc(1)
	return refuseCharge(charge).withChance(rand.Float64())
}

// refuseCharge returns the refusal of a request whose charge was refused.
func refuseCharge(charge *throttle.Charge) *refusal {
	delay := charge.RetryAfter()
	refused := &refusal{status: http.StatusTooManyRequests, verdict: celerylanding.NotRun, reason: celerylanding.ReasonAllowanceUsed,
		cause: "the workspace has used its allowance"}
	if charge.IsCutOff() {
		delay = max(delay, startingRetryDelay)
		refused = unavailable(celerylanding.ReasonNoQuorum, 0, "this router has used its part of the workspace's allowance, and the leader has not granted it another")
	}
	refused.retryAfter, refused.spread = delay, time.Duration(allowanceSpread*float64(charge.RetryAfter()))
	return refused
}

// useCharge records that the request is sent to a target.
func (handler *Handler) useCharge(call *call) {
	if call.charge == nil {
		return
	}
	handler.allowances.mutex.Lock()
	defer handler.allowances.mutex.Unlock()
	handler.allowances.reserve.Use(call.charge)
	call.charge = nil
}

// returnCharge gives back the units of a request that was not sent to a target.
func (handler *Handler) returnCharge(call *call) {
	if call.charge == nil {
		return
	}
	handler.allowances.mutex.Lock()
	defer handler.allowances.mutex.Unlock()
	handler.allowances.wake(handler.allowances.reserve.Return(handler.options.Clock(), call.charge))
	call.charge = nil
}

// askAllowances asks the leader for parts of the allowances, until no request waits and enough is held.
func (handler *Handler) askAllowances(ctx context.Context) {
	allowances := handler.allowances
	for {
		allowances.mutex.Lock()
		sent := handler.options.Clock()
		args, isDue := allowances.reserve.Ask(sent)
		pause, isWaiting := allowances.reserve.NextAsk(sent)
		if ctx.Err() != nil || !isDue && !isWaiting {
			allowances.isAsking = false
			allowances.mutex.Unlock()
			return
		}
		allowances.mutex.Unlock()
		if !isDue {
			timer := time.NewTimer(max(pause, time.Millisecond))
			select {
			case <-timer.C:
			case <-allowances.isDue:
			case <-ctx.Done():
			}
			timer.Stop()
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, allowanceTimeout)
		reply, err := handler.options.Leader.Allowance(callCtx, *args)
		cancel()
		allowances.mutex.Lock()
		now := handler.options.Clock()
		if err != nil {
			handler.options.Metrics.Counter("allowance_calls_failed").Inc(1)
			allowances.reserve.HandleFailure(now)
		} else {
			allowances.wake(allowances.reserve.HandleReply(now, sent, args, &reply))
		}
		allowances.mutex.Unlock()
	}
}
