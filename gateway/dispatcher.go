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
	// errorResponseMargin is the time reserved before a deadline, so that an error response arrives in time.
	errorResponseMargin = 50 * time.Millisecond
	// marginDivisor limits the margin to 1/marginDivisor of a short timeout.
	marginDivisor = 10
	// failureWindow is how long a failed request counts as a possible cause of its target's crash.
	failureWindow = 10 * time.Second
)

// failedRequest is a request whose connection to a target broke while it was in flight.
type failedRequest struct {
	fingerprint uint64
	at          time.Time
}

// Dispatcher makes the scheduler, the quarantine and the retry budget safe for concurrent use, and delivers the scheduler's grants to
// the goroutines that wait for them.
type Dispatcher struct {
	mutex      sync.Mutex
	scheduler  *router.Scheduler
	quarantine *router.Quarantine
	budget     *router.RetryBudget
	waiters    map[router.Ticket]chan router.Grant
	// running holds the fingerprints of the requests that hold a grant, by endpoint and ticket.
	running          map[celerylanding.Endpoint]map[router.Ticket]uint64
	recentFailures   map[celerylanding.Endpoint][]failedRequest
	view             atomic.Pointer[router.View]
	broadcastCrashes func([]router.Crash)
}

// NewDispatcher returns a dispatcher without targets; broadcastCrashes sends crashes to the other nodes.
func NewDispatcher(scheduler *router.Scheduler, broadcastCrashes func([]router.Crash)) *Dispatcher {
	dispatcher := &Dispatcher{
		scheduler:        scheduler,
		quarantine:       router.NewQuarantine(),
		budget:           router.NewRetryBudget(),
		waiters:          make(map[router.Ticket]chan router.Grant),
		running:          make(map[celerylanding.Endpoint]map[router.Ticket]uint64),
		recentFailures:   make(map[celerylanding.Endpoint][]failedRequest),
		broadcastCrashes: broadcastCrashes,
	}
	dispatcher.view.Store(&router.View{})
	return dispatcher
}

// View returns the current snapshot of targets and configuration.
func (dispatcher *Dispatcher) View() *router.View { return dispatcher.view.Load() }

// Update replaces the snapshot and grants targets to the waiting requests that it can serve.
func (dispatcher *Dispatcher) Update(now time.Time, view *router.View) {
	dispatcher.view.Store(view)
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.deliverGrants(dispatcher.scheduler.Update(now, view))
	dispatcher.quarantine.Expire(now)
}

// Demand returns the demand per model, for the leader's placement.
func (dispatcher *Dispatcher) Demand(now time.Time) []celerylanding.DemandReport {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.scheduler.Demand(now)
}

// deliverGrants sends grants to the goroutines that wait for them. The mutex must be held.
func (dispatcher *Dispatcher) deliverGrants(grants []router.Grant) {
	for _, grant := range grants {
		if granted, ok := dispatcher.waiters[grant.Ticket]; ok {
			granted <- grant
			delete(dispatcher.waiters, grant.Ticket)
		}
	}
}

// Acquire waits for a grant of a target until the request's deadline. All its errors carry the verdict NotRun.
func (dispatcher *Dispatcher) Acquire(ctx context.Context, request router.Request, fingerprint uint64) (router.Grant, error) {
	now := time.Now()
	dispatcher.mutex.Lock()
	ticket, grant, err := dispatcher.scheduler.Admit(now, request)
	if err != nil {
		dispatcher.mutex.Unlock()
		return router.Grant{}, err
	}
	if grant != nil {
		dispatcher.trackGrant(*grant, fingerprint)
		dispatcher.mutex.Unlock()
		return *grant, nil
	}
	granted := make(chan router.Grant, 1)
	dispatcher.waiters[ticket] = granted
	dispatcher.mutex.Unlock()

	timer := time.NewTimer(request.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case grant := <-granted:
		dispatcher.mutex.Lock()
		defer dispatcher.mutex.Unlock()
		dispatcher.trackGrant(grant, fingerprint)
		return grant, nil
	case <-ctx.Done():
		return dispatcher.abandon(ticket, request, granted, fingerprint,
			celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonCallerGone, "caller disconnected"))
	case <-timer.C:
		return dispatcher.abandon(ticket, request, granted, fingerprint,
			celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonDeadline, "no target was free in time"))
	}
}

// abandon removes a request from the queue and returns refusal, or returns the grant if one was made at the same time.
func (dispatcher *Dispatcher) abandon(ticket router.Ticket, request router.Request, granted chan router.Grant,
	fingerprint uint64, refusal error) (router.Grant, error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	delete(dispatcher.waiters, ticket)
	if dispatcher.scheduler.Cancel(ticket, request) {
		return router.Grant{}, refusal
	}
	select {
	case grant := <-granted:
		dispatcher.trackGrant(grant, fingerprint)
		return grant, nil
	default:
		return router.Grant{}, refusal
	}
}

func (dispatcher *Dispatcher) trackGrant(grant router.Grant, fingerprint uint64) {
	if dispatcher.running[grant.Endpoint] == nil {
		dispatcher.running[grant.Endpoint] = make(map[router.Ticket]uint64)
	}
	dispatcher.running[grant.Endpoint][grant.Ticket] = fingerprint
	dispatcher.budget.Add()
}

// Release ends a grant with its outcome and passes the free slot on to the queue.
func (dispatcher *Dispatcher) Release(grant router.Grant, outcome router.Outcome) {
	now := time.Now()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	fingerprint := dispatcher.running[grant.Endpoint][grant.Ticket]
	delete(dispatcher.running[grant.Endpoint], grant.Ticket)
	if len(dispatcher.running[grant.Endpoint]) == 0 {
		delete(dispatcher.running, grant.Endpoint)
	}
	if outcome == router.OutcomeAnswered {
		dispatcher.quarantine.Clear(fingerprint)
	}
	dispatcher.deliverGrants(dispatcher.scheduler.Finish(now, grant.Ticket, outcome))
}

// RecordFailure records a request whose connection broke after it had been sent, in case its target turns out to have crashed.
func (dispatcher *Dispatcher) RecordFailure(now time.Time, grant router.Grant) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for endpoint, list := range dispatcher.recentFailures {
		for len(list) > 0 && now.Sub(list[0].at) > failureWindow {
			list = list[1:]
		}
		dispatcher.recentFailures[endpoint] = list
		if len(list) == 0 {
			delete(dispatcher.recentFailures, endpoint)
		}
	}
	failed := failedRequest{dispatcher.running[grant.Endpoint][grant.Ticket], now}
	dispatcher.recentFailures[grant.Endpoint] = append(dispatcher.recentFailures[grant.Endpoint], failed)
}

// MarkTargetDead adds the recent failures on the incarnation to the quarantine as possible causes of its crash, and broadcasts them to
// the other nodes. Only requests that called RecordFailure count: one that held a grant but was never sent is no cause.
func (dispatcher *Dispatcher) MarkTargetDead(now time.Time, endpoint celerylanding.Endpoint) {
	dispatcher.mutex.Lock()
	var crashes []router.Crash
	for _, failed := range dispatcher.recentFailures[endpoint] {
		crash := router.Crash{Fingerprint: failed.fingerprint, Target: endpoint.Target, Incarnation: endpoint.Incarnation}
		if now.Sub(failed.at) <= failureWindow && dispatcher.quarantine.Add(now, crash) {
			crashes = append(crashes, crash)
		}
	}
	delete(dispatcher.recentFailures, endpoint)
	dispatcher.mutex.Unlock()
	if len(crashes) > 0 {
		dispatcher.broadcastCrashes(crashes)
	}
}

// AddCrashes adds the crashes that another node has reported to the quarantine.
func (dispatcher *Dispatcher) AddCrashes(now time.Time, crashes []router.Crash) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for _, crash := range crashes {
		dispatcher.quarantine.Add(now, crash)
	}
}

// CrashCount returns how many targets have crashed while the request was in flight.
func (dispatcher *Dispatcher) CrashCount(now time.Time, fingerprint uint64) int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.quarantine.Crashes(now, fingerprint)
}

// IsQuarantined reports whether the request is rejected because of the targets that crashed on it.
func (dispatcher *Dispatcher) IsQuarantined(now time.Time, fingerprint uint64) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.quarantine.IsQuarantined(now, fingerprint)
}

// TakeRetry spends one retry of the retry budget and reports whether one was left.
func (dispatcher *Dispatcher) TakeRetry() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.budget.Take()
}

// Waiting returns the number of requests that wait for a target.
func (dispatcher *Dispatcher) Waiting() int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.scheduler.Waiting()
}

// HasDemand reports whether Demand has anything to report.
func (dispatcher *Dispatcher) HasDemand() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.scheduler.HasDemand()
}
