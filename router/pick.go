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
// prompt prefix is chosen instead while it has at most affinitySlack more outstanding requests.
func (scheduler *Scheduler) pick(now time.Time, routes []Route, request Request) (candidate, bool) {
	candidates := scheduler.candidates(now, routes, request)
	var local []candidate
	for _, target := range candidates {
		if target.route.Domain == scheduler.domain {
			local = append(local, target)
		}
	}
	if len(local) > 0 {
		candidates = local
	}
	if len(candidates) == 0 {
		return candidate{}, false
	}
	first := candidates[scheduler.random.IntN(len(candidates))]
	second := candidates[scheduler.random.IntN(len(candidates))]
	best := first
	if second.load.outstanding() < first.load.outstanding() {
		best = second
	}
	if owner, ok := prefixOwner(candidates, request.Prefix); ok && owner.load.outstanding() <= best.load.outstanding()+affinitySlack {
		return owner, true
	}
	return best, true
}

// candidates returns the targets with capacity. Ejected and avoided targets are left out unless there are no others, full or not. A
// target runs at most one suspect request at a time.
func (scheduler *Scheduler) candidates(now time.Time, routes []Route, request Request) []candidate {
	var healthy, outliers []candidate
	hasHealthy := false
	for _, route := range routes {
		target := candidate{route, scheduler.load(route)}
		isOutlier := target.load.isEjected(now) || route.Endpoint.Target == request.Avoid
		hasHealthy = hasHealthy || !isOutlier
		isBlocked := request.Suspect && target.load.suspectsInFlight > 0
		if target.load.isFull() || isBlocked {
			continue
		}
		if isOutlier {
			outliers = append(outliers, target)
			continue
		}
		healthy = append(healthy, target)
	}
	if hasHealthy {
		return healthy
	}
	return outliers
}

// prefixOwner returns the target that rendezvous hashing assigns to a prompt prefix; it returns false if the request has no prefix.
func prefixOwner(candidates []candidate, prefix uint64) (candidate, bool) {
	if prefix == 0 {
		return candidate{}, false
	}
	best, highest := candidates[0], uint64(0)
	for _, target := range candidates {
		if weight := rendezvousWeight(target.route.Endpoint, prefix); weight >= highest {
			best, highest = target, weight
		}
	}
	return best, true
}

func rendezvousWeight(endpoint celerylanding.Endpoint, prefix uint64) uint64 {
	return hashText(string(endpoint.Target), prefix)
}
