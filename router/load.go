package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	defaultSlots = 32
	maxSlots     = 1024
	minSlots     = 1
	// decrease is the factor by which a sign of overload lowers a target's limit.
	decrease = 0.7
	// ejectAfter is the number of failures in a row after which a target is avoided.
	ejectAfter = 4
	ejectTime  = 5 * time.Second
)

// targetLoad is this router's own view of one incarnation of a target.
type targetLoad struct {
	inFlight int
	suspects int
	// atReport is the own in-flight count when the last report arrived.
	atReport int
	reported int
	sequence uint64
	limit    float64
	failures int
	ejected  time.Time
}

func newTargetLoad(slots int) *targetLoad {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &targetLoad{limit: float64(slots)}
}

// report takes a new load report, which includes what this router had in flight when it was made.
func (load *targetLoad) report(route Route) {
	if route.Sequence == load.sequence {
		return
	}
	load.sequence = route.Sequence
	load.reported = route.ReportedLoad
	load.atReport = load.inFlight
}

// score estimates the outstanding requests: the own ones and those of other routers at the last report.
func (load *targetLoad) score() int {
	return load.inFlight + max(0, load.reported-load.atReport)
}

func (load *targetLoad) isFull() bool {
	return float64(load.inFlight) >= load.limit
}

func (load *targetLoad) isEjected(now time.Time) bool {
	return now.Before(load.ejected)
}

// finish learns from the end of a request: additive increase, multiplicative decrease.
func (load *targetLoad) finish(now time.Time, outcome Outcome) {
	load.inFlight--
	switch outcome {
	case OutcomeAnswered:
		load.failures = 0
		if float64(load.inFlight+1) >= load.limit/2 {
			load.limit = min(maxSlots, load.limit+1/load.limit)
		}
	case OutcomeOverloaded:
		load.limit = max(minSlots, load.limit*decrease)
	case OutcomeUnreachable:
		load.ejected = now.Add(ejectTime)
	case OutcomeFailed:
		load.failures++
		if load.failures >= ejectAfter {
			load.failures = 0
			load.ejected = now.Add(ejectTime)
		}
	}
}

// Outcome is how a dispatched request ended, as far as its target's health is concerned.
type Outcome int

// The outcomes of a dispatch.
const (
	// OutcomeAnswered means that the target answered.
	OutcomeAnswered Outcome = iota
	// OutcomeOverloaded means that the target refused for lack of capacity.
	OutcomeOverloaded
	// OutcomeFailed means that the target failed.
	OutcomeFailed
	// OutcomeUnreachable means that no connection to the target could be made.
	OutcomeUnreachable
	// OutcomeNeutral means that the end says nothing of the target.
	OutcomeNeutral
)

// Grant lets one request go to one target.
type Grant struct {
	Ticket   Ticket
	Endpoint celerylanding.Endpoint
	Domain   celerylanding.FailureDomain
}
