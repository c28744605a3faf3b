package router

import (
	"math/rand/v2"
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// grantsPerBatch is the number of grants to other classes after which a waiting batch request goes first.
	grantsPerBatch = 8
	// refusedDemandTTL is how long, beyond its load time, a model stays in the demand report after a request was refused because of
	// that load time, so that the model is loaded for later requests.
	refusedDemandTTL = 5 * time.Second
	// affinitySlack is the number of outstanding requests by which the target with the cached prefix may exceed another one.
	affinitySlack = 2
)

// Ticket identifies a request within one router.
type Ticket uint64

// Request holds the attributes of a request that scheduling uses.
type Request struct {
	Model    celerylanding.ModelID
	Group    string
	Priority celerylanding.Priority
	Deadline time.Time
	Bytes    int
	// Prefix is a hash of the start of the prompt, or zero.
	Prefix uint64
	// Suspect is set when the request was in flight on a target that crashed.
	Suspect bool
	// Avoid is the target on which the previous attempt failed.
	Avoid celerylanding.TargetID
}

// Scheduler admits and queues requests and assigns them to targets; it is not safe for concurrent use.
type Scheduler struct {
	domain celerylanding.FailureDomain
	random *rand.Rand
	view   *View
	loads  map[celerylanding.Endpoint]*targetLoad
	queues map[string]*queue
	// queueOrder holds the queue names in the order in which grantQueued serves them.
	queueOrder []string
	openGrants map[Ticket]openGrant
	lastTicket Ticket
	// arrivals counts the requests per model since the last demand report.
	arrivals map[celerylanding.ModelID]int
	// refusedDemandUntil holds, per model, the end of the demand from requests refused because of the load time.
	refusedDemandUntil map[celerylanding.ModelID]time.Time
	inFlight           map[celerylanding.ModelID]int
}

// openGrant is a granted request that has not finished.
type openGrant struct {
	endpoint celerylanding.Endpoint
	model    celerylanding.ModelID
	suspect  bool
}

// NewScheduler returns a scheduler without targets for a router in the failure domain; random draws the two targets to compare.
func NewScheduler(domain celerylanding.FailureDomain, random *rand.Rand) *Scheduler {
	return &Scheduler{
		domain:             domain,
		random:             random,
		view:               &View{},
		loads:              make(map[celerylanding.Endpoint]*targetLoad),
		queues:             make(map[string]*queue),
		openGrants:         make(map[Ticket]openGrant),
		arrivals:           make(map[celerylanding.ModelID]int),
		refusedDemandUntil: make(map[celerylanding.ModelID]time.Time),
		inFlight:           make(map[celerylanding.ModelID]int),
	}
}

// Admit grants the request a target at once, queues it (the grant is nil) or refuses it with an ErrCallFailed whose verdict is NotRun.
func (scheduler *Scheduler) Admit(now time.Time, request Request) (Ticket, *Grant, error) {
	if request.Model != "" {
		scheduler.arrivals[request.Model]++
	}
	if !now.Before(request.Deadline) {
		return 0, nil, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonDeadline, "deadline has passed")
	}
	scheduler.lastTicket++
	ticket := scheduler.lastTicket
	waiting := scheduler.queue(request)
	if waiting.count == 0 {
		if grant := scheduler.tryGrant(now, ticket, request); grant != nil {
			return ticket, grant, nil
		}
	}
	if err := scheduler.checkQueueable(now, waiting, request); err != nil {
		return 0, nil, err
	}
	waiting.push(waiter{ticket, request})
	return ticket, nil, nil
}

// checkQueueable returns an error if the request cannot be queued: the queue is full, or the model is expected to be loaded only after the
// deadline.
func (scheduler *Scheduler) checkQueueable(now time.Time, waiting *queue, request Request) error {
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
		scheduler.refusedDemandUntil[request.Model] = now.Add(wait + refusedDemandTTL)
		return celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonWaitTooLong,
			"%s is not loaded and is expected in %v", request.Model, wait.Round(time.Millisecond))
	}
	return nil
}

// Update applies a new view and returns the grants that it makes possible.
func (scheduler *Scheduler) Update(now time.Time, view *View) []Grant {
	scheduler.view = view
	live := make(map[celerylanding.Endpoint]bool)
	for _, routes := range view.Groups {
		for _, route := range routes {
			live[route.Endpoint] = true
			scheduler.load(route).applyReport(route)
		}
	}
	for endpoint, load := range scheduler.loads {
		if !live[endpoint] && load.inFlight == 0 {
			delete(scheduler.loads, endpoint)
		}
	}
	return scheduler.grantQueued(now)
}

// Finish ends a granted request and returns the grants that the freed capacity makes possible; an unknown ticket is ignored.
func (scheduler *Scheduler) Finish(now time.Time, ticket Ticket, outcome Outcome) []Grant {
	grant, ok := scheduler.openGrants[ticket]
	if !ok {
		return nil
	}
	delete(scheduler.openGrants, ticket)
	if grant.model != "" {
		scheduler.inFlight[grant.model]--
		if scheduler.inFlight[grant.model] == 0 {
			delete(scheduler.inFlight, grant.model)
		}
	}
	if load, ok := scheduler.loads[grant.endpoint]; ok {
		load.finish(now, outcome)
		if grant.suspect {
			load.suspectsInFlight--
		}
	}
	return scheduler.grantQueued(now)
}

// Cancel removes a waiting request from its queue; it returns false if the request is not waiting.
func (scheduler *Scheduler) Cancel(ticket Ticket, request Request) bool {
	waiting, ok := scheduler.queues[queueName(request)]
	return ok && waiting.remove(ticket, request.Priority)
}

// Demand returns the demand per model, sorted by model, and resets the arrival counts.
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
	for model, until := range scheduler.refusedDemandUntil {
		if !now.Before(until) {
			delete(scheduler.refusedDemandUntil, model)
			continue
		}
		report := reports[model]
		report.Model, report.Waiting, report.MaxWait = model, 1, until.Sub(now)
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

// HasDemand reports whether requests wait or are in flight, arrived since the last demand report, or were recently refused because of a
// model's load time.
func (scheduler *Scheduler) HasDemand() bool {
	return len(scheduler.arrivals)+len(scheduler.inFlight)+len(scheduler.refusedDemandUntil)+len(scheduler.queueOrder) > 0
}

// InFlight returns the number of open grants.
func (scheduler *Scheduler) InFlight() int { return len(scheduler.openGrants) }

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
		scheduler.queueOrder = append(scheduler.queueOrder, name)
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

// grantQueued grants queued requests while targets have capacity, one request per queue in turn, so that no model starves another.
func (scheduler *Scheduler) grantQueued(now time.Time) []Grant {
	var grants []Grant
	for progress := true; progress; {
		progress = false
		remaining := scheduler.queueOrder[:0]
		for _, name := range scheduler.queueOrder {
			waiting := scheduler.queues[name]
			if grant := scheduler.grantFirst(now, waiting); grant != nil {
				grants = append(grants, *grant)
				progress = true
			}
			if waiting.count == 0 {
				delete(scheduler.queues, name)
				continue
			}
			remaining = append(remaining, name)
		}
		scheduler.queueOrder = remaining
	}
	if len(scheduler.queueOrder) > 1 {
		scheduler.queueOrder = append(scheduler.queueOrder[1:], scheduler.queueOrder[0])
	}
	return grants
}

// grantFirst grants the first request of a queue whose deadline has not passed, and drops expired ones.
func (scheduler *Scheduler) grantFirst(now time.Time, waiting *queue) *Grant {
	for waiting.count > 0 {
		first := waiting.first()
		if now.Before(first.request.Deadline) {
			grant := scheduler.tryGrant(now, first.ticket, first.request)
			if grant != nil {
				waiting.pop()
			}
			return grant
		}
		// The goroutine that owns an expired request refuses it; here the request only leaves the queue.
		waiting.pop()
	}
	return nil
}
