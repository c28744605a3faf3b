package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/promptcache"
	"celerylanding.example/celerylanding/throttle"
)

const (
	// initialBackoff is how long a target gets no requests after a first connection failure; each further one doubles the time.
	initialBackoff = 150 * time.Millisecond
	// maxBackoff bounds the backoff; a crashed target restarts within seconds.
	maxBackoff = 2 * time.Second
	// silentGrace is how long a target whose heartbeats the leader misses still gets requests after its last answer.
	silentGrace = 3 * time.Second
	// failureHalfLife is the half-life of an observed failure's weight.
	failureHalfLife = 2 * time.Second
)

// targetStats holds this router's observations of one incarnation of a target.
type targetStats struct {
	incarnation celerylanding.Incarnation
	// model predicts how long requests take.
	model *forecast.Target
	// answered and failed count outcomes since the last report to the leader.
	answered int
	failed   int
	// failures is the decayed number of failures, as of failedAt.
	failures     float64
	failedAt     time.Time
	backoff      time.Duration
	backoffUntil time.Time
	answeredAt   time.Time
	// load and slots are the target's newest report to this router, made at reportedAt; isReportNew is set until it is passed on.
	load        celerylanding.TargetLoad
	slots       int
	reportedAt  time.Time
	isReportNew bool
	// sent and read are the prompt tokens that were sent, and those that the target has read or will not read, since the last report.
	sent, read int
	// work holds the prompt tokens for which the target was chosen since the last report, by model.
	work []feed.ModelTokens
	// isLeaving is set once an answer has said that the target leaves, and pausedUntil is when it wants requests again.
	isLeaving   bool
	pausedUntil time.Time
	// misdirected holds the units that the target lacks by its own answers.
	misdirected map[feed.Unit]misdirection
}

// Picker chooses targets; it is safe for concurrent use.
type Picker struct {
	domain   celerylanding.FailureDomain
	mutex    sync.Mutex
	stats    map[celerylanding.TargetID]*targetStats
	services map[celerylanding.ServiceID]*forecast.Service
	gate     *throttle.Gate
	rooms    *throttle.Rooms
	cache    *promptcache.Picture
	// options and keepers are reused by each choice.
	options []option
	keepers []promptcache.Keeper
}

// NewPicker returns a picker for the router of a node in the failure domain.
func NewPicker(node celerylanding.NodeID, domain celerylanding.FailureDomain) *Picker {
	return &Picker{domain: domain, stats: make(map[celerylanding.TargetID]*targetStats),
		services: make(map[celerylanding.ServiceID]*forecast.Service), gate: throttle.NewGate(node), rooms: throttle.NewRooms(node),
		cache: promptcache.New()}
}

// Pick returns the target of Choose.
func (picker *Picker) Pick(now time.Time, table *Table, needs Requirements) (target *feed.Target, unreachable []celerylanding.Endpoint) {
	choice, unreachable := picker.Choose(now, table, needs)
	return choice.Target, unreachable
}

// Choose returns the target with the highest expected benefit for the request, and counts the request as in flight there until Done. The target is
// nil if none is usable; unreachable then lists the candidates that are in backoff, silent or outliers.
func (picker *Picker) Choose(now time.Time, table *Table, needs Requirements) (choice Choice, unreachable []celerylanding.Endpoint) {
	candidates := table.candidates(&needs)
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	choice, unreachable, _ = picker.find(now, table, candidates, needs)
	if choice.Target == nil {
		return Choice{}, unreachable
	}
	stats := picker.statsOf(choice.Target)
	picker.rooms.Settle(now, choice.Target, stats.model.InFlight())
	picker.rooms.CountSent(now, choice.Target)
	stats.model.Begin(now, choice.Size)
	if choice.Size.Tokens > 0 && needs.Unit.Model != "" {
		stats.work = feed.AddModelTokens(stats.work, feed.ModelTokens{Model: needs.Unit.Model, Tokens: choice.Size.Tokens})
	}
	return choice, nil
}

// find returns the choice for the request, and counts the request for the targets' limits only. It reports whether outliers were allowed.
func (picker *Picker) find(now time.Time, table *Table, candidates []*feed.Target, needs Requirements) (choice Choice,
	unreachable []celerylanding.Endpoint, allowsOutliers bool) {
	choice, unreachable = picker.chooseWithinLimits(now, table, candidates, needs, false)
	if choice.Target != nil || needs.Unit.Model != "" {
		return choice, unreachable, false
	}
	// No other target of the plain service is usable, so an outlier is tried.
	choice, _ = picker.chooseWithinLimits(now, table, candidates, needs, true)
	return choice, unreachable, true
}

// HasTarget reports whether a target is usable for the request, whatever the limits that targets announce and their room.
func (picker *Picker) HasTarget(now time.Time, table *Table, needs Requirements) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	needs.ignoresRooms = true
	choice, _ := picker.choose(now, table, table.candidates(&needs), needs, false)
	return choice.Target != nil
}

// statsOf returns what is known of an incarnation of a target. Requests to an earlier incarnation may end after a later one has begun; what they say is
// kept apart, and forgotten.
func (picker *Picker) statsOf(target *feed.Target) *targetStats {
	known := picker.stats[target.ID]
	if known != nil && known.incarnation == target.Incarnation {
		return known
	}
	service := picker.services[target.Service]
	if service == nil {
		service = forecast.NewService()
		picker.services[target.Service] = service
	}
	stats := &targetStats{incarnation: target.Incarnation, model: service.NewTarget(target.Slots)}
	if known == nil || known.incarnation < target.Incarnation {
		picker.stats[target.ID] = stats
	}
	return stats
}

// Update forgets what is known of later incarnations than the table lists: their announcements were withdrawn, or wrong.
func (picker *Picker) Update(table *Table) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	for id, stats := range picker.stats {
		if listed := table.byID[id]; listed != nil && listed.Incarnation < stats.incarnation {
			delete(picker.stats, id)
			picker.gate.Forget(id)
			picker.rooms.Forget(id)
		}
	}
}

func (stats *targetStats) isUsable(now time.Time, target *feed.Target) bool {
	cause, _ := stats.obstacle(now, target)
	return cause == ""
}

// isOutlier reports whether several routers report the target as failing and this router has received no answer since its last failure.
func (stats *targetStats) isOutlier(target *feed.Target) bool {
	return target.Outlier && !stats.answeredAt.After(stats.failedAt)
}

// outcomeReportWindow is how long a target's outcomes are reported to the leader after a failure.
const outcomeReportWindow = 3 * time.Second

// Outcomes returns, for each target with a recent failure, the outcomes of its requests since the last call.
func (picker *Picker) Outcomes(now time.Time) []feed.Outcome {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	var list []feed.Outcome
	for id, stats := range picker.stats {
		if now.Sub(stats.failedAt) <= outcomeReportWindow && stats.answered+stats.failed > 0 {
			list = append(list, feed.Outcome{Target: id, Incarnation: stats.incarnation, Answered: stats.answered, Failed: stats.failed})
		}
		stats.answered, stats.failed = 0, 0
	}
	return list
}

func (stats *targetStats) decayedFailures(now time.Time) float64 {
	return stats.failures * math.Exp2(-now.Sub(stats.failedAt).Seconds()/failureHalfLife.Seconds())
}

// RecordFirstByte records the time from sending a request to the first byte of its answer; outlook is that of its choice.
func (picker *Picker) RecordFirstByte(now time.Time, target *feed.Target, took time.Duration, outlook forecast.Outlook) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.statsOf(target).model.RecordFirst(now, outlook, took)
}

// RecordStream records the longest pause of a complete stream and its time after the first event.
func (picker *Picker) RecordStream(now time.Time, target *feed.Target, pause, length time.Duration, outlook forecast.Outlook) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.statsOf(target).model.RecordStream(now, outlook, pause, length)
}

// Result is the result of a request to a target.
type Result int

// The results.
const (
	// ResultAnswered means that the target answered correctly.
	ResultAnswered Result = iota
	// ResultRefused means that the target answered that it has not run the request.
	ResultRefused
	// ResultUnreachable means that no connection could be made, or that the target did not acknowledge the bytes sent.
	ResultUnreachable
	// ResultFailed means that the target failed or that its answer was incomplete.
	ResultFailed
	// ResultCanceled means that the caller disconnected, the deadline passed or the request was not sent.
	ResultCanceled
)

// Done records the result of a request and no longer counts it as in flight.
func (picker *Picker) Done(now time.Time, target *feed.Target, result Result) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	picker.rooms.Settle(now, target, stats.model.InFlight())
	stats.model.End(now)
	switch result {
	case ResultAnswered:
		picker.rooms.RecordEnd(target)
		stats.answeredAt = now
		stats.answered++
		stats.backoff = 0
	case ResultUnreachable:
		stats.backoff = min(max(initialBackoff, 2*stats.backoff), maxBackoff)
		stats.backoffUntil = now.Add(stats.backoff)
	case ResultFailed:
		stats.failures = stats.decayedFailures(now) + 1
		stats.failed++
		stats.failedAt = now
	case ResultRefused, ResultCanceled:
	}
}

// ForgetBackoffs makes targets usable again that could not be connected to.
func (picker *Picker) ForgetBackoffs() {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	for _, stats := range picker.stats {
		stats.backoff, stats.backoffUntil = 0, time.Time{}
	}
}

// UpdateLoad records a target's report of its load and its number of slots.
func (picker *Picker) UpdateLoad(now time.Time, target *feed.Target, load celerylanding.TargetLoad, slots int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	stats := picker.statsOf(target)
	stats.model.Report(now, forecast.Report{Load: load, Slots: slots})
	stats.load, stats.slots, stats.reportedAt, stats.isReportNew = load, slots, now, true
	picker.rooms.RecordLoad(now, target, load, slots)
}

// RecordSent records that a request's prompt is on its way to the target, and RecordRead that the target has read it or will not read it.
func (picker *Picker) RecordSent(target *feed.Target, outlook forecast.Outlook) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.statsOf(target).sent += outlook.Tokens
}

// RecordRead is the counterpart of RecordSent.
func (picker *Picker) RecordRead(target *feed.Target, outlook forecast.Outlook) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.statsOf(target).read += outlook.Tokens
}

// LoadReports returns what this router has learned of the targets' load since the last call, sorted by target.
func (picker *Picker) LoadReports(now time.Time) []feed.TargetReport {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	var list []feed.TargetReport
	for id, stats := range picker.stats {
		report := feed.TargetReport{Target: id, Incarnation: stats.incarnation, Sent: stats.sent, Read: stats.read, Models: stats.work}
		if stats.isReportNew {
			report.Load, report.Slots, report.Age = stats.load, stats.slots, now.Sub(stats.reportedAt)
		}
		if !stats.isReportNew && report.Sent == 0 && report.Read == 0 && len(report.Models) == 0 {
			continue
		}
		stats.isReportNew, stats.sent, stats.read, stats.work = false, 0, 0, nil
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b feed.TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// ApplyLoadReports records what all routers know of the targets' load.
func (picker *Picker) ApplyLoadReports(now time.Time, table *Table, reports []feed.TargetReport) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	for _, report := range reports {
		target := table.byID[report.Target]
		if target == nil || target.Incarnation != report.Incarnation {
			continue
		}
		model := picker.statsOf(target).model
		if report.Slots > 0 {
			model.Report(now, forecast.Report{Load: report.Load, Slots: report.Slots, Age: report.Age})
			picker.rooms.RecordLoad(now.Add(-report.Age), target, report.Load, report.Slots)
		}
		model.RecordUnread(now, report.Unread)
	}
}

// InFlight returns the number of this router's requests in flight on the target.
func (picker *Picker) InFlight(target *feed.Target) int {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.statsOf(target).model.InFlight()
}
