package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// defaultSlots is the initial concurrency limit of a target that reports no slots.
	defaultSlots = 32
	maxSlots     = 1024
	minSlots     = 1
	// overloadDecrease is the factor that a target's concurrency limit is multiplied by after an overload response.
	overloadDecrease = 0.7
	// ejectionThreshold is the number of consecutive failures after which a target is ejected.
	ejectionThreshold = 4
	// ejectionTime is how long an ejected target is avoided.
	ejectionTime = 5 * time.Second
)

// targetLoad is this router's local load and health state for one incarnation of a target.
type targetLoad struct {
	inFlight int
	// suspectsInFlight counts the requests in flight that were on a target when it crashed.
	suspectsInFlight int
	// inFlightAtReport is this router's in-flight count when the last load report arrived.
	inFlightAtReport    int
	reportedLoad        int
	reportSequence      uint64
	limit               float64
	consecutiveFailures int
	ejectedUntil        time.Time
}

func newTargetLoad(slots int) *targetLoad {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &targetLoad{limit: float64(slots)}
}

// applyReport stores a new load report. The reported load includes the requests that this router had in flight at that time.
func (load *targetLoad) applyReport(route Route) {
	if route.Sequence == load.reportSequence {
		return
	}
	load.reportSequence = route.Sequence
	load.reportedLoad = route.ReportedLoad
	load.inFlightAtReport = load.inFlight
}

// outstanding estimates the target's outstanding requests: this router's own and those of other routers at the last report.
func (load *targetLoad) outstanding() int {
	return load.inFlight + max(0, load.reportedLoad-load.inFlightAtReport)
}

func (load *targetLoad) isFull() bool {
	return float64(load.inFlight) >= load.limit
}

func (load *targetLoad) isEjected(now time.Time) bool {
	return now.Before(load.ejectedUntil)
}

// finish updates limit and ejection after a request ends: the limit follows additive increase, multiplicative decrease.
func (load *targetLoad) finish(now time.Time, outcome Outcome) {
	load.inFlight--
	switch outcome {
	case OutcomeAnswered:
		load.consecutiveFailures = 0
		if float64(load.inFlight+1) >= load.limit/2 {
			load.limit = min(maxSlots, load.limit+1/load.limit)
		}
	case OutcomeOverloaded:
		load.limit = max(minSlots, load.limit*overloadDecrease)
	case OutcomeUnreachable:
		load.ejectedUntil = now.Add(ejectionTime)
	case OutcomeFailed:
		load.consecutiveFailures++
		if load.consecutiveFailures >= ejectionThreshold {
			load.consecutiveFailures = 0
			load.ejectedUntil = now.Add(ejectionTime)
		}
	}
}

// Outcome classifies the end of a dispatched request by what it shows about the health of the target.
type Outcome int

// The outcomes of a dispatch.
const (
	// OutcomeAnswered means that the target answered.
	OutcomeAnswered Outcome = iota
	// OutcomeOverloaded means that the target refused the request for lack of capacity.
	OutcomeOverloaded
	// OutcomeFailed means that the target failed the request.
	OutcomeFailed
	// OutcomeUnreachable means that the router could not connect to the target.
	OutcomeUnreachable
	// OutcomeNeutral means that the outcome says nothing about the target's health.
	OutcomeNeutral
)

// Grant permits the dispatch of one request to one target.
type Grant struct {
	Ticket   Ticket
	Endpoint celerylanding.Endpoint
	Domain   celerylanding.FailureDomain
}
