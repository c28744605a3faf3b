package router

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// option is a target that may be picked, with its load.
type option struct {
	route Route
	load  *targetLoad
}

// grant picks a target and opens the grant, or returns nil when none has room.
func (scheduler *Scheduler) grant(now time.Time, ticket Ticket, request Request) *Grant {
	routes := scheduler.view.Groups[request.Group]
	if request.Model != "" {
		routes = scheduler.view.Models[request.Model].Routes
	}
	picked, ok := scheduler.pick(now, routes, request)
	if !ok {
		return nil
	}
	picked.load.inFlight++
	if request.Suspect {
		picked.load.suspects++
	}
	if request.Model != "" {
		scheduler.inFlight[request.Model]++
	}
	scheduler.granted[ticket] = grantRow{picked.route.Endpoint, request.Model, request.Suspect}
	return &Grant{Ticket: ticket, Endpoint: picked.route.Endpoint, Domain: picked.route.Domain}
}

// pick prefers the own failure domain, then the less loaded of two random targets.
func (scheduler *Scheduler) pick(now time.Time, routes []Route, request Request) (option, bool) {
	options := scheduler.options(now, routes, request)
	var local []option
	for _, option := range options {
		if option.route.Domain == scheduler.domain {
			local = append(local, option)
		}
	}
	if len(local) > 0 {
		options = local
	}
	if len(options) == 0 {
		return option{}, false
	}
	first := options[scheduler.random.IntN(len(options))]
	second := options[scheduler.random.IntN(len(options))]
	best := first
	if second.load.score() < first.load.score() {
		best = second
	}
	if favourite, ok := byPrefix(options, request.Prefix); ok && favourite.load.score() <= best.load.score()+affinitySlack {
		return favourite, true
	}
	return best, true
}

// options returns the targets with room. Targets that fail are left out unless no other one exists at all.
func (scheduler *Scheduler) options(now time.Time, routes []Route, request Request) []option {
	var healthy, others []option
	existsHealthy := false
	for _, route := range routes {
		option := option{route, scheduler.load(route)}
		isOutlier := option.load.isEjected(now) || route.Endpoint.Target == request.Avoid
		existsHealthy = existsHealthy || !isOutlier
		isBlocked := request.Suspect && option.load.suspects > 0
		if option.load.isFull() || isBlocked {
			continue
		}
		if isOutlier {
			others = append(others, option)
			continue
		}
		healthy = append(healthy, option)
	}
	if existsHealthy {
		return healthy
	}
	return others
}

// byPrefix returns the target that a prompt's prefix belongs to, by rendezvous hashing.
func byPrefix(options []option, prefix uint64) (option, bool) {
	if prefix == 0 {
		return option{}, false
	}
	best, highest := options[0], uint64(0)
	for _, candidate := range options {
		if weight := rendezvous(candidate.route.Endpoint, prefix); weight >= highest {
			best, highest = candidate, weight
		}
	}
	return best, true
}

func rendezvous(endpoint celerylanding.Endpoint, prefix uint64) uint64 {
	return hashText(string(endpoint.Target), prefix)
}
