package proxy

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
	// retryDivisor divides a caller's remaining time; the quotient bounds the Retry-After delay.
	retryDivisor = 3
	// minRetryDelay is the shortest Retry-After delay unless the caller's timeout requires a shorter one, so that callers do not retry before
	// the state can have changed.
	minRetryDelay = 100 * time.Millisecond
)

// writeRefusal writes the error response to a request that no target has answered. It aborts the connection if an answer has begun or the
// caller has disconnected.
func (handler *Handler) writeRefusal(writer http.ResponseWriter, request *http.Request, call *call, refusal *refusal) {
	call.cause = refusal.cause
	handler.logRequest(call, refusal)
	if call.delivery.HasBegun() {
		panic(http.ErrAbortHandler)
	}
	if request.Context().Err() != nil {
		// The caller has disconnected.
		panic(http.ErrAbortHandler)
	}
	if refusal.status == http.StatusUnauthorized {
		writer.Header().Set("WWW-Authenticate", "Bearer")
	}
	if seconds := retrySeconds(handler.options.Clock(), call, refusal); seconds > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 2, 64))
	}
	http.Error(writer, fmt.Sprintf("%s: %s", refusal.reason, refusal.cause), refusal.status)
}

// retrySeconds returns the Retry-After delay in seconds, limited by the caller's own timeout; zero omits the header.
func retrySeconds(now time.Time, call *call, refusal *refusal) float64 {
	if refusal.retryAfter <= 0 || refusal.verdict != celerylanding.NotRun {
		return 0
	}
	retry := max(refusal.retryAfter, minRetryDelay)
	if call.metadata.MaxWait > 0 {
		retry = min(retry, (call.metadata.MaxWait-now.Sub(call.arrived))/retryDivisor)
	}
	return retry.Seconds()
}

// logRequest writes the log line of a finished request.
func (handler *Handler) logRequest(call *call, refusal *refusal) {
	level := zerolog.InfoLevel
	if refusal != nil || call.isTruncated {
		level = zerolog.WarnLevel
	}
	event := call.withVia(handler.options.Log.WithLevel(level)).Str("request", call.metadata.ID).Str("target", string(call.lastTarget)).
		Dur("took", handler.options.Clock().Sub(call.arrived)).Dur("first", call.firstByte).Dur("waited", call.waited).Int("sends", call.sends)
	if call.route != nil {
		event = event.Str("route", call.route.Name).Str("unit", call.unit.String()).
			Uint64("version", call.version).Dur("view_age", call.viewAge)
	}
	outcome := "answered"
	switch {
	case refusal != nil:
		outcome = string(refusal.reason)
		event = event.Int("status", refusal.status).Str("verdict", refusal.verdict.String()).Dur("retry", refusal.retryAfter)
	case call.isTruncated:
		outcome = "cut"
	}
	if call.workspace != nil {
		event = event.Str("workspace", call.workspaceName())
	}
	if refusal != nil || call.isTruncated {
		event = event.Strs("parts", call.partIDs())
	}
	if call.cause != "" {
		event = event.Str("cause", call.cause)
	}
	if call.hasEvent {
		event = event.Str("software", string(call.origin))
	}
	if call.sends > 0 && call.outlook.First > 0 {
		event = event.Dur("sent_after", call.sentAt.Sub(call.arrived)).Dur("expected", call.outlook.ExpectedFirst())
	}
	if !call.streamedAt.IsZero() {
		event = event.Dur("pause", call.longestPause).Dur("expected_pause", call.outlook.Pause())
	}
	if call.isMixed {
		event = event.Bool("mixed", true)
		handler.options.Metrics.Counter("streams_mixed").Inc(1)
	}
	if call.metadata.Resumes != "" {
		event = event.Str("resumes", call.metadata.Resumes)
	}
	if call.unansweredWakes > 0 {
		event = event.Int("unanswered", call.unansweredWakes)
	}
	event.Int("answered", call.delivery.Status()).Msg(outcome)
	handler.recordMetrics(call, outcome)
}

// withVia adds the router through which the last answer came, if there is one.
func (call *call) withVia(event *zerolog.Event) *zerolog.Event {
	if call.via == "" {
		return event
	}
	return event.Str("via", call.via)
}

// latencyBuckets range from the latency of a plain service to the longest wait for a model load.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// recordMetrics records the metrics of a finished request: its outcome and the latencies that its caller observed.
func (handler *Handler) recordMetrics(call *call, outcome string) {
	handler.options.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	if call.route == nil {
		return
	}
	scope := handler.options.Metrics.Tagged(map[string]string{"kind": call.route.Kind.String()})
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(handler.options.Clock().Sub(call.arrived))
	if call.delivery.HasBegun() {
		scope.Histogram("first_byte_seconds", latencyBuckets).RecordDuration(call.firstByte)
	}
	if call.waited > 0 {
		scope.Histogram("wake_wait_seconds", latencyBuckets).RecordDuration(call.waited)
	}
}

// logUnansweredWake counts an unanswered wake request and logs the first one of a caller's request. The request continues to wait, and its
// final log line contains the count.
func (handler *Handler) logUnansweredWake(call *call, err error) {
	handler.options.Metrics.Counter("wakes_unanswered").Inc(1)
	if call.unansweredWakes++; call.unansweredWakes > 1 {
		return
	}
	handler.options.Log.Warn().Str("request", call.metadata.ID).Str("unit", call.unit.String()).Err(err).
		Dur("view_age", handler.state.sinceContact(handler.options.Clock())).Msg("leader did not answer a wake")
}

// logAttempt writes the log line of an attempt that did not produce an answer for the caller.
func (handler *Handler) logAttempt(call *call, target *feed.Target, retry bool) {
	handler.options.Log.Warn().Str("request", call.metadata.ID).Str("target", string(target.ID)).Str("unit", call.unit.String()).
		Str("verdict", call.verdict.String()).Int("sends", call.sends).Bool("again", retry).Strs("parts", call.partIDs()).Str("cause", call.cause).
		Str("software", string(target.Software)).Bool("has_event", call.hasEvent).Msg("attempt failed")
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// partIDs returns the IDs of the first parts of the prompt, for log lines.
func (call *call) partIDs() []string {
	parts := call.metadata.PromptParts
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:cap(ids)] {
		ids = append(ids, part.ID)
	}
	return ids
}
