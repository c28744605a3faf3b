package state

import (
	"sort"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/config"
)

// The flags, events and states of chart/replica.yaml that the code uses.
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

// maxRevisions bounds the earlier revisions that are kept to recognize resent submissions.
const maxRevisions = 4096

// Replica is one copy of a model on one incarnation of a target, whether loading, ready or unloading.
type Replica struct {
	order       celerylanding.OrderNumber
	model       celerylanding.ModelID
	target      celerylanding.TargetID
	incarnation celerylanding.Incarnation
	bytes       celerylanding.Bytes
	state       chart.State
	unplanned   bool
}

// Order returns the replica's order number.
func (replica *Replica) Order() celerylanding.OrderNumber { return replica.order }

// Model returns the model.
func (replica *Replica) Model() celerylanding.ModelID { return replica.model }

// Target returns the target.
func (replica *Replica) Target() celerylanding.TargetID { return replica.target }

// Incarnation returns the target's incarnation.
func (replica *Replica) Incarnation() celerylanding.Incarnation { return replica.incarnation }

// Bytes returns the memory that is reserved for the replica.
func (replica *Replica) Bytes() celerylanding.Bytes { return replica.bytes }

// State returns the replica's state in the replica chart.
func (replica *Replica) State() chart.State { return replica.state }

// IsUnplanned reports whether the replica was found on a target rather than placed there by a command.
func (replica *Replica) IsUnplanned() bool { return replica.unplanned }

// Lease is a failure domain's executor lease.
type Lease struct {
	holder string
	fence  celerylanding.FencingToken
}

// Holder returns the ID of the lease's holder, or "" before the first grant.
func (lease Lease) Holder() string { return lease.holder }

// Fence returns the lease's fencing token.
func (lease Lease) Fence() celerylanding.FencingToken { return lease.fence }

// revision identifies a configuration that is or was in force.
type revision struct {
	number uint64
	digest config.Digest
}

// claimID identifies a claim.
type claimID struct {
	service celerylanding.ServiceID
	key     string
}

// claimRecord is the state of an idempotency key; response is nil until the claim is settled.
type claimRecord struct {
	fingerprint uint64
	owner       string
	timeMillis  int64
	response    *celerylanding.RecordedResponse
}

// State is the state machine; only Apply changes it. It is not safe for concurrent use.
type State struct {
	chart     *chart.Chart
	index     uint64
	document  config.Document
	config    *config.Config
	revisions []revision
	targets   map[celerylanding.TargetID]Target
	replicas  map[celerylanding.OrderNumber]*Replica
	leases    map[celerylanding.FailureDomain]Lease
	claims    map[claimID]*claimRecord
	// claimOrder holds the keys in the order of their claims, for expiry.
	claimOrder []claimID
	failures   map[celerylanding.ModelID]string

	// orderedReplicas and orderedTargets cache the sorted lists; they are nil after a change.
	orderedReplicas []*Replica
	orderedTargets  []Target
	byModel         map[celerylanding.ModelID]map[celerylanding.OrderNumber]*Replica
	byTarget        map[celerylanding.TargetID]map[celerylanding.OrderNumber]*Replica
}

// New returns an empty state; it fails if the replica chart cannot be loaded.
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
		claims:   make(map[claimID]*claimRecord),
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

// Target returns the registered attributes of a target.
func (state *State) Target(id celerylanding.TargetID) (Target, bool) {
	target, ok := state.targets[id]
	return target, ok
}

// Targets returns all registered targets, sorted by identifier; the caller must not change the slice.
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

// putTarget stores the attributes of a target.
func (state *State) putTarget(target Target) {
	state.targets[target.ID] = target
	state.orderedTargets = nil
}

// Replica returns the replica with the order number.
func (state *State) Replica(order celerylanding.OrderNumber) (*Replica, bool) {
	replica, ok := state.replicas[order]
	return replica, ok
}

// Replicas returns all replicas, sorted by order number; the caller must not change the slice.
func (state *State) Replicas() []*Replica {
	if state.orderedReplicas == nil {
		state.orderedReplicas = sortedByOrder(state.replicas)
	}
	return state.orderedReplicas
}

// ReplicasOf returns the replicas of a model, sorted by order number.
func (state *State) ReplicasOf(model celerylanding.ModelID) []*Replica {
	return sortedByOrder(state.byModel[model])
}

// ReplicasOn returns the replicas on a target, sorted by order number.
func (state *State) ReplicasOn(target celerylanding.TargetID) []*Replica {
	return sortedByOrder(state.byTarget[target])
}

// ReplicaCountOfModel returns the number of replicas of a model.
func (state *State) ReplicaCountOfModel(model celerylanding.ModelID) int {
	return len(state.byModel[model])
}

// ReplicaCountOnTarget returns the number of replicas on a target.
func (state *State) ReplicaCountOnTarget(target celerylanding.TargetID) int {
	return len(state.byTarget[target])
}

// ReservedBytes returns the bytes that are reserved by the replicas on a target.
func (state *State) ReservedBytes(target celerylanding.TargetID) celerylanding.Bytes {
	var used celerylanding.Bytes
	for _, replica := range state.byTarget[target] {
		used += replica.bytes
	}
	return used
}

// Lease returns the executor lease of a failure domain; its fencing token is zero before the first grant.
func (state *State) Lease(domain celerylanding.FailureDomain) Lease { return state.leases[domain] }

// Failure returns why the last load of a model failed, or "".
func (state *State) Failure(model celerylanding.ModelID) string { return state.failures[model] }

// Claims returns the number of stored idempotency keys.
func (state *State) Claims() int { return len(state.claims) }

// IsRoutable reports whether requests may be sent to the replica.
func (state *State) IsRoutable(replica *Replica) bool {
	return state.chart.HasFlag(replica.state, FlagRoutable)
}

func sortedByOrder(byOrder map[celerylanding.OrderNumber]*Replica) []*Replica {
	replicas := make([]*Replica, 0, len(byOrder))
	for _, replica := range byOrder {
		replicas = append(replicas, replica)
	}
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].order < replicas[j].order })
	return replicas
}

func (state *State) insert(replica *Replica) {
	state.orderedReplicas = nil
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
	state.orderedReplicas = nil
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
