package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/waking"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultBody bounds a body in bytes while the configuration sets no limit.
	defaultBody = 4 << 20
	// soon is when a caller should come back to a node that knows no configuration yet.
	soon = 500 * time.Millisecond
	// startTime is how long after its start a node may still be without a configuration because the other nodes start as well; an
	// election takes up to 1.2 s, and processes start within half a second of each other.
	startTime = 2 * time.Second
	// startShare is the part of its patience for which a request waits for a node's first configuration, so that its caller still
	// has time to come back.
	startShare = 1.0 / 3
)

// call is one request on its way.
type call struct {
	said     celerylanding.Call
	route    *routing.Route
	service  celerylanding.ServiceID
	unit     feed.Unit
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	isRead   bool
	arrived  time.Time
	deadline time.Time

	// version is the configuration that the route is from, and viewAge how long ago the leader had answered then.
	version uint64
	viewAge time.Duration

	// What has happened so far, for the decisions that follow and the log.
	verdict  celerylanding.Verdict
	sends    int
	excluded []celerylanding.TargetID
	refusals []celerylanding.Endpoint
	last     celerylanding.TargetID
	status   int
	waited   time.Duration
	// unanswered counts the questions that the leader did not answer.
	unanswered int
	firstByte  time.Duration
	cause      string
	// lastEvent is the last event that the caller has.
	lastEvent string
	// isCut is set when the answer broke off after a part of it was passed on.
	isCut bool
	began bool
}

// refusal ends a request without a target's answer.
type refusal struct {
	status  int
	verdict celerylanding.Verdict
	reason  celerylanding.Reason
	// retry is when the caller should come back; zero says nothing.
	retry time.Duration
	cause string
}

func refuseNotRun(reason celerylanding.Reason, retry time.Duration, cause string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, verdict: celerylanding.NotRun, reason: reason, retry: retry, cause: cause}
}

// admit reads a request and finds its route.
func (relay *Relay) admit(now time.Time, writer http.ResponseWriter, request *http.Request) (*call, *refusal) {
	call := &call{method: request.Method, target: request.RequestURI, host: request.Host, header: request.Header, arrived: now,
		verdict: celerylanding.NotRun}
	said, err := relay.options.Dialect.Call(request.Header)
	call.said = said
	if err != nil {
		return call, &refusal{status: http.StatusBadRequest, verdict: celerylanding.NotRun, reason: celerylanding.ReasonBadRequest,
			cause: celerylanding.MessageOf(err)}
	}
	table := relay.state.table()
	if table.Routes() == nil {
		if refusal := call.read(writer, request, 0); refusal != nil {
			return call, refusal
		}
		if table = relay.awaitRoutes(request.Context(), call); table.Routes() == nil {
			return call, refuseNotRun(celerylanding.ReasonNoQuorum, soon, "no configuration is known yet")
		}
		now = relay.options.Clock()
		call.waited = now.Sub(call.arrived)
	}
	route, ok := table.Routes().Match(request.Host, request.URL.EscapedPath())
	if !ok {
		return call, &refusal{status: http.StatusNotFound, verdict: celerylanding.NotRun, reason: celerylanding.ReasonUnknownService,
			cause: "no route matches"}
	}
	if limit := table.Routes().Limits().HeaderBytes; limit > 0 && headerSize(request) > limit {
		return call, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, verdict: celerylanding.NotRun,
			reason: celerylanding.ReasonBadRequest, cause: "header exceeds the limit"}
	}
	call.route = route
	call.version, call.viewAge = table.Routes().Version(), relay.state.age(now)
	if refusal := call.read(writer, request, table.Routes().Limits().BodyBytes); refusal != nil {
		return call, refusal
	}
	if relay.crashes.isQuarantined(now, call) {
		return call, refuseNotRun(celerylanding.ReasonQuarantined, 0, "the request has crashed the targets that ran it")
	}
	patience := route.Timeout
	if said.Patience > 0 {
		patience = min(patience, said.Patience)
	}
	call.deadline = call.arrived.Add(patience)
	call.service = route.Choose(float64(xxhash.Sum64String(said.ID)>>11) / (1 << 53))
	if service, ok := table.Routes().Service(call.service); ok && service.Engine != nil {
		call.unit = waking.UnitOf(said.Model)
	}
	return call, nil
}

// lineOverhead is the bytes of a header line beside its name and its value.
const lineOverhead = len(": \r\n")

// headerSize returns the bytes of the request line and the header, as far as a parsed request tells.
func headerSize(request *http.Request) int {
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + lineOverhead
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return size
}

// awaitRoutes waits for the first configuration while this node has just started, and returns the table then in force.
func (relay *Relay) awaitRoutes(ctx context.Context, call *call) *dispatch.Table {
	until := relay.options.Started.Add(startTime)
	if patient := call.arrived.Add(time.Duration(startShare * float64(call.said.Patience))); call.said.Patience > 0 && patient.Before(until) {
		until = patient
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(call.arrived))
	defer cancel()
	defer context.AfterFunc(relay.ending, cancel)()
	for {
		table, changed := relay.state.watch()
		if table.Routes() != nil {
			return table
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return relay.state.table()
		}
	}
}

// read takes the whole body, so that the caller's leaving shows and a second try has the same bytes. A body that was read before the
// configuration was known is held to its limit afterwards.
func (call *call) read(writer http.ResponseWriter, request *http.Request, limit int64) *refusal {
	if limit <= 0 {
		limit = defaultBody
	}
	if call.isRead {
		if int64(len(call.body)) > limit {
			return bodyTooLarge()
		}
		return nil
	}
	call.isRead = true
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	call.body = body
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return &refusal{status: http.StatusBadRequest, verdict: celerylanding.NotRun, reason: celerylanding.ReasonBadRequest,
		cause: "body broke off: " + err.Error()}
}

func bodyTooLarge() *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, verdict: celerylanding.NotRun,
		reason: celerylanding.ReasonBadRequest, cause: "body exceeds the limit"}
}

// ask returns what the request needs of a target.
func (call *call) ask() dispatch.Ask {
	ask := dispatch.Ask{Service: call.service, Unit: call.unit, PromptTokens: call.said.PromptTokens, Excluded: call.excluded}
	if len(call.said.Parts) > 0 {
		ask.PromptKey = call.unit.String() + "/" + call.said.Parts[0].ID
	}
	return ask
}

// exclude keeps later tries off a target.
func (call *call) exclude(target *feed.Target) {
	call.excluded = append(call.excluded, target.ID)
}
