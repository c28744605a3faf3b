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
	// quotaWaitShare is the share of its latency objective for which a request waits for a part of its workspace's quota, and
	// quotaWait that time without an objective.
	quotaWaitShare = 0.5
	quotaWait      = 500 * time.Millisecond
	// missingLeaderWait is how long after the leader's last answer a request waits for it, since another one is usually elected by then.
	missingLeaderWait = 2 * time.Second
	// answerCheckInterval is the time after which such a request is looked at again, since the leader may have said meanwhile that there is too little.
	answerCheckInterval = 50 * time.Millisecond
	// quotaTimeout is the timeout of one call to the leader.
	quotaTimeout = 300 * time.Millisecond
	// quotaSpread is the part by which the delay after which a caller returns is prolonged at random.
	quotaSpread = 0.2
)

// quotas charges the requests of workspaces with a limit, and asks the leader for parts of their quotas.
type quotas struct {
	mutex   sync.Mutex
	reserve *throttle.Reserve
	// waiting holds a channel for each charge that waits; it is closed when the charge is decided.
	waiting map[*throttle.Charge]chan struct{}
	// isAsking is set while a goroutine asks the leader, and isDue receives a value when it has to ask earlier than it had planned.
	isAsking bool
	isDue    chan struct{}
}

func newQuotas(node celerylanding.NodeID, started time.Time) *quotas {
	return &quotas{reserve: throttle.NewReserve(node, uint64(started.UnixNano())), waiting: make(map[*throttle.Charge]chan struct{}),
		isDue: make(chan struct{}, 1)}
}

// wake ends the wait of charges that have been admitted; the caller holds the mutex.
func (quotas *quotas) wake(admitted []*throttle.Charge) {
	for _, charge := range admitted {
		if done := quotas.waiting[charge]; done != nil {
			close(done)
			delete(quotas.waiting, charge)
		}
	}
}

// charge charges a request to its workspace, and refuses it if the quota has too little left for as long as the request can wait.
func (handler *Handler) charge(ctx context.Context, call *call) *refusal {
	if call.workspace == nil || !call.workspace.Quota.IsLimited() {
		return nil
	}
	units := call.workspace.Quota.Cost(call.metadata)
	if units <= 0 {
		return nil
	}
	now, quotas := handler.options.Clock(), handler.quotas
	patience := call.quotaPatience(now)
	quotas.mutex.Lock()
	charge := quotas.reserve.BeginRanked(now, call.workspace, call.route.Priority, units, patience)
	var done chan struct{}
	if charge.State() == throttle.ChargeWaiting {
		done = make(chan struct{})
		quotas.waiting[charge] = done
	}
	if quotas.reserve.NeedsCall(now, charge) {
		if quotas.isAsking {
			select {
			case quotas.isDue <- struct{}{}:
			default:
			}
		} else {
			quotas.isAsking = true
			handler.probes.Go(handler.askQuotas)
		}
	}
	quotas.mutex.Unlock()
	if done != nil {
		handler.awaitCharge(ctx, call, charge, done, patience)
		call.waited += handler.options.Clock().Sub(now)
	}
	return handler.endCharge(call, charge)
}

// quotaPatience returns how long the request waits for a part of its workspace's quota.
func (call *call) quotaPatience(now time.Time) time.Duration {
	patience := quotaWait
	if call.route.LatencyObjective > 0 {
		patience = time.Duration(quotaWaitShare * float64(call.route.LatencyObjective))
	}
	return min(patience, call.deadline.Sub(now)/2)
}

// awaitCharge waits until a charge is decided, for as long as its request can wait. While the leader does not answer, the request waits for the next one:
// a late answer is worth more to its caller than none.
func (handler *Handler) awaitCharge(ctx context.Context, call *call, charge *throttle.Charge, done <-chan struct{}, patience time.Duration) {
	quotas := handler.quotas
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
		quotas.mutex.Lock()
		if ctx.Err() == nil && patience > 0 && quotas.reserve.IsUnanswered(now, charge) {
			quotas.mutex.Unlock()
			continue
		}
		quotas.wake(quotas.reserve.GiveUp(now, charge))
		delete(quotas.waiting, charge)
		quotas.mutex.Unlock()
		return
	}
}

// endCharge records the decision on a charge, and returns the refusal of a request that may not be sent.
func (handler *Handler) endCharge(call *call, charge *throttle.Charge) *refusal {
	scope := handler.options.Metrics.Tagged(map[string]string{"workspace": string(charge.Workspace())})
	if charge.State() == throttle.ChargeAdmitted {
		call.charge = charge
		scope.Counter("quota_admitted_units").Inc(int64(charge.Units()))
		return nil
	}
	cause := "used_up"
	if charge.IsCutOff() {
		cause = "cut_off"
	}
	scope.Tagged(map[string]string{"cause": cause}).Counter("quota_refused").Inc(1)
	return refuseCharge(charge).withChance(rand.Float64())
}

// refuseCharge returns the refusal of a request whose charge was refused.
func refuseCharge(charge *throttle.Charge) *refusal {
	delay := charge.RetryAfter()
	refused := &refusal{status: http.StatusTooManyRequests, verdict: celerylanding.NotRun, reason: celerylanding.ReasonQuotaUsed,
		cause: "the workspace has used its quota"}
	if charge.IsCutOff() {
		delay = max(delay, startingRetryDelay)
		refused = unavailable(celerylanding.ReasonNoQuorum, 0, "this router has used its part of the workspace's quota, and the leader has not granted it another")
	}
	refused.retryAfter, refused.spread = delay, time.Duration(quotaSpread*float64(charge.RetryAfter()))
	return refused
}

// useCharge records that the request is sent to a target.
func (handler *Handler) useCharge(call *call) {
	if call.charge == nil {
		return
	}
	handler.quotas.mutex.Lock()
	defer handler.quotas.mutex.Unlock()
	handler.quotas.reserve.Use(call.charge)
	call.charge = nil
}

// returnCharge gives back the units of a request that was not sent to a target.
func (handler *Handler) returnCharge(call *call) {
	if call.charge == nil {
		return
	}
	handler.quotas.mutex.Lock()
	defer handler.quotas.mutex.Unlock()
	handler.quotas.wake(handler.quotas.reserve.Return(handler.options.Clock(), call.charge))
	call.charge = nil
}

// askQuotas asks the leader for parts of the quotas, until no request waits and enough is held.
func (handler *Handler) askQuotas(ctx context.Context) {
	quotas := handler.quotas
	for {
		quotas.mutex.Lock()
		sent := handler.options.Clock()
		args, isDue := quotas.reserve.Ask(sent)
		pause, isWaiting := quotas.reserve.NextAsk(sent)
		if ctx.Err() != nil || !isDue && !isWaiting {
			quotas.isAsking = false
			quotas.mutex.Unlock()
			return
		}
		quotas.mutex.Unlock()
		if !isDue {
			timer := time.NewTimer(max(pause, time.Millisecond))
			select {
			case <-timer.C:
			case <-quotas.isDue:
			case <-ctx.Done():
			}
			timer.Stop()
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, quotaTimeout)
		reply, err := handler.options.Leader.Quota(callCtx, *args)
		cancel()
		quotas.mutex.Lock()
		now := handler.options.Clock()
		if err != nil {
			handler.options.Metrics.Counter("quota_calls_failed").Inc(1)
			quotas.reserve.HandleFailure(now)
		} else {
			quotas.wake(quotas.reserve.HandleReply(now, sent, args, &reply))
		}
		quotas.mutex.Unlock()
	}
}
