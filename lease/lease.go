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

// ObserveFence drops the lease when the log names a later fence.
func (holder *Holder) ObserveFence(fence celerylanding.Fence) {
	if fence > holder.fence {
		holder.expires = time.Time{}
	}
}

// Fence returns the lease's number and whether orders may be given under it now.
func (holder *Holder) Fence(now time.Time) (celerylanding.Fence, bool) {
	return holder.fence, now.Before(holder.expires)
}
