package lease

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Settings are the times that holder and granter agree on.
type Settings struct {
	// TTL is how long a renewal lasts for the holder, from the moment it was sent.
	TTL time.Duration
	// Drift is the longest that two clocks can differ over one TTL.
	Drift time.Duration
}

// Holder is a member's own view of its lease.
type Holder struct {
	settings Settings
	fence    celerylanding.Fence
	expires  time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(settings Settings) *Holder {
	return &Holder{settings: settings}
}

// Renewed takes the answer to a renewal that was sent at the given time.
func (holder *Holder) Renewed(sent time.Time, fence celerylanding.Fence) {
	expires := sent.Add(holder.settings.TTL)
	if fence > holder.fence || (fence == holder.fence && expires.After(holder.expires)) {
		holder.fence = fence
		holder.expires = expires
	}
}

// Lost drops the lease when the log names a later fence.
func (holder *Holder) Lost(fence celerylanding.Fence) {
	if fence > holder.fence {
		holder.expires = time.Time{}
	}
}

// Fence returns the lease's number and whether orders may be given under it now.
func (holder *Holder) Fence(now time.Time) (celerylanding.Fence, bool) {
	return holder.fence, now.Before(holder.expires)
}

// Granter is the leader's view of all leases during its term.
type Granter struct {
	settings Settings
	since    time.Time
	until    map[celerylanding.FailureDomain]time.Time
}

// NewGranter returns the view of a leader elected now; it does not know what its predecessor promised.
func NewGranter(now time.Time, settings Settings) *Granter {
	return &Granter{settings: settings, since: now, until: make(map[celerylanding.FailureDomain]time.Time)}
}

// Promise extends the lease of a domain; the answer to the holder must leave after this.
func (granter *Granter) Promise(now time.Time, domain celerylanding.FailureDomain) {
	granter.until[domain] = now.Add(granter.settings.TTL + granter.settings.Drift)
}

// IsFree reports whether every promise for the domain has run out.
func (granter *Granter) IsFree(now time.Time, domain celerylanding.FailureDomain) bool {
	until, ok := granter.until[domain]
	if !ok {
		until = granter.since.Add(granter.settings.TTL + granter.settings.Drift)
	}
	return !now.Before(until)
}

// Free ends the promise for a domain whose holder has given its lease up.
func (granter *Granter) Free(now time.Time, domain celerylanding.FailureDomain) {
	granter.until[domain] = now
}
