package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// candidate is a selectable target and its load.
type candidate struct {
	route Route
	load  *targetLoad
}

// tryGrant selects a target and records the grant; it returns nil when no target has capacity.
func (scheduler *Scheduler) tryGrant(now time.Time, ticket Ticket, request Request) *Grant {
	routes := scheduler.view.Groups[request.Group]
	if request.Model != "" {
		routes = scheduler.view.Models[request.Model].Routes
	}
	selected, ok := scheduler.pick(now, routes, request)
	if !ok {
		return nil
	}
	selected.load.inFlight++
	if request.Suspect {
		selected.load.suspectsInFlight++
	}
	if request.Model != "" {
		scheduler.inFlight[request.Model]++
	}
	scheduler.openGrants[ticket] = openGrant{selected.route.Endpoint, request.Model, request.Suspect}
	return &Grant{Ticket: ticket, Endpoint: selected.route.Endpoint, Domain: selected.route.Domain}
}

// pick prefers targets in the router's own failure domain, then chooses the less loaded of two random ones. The target that owns the
// prompt prefix wins as long as it has at most affinitySlack more outstanding requests than the chosen one.
func (scheduler *Scheduler) pick(now time.Time, routes []Route, request Request) (candidate, bool) {
	options := scheduler.candidates(now, routes, request)
	var local []candidate
	for _, option := range options {
		if option.route.Domain == scheduler.domain {
			local = append(local, option)
		}
	}
	if len(local) > 0 {
		options = local
	}
	if len(options) == 0 {
		return candidate{}, false
	}
	first := options[scheduler.random.IntN(len(options))]
	second := options[scheduler.random.IntN(len(options))]
	best := first
	if second.load.outstanding() < first.load.outstanding() {
		best = second
	}
	if owner, ok := prefixOwner(options, request.Prefix); ok && owner.load.outstanding() <= best.load.outstanding()+affinitySlack {
		return owner, true
	}
	return best, true
}

// candidates returns the targets with capacity. Ejected and avoided targets are left out unless there is no other one, full or not. A
// target runs at most one suspect request at a time.
func (scheduler *Scheduler) candidates(now time.Time, routes []Route, request Request) []candidate {
	var healthy, outliers []candidate
	hasHealthy := false
	for _, route := range routes {
		option := candidate{route, scheduler.load(route)}
		isOutlier := option.load.isEjected(now) || route.Endpoint.Target == request.Avoid
		hasHealthy = hasHealthy || !isOutlier
		isBlocked := request.Suspect && option.load.suspectsInFlight > 0
		if option.load.isFull() || isBlocked {
			continue
		}
		if isOutlier {
			outliers = append(outliers, option)
			continue
		}
		healthy = append(healthy, option)
	}
	if hasHealthy {
		return healthy
	}
	return outliers
}

// prefixOwner returns the target that rendezvous hashing assigns to a prompt prefix; it is false when the request has no prefix.
func prefixOwner(options []candidate, prefix uint64) (candidate, bool) {
	if prefix == 0 {
		return candidate{}, false
	}
	best, highest := options[0], uint64(0)
	for _, candidate := range options {
		if weight := rendezvousWeight(candidate.route.Endpoint, prefix); weight >= highest {
			best, highest = candidate, weight
		}
	}
	return best, true
}

func rendezvousWeight(endpoint celerylanding.Endpoint, prefix uint64) uint64 {
	return hashText(string(endpoint.Target), prefix)
}
