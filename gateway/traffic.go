package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/router"
)

const (
	// refusalMargin is kept free before a deadline, so that the refusal itself arrives in time.
	refusalMargin = 50 * time.Millisecond
	// refusalShare bounds the margin to a share of a short deadline.
	refusalShare = 10
	// recentTime is how long a failed request counts as a possible cause of its target's death.
	recentTime = 10 * time.Second
)

// failedRequest was in flight when its connection to a target broke.
type failedRequest struct {
	fingerprint uint64
	at          time.Time
}

// Dispatcher joins the routing decisions with the goroutines that wait for them.
type Dispatcher struct {
	mutex      sync.Mutex
	scheduler  *router.Scheduler
	quarantine *router.Quarantine
	budget     *router.RetryBudget
	waiters    map[router.Ticket]chan router.Grant
	running    map[celerylanding.Endpoint]map[router.Ticket]uint64
	recent     map[celerylanding.Endpoint][]failedRequest
	view       atomic.Pointer[router.View]
	share      func([]router.Crash)
}

// NewDispatcher returns traffic without targets; share passes crashes on to the other nodes.
func NewDispatcher(scheduler *router.Scheduler, share func([]router.Crash)) *Dispatcher {
	traffic := &Dispatcher{
		scheduler:  scheduler,
		quarantine: router.NewQuarantine(),
		budget:     router.NewRetryBudget(),
		waiters:    make(map[router.Ticket]chan router.Grant),
		running:    make(map[celerylanding.Endpoint]map[router.Ticket]uint64),
		recent:     make(map[celerylanding.Endpoint][]failedRequest),
		share:      share,
	}
	traffic.view.Store(&router.View{})
	return traffic
}

// View returns the present snapshot.
func (traffic *Dispatcher) View() *router.View { return traffic.view.Load() }

// Update takes a new snapshot and wakes the requests that it can serve.
func (traffic *Dispatcher) Update(now time.Time, view *router.View) {
	traffic.view.Store(view)
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.deliver(traffic.scheduler.Update(now, view))
	traffic.quarantine.Expire(now)
}

// Demand reports what callers wait for and use.
func (traffic *Dispatcher) Demand(now time.Time) []celerylanding.DemandReport {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Demand(now)
}

// deliver hands grants to their waiting goroutines; the mutex is held.
func (traffic *Dispatcher) deliver(grants []router.Grant) {
	for _, grant := range grants {
		if waiter, ok := traffic.waiters[grant.Ticket]; ok {
			waiter <- grant
			delete(traffic.waiters, grant.Ticket)
		}
	}
}

// Acquire waits for a target; the error is a refusal and means that nothing has run.
func (traffic *Dispatcher) Acquire(ctx context.Context, request router.Request, fingerprint uint64) (router.Grant, error) {
	now := time.Now()
	traffic.mutex.Lock()
	ticket, grant, err := traffic.scheduler.Admit(now, request)
	if err != nil {
		traffic.mutex.Unlock()
		return router.Grant{}, err
	}
	if grant != nil {
		traffic.begin(*grant, fingerprint)
		traffic.mutex.Unlock()
		return *grant, nil
	}
	waiter := make(chan router.Grant, 1)
	traffic.waiters[ticket] = waiter
	traffic.mutex.Unlock()

	timer := time.NewTimer(request.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case grant := <-waiter:
		traffic.mutex.Lock()
		defer traffic.mutex.Unlock()
		traffic.begin(grant, fingerprint)
		return grant, nil
	case <-ctx.Done():
		return traffic.giveUp(ticket, request, waiter, fingerprint,
			celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonCallerGone, "caller is gone"))
	case <-timer.C:
		return traffic.giveUp(ticket, request, waiter, fingerprint,
			celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonDeadline, "no target was free in time"))
	}
}

// giveUp leaves the queue, unless a grant came at the same moment.
func (traffic *Dispatcher) giveUp(ticket router.Ticket, request router.Request, waiter chan router.Grant,
	fingerprint uint64, refusal error) (router.Grant, error) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	delete(traffic.waiters, ticket)
	if traffic.scheduler.Cancel(ticket, request) {
		return router.Grant{}, refusal
	}
	select {
	case grant := <-waiter:
		traffic.begin(grant, fingerprint)
		return grant, nil
	default:
		return router.Grant{}, refusal
	}
}

func (traffic *Dispatcher) begin(grant router.Grant, fingerprint uint64) {
	if traffic.running[grant.Endpoint] == nil {
		traffic.running[grant.Endpoint] = make(map[router.Ticket]uint64)
	}
	traffic.running[grant.Endpoint][grant.Ticket] = fingerprint
	traffic.budget.Add()
}

// Release ends a grant.
func (traffic *Dispatcher) Release(grant router.Grant, outcome router.Outcome) {
	now := time.Now()
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	fingerprint := traffic.running[grant.Endpoint][grant.Ticket]
	delete(traffic.running[grant.Endpoint], grant.Ticket)
	if len(traffic.running[grant.Endpoint]) == 0 {
		delete(traffic.running, grant.Endpoint)
	}
	if outcome == router.OutcomeAnswered {
		traffic.quarantine.Clear(fingerprint)
	}
	traffic.deliver(traffic.scheduler.Finish(now, grant.Ticket, outcome))
}

// Remember notes a request that broke off after it had been sent, in case its target turns out to have died.
func (traffic *Dispatcher) Remember(now time.Time, grant router.Grant) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for endpoint, list := range traffic.recent {
		for len(list) > 0 && now.Sub(list[0].at) > recentTime {
			list = list[1:]
		}
		traffic.recent[endpoint] = list
		if len(list) == 0 {
			delete(traffic.recent, endpoint)
		}
	}
	failed := failedRequest{traffic.running[grant.Endpoint][grant.Ticket], now}
	traffic.recent[grant.Endpoint] = append(traffic.recent[grant.Endpoint], failed)
}

// MarkTargetDead marks the requests that broke off on the incarnation as possible causes and tells the other nodes. Each of
// them marks itself when it breaks off; one that was granted the target and never sent is not a cause.
func (traffic *Dispatcher) MarkTargetDead(now time.Time, endpoint celerylanding.Endpoint) {
	traffic.mutex.Lock()
	var crashes []router.Crash
	for _, failed := range traffic.recent[endpoint] {
		crash := router.Crash{Fingerprint: failed.fingerprint, Target: endpoint.Target, Incarnation: endpoint.Incarnation}
		if now.Sub(failed.at) <= recentTime && traffic.quarantine.Add(now, crash) {
			crashes = append(crashes, crash)
		}
	}
	delete(traffic.recent, endpoint)
	traffic.mutex.Unlock()
	if len(crashes) > 0 {
		traffic.share(crashes)
	}
}

// AddCrashes takes the crashes that another node has seen.
func (traffic *Dispatcher) AddCrashes(now time.Time, crashes []router.Crash) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, crash := range crashes {
		traffic.quarantine.Add(now, crash)
	}
}

// Crashes returns how many targets were lost with the request in flight.
func (traffic *Dispatcher) Crashes(now time.Time, fingerprint uint64) int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.quarantine.Crashes(now, fingerprint)
}

// IsQuarantined reports whether the request may not be tried again.
func (traffic *Dispatcher) IsQuarantined(now time.Time, fingerprint uint64) bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.quarantine.IsRefused(now, fingerprint)
}

// TakeRetry uses up one retry of the budget.
func (traffic *Dispatcher) TakeRetry() bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.budget.Take()
}

// Waiting returns the number of requests that wait for a target.
func (traffic *Dispatcher) Waiting() int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.Waiting()
}

// HasDemand reports whether there is any demand to report.
func (traffic *Dispatcher) HasDemand() bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.scheduler.HasDemand()
}
