package lease

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// orphanAfterTTLs is the number of TTLs without a lease request from the nodes of a domain after which a node outside the domain may hold
// the domain's lease.
const orphanAfterTTLs = 2

// Request is a request for a lease or its renewal.
type Request struct {
	Domain celerylanding.FailureDomain
	Holder string
	// InDomain is set when the requesting node belongs to the domain.
	InDomain bool
}

// Current is the lease as committed in the control log; a zero Fence means that it was never granted.
type Current struct {
	Holder string
	Fence  celerylanding.FencingToken
}

// Decision is the result of a request.
type Decision int

// The decisions on a lease request.
const (
	// DecisionUnavailable means that the lease can't be granted now; the node should retry.
	DecisionUnavailable Decision = iota
	// DecisionRenewed means that the requesting node holds the lease for another TTL.
	DecisionRenewed
	// DecisionGrant means that the caller must propose the grant to the log.
	DecisionGrant
)

// Granter decides on lease requests on the leader during its term; it is not safe for concurrent use.
type Granter struct {
	settings  Settings
	electedAt time.Time
	// heldUntil is when the latest renewal of this term expires, including the clock drift, or when the lease was released.
	heldUntil map[celerylanding.FailureDomain]time.Time
	// pendingGrants holds, for each grant proposed in this term, the fencing token that it replaces.
	pendingGrants map[celerylanding.FailureDomain]celerylanding.FencingToken
	// domainNodeSeen is when a node of the domain last requested its lease.
	domainNodeSeen map[celerylanding.FailureDomain]time.Time
}

// NewGranter returns a granter for a leader elected now. The granter does not know the renewals of earlier leaders, so every lease in the
// log counts as renewed at the election.
func NewGranter(now time.Time, settings Settings) *Granter {
	return &Granter{
		settings:       settings,
		electedAt:      now,
		heldUntil:      make(map[celerylanding.FailureDomain]time.Time),
		pendingGrants:  make(map[celerylanding.FailureDomain]celerylanding.FencingToken),
		domainNodeSeen: make(map[celerylanding.FailureDomain]time.Time),
	}
}

// Decide returns the decision on a request. The caller must have applied every entry committed in earlier terms and must hold the leader
// lease.
func (granter *Granter) Decide(now time.Time, request Request, current Current) Decision {
	if request.InDomain {
		granter.domainNodeSeen[request.Domain] = now
	}
	if replaced, ok := granter.pendingGrants[request.Domain]; ok && replaced == current.Fence {
		// The proposed grant may be committed at any moment: either it is committed in this term or another leader takes over.
		return DecisionUnavailable
	}
	if current.Fence != 0 && current.Holder == request.Holder {
		if !request.InDomain && granter.IsDomainNodeAlive(now, request.Domain) {
			return DecisionUnavailable
		}
		granter.heldUntil[request.Domain] = now.Add(granter.settings.TTL + granter.settings.Drift)
		return DecisionRenewed
	}
	if !granter.isGrantable(now, request.Domain, current) {
		return DecisionUnavailable
	}
	granter.pendingGrants[request.Domain] = current.Fence
	return DecisionGrant
}

// Release ends the lease of a domain whose holder has given it up.
func (granter *Granter) Release(now time.Time, domain celerylanding.FailureDomain) {
	granter.heldUntil[domain] = now
}

// IsDomainNodeAlive reports whether a node of the domain has requested the domain's lease within the last two TTLs. During the first two
// TTLs after the election every domain counts as having a live node.
func (granter *Granter) IsDomainNodeAlive(now time.Time, domain celerylanding.FailureDomain) bool {
	seen, ok := granter.domainNodeSeen[domain]
	if !ok {
		seen = granter.electedAt
	}
	return now.Sub(seen) < orphanAfterTTLs*granter.settings.TTL
}

// isGrantable reports whether every earlier renewal for the domain has expired.
func (granter *Granter) isGrantable(now time.Time, domain celerylanding.FailureDomain, current Current) bool {
	if current.Fence == 0 {
		// No lease was ever granted for the domain.
		return true
	}
	until, ok := granter.heldUntil[domain]
	if !ok {
		until = granter.electedAt.Add(granter.settings.TTL + granter.settings.Drift)
	}
	return !now.Before(until)
}
