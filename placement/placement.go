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
	// demandTTL is how long a node's demand report counts after it was received.
	demandTTL = 3 * time.Second
	// minResidence is the minimum time between the load of a replica and its eviction or idle unload.
	minResidence = 5 * time.Second
	// waitingPerReplica is the number of waiting requests per additional replica.
	waitingPerReplica = 16
	// failureBackoff is the delay before a model is placed again after a failed load.
	failureBackoff = 2 * time.Second
	// defaultKeepAlive is the keep-alive of a model without history.
	defaultKeepAlive = 5 * time.Minute
	// defaultColdStart is the initial value of the moving average of load times.
	defaultColdStart = 10 * time.Second
)

// nodeDemand is the last demand report of one node for one model.
type nodeDemand struct {
	report     celerylanding.DemandReport
	receivedAt time.Time
}

// modelDemand is the sum of all nodes' demand for one model. Each node reports the latest deadline of its waiting requests; deadline is the
// earliest of these.
type modelDemand struct {
	model    celerylanding.ModelID
	waiting  int
	deadline time.Time
}

// loadStart is the time at which the planner first saw a replica, and the replica's model.
type loadStart struct {
	model celerylanding.ModelID
	at    time.Time
}

// Planner makes the leader's placement decisions from the demand that the nodes report; it does no I/O and is not safe for concurrent use.
type Planner struct {
	demands map[celerylanding.ModelID]map[celerylanding.NodeID]nodeDemand
	policy  *keepalive.Policy
	// tokens is the level of the weight store's token bucket, in loads.
	tokens     float64
	refilledAt time.Time
	readyAt    map[celerylanding.OrderNumber]time.Time
	loadStarts map[celerylanding.OrderNumber]loadStart
	failedAt   map[celerylanding.ModelID]time.Time
	blocked    map[celerylanding.ModelID]string
	// coldStart is the moving average of load times; a new load counts for one eighth.
	coldStart  time.Duration
	hasWaiting bool
}

// New returns a planner without demand reports.
func New(now time.Time) *Planner {
	return &Planner{
		demands:    make(map[celerylanding.ModelID]map[celerylanding.NodeID]nodeDemand),
		policy:     keepalive.New(),
		refilledAt: now,
		readyAt:    make(map[celerylanding.OrderNumber]time.Time),
		loadStarts: make(map[celerylanding.OrderNumber]loadStart),
		failedAt:   make(map[celerylanding.ModelID]time.Time),
		blocked:    make(map[celerylanding.ModelID]string),
		coldStart:  defaultColdStart,
	}
}

// Report records one node's demand.
func (planner *Planner) Report(now time.Time, node celerylanding.NodeID, reports []celerylanding.DemandReport) {
	for _, report := range reports {
		if planner.demands[report.Model] == nil {
			planner.demands[report.Model] = make(map[celerylanding.NodeID]nodeDemand)
		}
		planner.demands[report.Model][node] = nodeDemand{report, now}
		planner.hasWaiting = planner.hasWaiting || report.Waiting > 0
		if report.Waiting+report.InFlight+report.Arrivals > 0 {
			planner.policy.RecordUse(now, report.Model)
		}
	}
}

// HasWaiting reports whether requests waited for any model at the last round or were reported since.
func (planner *Planner) HasWaiting() bool { return planner.hasWaiting }

// ColdStart returns the expected load time of a model.
func (planner *Planner) ColdStart() time.Duration { return planner.coldStart }

// Blocked returns why a model with demand could not be placed in the last round, or "".
func (planner *Planner) Blocked(model celerylanding.ModelID) string { return planner.blocked[model] }

// Decide runs one placement round and returns its commands. The caller must propose them before it calls Decide again.
func (planner *Planner) Decide(now time.Time, current *state.State, directory *membership.Directory) []state.Command {
	active := current.Config()
	if active == nil {
		return nil
	}
	planner.trackReplicas(now, current)
	planner.refill(now, active.Store())
	clear(planner.blocked)
	round := &round{planner: planner, now: now, state: current, directory: directory, config: active,
		reserved: make(map[celerylanding.TargetID]celerylanding.Bytes)}
	round.countPending()
	demands := planner.waitingModels(now)
	planner.hasWaiting = len(demands) > 0
	for _, demand := range demands {
		round.scaleUp(demand)
	}
	round.ensureMinimum()
	round.unloadIdle()
	return round.commands
}

// trackReplicas updates load times, ready times and load failures from the replicas in the state.
func (planner *Planner) trackReplicas(now time.Time, current *state.State) {
	for _, replica := range current.Replicas() {
		order := replica.Order()
		if _, ok := planner.loadStarts[order]; !ok {
			planner.loadStarts[order] = loadStart{replica.Model(), now}
		}
		if _, ok := planner.readyAt[order]; !ok && replica.State() == state.StateReady {
			planner.readyAt[order] = now
			planner.coldStart += (now.Sub(planner.loadStarts[order].at) - planner.coldStart) / 8
		}
	}
	for order, start := range planner.loadStarts {
		if _, ok := current.Replica(order); ok {
			continue
		}
		if _, wasReady := planner.readyAt[order]; !wasReady && current.Failure(start.model) != "" {
			planner.failedAt[start.model] = now
		}
		delete(planner.loadStarts, order)
		delete(planner.readyAt, order)
	}
}

// refill adds tokens for the weight store's loads per second. The bucket holds one second's worth of loads and at least one.
func (planner *Planner) refill(now time.Time, store config.Store) {
	depth := max(1, store.LoadsPerSecond())
	planner.tokens = min(depth, planner.tokens+now.Sub(planner.refilledAt).Seconds()*store.LoadsPerSecond())
	planner.refilledAt = now
}

// waitingModels returns the models with waiting requests, the earliest deadline first.
func (planner *Planner) waitingModels(now time.Time) []modelDemand {
	var demands []modelDemand
	for model, nodes := range planner.demands {
		if sum := sumDemand(now, model, nodes); sum.waiting > 0 && now.Before(sum.deadline) {
			demands = append(demands, sum)
		}
		if len(nodes) == 0 {
			delete(planner.demands, model)
		}
	}
	sort.Slice(demands, func(i, j int) bool {
		if !demands[i].deadline.Equal(demands[j].deadline) {
			return demands[i].deadline.Before(demands[j].deadline)
		}
		return demands[i].model < demands[j].model
	})
	return demands
}

// sumDemand adds up the current reports for a model and deletes the expired ones.
func sumDemand(now time.Time, model celerylanding.ModelID, nodes map[celerylanding.NodeID]nodeDemand) modelDemand {
	sum := modelDemand{model: model}
	for node, demand := range nodes {
		if now.Sub(demand.receivedAt) > demandTTL {
			delete(nodes, node)
			continue
		}
		sum.waiting += demand.report.Waiting
		deadline := demand.receivedAt.Add(demand.report.MaxWait)
		if demand.report.Waiting > 0 && (sum.deadline.IsZero() || deadline.Before(sum.deadline)) {
			sum.deadline = deadline
		}
	}
	return sum
}

// isBusy reports whether any node has waiting or in-flight requests for the model.
func (planner *Planner) isBusy(now time.Time, model celerylanding.ModelID) bool {
	for _, demand := range planner.demands[model] {
		isFresh := now.Sub(demand.receivedAt) <= demandTTL
		if isFresh && demand.report.Waiting+demand.report.InFlight > 0 {
			return true
		}
	}
	return false
}
