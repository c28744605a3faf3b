package throttle

import (
	"cmp"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// tallyTTL is how long the leader keeps a brittle target without an answer that says so.
const tallyTTL = 3 * time.Second

// Tally is the leader's record of brittle targets, and of the demand and the rejections of all routers there. It is not safe for concurrent use.
type Tally struct {
	targets map[celerylanding.TargetID]*tallyEntry
}

type tallyEntry struct {
	incarnation            celerylanding.Incarnation
	service                celerylanding.ServiceID
	since                  time.Time
	answer                 brittleness
	demand, sent, rejected window
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{targets: make(map[celerylanding.TargetID]*tallyEntry)} }

// Add adds a router's report. It reports whether routers should learn of it at once: the target is newly brittle or no longer, or it has turned
// requests away.
func (tally *Tally) Add(now time.Time, report feed.BrittleReport) bool {
	entry := tally.targets[report.Target]
	if entry == nil || entry.incarnation < report.Incarnation {
		entry = &tallyEntry{incarnation: report.Incarnation, service: report.Service, since: now}
		tally.targets[report.Target] = entry
	}
	if entry.incarnation != report.Incarnation {
		return false
	}
	entry.demand.add(now, report.Wanted)
	entry.sent.add(now, report.Sent)
	entry.rejected.add(now, report.Rejected)
	isChanged := report.Rejected > 0
	if answeredAt := now.Add(-report.Age); report.IsAnswered && !answeredAt.Before(entry.answer.at) {
		isChanged = isChanged || entry.answer.isBrittle != report.IsBrittle
		entry.answer = brittleness{report.IsBrittle, report.Tolerance, answeredAt}
	}
	return isChanged
}

// Brittle returns the brittle targets with the figures of all routers, by target.
func (tally *Tally) Brittle(now time.Time) []feed.BrittleTarget {
	var list []feed.BrittleTarget
	for id, entry := range tally.targets {
		age := now.Sub(entry.answer.at)
		switch {
		case age > tallyTTL && now.Sub(entry.since) > tallyTTL:
			delete(tally.targets, id)
		case age <= tallyTTL && entry.answer.isBrittle:
			counted := min(max(bucketTime, now.Sub(entry.since)), budgetTime)
			list = append(list, feed.BrittleTarget{Target: id, Incarnation: entry.incarnation, Service: entry.service, Tolerance: entry.answer.tolerance,
				Demand: max(entry.demand.rate(now), float64(entry.demand.count(now))/counted.Seconds()), Sent: entry.sent.count(now),
				Rejected: entry.rejected.count(now), JustRejected: entry.rejected.last(now, justBuckets), Age: age})
		}
	}
	slices.SortFunc(list, func(a, b feed.BrittleTarget) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
