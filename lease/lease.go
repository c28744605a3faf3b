package lease

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Settings are the lease times that holders and the granter have in common.
type Settings struct {
	// TTL is how long a renewal is valid for the holder, counted from the sending of the request.
	TTL time.Duration
	// Drift is the maximum difference between two clocks over one TTL; for the granter a renewal expires this much later than for the holder.
	Drift time.Duration
}

// Holder is a node's view of its lease for one failure domain.
type Holder struct {
	settings Settings
	fence    celerylanding.FencingToken
	expires  time.Time
}

// NewHolder returns a holder without a lease.
func NewHolder(settings Settings) *Holder {
	return &Holder{settings: settings}
}

// RecordRenewal records a renewal under the given fencing token whose request was sent at the time sent. A reply with an older token, or with
// the same token and an earlier expiry, is ignored.
func (holder *Holder) RecordRenewal(sent time.Time, fence celerylanding.FencingToken) {
	expires := sent.Add(holder.settings.TTL)
	if fence > holder.fence || (fence == holder.fence && expires.After(holder.expires)) {
		holder.fence = fence
		holder.expires = expires
	}
}

// ObserveFence ends the lease if the fencing token in the log is newer.
func (holder *Holder) ObserveFence(fence celerylanding.FencingToken) {
	if fence > holder.fence {
		holder.expires = time.Time{}
	}
}

// Fence returns the lease's fencing token and whether the lease is valid now.
func (holder *Holder) Fence(now time.Time) (celerylanding.FencingToken, bool) {
	return holder.fence, now.Before(holder.expires)
}
