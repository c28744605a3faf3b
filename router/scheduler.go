package router

import (
	"math/rand/v2"
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// batchShare is the number of grants to other classes after which a waiting batch request goes first.
	batchShare = 8
	// wantedFor is how long a model counts as wanted after a request was refused because of its load time.
	wantedFor = 5 * time.Second
	// affinitySlack is the number of requests by which the target with the cached prefix may be fuller than another one.
	affinitySlack = 2
)

// Ticket identifies a request within one router.
type Ticket uint64

// Request is what the scheduler needs to know of a request.
type Request struct {
	Model    celerylanding.ModelID
	Group    string
	Priority celerylanding.Priority
	Deadline time.Time
	Bytes    int
	// Prefix is a hash of the beginning of the prompt, or zero.
	Prefix uint64
	// Suspect is set when the request was in flight on a target that crashed.
	Suspect bool
	// Avoid names the target on which the last try failed.
	Avoid celerylanding.TargetID
}

// Scheduler admits requests, queues them and grants targets; it is not safe for concurrent use.
type Scheduler struct {
	domain      celerylanding.FailureDomain
	random      *rand.Rand
	view        *View
	loads       map[celerylanding.Endpoint]*targetLoad
	queues      map[string]*queue
	order       []string
	granted     map[Ticket]grantRow
	next        Ticket
	arrivals    map[celerylanding.ModelID]int
	wantedUntil map[celerylanding.ModelID]time.Time
	inFlight    map[celerylanding.ModelID]int
}

// grantRow is an open grant.
type grantRow struct {
	endpoint celerylanding.Endpoint
	model    celerylanding.ModelID
	suspect  bool
}

// NewScheduler returns a scheduler without targets; random breaks ties between equal targets.
func NewScheduler(domain celerylanding.FailureDomain, random *rand.Rand) *Scheduler {
	return &Scheduler{
		domain:      domain,
		random:      random,
		view:        &View{},
		loads:       make(map[celerylanding.Endpoint]*targetLoad),
		queues:      make(map[string]*queue),
		granted:     make(map[Ticket]grantRow),
		arrivals:    make(map[celerylanding.ModelID]int),
		wantedUntil: make(map[celerylanding.ModelID]time.Time),
		inFlight:    make(map[celerylanding.ModelID]int),
	}
}

// Admit admits a request: it is granted a target at once, or queued when the grant is nil, or refused.
func (scheduler *Scheduler) Admit(now time.Time, request Request) (Ticket, *Grant, error) {
	if request.Model != "" {
		scheduler.arrivals[request.Model]++
	}
	if !now.Before(request.Deadline) {
		return 0, nil, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonDeadline, "deadline has passed")
	}
	scheduler.next++
	ticket := scheduler.next
	waiting := scheduler.queue(request)
	if waiting.count == 0 {
		if grant := scheduler.grant(now, ticket, request); grant != nil {
			return ticket, grant, nil
		}
	}
	if err := scheduler.refusal(now, waiting, request); err != nil {
		return 0, nil, err
	}
	waiting.push(waiter{ticket, request})
	return ticket, nil, nil
}

// refusal says why a request can't wait, or nil.
func (scheduler *Scheduler) refusal(now time.Time, waiting *queue, request Request) error {
	limits := scheduler.view.Config.Queue()
	if waiting.count >= limits.Requests() || waiting.bytes+request.Bytes > int(limits.Bytes()) {
		return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonQueueFull,
			"%d requests wait for %s%s", waiting.count, request.Model, request.Group)
	}
	if request.Model == "" {
		return nil
	}
	model := scheduler.view.Models[request.Model]
	if len(model.Routes) > 0 {
		return nil
	}
	wait := scheduler.view.ColdStart
	if !model.LoadingSince.IsZero() {
		wait = max(0, wait-now.Sub(model.LoadingSince))
	}
	if now.Add(wait).After(request.Deadline) {
		scheduler.wantedUntil[request.Model] = now.Add(wait + wantedFor)
		return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonWaitTooLong,
			"%s is not loaded and is expected in %v", request.Model, wait.Round(time.Millisecond))
	}
	return nil
}

// Update takes a new snapshot and returns the grants that it makes possible.
func (scheduler *Scheduler) Update(now time.Time, view *View) []Grant {
	scheduler.view = view
	live := make(map[celerylanding.Endpoint]bool)
	for _, routes := range view.Groups {
		for _, route := range routes {
			live[route.Endpoint] = true
			scheduler.load(route).report(route)
		}
	}
	for endpoint, load := range scheduler.loads {
		if !live[endpoint] && load.inFlight == 0 {
			delete(scheduler.loads, endpoint)
		}
	}
	return scheduler.drain(now)
}

// Finish ends a granted request and returns the grants that it makes possible.
func (scheduler *Scheduler) Finish(now time.Time, ticket Ticket, outcome Outcome) []Grant {
	row, ok := scheduler.granted[ticket]
	if !ok {
		return nil
	}
	delete(scheduler.granted, ticket)
	if row.model != "" {
		scheduler.inFlight[row.model]--
		if scheduler.inFlight[row.model] == 0 {
			delete(scheduler.inFlight, row.model)
		}
	}
	if load, ok := scheduler.loads[row.endpoint]; ok {
		load.finish(now, outcome)
		if row.suspect {
			load.suspects--
		}
	}
	return scheduler.drain(now)
}

// Cancel takes a waiting request out of its queue; it is false when the request is not waiting.
func (scheduler *Scheduler) Cancel(ticket Ticket, request Request) bool {
	waiting, ok := scheduler.queues[queueName(request)]
	return ok && waiting.remove(ticket, request.Priority)
}

// Demand reports what callers wait for and use, and starts a new count of arrivals.
func (scheduler *Scheduler) Demand(now time.Time) []celerylanding.DemandReport {
	reports := make(map[celerylanding.ModelID]celerylanding.DemandReport)
	for model, count := range scheduler.arrivals {
		reports[model] = celerylanding.DemandReport{Model: model, Arrivals: count}
	}
	for model, count := range scheduler.inFlight {
		report := reports[model]
		report.Model, report.InFlight = model, count
		reports[model] = report
	}
	for model, until := range scheduler.wantedUntil {
		if !now.Before(until) {
			delete(scheduler.wantedUntil, model)
			continue
		}
		report := reports[model]
		report.Model, report.Waiting, report.Patience = model, 1, until.Sub(now)
		reports[model] = report
	}
	for _, waiting := range scheduler.queues {
		waiting.addDemand(now, reports)
	}
	clear(scheduler.arrivals)
	list := make([]celerylanding.DemandReport, 0, len(reports))
	for _, report := range reports {
		list = append(list, report)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Model < list[j].Model })
	return list
}

// Waiting returns the number of queued requests.
func (scheduler *Scheduler) Waiting() int {
	count := 0
	for _, waiting := range scheduler.queues {
		count += waiting.count
	}
	return count
}

// HasDemand reports whether any model is wanted or in use, or was since the last report.
func (scheduler *Scheduler) HasDemand() bool {
	return len(scheduler.arrivals)+len(scheduler.inFlight)+len(scheduler.wantedUntil)+len(scheduler.order) > 0
}

// InFlight returns the number of open grants.
func (scheduler *Scheduler) InFlight() int { return len(scheduler.granted) }

func queueName(request Request) string {
	if request.Model != "" {
		return "model/" + string(request.Model)
	}
	return "group/" + request.Group
}

func (scheduler *Scheduler) queue(request Request) *queue {
	name := queueName(request)
	waiting, ok := scheduler.queues[name]
	if !ok {
		waiting = &queue{}
		scheduler.queues[name] = waiting
		scheduler.order = append(scheduler.order, name)
	}
	return waiting
}

func (scheduler *Scheduler) load(route Route) *targetLoad {
	load, ok := scheduler.loads[route.Endpoint]
	if !ok {
		load = newTargetLoad(route.Slots)
		scheduler.loads[route.Endpoint] = load
	}
	return load
}

// drain grants what can be granted, one request of each queue in turn, so that no model starves another one.
func (scheduler *Scheduler) drain(now time.Time) []Grant {
	var grants []Grant
	for progress := true; progress; {
		progress = false
		rest := scheduler.order[:0]
		for _, name := range scheduler.order {
			waiting := scheduler.queues[name]
			if grant := scheduler.drainOne(now, waiting); grant != nil {
				grants = append(grants, *grant)
				progress = true
			}
			if waiting.count == 0 {
				delete(scheduler.queues, name)
				continue
			}
			rest = append(rest, name)
		}
		scheduler.order = rest
	}
	if len(scheduler.order) > 1 {
		scheduler.order = append(scheduler.order[1:], scheduler.order[0])
	}
	return grants
}

func (scheduler *Scheduler) drainOne(now time.Time, waiting *queue) *Grant {
	for waiting.count > 0 {
		first := waiting.first()
		if now.Before(first.request.Deadline) {
			grant := scheduler.grant(now, first.ticket, first.request)
			if grant != nil {
				waiting.pop()
			}
			return grant
		}
		// The owner of an expired request refuses it; it only leaves the queue here.
		waiting.pop()
	}
	return nil
}
