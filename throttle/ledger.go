package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// limitTTL is how long the leader keeps a limit without an answer of its target. Then requests are sent to the target again, and its answer
// tells whether the limit still holds.
const limitTTL = 30 * time.Second

// assumedShare is the share of a limit that counts as used while a leader has not counted for budgetTime.
const assumedShare = 0.5

// Ledger is the leader's record of the limits that targets announce, and of the demand of all routers for these targets. It is not safe for
// concurrent use.
type Ledger struct {
	targets map[celerylanding.TargetID]*ledgerEntry
}

type ledgerEntry struct {
	incarnation celerylanding.Incarnation
	// since is when this leader began to count.
	since      time.Time
	limit      float64
	hasLimit   bool
	answeredAt time.Time
	demand     window
	sent       window
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{targets: make(map[celerylanding.TargetID]*ledgerEntry)} }

// Add adds a router's report. It reports whether the target's limit is new or has changed.
func (ledger *Ledger) Add(now time.Time, report feed.LimitReport) bool {
	entry := ledger.targets[report.Target]
	if entry == nil || entry.incarnation < report.Incarnation {
		entry = &ledgerEntry{incarnation: report.Incarnation, since: now}
		ledger.targets[report.Target] = entry
	}
	if entry.incarnation != report.Incarnation {
		return false
	}
	entry.demand.add(now, report.Wanted)
	entry.sent.add(now, report.Sent)
	answeredAt := now.Add(-report.Age)
	if !report.IsAnswered || answeredAt.Before(entry.answeredAt) {
		return false
	}
	isChanged := entry.hasLimit != report.HasLimit || (report.HasLimit && entry.limit != report.Limit)
	entry.limit, entry.hasLimit, entry.answeredAt = report.Limit, report.HasLimit, answeredAt
	return isChanged
}

// totalSent returns the number of requests in the last budgetTime. Before this leader began to count, routers are assumed to have used a share
// of the limit.
func (entry *ledgerEntry) totalSent(now time.Time) int {
	unknown := max(0, budgetTime-now.Sub(entry.since))
	return entry.sent.count(now) + int(math.Ceil(assumedShare*entry.limit*unknown.Seconds()))
}

// demandRate returns the requests a second for the target, over the time that this leader has counted where that is shorter than the window.
func (entry *ledgerEntry) demandRate(now time.Time) float64 {
	counted := min(max(bucketTime, now.Sub(entry.since)), budgetTime)
	return max(entry.demand.rate(now), float64(entry.demand.count(now))/counted.Seconds())
}

// Limits returns the limits in force with the demand for their targets, by target.
func (ledger *Ledger) Limits(now time.Time) []feed.TargetLimit {
	var limits []feed.TargetLimit
	for id, entry := range ledger.targets {
		if now.Sub(entry.answeredAt) > limitTTL {
			delete(ledger.targets, id)
			continue
		}
		if entry.hasLimit {
			limits = append(limits, feed.TargetLimit{Target: id, Incarnation: entry.incarnation, Limit: entry.limit, Demand: entry.demandRate(now),
				Sent: entry.totalSent(now), Age: now.Sub(entry.answeredAt)})
		}
	}
	slices.SortFunc(limits, func(a, b feed.TargetLimit) int { return cmp.Compare(a.Target, b.Target) })
	return limits
}
