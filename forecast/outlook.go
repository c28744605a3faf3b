package forecast

import (
	"math"
	"time"
)

// Outlook is what a request would see at a target now.
type Outlook struct {
	// First is the expected time to the first event, and Wait the part of it that is spent on the work of other requests; both in seconds.
	First float64
	Wait  float64
	// Work is the time for which the request keeps the target from reading other prompts, in seconds.
	Work float64
	// Busy is the expected share of the target's slots that are taken; over 1 if requests wait for one.
	Busy float64
	// RoomIn is the expected time until the target has a free slot for the request, in seconds; zero if it has one.
	RoomIn float64
	// Tokens is the number of prompt tokens that the target has to read.
	Tokens int

	// reading and pauses are the features by which first events and pauses are learned.
	reading vector
	pauses  vector
	running float64
	// logPause is the logarithm of the expected longest pause in seconds, and pauseGrowth the part of it that is due to reading this prompt.
	logPause    float64
	pauseGrowth float64
	// firstDeviation is the standard deviation of First, and pauseDeviation that of logPause.
	firstDeviation float64
	pauseDeviation float64
}

// ExpectedFirst returns First as a duration.
func (outlook *Outlook) ExpectedFirst() time.Duration { return toDuration(outlook.First) }

// ReadingTime returns the time in which the target reads a number of prompt tokens; zero if the request has none to read.
func (outlook *Outlook) ReadingTime(tokens int) time.Duration {
	if outlook.Tokens == 0 {
		return 0
	}
	return toDuration(outlook.Work / float64(outlook.Tokens) * float64(max(0, tokens)))
}

// Pause returns the expected longest pause of the stream.
func (outlook *Outlook) Pause() time.Duration { return toDuration(math.Exp(outlook.logPause)) }

// Bounds are the times within which a request is in time.
type Bounds struct {
	// slack is the time that is left for the first event in seconds, and logGap the logarithm of the longest pause in seconds, if hasGap is set.
	slack  float64
	logGap float64
	hasGap bool
}

// NewBounds returns the bounds for the time that is left for the first event, not positive for none, and for the longest pause, zero for any.
func NewBounds(slack, gap time.Duration) Bounds {
	bounds := Bounds{slack: slack.Seconds(), hasGap: gap > 0}
	if bounds.hasGap {
		bounds.logGap = math.Log(gap.Seconds())
	}
	return bounds
}

// Expect fills in the outlook for a request. routers is the number of routers that send requests, including this one.
func (target *Target) Expect(now time.Time, size Size, routers int, outlook *Outlook) {
	service := target.service
	pace := target.paceAt(now)
	usual, current := target.slowdowns(now)
	usual *= pace
	running, waiting := target.loadAt(now, routers, usual)
	unread := target.unreadTokens(now, waiting) + target.unseenTokensAt(now, usual)
	tokens, perToken := float64(size.Tokens), service.perToken()
	reading := readingFeatures(current, tokens, unread)
	wait := service.reading.coefficients[unreadFeature] * reading[unreadFeature] * pace
	alone := service.reading.at(reading)*pace - wait
	taken := running + waiting + float64(target.unseen)
	roomIn := 0.0
	if over := taken + 1 - float64(target.slots); over > 0 {
		roomIn = over / float64(target.slots) * (alone + service.stream.orElse(0)*usual)
	}
	extra := roomIn + max(0, target.delayAt(now))
	pauses := pauseFeatures(size.logOutput, running, perToken*usual*(unread+tokens))
	*outlook = Outlook{
		First: alone + wait + extra, Wait: wait + extra, Work: perToken * current * pace * tokens, Busy: taken / float64(target.slots), RoomIn: roomIn,
		Tokens: size.Tokens, reading: reading, pauses: pauses, running: running,
		logPause:       service.pauses.at(pauses) + math.Log(usual),
		pauseGrowth:    service.pauses.coefficients[unreadFeature] * perToken * usual * tokens,
		firstDeviation: (alone+wait+extra)*service.firstDeviation() + (wait+extra)/2,
		pauseDeviation: service.pauseDeviation(),
	}
}

// InTime returns the probability that the request is in time and, if its first event is, that no pause is too long.
func (outlook *Outlook) InTime(bounds Bounds) (first, pauses float64) {
	first, pauses = 0, 1
	if bounds.slack > 0 {
		first = logistic(bounds.slack, outlook.First, outlook.firstDeviation)
	}
	if bounds.hasGap {
		pauses = logistic(bounds.logGap, outlook.logPause, outlook.pauseDeviation)
	}
	return first, pauses
}

// Harm returns the expected number of running streams that pause for too long because the target reads this request's prompt, where pauses is the
// probability that a pause isn't too long.
func (outlook *Outlook) Harm(pauses float64) float64 {
	return outlook.running * min(1, outlook.pauseGrowth*logisticSlope/max(outlook.pauseDeviation, minDeviation)) * pauses * (1 - pauses)
}

// HasRoom reports whether the target is expected to have a free slot for the request.
func (outlook *Outlook) HasRoom() bool { return outlook.RoomIn <= 0 }

// unreadTokens returns the expected number of unread prompt tokens of all routers: by what they report, or else by the number of waiting requests.
func (target *Target) unreadTokens(now time.Time, waiting float64) float64 {
	switch {
	case target.service.unread.weight == 0:
		return waiting * target.service.prompt.orElse(0)
	case target.unreadAt.IsZero():
		// A target that has just started is as good as the others at most, or all routers would choose it at once.
		return target.service.unread.value
	}
	age := now.Sub(target.unreadAt)
	usual := target.usualUnread.value * decay(age, crowdTime)
	return usual + (target.unread-usual)*decay(age, spikeTime)
}

// loadAt returns the expected numbers of running and of waiting requests, other than those that this router has sent since the last report. They
// return from the last report to their means: running requests in the time of a stream, waiting ones in that of a spike.
func (target *Target) loadAt(now time.Time, routers int, slowdown float64) (running, waiting float64) {
	service := target.service
	if service.running.weight == 0 {
		// No target of the service reports its load, so the other routers are assumed to send as many requests as this one.
		return float64(target.inFlight-target.unseen) + target.ownMean(now)*float64(routers-1), 0
	}
	running = target.running.orElse(service.running.value)
	waiting = target.waiting.orElse(service.waiting.value)
	if target.reportedAt.IsZero() {
		return running, waiting
	}
	age := now.Sub(target.reportedAt)
	stream := toDuration(service.stream.orElse(priorStream) * slowdown)
	running += (float64(target.last.Load.Running) - running) * decay(age, max(stream, spikeTime))
	waiting += (float64(target.last.Load.Waiting) - waiting) * decay(age, spikeTime)
	return max(0, running), max(0, waiting)
}
