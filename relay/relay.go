package relay

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

// Leader puts questions to the node that leads.
type Leader interface {
	// Wake asks for a unit to be loaded.
	Wake(ctx context.Context, args feed.WakeArgs) (feed.WakeReply, error)
}

// Options describe a router.
type Options struct {
	Node    celerylanding.NodeID
	Domain  celerylanding.FailureDomain
	Dialect celerylanding.Dialect
	Pool    *upstream.Pool
	Leader  Leader
	Budget  dispatch.BudgetSettings
	// Started is when this process began, by Clock.
	Started time.Time
	// Clock returns the present time of a clock that counts suspended time.
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Relay answers callers' requests.
type Relay struct {
	options  Options
	state    *state
	picker   *dispatch.Picker
	budget   *dispatch.Budget
	waker    *waker
	usage    *usage
	crashes  *crashes
	open     atomic.Int64
	draining atomic.Bool
	// closing is set when requests that wait for a wake are better off at another router.
	closing atomic.Bool
	// ending is done when the requests that are left must be answered now.
	ending context.Context
	end    context.CancelFunc
}

// New returns a relay that knows no targets.
func New(options Options) *Relay {
	ending, end := context.WithCancel(context.Background())
	return &Relay{
		ending:  ending,
		end:     end,
		options: options,
		state:   newState(),
		picker:  dispatch.NewPicker(options.Domain),
		budget:  dispatch.NewBudget(options.Budget),
		waker:   newWaker(options.Node, options.Leader),
		usage:   newUsage(),
		crashes: newCrashes(),
	}
}

// Update puts a new table in force.
func (relay *Relay) Update(table *dispatch.Table) { relay.state.set(table) }

// RecordLeaderContact notes that the leader has answered, also when nothing has changed.
func (relay *Relay) RecordLeaderContact(now time.Time) { relay.state.touch(now) }

// HasRoutes reports whether a configuration is known.
func (relay *Relay) HasRoutes() bool { return relay.state.table().Routes() != nil }

// Usage returns what was asked for since the last call.
func (relay *Relay) Usage() []feed.Usage { return relay.usage.take() }

// Crashes returns the targets that have died while they ran a request, since the last call.
func (relay *Relay) Crashes() []feed.Crash { return relay.crashes.take() }

// Outcomes returns what became of requests to the targets that have failed some lately, since the last call.
func (relay *Relay) Outcomes(now time.Time) []feed.Outcome { return relay.picker.Outcomes(now) }

// Quarantine refuses the requests with these fingerprints from now on.
func (relay *Relay) Quarantine(now time.Time, fingerprints []uint64) {
	relay.crashes.refuse(now, fingerprints)
}

// InFlight returns the number of requests that are being answered.
func (relay *Relay) InFlight() int { return int(relay.open.Load()) }

// Drain makes callers take their next request elsewhere.
func (relay *Relay) Drain() { relay.draining.Store(true) }

// RefuseWaiting refuses the requests that wait for a wake, and those that come to wait.
func (relay *Relay) RefuseWaiting() { relay.closing.Store(true) }

// CancelRequests answers all requests that are left with what is known of them.
func (relay *Relay) CancelRequests() { relay.end() }

// ServeHTTP answers one request.
func (relay *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	relay.open.Add(1)
	defer relay.open.Add(-1)
	if relay.draining.Load() {
		// Callers that keep connections open move to another node before this one stops.
		writer.Header().Set("Connection", "close")
	}
	arrived := relay.options.Clock()
	call, refusal := relay.admit(arrived, writer, request)
	if refusal != nil {
		relay.refuse(writer, request, call, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), call.deadline.Sub(relay.options.Clock()))
	defer cancel()
	defer context.AfterFunc(relay.ending, cancel)()
	// Names that no configuration knows are not counted, since there is no end of them.
	if relay.state.table().Routes().HasModel(call.unit.Model) {
		defer relay.usage.begin(call.unit, call.route.LatencyObjective)()
	}
	refusal = relay.serve(ctx, writer, call)
	if refusal != nil {
		relay.refuse(writer, request, call, refusal)
		return
	}
	relay.log(call, nil)
	if call.isCut {
		// The caller has a part of the answer, which must not look whole.
		panic(http.ErrAbortHandler)
	}
}
