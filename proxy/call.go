package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/delivery"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/promptcache"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultMaxBodyBytes is the limit for a request body where the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// defaultBodyTimeout bounds the time in which a body must arrive while the route is not known.
	defaultBodyTimeout = 10 * time.Second
	// maxDiscardTime is the time after which the connection of a refused request whose body has not arrived is closed.
	maxDiscardTime = 250 * time.Millisecond
	// startingRetryDelay is the Retry-After delay of a node that has no configuration yet.
	startingRetryDelay = 500 * time.Millisecond
	// maxUnknownRouteAge is the age of the routes up to which an unknown route is reported as not found.
	maxUnknownRouteAge = time.Second
	// startupWindow is the time after the start of this process in which requests wait for the first configuration, in case all nodes are
	// starting: an election takes up to 1.2 s, and processes start within half a second of each other.
	startupWindow = 2 * time.Second
	// startupWaitShare is the fraction of its caller's timeout for which a request waits for the first configuration, so that the caller
	// still has time to retry at another node.
	startupWaitShare = 1.0 / 3
)

// call is one request of a caller and the state of its attempts.
type call struct {
	metadata celerylanding.CallMetadata
	route    *routing.Route
	service  celerylanding.ServiceID
	unit     feed.Unit
	// prompt is the beginning of the prompt that other requests may share.
	prompt     promptcache.Prompt
	method     string
	requestURI string
	host       string
	header     http.Header
	body       []byte
	isBodyRead bool
	arrived    time.Time
	deadline   time.Time

	// version is the version of the configuration that contains the route, and viewAge the time between the leader's last answer and the
	// choice of the route.
	version uint64
	viewAge time.Duration

	// received is when the whole request had arrived, and key the digest of the caller's key if hasKey is set.
	received time.Time
	key      celerylanding.KeyDigest
	hasKey   bool
	// workspace is nil for a caller that needs no key and has proved none. hidesKey is set once a configuration has workspaces: from then on
	// the caller's key and the workspace that it names are not forwarded.
	workspace *routing.Workspace
	hidesKey  bool
	// charge is the part of the workspace's quota that the request has got; nil once it was sent to a target.
	charge *throttle.Charge

	// hashes are the fingerprints, once they are computed.
	hashes []uint64

	// The progress of the request, for retry decisions and the log line.
	verdict celerylanding.Verdict
	// sends counts the requests that were sent to targets; attempts that could not connect are not counted.
	sends    int
	excluded []celerylanding.TargetID
	// wasRejected is set when a brittle target has turned the request away.
	wasRejected bool
	// refusals are the endpoints that answered, since the last wake request, that the unit is not loaded there or that the address belongs
	// to another target.
	refusals   []celerylanding.Endpoint
	lastTarget celerylanding.TargetID
	// via is the address of the router through which the last answer came, or "".
	via string
	// target is the target of the current attempt, outlook what it was chosen for, and sentAt when the attempt began.
	target  *feed.Target
	outlook forecast.Outlook
	sentAt  time.Time
	// streamedAt is when the current attempt's first event arrived, and longestPause the longest time between two of its events.
	streamedAt   time.Time
	longestPause time.Duration
	// isUnread is set while the current attempt's prompt counts as unread by its target.
	isUnread bool
	// promptSent is what the target was believed to keep of the prompt, and isPromptRead is set once its answer has begun.
	promptSent   promptcache.Sent
	isPromptRead bool
	// head is the head of the current attempt's answer.
	head   delivery.Answer
	waited time.Duration
	// unansweredWakes counts the wake requests that the leader did not answer.
	unansweredWakes int
	// unansweredSince is when the first of them ended, since the last one that the leader did answer.
	unansweredSince time.Time
	firstByte       time.Duration
	cause           string
	// caller is the connection of the caller, and hasChunks is set if its protocol has chunked bodies.
	caller    *callerConn
	hasChunks bool
	// delivery is what the caller has received of the answer, and lastEventAt when an event was last sent.
	delivery    *delivery.Delivery
	lastEventAt time.Time
	// origin is the software that sent the first event of the stream, in this call or in the one that it resumes; "" while it is not known.
	// isMixed is set when another one has sent events too.
	origin   celerylanding.SoftwareVersion
	hasEvent bool
	isMixed  bool
	// wait is the request's wait for its unit to be loaded, or nil.
	wait *unitWait
	// throttledUntil is when the request is next tried on targets whose limits have kept it back; zero if none has.
	throttledUntil time.Time
	// isAnswered is set when a target has answered the request completely.
	isAnswered bool
	// isTruncated is set when the target's answer ended early after a part of it was sent to the caller.
	isTruncated bool
}

// refusal is the error response to a request that no target answered.
type refusal struct {
	status  int
	verdict celerylanding.Verdict
	reason  celerylanding.Reason
	// retryAfter is the Retry-After delay; zero omits the header.
	retryAfter time.Duration
	// spread is what chance may add to the delay, so that callers that are refused together don't return together.
	spread time.Duration
	cause  string
}

// withChance returns the refusal with the delay for a random number in [0, 1).
func (refusal *refusal) withChance(chance float64) *refusal {
	drawn := *refusal
	drawn.retryAfter += time.Duration(chance * float64(drawn.spread))
	return &drawn
}

func unavailable(reason celerylanding.Reason, retryAfter time.Duration, cause string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, verdict: celerylanding.NotRun, reason: reason, retryAfter: retryAfter, cause: cause}
}

// admit reads a request and finds its route.
func (handler *Handler) admit(now time.Time, writer http.ResponseWriter, request *http.Request) (*call, *refusal) {
	call := &call{method: request.Method, requestURI: request.RequestURI, host: request.Host, header: request.Header, arrived: now,
		verdict: celerylanding.NotRun, delivery: delivery.New(""),
		caller: newCallerConn(request.Context()), hasChunks: request.ProtoAtLeast(1, 1)}
	metadata, err := handler.options.HeaderCodec.ParseCall(request.Header)
	call.setMetadata(metadata)
	if err != nil {
		return call, &refusal{status: http.StatusBadRequest, verdict: celerylanding.NotRun, reason: celerylanding.ReasonBadRequest,
			cause: celerylanding.MessageOf(err)}
	}
	table := handler.state.table()
	if table.Routes() == nil {
		if refusal := call.readBody(writer, request, 0); refusal != nil {
			return call, refusal
		}
		if table = handler.awaitRoutes(request.Context(), call); table.Routes() == nil {
			return call, noConfiguration()
		}
		now = handler.options.Clock()
		call.waited = now.Sub(call.arrived)
	}
	route, unmatched := handler.findRoute(now, table, request.Host, request.URL.EscapedPath())
	if unmatched != nil {
		return call, unmatched
	}
	if limit := table.Routes().Limits().HeaderBytes; limit > 0 && headerSize(request) > limit {
		return call, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, verdict: celerylanding.NotRun,
			reason: celerylanding.ReasonBadRequest, cause: "header exceeds the limit"}
	}
	call.route = route
	if route.Resumable {
		call.delivery = delivery.New(metadata.ResumeAfter)
	}
	call.version, call.viewAge = table.Routes().Version(), handler.state.sinceContact(now)
	if refusal := handler.receive(now, writer, request, call, table.Routes().Limits().BodyBytes); refusal != nil {
		return call, refusal
	}
	call.setTerms(table.Routes())
	return call, nil
}

// setTerms sets the deadline of a request whose route is known, and what it needs.
func (call *call) setTerms(routes *routing.Table) {
	timeout := call.route.Timeout
	if call.metadata.MaxWait > 0 {
		timeout = min(timeout, call.metadata.MaxWait)
	}
	call.deadline = call.arrived.Add(timeout)
	call.service = call.route.ChooseService(float64(xxhash.Sum64String(call.metadata.ID)>>11) / (1 << 53))
	if service, ok := routes.Service(call.service); ok && service.Engine != nil {
		call.unit = loadplan.ParseUnit(call.metadata.Model)
		call.prompt = promptcache.NewPrompt(call.unit, "", call.metadata.PromptParts)
	}
}

func noConfiguration() *refusal {
	return unavailable(celerylanding.ReasonNoQuorum, startingRetryDelay, "no configuration is known yet")
}

// setMetadata takes over what the header says of the request. Of the key it keeps the digest only.
func (call *call) setMetadata(metadata celerylanding.CallMetadata) {
	call.metadata = metadata
	if metadata.Key != "" {
		call.key, call.hasKey = metadata.Key.Digest(), true
		call.metadata.Key = ""
	}
}

// receive reads the body of a request whose route is known, and refuses the request if it may not run.
func (handler *Handler) receive(now time.Time, writer http.ResponseWriter, request *http.Request, call *call, limit int64) *refusal {
	if !call.isBodyRead && request.ContentLength != 0 {
		call.received = now
		if refusal := handler.checkHeader(request.Context(), call); refusal != nil {
			limitDiscard(writer)
			return refusal
		}
	}
	if refusal := call.readBody(writer, request, limit); refusal != nil {
		return refusal
	}
	call.received = handler.options.Clock()
	return handler.checkReceived(request.Context(), call)
}

// checkReceived refuses a request that has arrived but may not run.
func (handler *Handler) checkReceived(ctx context.Context, call *call) *refusal {
	if refusal := handler.checkAccess(ctx, call); refusal != nil {
		return refusal
	}
	return handler.refuseQuarantined(call)
}

// refuseQuarantined refuses a request that has crashed its targets.
func (handler *Handler) refuseQuarantined(call *call) *refusal {
	if cause := handler.crashes.quarantineCause(call); cause != "" {
		return unavailableOrFailed(call, celerylanding.ReasonQuarantined, 0, cause)
	}
	return nil
}

// findRoute returns the route of a request for an escaped path.
func (handler *Handler) findRoute(now time.Time, table *dispatch.Table, host, path string) (*routing.Route, *refusal) {
	route, ok := table.Routes().Match(host, path)
	switch {
	case ok:
		return route, nil
	case handler.state.sinceContact(now) > maxUnknownRouteAge:
		// A newer configuration that this router does not have may contain the route.
		return nil, unavailable(celerylanding.ReasonNoQuorum, startingRetryDelay, "no route matches in a configuration that may be out of date")
	}
	return nil, &refusal{status: http.StatusNotFound, verdict: celerylanding.NotRun, reason: celerylanding.ReasonUnknownService,
		cause: "no route matches"}
}

// headerLineOverhead is the number of bytes of a header line other than its name and value.
const headerLineOverhead = len(": \r\n")

// headerSize returns the size of the request line and the header in bytes, computed from the parsed request.
func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + headerLineOverhead
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineOverhead
		}
	}
	return size
}

// awaitRoutes waits for the first configuration within the startup window, and returns the table at the end of the wait.
func (handler *Handler) awaitRoutes(ctx context.Context, call *call) *dispatch.Table {
	ctx, cancel := context.WithTimeout(ctx, handler.routesWaitEnd(call).Sub(call.arrived))
	defer cancel()
	defer context.AfterFunc(handler.requestsCtx, cancel)()
	for {
		table, changed := handler.state.watch()
		if table.Routes() != nil {
			return table
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return handler.state.table()
		}
	}
}

// routesWaitEnd returns until when a request waits for the first configuration.
func (handler *Handler) routesWaitEnd(call *call) time.Time {
	until := handler.options.Started.Add(startupWindow)
	if waitEnd := call.arrived.Add(time.Duration(startupWaitShare * float64(call.metadata.MaxWait))); call.metadata.MaxWait > 0 && waitEnd.Before(until) {
		until = waitEnd
	}
	return until
}

// readBody buffers the whole body, so that a disconnect of the caller is detected and a retry can send the same bytes. A body that was read
// before the configuration was known is checked against its limit afterwards.
func (call *call) readBody(writer http.ResponseWriter, request *http.Request, limit int64) *refusal {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if call.isBodyRead {
		if int64(len(call.body)) > limit {
			return bodyTooLarge()
		}
		return nil
	}
	call.isBodyRead = true
	if request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(writer)
	// Connections whose reads have no deadline keep the limits of the server.
	_ = controller.SetReadDeadline(time.Now().Add(call.bodyTimeout()))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	call.body = body
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refusal{status: http.StatusRequestTimeout, verdict: celerylanding.NotRun, reason: celerylanding.ReasonDeadline,
			cause: "the body did not arrive in time"}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return &refusal{status: http.StatusBadRequest, verdict: celerylanding.NotRun, reason: celerylanding.ReasonBadRequest,
		cause: "body broke off: " + err.Error()}
}

// limitDiscard bounds the time in which the server reads and drops the body of a refused request so that its connection can be used again.
func limitDiscard(writer http.ResponseWriter) {
	// Connections whose reads have no deadline keep the limits of the server.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(maxDiscardTime))
}

// bodyTimeout returns the time in which the body must arrive: that in which the request must be answered.
func (call *call) bodyTimeout() time.Duration {
	timeout := defaultBodyTimeout
	if call.route != nil {
		timeout = call.route.Timeout
	}
	if call.metadata.MaxWait > 0 {
		timeout = min(timeout, call.metadata.MaxWait)
	}
	return timeout
}

func bodyTooLarge() *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, verdict: celerylanding.NotRun,
		reason: celerylanding.ReasonBadRequest, cause: "body exceeds the limit"}
}

// requirements returns the requirements of the request on a target.
func (call *call) requirements() dispatch.Requirements {
	needs := dispatch.Requirements{Service: call.service, Unit: call.unit, PromptTokens: call.metadata.PromptTokens,
		OutputTokens: call.metadata.ExpectedOutput, Prompt: &call.prompt, Excluded: call.excluded, Software: call.origin,
		WasRejected: call.wasRejected, MaxEventGap: call.route.MaxEventGap}
	if needs.OutputTokens == 0 {
		needs.OutputTokens = call.metadata.OutputTokens
	}
	if parts := call.metadata.PromptParts; len(parts) > 0 {
		needs.PromptKey, needs.SharedTokens = call.unit.String()+"/"+parts[0].ID, parts[0].Tokens
	}
	return needs
}

// requirementsAt returns the requirements of an attempt that begins now.
func (call *call) requirementsAt(now time.Time) dispatch.Requirements {
	needs := call.requirements()
	needs.AvoidsLimits, needs.Slack = now.Before(call.throttledUntil), call.slack(now)
	return needs
}

// exclude keeps the target out of later attempts, until waitForUnit clears the list.
func (call *call) exclude(target *feed.Target) {
	call.excluded = append(call.excluded, target.ID)
}
