package lease

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// orphanTTLs is the number of TTLs without a sign of a domain's own nodes after which a member of another domain may hold it.
const orphanTTLs = 2

// Request asks for a lease or its renewal.
type Request struct {
	Domain celerylanding.FailureDomain
	Holder string
	// InDomain is set when the asking node lies in the domain.
	InDomain bool
}

// Current is what the log says of a lease.
type Current struct {
	Holder string
	Fence  celerylanding.Fence
}

// Decision is what a leader does with a request.
type Decision int

// The answers.
const (
	// AnswerWait means that the lease is not to be had now.
	AnswerWait Decision = iota
	// DecisionRenewed means that the asking member holds the lease for another TTL.
	DecisionRenewed
	// DecisionGrant means that the lease is to be granted in the log.
	DecisionGrant
)

// Granter is the leader's view of all leases during its term.
type Granter struct {
	settings Settings
	since    time.Time
	until    map[celerylanding.FailureDomain]time.Time
	// granting holds the fence that a grant on its way into the log replaces.
	granting map[celerylanding.FailureDomain]celerylanding.Fence
	ownSeen  map[celerylanding.FailureDomain]time.Time
}

// NewGranter returns the view of a leader elected now; it does not know what its predecessor promised.
func NewGranter(now time.Time, settings Settings) *Granter {
	return &Granter{
		settings: settings,
		since:    now,
		until:    make(map[celerylanding.FailureDomain]time.Time),
		granting: make(map[celerylanding.FailureDomain]celerylanding.Fence),
		ownSeen:  make(map[celerylanding.FailureDomain]time.Time),
	}
}

// Decide decides a request. The caller must have applied all that earlier terms committed and must be the only leader.
func (granter *Granter) Decide(now time.Time, request Request, current Current) Decision {
	if request.InDomain {
		granter.ownSeen[request.Domain] = now
	}
	if replaced, ok := granter.granting[request.Domain]; ok && replaced == current.Fence {
		// A grant to another member may be committed at any moment; in this term it is or another leader takes over.
		return AnswerWait
	}
	if current.Fence != 0 && current.Holder == request.Holder {
		if !request.InDomain && granter.IsDomainNodeAlive(now, request.Domain) {
			return AnswerWait
		}
		granter.until[request.Domain] = now.Add(granter.settings.TTL + granter.settings.Drift)
		return DecisionRenewed
	}
	if !granter.isFree(now, request.Domain, current) {
		return AnswerWait
	}
	granter.granting[request.Domain] = current.Fence
	return DecisionGrant
}

// Release ends the promise for a domain whose holder has given its lease up.
func (granter *Granter) Release(now time.Time, domain celerylanding.FailureDomain) {
	granter.until[domain] = now
}

// IsDomainNodeAlive reports whether a node of the domain has asked for its lease lately.
func (granter *Granter) IsDomainNodeAlive(now time.Time, domain celerylanding.FailureDomain) bool {
	seen, ok := granter.ownSeen[domain]
	if !ok {
		seen = granter.since
	}
	return now.Sub(seen) < orphanTTLs*granter.settings.TTL
}

// isFree reports whether every promise for the domain has run out.
func (granter *Granter) isFree(now time.Time, domain celerylanding.FailureDomain, current Current) bool {
	if current.Fence == 0 {
		// A lease that the log never granted can't have been promised to anybody.
		return true
	}
	until, ok := granter.until[domain]
	if !ok {
		until = granter.since.Add(granter.settings.TTL + granter.settings.Drift)
	}
	return !now.Before(until)
}
