package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// retryShare is the largest part of its remaining time that a caller waits before it comes back.
	retryShare = 3
	// leastRetry keeps callers from coming back before anything can have changed.
	leastRetry = 100 * time.Millisecond
)

// refuse answers a request that no target has answered.
func (relay *Relay) refuse(writer http.ResponseWriter, request *http.Request, call *call, refusal *refusal) {
	call.cause = refusal.cause
	relay.log(call, refusal)
	if call.began {
		panic(http.ErrAbortHandler)
	}
	if request.Context().Err() != nil {
		// Nobody is left to be answered.
		panic(http.ErrAbortHandler)
	}
	if seconds := retrySeconds(relay.options.Clock(), call, refusal); seconds > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 2, 64))
	}
	http.Error(writer, fmt.Sprintf("%s: %s", refusal.reason, refusal.cause), refusal.status)
}

// retrySeconds returns when the caller should come back, within what it accepts.
func retrySeconds(now time.Time, call *call, refusal *refusal) float64 {
	if refusal.retry <= 0 || refusal.verdict != celerylanding.NotRun {
		return 0
	}
	retry := max(refusal.retry, leastRetry)
	if call.said.Patience > 0 {
		retry = min(retry, (call.said.Patience-now.Sub(call.arrived))/retryShare)
	}
	return retry.Seconds()
}

// log writes the one line of a request's end.
func (relay *Relay) log(call *call, refusal *refusal) {
	level := zerolog.InfoLevel
	if refusal != nil || call.isCut {
		level = zerolog.WarnLevel
	}
	event := relay.options.Log.WithLevel(level).Str("request", call.said.ID).Str("target", string(call.last)).
		Dur("took", relay.options.Clock().Sub(call.arrived)).Dur("first", call.firstByte).Dur("waited", call.waited).Int("sends", call.sends)
	if call.route != nil {
		event = event.Str("route", call.route.Name).Str("unit", call.unit.String()).
			Uint64("version", call.version).Dur("view_age", call.viewAge)
	}
	outcome := "answered"
	switch {
	case refusal != nil:
		outcome = string(refusal.reason)
		event = event.Int("status", refusal.status).Str("verdict", refusal.verdict.String()).Dur("retry", refusal.retry)
	case call.isCut:
		outcome = "cut"
	}
	if call.cause != "" {
		event = event.Str("cause", call.cause)
	}
	if call.unanswered > 0 {
		event = event.Int("unanswered", call.unanswered)
	}
	event.Int("answered", call.status).Msg(outcome)
	relay.measure(call, outcome)
}

// latencyBuckets reach from a plain service's answer to the longest wait for a model.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// measure counts a request and the times that its caller saw.
func (relay *Relay) measure(call *call, outcome string) {
	relay.options.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	if call.route == nil {
		return
	}
	scope := relay.options.Metrics.Tagged(map[string]string{"kind": call.route.Kind.String()})
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(relay.options.Clock().Sub(call.arrived))
	if call.began {
		scope.Histogram("first_byte_seconds", latencyBuckets).RecordDuration(call.firstByte)
	}
	if call.waited > 0 {
		scope.Histogram("wake_wait_seconds", latencyBuckets).RecordDuration(call.waited)
	}
}

// logUnanswered tells once for a request that the leader did not answer its question; the request goes on waiting, and its last line
// counts the questions.
func (relay *Relay) logUnanswered(call *call, err error) {
	relay.options.Metrics.Counter("wakes_unanswered").Inc(1)
	if call.unanswered++; call.unanswered > 1 {
		return
	}
	relay.options.Log.Warn().Str("request", call.said.ID).Str("unit", call.unit.String()).Err(err).
		Dur("view_age", relay.state.age(relay.options.Clock())).Msg("leader did not answer a wake")
}

// logTry writes the line of a try that did not end with an answer for the caller.
func (relay *Relay) logTry(call *call, target *feed.Target, again bool) {
	relay.options.Log.Warn().Str("request", call.said.ID).Str("target", string(target.ID)).Str("unit", call.unit.String()).
		Str("verdict", call.verdict.String()).Int("sends", call.sends).Bool("again", again).Str("cause", call.cause).Msg("try ended")
}
