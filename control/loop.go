package control

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// inboxDepth bounds the functions of one kind that wait for the control goroutine.
	inboxDepth = 4096
	// maxWaitingWakes bounds the wake requests that wait for the control goroutine; a router asks again later for one that is turned away.
	maxWaitingWakes = 256
	// maxWakeDelay is how long a wake request may wait for the control goroutine. A router stops waiting for the reply soon afterwards, so
	// that planning for an older one would be wasted.
	maxWakeDelay = 300 * time.Millisecond
	// maxBatch bounds the functions that run before the next durable write, which they share.
	maxBatch = 256
	// maxUpdateTime and maxWakeTime bound the time that one round spends on updates and on wakes, so that the log's heartbeats are sent and
	// answered in time on a busy leader.
	maxUpdateTime = 8 * time.Millisecond
	maxWakeTime   = 4 * time.Millisecond
	// slowRound is the length of a round from which it is logged.
	slowRound = 20 * time.Millisecond
)

// inbox holds the functions that wait for the control goroutine, by priority. What keeps the leadership and the configuration comes first,
// then what other processes report, then requests for loads.
type inbox struct {
	urgent  chan func(now time.Time)
	updates chan func(now time.Time)
	wakes   chan func(now time.Time)
}

func newInbox() inbox {
	return inbox{urgent: make(chan func(time.Time), inboxDepth), updates: make(chan func(time.Time), inboxDepth),
		wakes: make(chan func(time.Time), maxWaitingWakes)}
}

// post queues a report of another process for the control goroutine; it returns false if the context ends first.
func (ctl *Control) post(ctx context.Context, work func(now time.Time)) bool {
	return enqueue(ctx, ctl.inbox.updates, work)
}

// postUrgent queues work of the log or on the configuration, which runs before all other work.
func (ctl *Control) postUrgent(ctx context.Context, work func(now time.Time)) bool {
	return enqueue(ctx, ctl.inbox.urgent, work)
}

func enqueue(ctx context.Context, queue chan<- func(now time.Time), work func(now time.Time)) bool {
	select {
	case queue <- work:
		return true
	case <-ctx.Done():
		return false
	}
}

// postAndWait runs a function on the control goroutine after the earlier reports of other processes, and waits for its end.
func (ctl *Control) postAndWait(ctx context.Context, work func(now time.Time)) error {
	return wait(ctx, ctl.inbox.updates, work)
}

// postUrgentAndWait runs a function on the control goroutine before all other work, and waits for its end.
func (ctl *Control) postUrgentAndWait(ctx context.Context, work func(now time.Time)) error {
	return wait(ctx, ctl.inbox.urgent, work)
}

func wait(ctx context.Context, queue chan<- func(now time.Time), work func(now time.Time)) error {
	done := make(chan struct{})
	queued := enqueue(ctx, queue, func(now time.Time) {
		work(now)
		close(done)
	})
	if queued {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// loop is the control goroutine: it runs queued functions and periodic work, and makes log changes durable after each round.
func (ctl *Control) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var first func(time.Time)
		part := partUpdates
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case result := <-ctl.writeResult():
			ctl.finishWrite(ctl.options.Clock(), result)
		case first = <-ctl.inbox.urgent:
			part = partUrgent
		case first = <-ctl.inbox.updates:
		case first = <-ctl.inbox.wakes:
			part = partWakes
		}
		ctl.rounds.begin(ctl.options.Clock())
		if first != nil {
			first(ctl.options.Clock())
			ctl.rounds.end(ctl.options.Clock(), part)
		}
		ctl.runRound()
	}
}

// runRound runs the queued work within its bounds, then the log and the periodic work.
func (ctl *Control) runRound() {
	ctl.drain(ctl.inbox.urgent, partUrgent, 0)
	ctl.drain(ctl.inbox.updates, partUpdates, maxUpdateTime)
	ctl.drain(ctl.inbox.wakes, partWakes, maxWakeTime)
	// Messages of the log may have arrived meanwhile.
	ctl.drain(ctl.inbox.urgent, partUrgent, 0)
	now := ctl.options.Clock()
	ctl.effects.Merge(ctl.core.Tick(now))
	ctl.flush(now)
	// The write may have taken long.
	now = ctl.options.Clock()
	ctl.rounds.end(now, partLog)
	ctl.runPeriodicTasks(now)
	ctl.rounds.end(ctl.options.Clock(), partPlanning)
	ctl.flush(now)
	now = ctl.options.Clock()
	ctl.rounds.end(now, partLog)
	ctl.answerWatchers(now)
	ctl.rounds.end(ctl.options.Clock(), partFeed)
	ctl.rounds.finish(ctl.options.Log, len(ctl.inbox.updates), len(ctl.inbox.wakes))
}

// drain runs queued functions until none is left, maxBatch have run or the limit is reached; limit 0 means no limit of time.
func (ctl *Control) drain(queue <-chan func(time.Time), part roundPart, limit time.Duration) {
	began := ctl.options.Clock()
	now := began
	for range maxBatch {
		select {
		case work := <-queue:
			work(now)
			now = ctl.options.Clock()
			if limit > 0 && now.Sub(began) >= limit {
				ctl.rounds.end(now, part)
				return
			}
		default:
			ctl.rounds.end(now, part)
			return
		}
	}
	ctl.rounds.end(now, part)
}

// roundPart is a part of the control goroutine's work.
type roundPart int

const (
	partUrgent roundPart = iota
	partUpdates
	partWakes
	partLog
	partPlanning
	partFeed
	partCount
)

// String returns the part's name in metrics and log lines.
func (part roundPart) String() string {
	return [...]string{"urgent", "updates", "wakes", "log", "planning", "feed"}[part]
}

// roundTimer measures the parts of a round.
type roundTimer struct {
	began, last time.Time
	spent       [partCount]time.Duration
	counters    [partCount]tally.Counter
	slow        tally.Counter
	updates     tally.Gauge
	wakes       tally.Gauge
}

func newRoundTimer(metrics tally.Scope) roundTimer {
	timer := roundTimer{slow: metrics.Counter("control_slow_rounds"), updates: metrics.Gauge("control_waiting_updates"),
		wakes: metrics.Gauge("control_waiting_wakes")}
	for part := range partCount {
		timer.counters[part] = metrics.Tagged(map[string]string{"part": part.String()}).Counter("control_microseconds")
	}
	return timer
}

func (timer *roundTimer) begin(now time.Time) {
	timer.began, timer.last = now, now
	timer.spent = [partCount]time.Duration{}
}

// end adds the time since the last call to a part.
func (timer *roundTimer) end(now time.Time, part roundPart) {
	timer.spent[part] += now.Sub(timer.last)
	timer.last = now
}

// finish reports the round to the metrics, and logs it if it was slow; the lengths are those of the queues that are left.
func (timer *roundTimer) finish(log zerolog.Logger, updates, wakes int) {
	for part, spent := range timer.spent {
		timer.counters[part].Inc(spent.Microseconds())
	}
	timer.updates.Update(float64(updates))
	timer.wakes.Update(float64(wakes))
	length := timer.last.Sub(timer.began)
	if length < slowRound {
		return
	}
	timer.slow.Inc(1)
	event := log.Warn().Dur("took", length).Int("updates_waiting", updates).Int("wakes_waiting", wakes)
	for part, spent := range timer.spent {
		event = event.Dur(roundPart(part).String(), spent)
	}
	event.Msg("slow control round")
}
