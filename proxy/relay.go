package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/upstream"
)

// Leader sends requests to the leader.
type Leader interface {
	// Wake asks for a unit to be loaded; an error means that the leader did not answer.
	Wake(ctx context.Context, args feed.WakeArgs) (feed.WakeReply, error)
}

// Options configure a relay.
type Options struct {
	Node        celerylanding.NodeID
	Domain      celerylanding.FailureDomain
	HeaderCodec celerylanding.HeaderCodec
	Pool        *upstream.Pool
	Leader      Leader
	Budget      dispatch.RetryBudgetSettings
	// Started is the start time of this process, by Clock.
	Started time.Time
	// Clock returns the current time; its clock also advances while the machine is suspended.
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Relay is the HTTP handler that forwards callers' requests to targets.
type Relay struct {
	options  Options
	state    *tableState
	picker   *dispatch.Picker
	budget   *dispatch.RetryBudget
	waker    *waker
	usage    *usageCounter
	crashes  *crashTracker
	inFlight atomic.Int64
	draining atomic.Bool
	// refusesWaiting is set when requests that wait for a unit to load are refused, so that callers retry at another router.
	refusesWaiting atomic.Bool
	// requestsCtx is cancelled to end all requests in flight.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
}

// New returns a relay without a configuration or targets.
func New(options Options) *Relay {
	requestsCtx, cancel := context.WithCancel(context.Background())
	return &Relay{
		requestsCtx:    requestsCtx,
		cancelRequests: cancel,
		options:        options,
		state:          newTableState(),
		picker:         dispatch.NewPicker(options.Domain),
		budget:         dispatch.NewRetryBudget(options.Budget),
		waker:          newWaker(options.Node, options.Leader),
		usage:          newUsageCounter(),
		crashes:        newCrashTracker(),
	}
}

// Update replaces the table of routes and targets.
func (relay *Relay) Update(table *dispatch.Table) { relay.state.set(table) }

// RecordLeaderContact records that the leader has answered, also when nothing has changed.
func (relay *Relay) RecordLeaderContact(now time.Time) { relay.state.recordContact(now) }

// HasRoutes reports whether a configuration is known.
func (relay *Relay) HasRoutes() bool { return relay.state.table().Routes() != nil }

// Usage returns the number of requests per unit, with the arrivals since the last call.
func (relay *Relay) Usage() []feed.Usage { return relay.usage.collect() }

// Crashes returns the crashes of targets during requests that were detected since the last call.
func (relay *Relay) Crashes() []feed.Crash { return relay.crashes.collect() }

// Outcomes returns the counts of answered and failed requests since the last call, for the targets with recent failures.
func (relay *Relay) Outcomes(now time.Time) []feed.Outcome { return relay.picker.Outcomes(now) }

// Quarantine refuses requests with these fingerprints for the quarantine time.
func (relay *Relay) Quarantine(now time.Time, fingerprints []uint64) {
	relay.crashes.quarantine(now, fingerprints)
}

// InFlight returns the number of requests in flight.
func (relay *Relay) InFlight() int { return int(relay.inFlight.Load()) }

// Drain asks callers to close their connections, so that they send their next request to another node.
func (relay *Relay) Drain() { relay.draining.Store(true) }

// RefuseWaiting refuses all requests that wait for a unit to load, including those that arrive later.
func (relay *Relay) RefuseWaiting() { relay.refusesWaiting.Store(true) }

// CancelRequests cancels all requests in flight. A request whose answer has not begun gets an error status that depends on its verdict.
func (relay *Relay) CancelRequests() { relay.cancelRequests() }

// ServeHTTP forwards one request and writes the answer or a refusal.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	relay.inFlight.Add(1)
	defer relay.inFlight.Add(-1)
	if relay.draining.Load() {
		// Callers that keep connections open move to another node before this one stops.
		writer.Header().Set("Connection", "close")
	}
	arrived := relay.options.Clock()
	call, refusal := relay.admit(arrived, writer, request)
	if refusal != nil {
		relay.writeRefusal(writer, request, call, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), call.deadline.Sub(relay.options.Clock()))
	defer cancel()
	defer context.AfterFunc(relay.requestsCtx, cancel)()
	// Unknown model names are not counted, since their number is unbounded.
	if relay.state.table().Routes().HasModel(call.unit.Model) {
		defer relay.usage.begin(call.unit, call.route.LatencyObjective)()
	}
	refusal = relay.serve(ctx, writer, call)
	if refusal != nil {
		relay.writeRefusal(writer, request, call, refusal)
		return
	}
	relay.logRequest(call, nil)
	if call.isTruncated {
		// Aborts the connection, so that the partial answer does not look complete to the caller.
		panic(http.ErrAbortHandler)
	}
}
