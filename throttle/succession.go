package throttle

import "time"

// Succession is what a member of the control group knows of the recent changes of the leader. Each change may leave units in use that the next
// leader does not know. A change counts from when the member learned of it, which is never before it happened. It is not safe for concurrent use.
type Succession struct {
	// since is when the member began to observe, and term the newest term that it has observed.
	since   time.Time
	term    uint64
	changes []time.Time
}

// NewSuccession returns the knowledge of a member that starts with a log whose newest entry is of a term.
func NewSuccession(now time.Time, term uint64) *Succession {
	return &Succession{since: now, term: term}
}

// Term returns the newest term that the member has observed.
func (succession *Succession) Term() uint64 { return succession.term }

// Observe records that the log has entries of a number of later terms, the newest of which is given. Only leaders write entries, and they grant
// nothing before their first one is committed.
func (succession *Succession) Observe(now time.Time, newest uint64, terms int) {
	succession.forget(now)
	for range min(terms, maxSuccessions) {
		succession.changes = append(succession.changes, now)
	}
	succession.term = max(succession.term, newest)
}

// Recent returns the ages of the changes after which units of earlier leaders may be in use; false while the member can't know them.
func (succession *Succession) Recent(now time.Time) (ages []time.Duration, isKnown bool) {
	succession.forget(now)
	for _, at := range succession.changes {
		ages = append(ages, now.Sub(at))
	}
	return ages, now.Sub(succession.since) >= outstandingTTL
}

// Learn takes over what another member knew until now, if this one can't know it yet and the other has observed all that this one has.
func (succession *Succession) Learn(now time.Time, term uint64, ages []time.Duration) {
	if term < succession.term || now.Sub(succession.since) >= outstandingTTL {
		return
	}
	succession.since = now.Add(-outstandingTTL)
	succession.changes = nil
	for _, age := range ages {
		succession.changes = append(succession.changes, now.Add(-age))
	}
}

func (succession *Succession) forget(now time.Time) {
	kept := succession.changes[:0]
	for _, at := range succession.changes {
		if now.Sub(at) < outstandingTTL {
			kept = append(kept, at)
		}
	}
	succession.changes = kept
}
