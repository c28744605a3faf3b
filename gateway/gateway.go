package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/target"
)

// The headers of this interface.
const (
	HeaderTimeout        = "X-Request-Timeout"
	HeaderPriority       = "X-Request-Priority"
	HeaderVerdict        = "X-Celerylanding-Verdict"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxBody    = 16 << 20
	maxAnswer  = 64 << 20
	maxTimeout = 24 * time.Hour
	// firstByteShare is the part of the remaining time that a call which may be repeated waits for its first byte.
	firstByteShare = 2
)

// Deps are what the gateway works with.
type Deps struct {
	Dispatcher *Dispatcher
	Client     *target.Client
	Claims     celerylanding.ClaimStore
	Isolation  celerylanding.Isolation
	// Tasks owns the work that outlives a request.
	Tasks    *tasks.Group
	Recorder celerylanding.Recorder
	Metrics  tally.Scope
	// OnTargetRefused is told of a target that refuses new work.
	OnTargetRefused func(endpoint celerylanding.Endpoint)
	// Node names this process in claims.
	Node string
	// FirstByteTimeout bounds the wait for a target's first byte where the deadline does not.
	FirstByteTimeout time.Duration
	// InterTokenTimeout bounds the silence within a stream.
	InterTokenTimeout time.Duration
}

// Gateway is the HTTP interface for callers.
type Gateway struct {
	deps Deps
	mux  *http.ServeMux
	open atomic.Int64
}

// New returns a gateway over the dependencies.
func New(deps Deps) *Gateway {
	gateway := &Gateway{deps: deps, mux: http.NewServeMux()}
	gateway.mux.HandleFunc("POST /v1/chat/completions", gateway.complete)
	gateway.mux.HandleFunc("POST /v1/completions", gateway.complete)
	gateway.mux.HandleFunc("GET /v1/models", gateway.listModels)
	gateway.mux.HandleFunc("/services/{service}/{path...}", gateway.callService)
	return gateway
}

// ServeHTTP serves one caller's request.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	gateway.open.Add(1)
	defer gateway.open.Add(-1)
	gateway.mux.ServeHTTP(writer, request)
}

// InFlight returns the number of requests that have not been answered yet.
func (gateway *Gateway) InFlight() int64 { return gateway.open.Load() }

// call is one caller's request on its way through the gateway; it has exactly one terminal event.
type call struct {
	id       string
	model    celerylanding.ModelID
	subject  string
	started  time.Time
	deadline time.Time
	priority celerylanding.Priority
	body     []byte
	target   celerylanding.TargetID
	attempts int
	// runs counts the attempts that may have run.
	runs int
	// begun is set once a part of an answer has been sent to the caller.
	begun bool
}

func newRequestID() string {
	var raw [12]byte
	// rand.Read never fails.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// newCall reads what all requests have in common.
func newCall(writer http.ResponseWriter, request *http.Request) (*call, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, badRequest("body exceeds %d bytes", maxBody)
		}
		return nil, badRequest("body can't be read: %v", err)
	}
	return &call{id: newRequestID(), started: time.Now(), body: body}, nil
}

func badRequest(format string, args ...any) error {
	return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonBadRequest, format, args...)
}

// setDeadline takes the caller's timeout or the default one.
func (call *call) setDeadline(request *http.Request, fallback time.Duration) error {
	timeout := fallback
	if text := request.Header.Get(HeaderTimeout); text != "" {
		parsed, err := parseTimeout(text)
		if err != nil || parsed <= 0 || parsed > maxTimeout {
			return badRequest("%s: %q must be a duration such as 20s, up to %v", HeaderTimeout, text, maxTimeout)
		}
		timeout = parsed
	}
	call.deadline = call.started.Add(timeout)
	return nil
}

// lastMoment is when a refusal must leave to arrive before the deadline.
func (call *call) lastMoment() time.Time {
	return call.deadline.Add(-min(refusalMargin, call.deadline.Sub(call.started)/refusalShare))
}

// parseTimeout reads a duration; a bare number counts as seconds.
func parseTimeout(text string) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return time.Duration(seconds * float64(time.Second)), nil
	}
	return time.ParseDuration(text)
}

func (call *call) setPriority(request *http.Request, fallback celerylanding.Priority) error {
	call.priority = fallback
	text := request.Header.Get(HeaderPriority)
	if text == "" {
		return nil
	}
	priority, ok := celerylanding.ParsePriority(text)
	if !ok {
		return badRequest("%s: %q must be interactive, normal or batch", HeaderPriority, text)
	}
	call.priority = priority
	return nil
}

// end records the terminal event of a call.
func (gateway *Gateway) end(call *call, err error) {
	now := time.Now()
	outcome := "answered"
	if err != nil {
		outcome = string(celerylanding.ReasonOf(err)) + " " + celerylanding.VerdictOf(err).String()
	}
	gateway.deps.Recorder.Record(now, celerylanding.Event{Kind: "request_end", Request: call.id, Model: call.model,
		Target: call.target, Detail: outcome})
	scope := gateway.deps.Metrics
	if err != nil {
		scope = scope.Tagged(map[string]string{"reason": string(celerylanding.ReasonOf(err))})
		scope.Counter("requests_failed").Inc(1)
		return
	}
	scope.Counter("requests_answered").Inc(1)
	scope.Timer("request_time").Record(now.Sub(call.started))
}

// firstByte bounds the wait for the head of an answer. A stream begins early, so half of the time is enough to find that its
// connection has gone silent, and the other half is left for another try.
func (gateway *Gateway) firstByte(call *call, stream bool) time.Duration {
	limit := call.remaining()
	if stream {
		limit /= firstByteShare
	}
	return min(gateway.deps.FirstByteTimeout, limit)
}
