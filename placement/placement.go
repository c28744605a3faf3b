package placement

import (
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/keepalive"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/state"
)

const (
	// demandTTL is how long a node's report counts after it was made.
	demandTTL = 3 * time.Second
	// minResidence is the time that a replica stays before it may make room for another model.
	minResidence = 5 * time.Second
	// waitersPerReplica is the number of waiting requests that calls for one more replica.
	waitersPerReplica = 16
	// failureBackoff is the pause after a failed load of a model.
	failureBackoff = 2 * time.Second
	// defaultKeepAlive is the keep-alive of a model without history.
	defaultKeepAlive = 5 * time.Minute
	// defaultColdStart is the assumed load time before one was measured.
	defaultColdStart = 10 * time.Second
)

// demand is what one node last reported of one model.
type demand struct {
	report   celerylanding.DemandReport
	reported time.Time
}

// need is the sum of the demand for one model.
type need struct {
	model    celerylanding.ModelID
	waiting  int
	inFlight int
	due      time.Time
}

// loadStart is when a replica was first seen.
type loadStart struct {
	model celerylanding.ModelID
	at    time.Time
}

// Planner is the leader's placement; it keeps what the nodes report and no I/O.
type Planner struct {
	demands   map[celerylanding.ModelID]map[celerylanding.NodeID]demand
	policy    *keepalive.Policy
	tokens    float64
	refilled  time.Time
	ready     map[celerylanding.OrderNumber]time.Time
	began     map[celerylanding.OrderNumber]loadStart
	failed    map[celerylanding.ModelID]time.Time
	blocked   map[celerylanding.ModelID]string
	coldStart time.Duration
	waiting   bool
}

// New returns a planner without reports.
func New(now time.Time) *Planner {
	return &Planner{
		demands:   make(map[celerylanding.ModelID]map[celerylanding.NodeID]demand),
		policy:    keepalive.New(),
		refilled:  now,
		ready:     make(map[celerylanding.OrderNumber]time.Time),
		began:     make(map[celerylanding.OrderNumber]loadStart),
		failed:    make(map[celerylanding.ModelID]time.Time),
		blocked:   make(map[celerylanding.ModelID]string),
		coldStart: defaultColdStart,
	}
}

// Report takes one node's demand.
func (planner *Planner) Report(now time.Time, node celerylanding.NodeID, reports []celerylanding.DemandReport) {
	for _, report := range reports {
		if planner.demands[report.Model] == nil {
			planner.demands[report.Model] = make(map[celerylanding.NodeID]demand)
		}
		planner.demands[report.Model][node] = demand{report, now}
		planner.waiting = planner.waiting || report.Waiting > 0
		if report.Waiting+report.InFlight+report.Arrivals > 0 {
			planner.policy.Used(now, report.Model)
		}
	}
}

// HasWaiting reports whether requests waited for any model at the last round or were reported since.
func (planner *Planner) HasWaiting() bool { return planner.waiting }

// ColdStart returns the expected load time of a model.
func (planner *Planner) ColdStart() time.Duration { return planner.coldStart }

// Blocked returns why a model that is wanted could not be placed in the last round, or "".
func (planner *Planner) Blocked(model celerylanding.ModelID) string { return planner.blocked[model] }

// Decide returns the commands that the present state calls for. The caller proposes them before it asks again.
func (planner *Planner) Decide(now time.Time, current *state.State, directory *membership.Directory) []state.Command {
	intended := current.Config()
	if intended == nil {
		return nil
	}
	planner.learn(now, current)
	planner.refill(now, intended.Store())
	clear(planner.blocked)
	round := &round{planner: planner, now: now, state: current, directory: directory, config: intended,
		used: make(map[celerylanding.TargetID]celerylanding.Bytes)}
	round.countPending()
	needs := planner.needs(now)
	planner.waiting = len(needs) > 0
	for _, need := range needs {
		round.serve(need)
	}
	round.holdMinimum()
	round.dropIdle()
	return round.commands
}

// learn follows the replicas to know load times, residence and failures.
func (planner *Planner) learn(now time.Time, current *state.State) {
	for _, replica := range current.Replicas() {
		order := replica.Order()
		if _, ok := planner.began[order]; !ok {
			planner.began[order] = loadStart{replica.Model(), now}
		}
		if _, ok := planner.ready[order]; !ok && replica.State() == state.StateReady {
			planner.ready[order] = now
			planner.coldStart += (now.Sub(planner.began[order].at) - planner.coldStart) / 8
		}
	}
	for order, start := range planner.began {
		if _, ok := current.Replica(order); ok {
			continue
		}
		if _, wasReady := planner.ready[order]; !wasReady && current.Failure(start.model) != "" {
			planner.failed[start.model] = now
		}
		delete(planner.began, order)
		delete(planner.ready, order)
	}
}

// refill implements the weight store's loads a second as a token bucket of one second's depth.
func (planner *Planner) refill(now time.Time, store config.Store) {
	depth := max(1, store.LoadsPerSecond())
	planner.tokens = min(depth, planner.tokens+now.Sub(planner.refilled).Seconds()*store.LoadsPerSecond())
	planner.refilled = now
}

// needs returns the models with waiting requests, the earliest deadline first.
func (planner *Planner) needs(now time.Time) []need {
	var needs []need
	for model, nodes := range planner.demands {
		if sum := sumDemand(now, model, nodes); sum.waiting > 0 && now.Before(sum.due) {
			needs = append(needs, sum)
		}
		if len(nodes) == 0 {
			delete(planner.demands, model)
		}
	}
	sort.Slice(needs, func(i, j int) bool {
		if !needs[i].due.Equal(needs[j].due) {
			return needs[i].due.Before(needs[j].due)
		}
		return needs[i].model < needs[j].model
	})
	return needs
}

// sumDemand adds up the fresh reports of a model and drops the others.
func sumDemand(now time.Time, model celerylanding.ModelID, nodes map[celerylanding.NodeID]demand) need {
	sum := need{model: model}
	for node, demand := range nodes {
		if now.Sub(demand.reported) > demandTTL {
			delete(nodes, node)
			continue
		}
		sum.inFlight += demand.report.InFlight
		sum.waiting += demand.report.Waiting
		due := demand.reported.Add(demand.report.Patience)
		if demand.report.Waiting > 0 && (sum.due.IsZero() || due.Before(sum.due)) {
			sum.due = due
		}
	}
	return sum
}

// isBusy reports whether any node has requests for the model.
func (planner *Planner) isBusy(now time.Time, model celerylanding.ModelID) bool {
	for _, demand := range planner.demands[model] {
		isFresh := now.Sub(demand.reported) <= demandTTL
		if isFresh && demand.report.Waiting+demand.report.InFlight > 0 {
			return true
		}
	}
	return false
}
