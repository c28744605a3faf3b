package throttle

import (
	"math"
	"time"

	"celerylanding.example/celerylanding/routing"
)

const (
	// grantTTL is how long a router may use a grant: long enough for the election of a leader.
	grantTTL = 2500 * time.Millisecond
	// outstandingTTL is how long the leader counts a grant: longer by the drift of two clocks and by a round of the leader's work.
	outstandingTTL = grantTTL + 50*time.Millisecond
	// heldShare is the part of the excess of a quota that routers may hold beyond the burst. The rest is for leaders whose predecessors' grants
	// may still be in use: half of it for the first, half of what remains for the next, so that any number of them stays within it.
	heldShare = 0.6
	// reserveShare is the part of what is available that is kept for requests that wait.
	reserveShare = 0.25
	// savedShare is the part of the rate that is saved while less than half of the reserve is left.
	savedShare = 0.1
)

// QuotaBounds are the bounds on the use of a quota.
type QuotaBounds struct {
	// Window is the time over which the use is bounded.
	Window time.Duration
	// Overage is the part by which the use of a workspace may exceed its quota in a window, and Slack a number of units beyond that.
	Overage float64
	Slack   float64
}

// excess returns the number of units by which the use may exceed the quota in a window.
func (bounds QuotaBounds) excess(quota routing.Quota) float64 {
	return bounds.Overage*(quota.Rate*bounds.Window.Seconds()+quota.Burst) + bounds.Slack
}

// capacity returns the largest number of units that may be available at the leader and at routers together.
func (bounds QuotaBounds) capacity(quota routing.Quota) float64 {
	return quota.Burst + heldShare*bounds.excess(quota)
}

// earlyCapacity is the capacity while grants from before a number of changes of the leader may be in use.
func (bounds QuotaBounds) earlyCapacity(quota routing.Quota, changes int) float64 {
	return min(math.Ldexp((1-heldShare)*bounds.excess(quota), -changes), bounds.capacity(quota))
}
