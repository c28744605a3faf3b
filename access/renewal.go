package access

import "time"

const (
	// maxRequestGap is the longest time between two requests for word of a process that does not stand still: the timeout of one, and the delay
	// before the next.
	maxRequestGap = time.Second
	// renewalTime is the time in which a router gets word after it has started or has stood still, if any control node can be reached: the end of
	// the request that was under way, the search for the leader, and the reply.
	renewalTime = 750 * time.Millisecond
)

// Renewal is what a router has done for a new proof of freshness. The zero value is that of a router that has just started.
type Renewal struct {
	// since is when the requests without success began, without a time in which the process stood still; zero if there are none.
	since time.Time
	last  time.Time
}

// Request returns the renewal after a request for word was sent.
func (renewal Renewal) Request(now time.Time) Renewal {
	if renewal.since.IsZero() || renewal.hasStoodStill(now) {
		renewal.since = now
	}
	renewal.last = now
	return renewal
}

// Succeed returns the renewal after a request has extended the proof.
func (renewal Renewal) Succeed() Renewal {
	renewal.since = time.Time{}
	return renewal
}

// WaitEnd returns the time up to which a request that was refused for lack of a proof may wait for one, but for the latest time that suits its
// caller. It is not after now if word is not expected, as on a router that is cut off: its callers are refused at once.
func (renewal Renewal) WaitEnd(now, latest time.Time) time.Time {
	end := now.Add(renewalTime)
	if !renewal.since.IsZero() && !renewal.hasStoodStill(now) {
		end = renewal.since.Add(renewalTime)
	}
	if latest.Before(end) {
		return latest
	}
	return end
}

func (renewal Renewal) hasStoodStill(now time.Time) bool {
	return now.Sub(renewal.last) > maxRequestGap
}
