package forecast

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// spikeTime is the time in which a deviation of a machine's speed from its mean, or of the number of waiting requests, passes.
	spikeTime = 300 * time.Millisecond
	// machineTime and crowdTime are the times over which the mean speed of a machine and the mean load of a target are taken.
	machineTime = 15 * time.Second
	crowdTime   = 4 * time.Second
	// paceTime is the time in which what answers said of a target's speed is forgotten, and delayTime the half-life of a passing delay.
	paceTime  = 15 * time.Second
	delayTime = 1500 * time.Millisecond
	// paceWeight is the weight of an answer in a target's pace. Most of what makes single answers late passes, and the delay covers it.
	paceWeight = 0.1
	// delayWeight is the weight of the newest answer in the delay, and maxDelay bounds it in seconds.
	delayWeight = 0.3
	maxDelay    = 2.0
	// maxPace bounds the pace, and so how far a target's reports can be from the truth.
	maxPace = 16.0
	// maxRatio bounds how much one answer can differ from its forecast.
	maxRatio = 4.0
	// publishingDelay is the time after which the figures of all routers contain what this router has sent.
	publishingDelay = 250 * time.Millisecond
	// ownLoadTime is the time over which this router's own requests on a target are averaged.
	ownLoadTime = 2 * time.Second
)

// Size describes the work of a request.
type Size struct {
	// Tokens is the number of prompt tokens that the target has to read, and Output the number of tokens that it is expected to write; both are
	// zero for a plain service.
	Tokens    int
	Output    int
	logOutput float64
}

// NewSize returns the size of a request.
func NewSize(tokens, output int) Size {
	return Size{Tokens: max(0, tokens), Output: max(0, output), logOutput: math.Log1p(float64(max(0, output)))}
}

// Report is what a target said of itself.
type Report struct {
	Load  celerylanding.TargetLoad
	Slots int
	// Age is the time since the target said it.
	Age time.Duration
}

// mean is a mean over time: samples that follow each other quickly count little, since they say the same.
type mean struct {
	value, variance, weight float64
	at                      time.Time
}

func (mean *mean) add(at time.Time, sample, prior float64, memory time.Duration) {
	const firstWeight = 1.0
	gain := firstWeight
	if mean.weight == 0 {
		// The prior counts as one sample.
		mean.value, mean.weight = prior, firstWeight
	} else {
		elapsed := max(0, at.Sub(mean.at))
		gain = min(1, elapsed.Seconds()/spikeTime.Seconds())
		mean.weight *= decay(elapsed, memory)
	}
	mean.weight += gain
	mean.at = at
	if mean.weight == 0 {
		return
	}
	delta := sample - mean.value
	mean.value += delta * gain / mean.weight
	mean.variance += (delta*(sample-mean.value) - mean.variance) * gain / mean.weight
}

func (mean *mean) orElse(value float64) float64 {
	if mean.weight == 0 {
		return value
	}
	return mean.value
}

// decay returns the share of something that is left after a time; it approximates exp(-elapsed/memory).
func decay(elapsed, memory time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	x := float64(elapsed) / float64(memory)
	return 1 / (1 + x + x*x/2)
}

// Target is the model of one incarnation of a target.
type Target struct {
	service *Service
	slots   int
	// last is the newest report and reportedAt when the target made it.
	last       Report
	reportedAt time.Time
	// slowdown, running and waiting are the means of the reported figures.
	slowdown mean
	running  mean
	waiting  mean
	// unread is the number of prompt tokens that all routers have sent and the target has not read, as of unreadAt, and usualUnread its mean.
	unread      float64
	unreadAt    time.Time
	usualUnread mean
	// pace is the factor by which answers took longer than predicted from the reports, as of pacedAt, and delay the recent delay in seconds.
	pace      float64
	pacedAt   time.Time
	delay     float64
	delayedAt time.Time
	// inFlight counts this router's requests, and own is its mean.
	inFlight int
	own      mean
	// unseen and unseenTokens are the requests that were sent since the last report, and what of their prompts is still to be read, as of sentAt.
	unseen       int
	unseenTokens float64
	sentAt       time.Time
}

// NewTarget returns the model of an incarnation that has not answered yet.
func (service *Service) NewTarget(slots int) *Target {
	return &Target{service: service, slots: max(1, slots), pace: 1}
}

// Report records what the target said of itself. Reports that are older than the newest one are ignored.
func (target *Target) Report(now time.Time, report Report) {
	at := now.Add(-report.Age)
	if at.Before(target.reportedAt) {
		return
	}
	service := target.service
	if report.Load.Slowdown > 0 {
		target.slowdown.add(at, report.Load.Slowdown, service.slowdown.orElse(report.Load.Slowdown), machineTime)
		service.slowdown.add(report.Load.Slowdown, reportMemory)
	}
	running, waiting := float64(max(0, report.Load.Running)), float64(max(0, report.Load.Waiting))
	target.running.add(at, running, service.running.orElse(running), crowdTime)
	target.waiting.add(at, waiting, service.waiting.orElse(waiting), crowdTime)
	service.running.add(running, reportMemory)
	service.waiting.add(waiting, reportMemory)
	target.last, target.reportedAt = report, at
	if report.Slots > 0 {
		target.slots = report.Slots
	}
	if !target.sentAt.After(at) {
		target.unseen = 0
	}
}

// RecordUnread records the number of prompt tokens that all routers together have sent and the target has not read yet.
func (target *Target) RecordUnread(now time.Time, tokens int) {
	target.unread, target.unreadAt = float64(max(0, tokens)), now
	target.usualUnread.add(now, target.unread, target.service.unread.orElse(target.unread), crowdTime)
	target.service.unread.add(target.unread, reportMemory)
	if now.Sub(target.sentAt) > publishingDelay {
		target.unseenTokens = 0
	}
}

// Begin records that this router sends a request.
func (target *Target) Begin(now time.Time, size Size) {
	target.unseenTokens = target.unseenTokensAt(now, target.usualSlowdown(now)) + float64(size.Tokens)
	target.unseen++
	target.sentAt = now
	target.own.add(now, float64(target.inFlight), 0, ownLoadTime)
	target.inFlight++
	target.service.prompt.add(float64(size.Tokens), reportMemory)
	target.service.output.add(float64(size.Output), reportMemory)
}

// End records that a request of this router has ended.
func (target *Target) End(now time.Time) {
	target.own.add(now, float64(target.inFlight), 0, ownLoadTime)
	target.inFlight = max(0, target.inFlight-1)
	target.unseen = min(target.unseen, target.inFlight)
}

// ownMean returns the mean number of this router's requests on the target over the last seconds.
func (target *Target) ownMean(now time.Time) float64 {
	current := float64(target.inFlight)
	return current + (target.own.value-current)*decay(now.Sub(target.own.at), ownLoadTime)
}

// InFlight returns the number of this router's requests on the target.
func (target *Target) InFlight() int { return target.inFlight }

// unseenTokensAt returns how many tokens of the requests sent since the last report are still to be read.
func (target *Target) unseenTokensAt(now time.Time, slowdown float64) float64 {
	if target.unseenTokens == 0 {
		return 0
	}
	return max(0, target.unseenTokens-now.Sub(target.sentAt).Seconds()/(target.service.perToken()*slowdown))
}

// slowdowns returns the time that work takes on the target's machine, relative to the usual time: over the last seconds, and now.
func (target *Target) slowdowns(now time.Time) (usual, current float64) {
	usual = target.slowdown.orElse(target.service.slowdown.orElse(1))
	current = usual
	if target.last.Load.Slowdown > 0 {
		current += (target.last.Load.Slowdown - usual) * decay(now.Sub(target.reportedAt), spikeTime)
	}
	return usual, current
}

// usualSlowdown returns the time that work takes at the target, relative to the usual time, over the last seconds.
func (target *Target) usualSlowdown(now time.Time) float64 {
	usual, _ := target.slowdowns(now)
	return usual * target.paceAt(now)
}

func (target *Target) paceAt(now time.Time) float64 {
	if target.pacedAt.IsZero() {
		return 1
	}
	return 1 + (target.pace-1)*decay(now.Sub(target.pacedAt), paceTime)
}

func (target *Target) delayAt(now time.Time) float64 {
	if target.delayedAt.IsZero() {
		return 0
	}
	return target.delay * decay(now.Sub(target.delayedAt), delayTime)
}

// RecordFirst records the time to the first event of an answer, for the outlook under which the request was sent.
func (target *Target) RecordFirst(now time.Time, outlook Outlook, took time.Duration) {
	if outlook.First <= 0 {
		return
	}
	service, seconds, expected := target.service, took.Seconds(), outlook.First
	// An answer of a target that is slow for a reason of its own says little of the others.
	pace := target.paceAt(now)
	usual := max(0, min((seconds-outlook.RoomIn)/pace, maxRatio*service.reading.at(outlook.reading)))
	service.reading.add(outlook.reading, usual, speedMemory)
	difference := min(max(seconds-expected, -maxDelay), maxDelay)
	service.firstError.add(min(abs(difference)/expected, maxRatio), speedMemory)
	target.delay = target.delayAt(now) + delayWeight*(difference-target.delayAt(now))
	target.delayedAt = now
	ratio := min(max(seconds/expected, 1/maxRatio), maxRatio)
	target.pace = min(max(pace*math.Pow(ratio, paceWeight), 1/maxPace), maxPace)
	target.pacedAt = now
}

// RecordStream records the longest pause of a complete stream and its time after the first event.
func (target *Target) RecordStream(now time.Time, outlook Outlook, pause, length time.Duration) {
	service, slowdown := target.service, target.usualSlowdown(now)
	logarithm := math.Log(max(pause.Seconds(), minPause) / slowdown)
	service.pauseError.add(abs(logarithm-service.pauses.at(outlook.pauses)), speedMemory)
	service.pauses.add(outlook.pauses, logarithm, speedMemory)
	service.stream.add(length.Seconds()/slowdown, speedMemory)
}

func abs(value float64) float64 { return max(value, -value) }
