package state

import (
	"sort"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/config"
)

// The flags and events of the replica chart that the code names.
const (
	FlagCounted  chart.Flag = "counted"
	FlagRoutable chart.Flag = "routable"
	FlagTerminal chart.Flag = "terminal"

	EventLoaded          chart.Event = "loaded"
	EventLoadFailed      chart.Event = "load_failed"
	EventUnload          chart.Event = "unload"
	EventAbsent          chart.Event = "absent"
	EventIncarnationGone chart.Event = "incarnation_gone"

	StateDecided   chart.State = "decided"
	StateReady     chart.State = "ready"
	StateUnloading chart.State = "unloading"
)

// maxHistory bounds the revisions that are remembered to answer resends.
const maxHistory = 4096

// Replica is one counted copy of a model on one incarnation of a target.
type Replica struct {
	order       celerylanding.OrderNumber
	model       celerylanding.ModelID
	target      celerylanding.TargetID
	incarnation celerylanding.Incarnation
	bytes       celerylanding.Bytes
	state       chart.State
	ghost       bool
}

// Order returns the number of the decision.
func (replica *Replica) Order() celerylanding.OrderNumber { return replica.order }

// Model returns the model.
func (replica *Replica) Model() celerylanding.ModelID { return replica.model }

// Target returns the target.
func (replica *Replica) Target() celerylanding.TargetID { return replica.target }

// Incarnation returns the target's incarnation.
func (replica *Replica) Incarnation() celerylanding.Incarnation { return replica.incarnation }

// Bytes returns the memory that is set aside for the replica.
func (replica *Replica) Bytes() celerylanding.Bytes { return replica.bytes }

// State returns the state in the replica chart.
func (replica *Replica) State() chart.State { return replica.state }

// IsGhost reports whether the replica was found on a target and had not been decided.
func (replica *Replica) IsGhost() bool { return replica.ghost }

// Lease is a failure domain's executor lease.
type Lease struct {
	holder string
	fence  celerylanding.Fence
}

// Holder returns the member that holds the lease.
func (lease Lease) Holder() string { return lease.holder }

// Fence returns the lease's fencing number.
func (lease Lease) Fence() celerylanding.Fence { return lease.fence }

// revision is one accepted configuration.
type revision struct {
	number uint64
	digest config.Digest
}

// claimID names a claim.
type claimID struct {
	service celerylanding.ServiceID
	key     string
}

// claimRow is what is known of an idempotency key.
type claimRow struct {
	fingerprint uint64
	owner       string
	atMillis    int64
	answer      *celerylanding.RecordedAnswer
}

// State is the state machine; it is changed by Apply only and is not safe for concurrent use.
type State struct {
	chart    *chart.Chart
	index    uint64
	document config.Document
	config   *config.Config
	history  []revision
	targets  map[celerylanding.TargetID]Target
	replicas map[celerylanding.OrderNumber]*Replica
	leases   map[celerylanding.FailureDomain]Lease
	claims   map[claimID]*claimRow
	// claimOrder holds the claims by age, for expiry.
	claimOrder []claimID
	failures   map[celerylanding.ModelID]string

	// ordered and orderedTargets hold all rows in order, or nil after one came or went.
	ordered        []*Replica
	orderedTargets []Target
	byModel        map[celerylanding.ModelID]map[celerylanding.OrderNumber]*Replica
	byTarget       map[celerylanding.TargetID]map[celerylanding.OrderNumber]*Replica
}

// New returns the empty state.
func New() (*State, error) {
	replicaChart, err := chart.Load("replica.yaml")
	if err != nil {
		return nil, err
	}
	return &State{
		chart:    replicaChart,
		targets:  make(map[celerylanding.TargetID]Target),
		replicas: make(map[celerylanding.OrderNumber]*Replica),
		leases:   make(map[celerylanding.FailureDomain]Lease),
		claims:   make(map[claimID]*claimRow),
		failures: make(map[celerylanding.ModelID]string),
		byModel:  make(map[celerylanding.ModelID]map[celerylanding.OrderNumber]*Replica),
		byTarget: make(map[celerylanding.TargetID]map[celerylanding.OrderNumber]*Replica),
	}, nil
}

// Index returns the log index of the last command applied.
func (state *State) Index() uint64 { return state.index }

// Config returns the configuration in force, or nil before the first one.
func (state *State) Config() *config.Config { return state.config }

// Document returns the files of the configuration in force.
func (state *State) Document() config.Document { return state.document }

// Target returns the registered facts of a target.
func (state *State) Target(id celerylanding.TargetID) (Target, bool) {
	target, ok := state.targets[id]
	return target, ok
}

// Targets returns all registered targets, ordered by their identifiers; the caller must not change the slice.
func (state *State) Targets() []Target {
	if state.orderedTargets != nil {
		return state.orderedTargets
	}
	targets := make([]Target, 0, len(state.targets))
	for _, target := range state.targets {
		targets = append(targets, target)
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].ID < targets[j].ID })
	state.orderedTargets = targets
	return targets
}

// putTarget records the facts of a target.
func (state *State) putTarget(target Target) {
	state.targets[target.ID] = target
	state.orderedTargets = nil
}

// Replica finds a replica by its order number.
func (state *State) Replica(order celerylanding.OrderNumber) (*Replica, bool) {
	replica, ok := state.replicas[order]
	return replica, ok
}

// Replicas returns all replicas in the order of their decisions; the caller must not change the slice.
func (state *State) Replicas() []*Replica {
	if state.ordered == nil {
		state.ordered = sorted(state.replicas)
	}
	return state.ordered
}

// ReplicasOf returns the replicas of a model in the order of their decisions.
func (state *State) ReplicasOf(model celerylanding.ModelID) []*Replica {
	return sorted(state.byModel[model])
}

// ReplicasOn returns the replicas on a target in the order of their decisions.
func (state *State) ReplicasOn(target celerylanding.TargetID) []*Replica {
	return sorted(state.byTarget[target])
}

// CountOf returns the number of replicas of a model.
func (state *State) CountOf(model celerylanding.ModelID) int { return len(state.byModel[model]) }

// CountOn returns the number of replicas on a target.
func (state *State) CountOn(target celerylanding.TargetID) int { return len(state.byTarget[target]) }

// Used returns the bytes that are set aside on a target.
func (state *State) Used(target celerylanding.TargetID) celerylanding.Bytes {
	var used celerylanding.Bytes
	for _, replica := range state.byTarget[target] {
		used += replica.bytes
	}
	return used
}

// Lease returns the executor lease of a failure domain; its fence is zero before the first grant.
func (state *State) Lease(domain celerylanding.FailureDomain) Lease { return state.leases[domain] }

// Failure returns why the last load of a model failed, or "".
func (state *State) Failure(model celerylanding.ModelID) string { return state.failures[model] }

// Claims returns the number of idempotency keys that are kept.
func (state *State) Claims() int { return len(state.claims) }

// IsRoutable reports whether requests may be sent to the replica.
func (state *State) IsRoutable(replica *Replica) bool {
	return state.chart.HasFlag(replica.state, FlagRoutable)
}

func sorted(rows map[celerylanding.OrderNumber]*Replica) []*Replica {
	replicas := make([]*Replica, 0, len(rows))
	for _, replica := range rows {
		replicas = append(replicas, replica)
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].order < replicas[j].order })
	return replicas
}

func (state *State) insert(replica *Replica) {
	state.ordered = nil
	state.replicas[replica.order] = replica
	if state.byModel[replica.model] == nil {
		state.byModel[replica.model] = make(map[celerylanding.OrderNumber]*Replica)
	}
	state.byModel[replica.model][replica.order] = replica
	if state.byTarget[replica.target] == nil {
		state.byTarget[replica.target] = make(map[celerylanding.OrderNumber]*Replica)
	}
	state.byTarget[replica.target][replica.order] = replica
}

func (state *State) remove(replica *Replica) {
	state.ordered = nil
	delete(state.replicas, replica.order)
	delete(state.byModel[replica.model], replica.order)
	if len(state.byModel[replica.model]) == 0 {
		delete(state.byModel, replica.model)
	}
	delete(state.byTarget[replica.target], replica.order)
	if len(state.byTarget[replica.target]) == 0 {
		delete(state.byTarget, replica.target)
	}
}
