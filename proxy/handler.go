package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/resume"
	"celerylanding.example/celerylanding/upstream"
)

// Leader sends requests to the leader.
type Leader interface {
	// Wake asks for a unit to be loaded; an error means that the leader did not answer.
	Wake(ctx context.Context, args feed.WakeArgs) (feed.WakeReply, error)
	// Origin asks which software version began a stream; an error means that the leader did not answer.
	Origin(ctx context.Context, args feed.OriginArgs) (feed.OriginReply, error)
	// Trial asks whether a copy of a suspicious request may run, or reports how it ended; an error means that the leader did not answer.
	Trial(ctx context.Context, args feed.TrialArgs) (feed.TrialReply, error)
	// Quota asks for parts of the quotas of workspaces; an error means that the leader did not answer.
	Quota(ctx context.Context, args feed.QuotaArgs) (feed.QuotaReply, error)
}

// Options configure a handler.
type Options struct {
	Node        celerylanding.NodeID
	Domain      celerylanding.FailureDomain
	HeaderCodec celerylanding.HeaderCodec
	Pool        *upstream.Pool
	Leader      Leader
	Budget      dispatch.RetryBudgetSettings
	// KeyBounds apply where the configuration has workspaces.
	KeyBounds access.Bounds
	// Started is the start time of this process, by Clock.
	Started time.Time
	// Clock returns the current time; its clock also advances while the machine is suspended.
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Handler is the HTTP handler that forwards callers' requests to targets.
type Handler struct {
	options Options
	state   *tableState
	picker  *dispatch.Picker
	budget  *dispatch.RetryBudget
	waker   *waker
	usage   *usageCounter
	crashes *crashTracker
	trials  *trialGate
	journal *resume.Journal
	// quotas are this router's parts of the quotas of workspaces.
	quotas *quotas
	// probes are the connection attempts that find out whether a target has crashed, and the reports of ended trials.
	probes   *tasks.Group
	inFlight atomic.Int64
	draining atomic.Bool
	// invalidLoggedAt is the second in which malformed fields of an answer were last logged.
	invalidLoggedAt atomic.Int64
	// refusesWaiting is set when requests that wait for a unit to load are refused, so that callers retry at another router.
	refusesWaiting atomic.Bool
	// requestsCtx is cancelled to end all requests in flight.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
}

// New returns a handler without a configuration or targets.
func New(options Options) *Handler {
	requestsCtx, cancel := context.WithCancel(context.Background())
	return &Handler{
		requestsCtx:    requestsCtx,
		cancelRequests: cancel,
		options:        options,
		state:          newTableState(),
		picker:         dispatch.NewPicker(options.Node, options.Domain),
		budget:         dispatch.NewRetryBudget(options.Budget),
		waker:          newWaker(options.Node, options.Leader, options.Clock),
		usage:          newUsageCounter(),
		crashes:        newCrashTracker(),
		trials:         newTrialGate(),
		journal:        resume.NewJournal(),
		quotas:         newQuotas(options.Node, options.Started),
		probes:         tasks.New(requestsCtx),
	}
}

// Update replaces the table of routes and targets.
func (handler *Handler) Update(table *dispatch.Table) {
	handler.picker.Update(table)
	handler.picker.PromptCache().Update(handler.options.Clock(), table.AllTargets())
	handler.state.set(table)
}

// RecordNewest extends the proof of freshness, and with it the age of the view, by a word on the newest configuration, unless a newer one than the one in
// force may have been acknowledged.
func (handler *Handler) RecordNewest(word access.Word) { handler.state.extendProof(word) }

// RecordWatchRequest records that the process asks for word on the newest configuration, so that requests wait for it only while it is expected.
func (handler *Handler) RecordWatchRequest(now time.Time) { handler.state.recordRequest(now) }

// ReportProofAge updates the metric of the proof's age, unless nothing has been proven yet.
func (handler *Handler) ReportProofAge(now time.Time) {
	if age, ok := handler.state.freshness().proof.Age(now); ok {
		handler.options.Metrics.Gauge("key_proof_age_seconds").Update(age.Seconds())
	}
}

// ViewAge returns the age of the leader's state that this router acts on, and false if it has none yet.
func (handler *Handler) ViewAge(now time.Time) (time.Duration, bool) { return handler.state.age(now) }

// HandleNewLeader makes the requests that wait for a unit ask the new leader at once.
func (handler *Handler) HandleNewLeader() { handler.waker.forgetReplies() }

// HasRoutes reports whether a configuration is known.
func (handler *Handler) HasRoutes() bool { return handler.state.table().Routes() != nil }

// Usage returns the number of requests per unit, with the arrivals since the last call.
func (handler *Handler) Usage() []feed.Usage { return handler.usage.collect() }

// Crashes returns the crashes of targets during requests that were detected since the last call, and the suspects that targets have answered.
func (handler *Handler) Crashes(now time.Time) (crashes []feed.Crash, answered []uint64) {
	return handler.crashes.collect(now)
}

// suspectCrash records an interrupted exchange as a possible crash.
func (handler *Handler) suspectCrash(now time.Time, call *call, endpoint celerylanding.Endpoint) {
	handler.crashes.suspect(now, call, endpoint)
	handler.crashes.recordBreak(now, endpoint)
	delay, isNeeded := handler.crashes.beginProbe(now, endpoint.Address)
	if !isNeeded {
		return
	}
	// Without a probe, only the next request to the target would show that it has crashed; on a large site that takes seconds.
	handler.probes.Go(func(ctx context.Context) {
		for isDue := true; isDue; delay = probeInterval {
			isDue = handler.probe(ctx, endpoint, delay)
		}
	})
}

// probe connects to a target after a delay to find out whether it has crashed, and reports whether the target must be probed again.
func (handler *Handler) probe(ctx context.Context, endpoint celerylanding.Endpoint, delay time.Duration) (isDue bool) {
	isRefused := false
	if sleep(ctx, delay) {
		handler.crashes.beginConnection(endpoint.Address)
		dialCtx, cancel := context.WithTimeout(ctx, crashWindow)
		isRefused = handler.options.Pool.RefusesConnections(dialCtx, handler.options.Clock(), endpoint.Address)
		cancel()
	}
	now := handler.options.Clock()
	isDue = handler.crashes.endConnection(now, endpoint.Address, isRefused)
	if isRefused {
		handler.confirmCrash(now, endpoint)
	}
	return isDue && ctx.Err() == nil
}

// sleep waits for a time; it returns false if the context ends first.
func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// confirmCrash records that the target refused a connection, and logs how many interrupted exchanges this explains.
func (handler *Handler) confirmCrash(now time.Time, endpoint celerylanding.Endpoint) {
	result := handler.crashes.confirm(now, endpoint)
	handler.options.Metrics.Counter("crash_suspects_confirmed").Inc(int64(result.crashed))
	handler.options.Metrics.Counter("crash_suspects_expired").Inc(int64(result.expired))
	if result.crashed > 0 {
		handler.options.Log.Warn().Str("target", string(endpoint.Target)).Int("requests", result.crashed).Int("copies", result.copies).
			Uint64("fingerprint", result.mostCopied).
			Msg("target refuses connections after it broke off requests; counted as a crash")
	}
}

// Outcomes returns the counts of answered and failed requests since the last call, for the targets with recent failures.
func (handler *Handler) Outcomes(now time.Time) []feed.Outcome { return handler.picker.Outcomes(now) }

// SetQuarantine replaces the fingerprints of the requests to refuse, and those of the requests whose answers are to be reported.
func (handler *Handler) SetQuarantine(quarantined, suspects []uint64) {
	handler.crashes.setQuarantine(quarantined, suspects)
}

// Origins returns the streams that can be resumed and that the leader does not know.
func (handler *Handler) Origins(now time.Time) []feed.Origin { return handler.journal.Report(now) }

// AcknowledgeOrigins records that a leader has answered the last report.
func (handler *Handler) AcknowledgeOrigins(isNewLeader bool) {
	handler.journal.Acknowledge(isNewLeader)
}

// SetTrials records the fingerprints of the requests whose copies run one at a time.
func (handler *Handler) SetTrials(now time.Time, fingerprints []uint64) {
	handler.trials.update(now, fingerprints)
}

// LimitReports returns what targets say of the requests that they take, and the demand for those with a limit since the last call.
func (handler *Handler) LimitReports(now time.Time) []feed.LimitReport {
	return handler.picker.LimitReports(now)
}

// LoadReports returns what this router has learned of the targets' load since the last call.
func (handler *Handler) LoadReports(now time.Time) []feed.TargetReport {
	return handler.picker.LoadReports(now)
}

// ApplyLoadReports records what all routers know of the targets' load.
func (handler *Handler) ApplyLoadReports(now time.Time, reports []feed.TargetReport) {
	handler.picker.ApplyLoadReports(now, handler.state.table(), reports)
}

// SetLimits records the leader's list of the targets that announce a limit on requests, as of a time.
func (handler *Handler) SetLimits(at time.Time, limits []feed.TargetLimit) {
	handler.picker.SetLimits(at, limits)
}

// InFlight returns the number of requests in flight.
func (handler *Handler) InFlight() int { return int(handler.inFlight.Load()) }

// Drain asks callers to close their connections, so that they send their next request to another node.
func (handler *Handler) Drain() { handler.draining.Store(true) }

// RefuseWaiting refuses all requests that wait for a unit to load, including those that arrive later, but for streams that have begun.
func (handler *Handler) RefuseWaiting() { handler.refusesWaiting.Store(true) }

// CancelRequests cancels all requests in flight. A request whose answer has not begun gets an error status that depends on its verdict.
func (handler *Handler) CancelRequests() { handler.cancelRequests() }

// Close ends the handler's background work and waits for its end; requests are not affected.
func (handler *Handler) Close() { <-handler.probes.Close() }

// ServeHTTP forwards one request and writes the answer or a refusal.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	if handler.draining.Load() {
		// Callers that keep connections open move to another node before this one stops.
		writer.Header().Set("Connection", "close")
	}
	arrived := handler.options.Clock()
	call, refusal := handler.admit(arrived, writer, request)
	if refusal != nil {
		handler.writeRefusal(writer, request, call, refusal)
		return
	}
	remaining := call.deadline.Sub(handler.options.Clock())
	ctx, cancel := context.WithTimeout(request.Context(), remaining)
	defer cancel()
	limitWrites(writer, remaining)
	defer context.AfterFunc(handler.requestsCtx, cancel)()
	// Unknown model names are not counted, since their number is unbounded.
	if handler.state.table().Routes().HasModel(call.unit.Model) {
		defer handler.usage.begin(call.unit, call.route.LatencyObjective)()
	}
	defer handler.returnCharge(call)
	if refusal = handler.charge(ctx, call); refusal == nil {
		refusal = handler.serve(ctx, writer, call)
	}
	if refusal != nil {
		liftWriteLimit(writer)
		handler.writeRefusal(writer, request, call, refusal)
		return
	}
	if !call.isTruncated {
		if err := call.caller.endBody(); err != nil {
			call.isTruncated, call.cause = true, err.Error()
		}
	}
	handler.logRequest(call, nil)
	if call.isTruncated {
		// Aborts the connection, so that the partial answer does not look complete to the caller.
		panic(http.ErrAbortHandler)
	}
	liftWriteLimit(writer)
}
