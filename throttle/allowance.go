package throttle

import (
	"time"

	"celerylanding.example/celerylanding/routing"
)

const (
	// grantTTL is how long a router may use a grant: long enough for the election of a leader.
	grantTTL = 2500 * time.Millisecond
	// outstandingTTL is how long the leader counts a grant: longer by the drift of two clocks and by a round of the leader's work.
	outstandingTTL = grantTTL + 50*time.Millisecond
	// heldShare is the part of the excess of an allowance that routers may hold beyond the burst, and earlyShare the part that they may get of a
	// leader whose predecessor's grants may still be in use. The rest covers a second change of the leader in that time.
	heldShare  = 0.6
	earlyShare = 0.2
	// reserveShare is the part of what is available that is kept for requests that wait.
	reserveShare = 0.25
	// savedShare is the part of the rate that is saved while less than half of the reserve is left.
	savedShare = 0.1
)

// AllowanceBounds are the bounds on the use of an allowance.
type AllowanceBounds struct {
	// Window is the time over which the use is bounded.
	Window time.Duration
	// Overage is the part by which the use of a workspace may exceed its allowance in a window, and Slack a number of units beyond that.
	Overage float64
	Slack   float64
}

// excess returns the number of units by which the use may exceed the allowance in a window.
func (bounds AllowanceBounds) excess(allowance routing.Allowance) float64 {
	return bounds.Overage*(allowance.Rate*bounds.Window.Seconds()+allowance.Burst) + bounds.Slack
}

// capacity returns the largest number of units that may be available at the leader and at routers together.
func (bounds AllowanceBounds) capacity(allowance routing.Allowance) float64 {
	return allowance.Burst + heldShare*bounds.excess(allowance)
}

// earlyCapacity is the capacity while grants of an earlier leader may be in use.
func (bounds AllowanceBounds) earlyCapacity(allowance routing.Allowance) float64 {
	return min(earlyShare*bounds.excess(allowance), bounds.capacity(allowance))
}
