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

// Headers of the caller interface.
const (
	HeaderTimeout        = "X-Request-Timeout"
	HeaderPriority       = "X-Request-Priority"
	HeaderVerdict        = "X-Celerylanding-Verdict"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxRequestBytes  = 16 << 20
	maxResponseBytes = 64 << 20
	maxTimeout       = 24 * time.Hour
	// firstByteDivisor limits the wait for the first byte of a stream or of an idempotent service call to 1/firstByteDivisor of the
	// remaining time.
	firstByteDivisor = 2
)

// Deps holds the dependencies and settings of a Gateway.
type Deps struct {
	Dispatcher *Dispatcher
	Client     *target.Client
	Claims     celerylanding.ClaimStore
	Isolation  celerylanding.Isolation
	// Tasks runs background work that outlives a request.
	Tasks    *tasks.Group
	Recorder celerylanding.Recorder
	Metrics  tally.Scope
	// LeaderSeen returns when this node last knew a leader.
	LeaderSeen func() time.Time
	// OnTargetRefused is called when a target refuses new work.
	OnTargetRefused func(endpoint celerylanding.Endpoint)
	// Node is the ID of this node; it is part of the owner of idempotency claims.
	Node string
	// FirstByteTimeout limits the wait for the first byte of an engine's response; a request's deadline may end it earlier.
	FirstByteTimeout time.Duration
	// InterTokenTimeout limits the time between two events of a stream.
	InterTokenTimeout time.Duration
}

// Gateway is the HTTP interface for callers.
type Gateway struct {
	deps     Deps
	mux      *http.ServeMux
	inFlight atomic.Int64
}

// New returns a gateway that uses the dependencies.
func New(deps Deps) *Gateway {
	gateway := &Gateway{deps: deps, mux: http.NewServeMux()}
	gateway.mux.HandleFunc("POST /v1/chat/completions", gateway.serveCompletion)
	gateway.mux.HandleFunc("POST /v1/completions", gateway.serveCompletion)
	gateway.mux.HandleFunc("GET /v1/models", gateway.listModels)
	gateway.mux.HandleFunc("/services/{service}/{path...}", gateway.serveService)
	return gateway
}

// ServeHTTP serves one request of a caller and counts it as in flight meanwhile.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	gateway.inFlight.Add(1)
	defer gateway.inFlight.Add(-1)
	gateway.mux.ServeHTTP(writer, request)
}

// InFlight returns the number of requests whose response is not complete.
func (gateway *Gateway) InFlight() int64 { return gateway.inFlight.Load() }

// call is the state of one caller's request; every call records exactly one terminal event.
type call struct {
	id    string
	model celerylanding.ModelID
	// operation is the path and model, or the method and URI; it is part of the request's fingerprint.
	operation string
	started   time.Time
	deadline  time.Time
	priority  celerylanding.Priority
	caller    caller
	body      []byte
	// target is the target of the last attempt.
	target   celerylanding.TargetID
	attempts int
	// runs counts the attempts that may have run on a target.
	runs int
	// responseStarted is set once a part of the response has been sent to the caller.
	responseStarted bool
}

func newRequestID() string {
	var raw [12]byte
	// rand.Read never fails.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// newCall reads the body and assigns the request ID. The deadline and the priority are set later, since their defaults depend on
// the model or service.
func newCall(writer http.ResponseWriter, request *http.Request) (*call, error) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, badRequest("body exceeds %d bytes", maxRequestBytes)
		}
		return nil, badRequest("body can't be read: %v", err)
	}
	return &call{id: newRequestID(), started: time.Now(), body: body}, nil
}

func badRequest(format string, args ...any) error {
	return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonBadRequest, format, args...)
}

// setDeadline sets the deadline from the caller's timeout header, or from fallback without one.
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

// workDeadline returns the end of all waiting and work for the call. It lies before the caller's deadline, so that an error response
// still arrives in time.
func (call *call) workDeadline() time.Time {
	return call.deadline.Add(-min(errorResponseMargin, call.deadline.Sub(call.started)/marginDivisor))
}

// parseTimeout reads a duration; a number without a unit is in seconds.
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

// recordEnd records the terminal event and the metrics of a call.
func (gateway *Gateway) recordEnd(call *call, err error) {
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

// firstByteTimeout limits the wait for the headers of a response. A stream starts early, so half of the remaining time is enough to
// detect a stalled connection and leaves the other half for a retry.
func (gateway *Gateway) firstByteTimeout(call *call, stream bool) time.Duration {
	limit := call.remaining()
	if stream {
		limit /= firstByteDivisor
	}
	return min(gateway.deps.FirstByteTimeout, limit)
}
