package executor

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/state"
)

// Settings holds the timeouts and intervals of an executor.
type Settings struct {
	// OrderTimeout bounds an order: a new lease holder assumes that no order of its predecessor takes effect later than this.
	OrderTimeout time.Duration
	// CallTimeout bounds fence, inventory and role calls.
	CallTimeout time.Duration
	// RetryDelay is the delay before a failed call is retried.
	RetryDelay time.Duration
	// CommitTimeout is how long the executor waits for a replica's event to be committed before it sends another order for the replica.
	CommitTimeout time.Duration
	// InventoryInterval is the time between two inventories of a target without orders of unknown outcome, and between two role orders.
	InventoryInterval time.Duration
	// AbsenceConfirmDelay is the time between the two inventories that prove that a target without fencing does not hold a model.
	AbsenceConfirmDelay time.Duration
	// DrainGrace is the delay before an unload order, in which routers stop using the replica.
	DrainGrace time.Duration
	// GoneTimeout is how long calls must fail to find an incarnation at its address before it is deregistered.
	GoneTimeout time.Duration
}

// maxLoadAttempts is the number of loads of unknown outcome after which a replica is unloaded.
const maxLoadAttempts = 3

// Executor controls the targets of one failure domain under one lease at a time; it is not safe for concurrent use.
type Executor struct {
	settings Settings
	domain   celerylanding.FailureDomain
	fence    celerylanding.FencingToken
	// since is the time of the first decision under the current lease.
	since          time.Time
	targetRecords  map[celerylanding.Endpoint]*targetRecord
	replicaRecords map[celerylanding.OrderNumber]*replicaRecord
}

// targetRecord is the state of the calls to one incarnation of a target under the current lease.
type targetRecord struct {
	callPending bool
	// fenced is set once the target has accepted the fencing token of the lease.
	fenced bool
	// settled is set after the first inventory under the lease; no orders are sent before.
	settled       bool
	lastInventory time.Time
	nextCall      time.Time
	// goneSince is the time of the first call that did not find the incarnation at its address, or zero.
	goneSince time.Time
	// nextRoleOrder is the earliest time to send the role order again; the engine's next announcement shows whether the order took effect.
	nextRoleOrder time.Time
}

// replicaRecord is the state of the orders for one replica under the current lease.
type replicaRecord struct {
	callPending bool
	nextOrder   time.Time
	// loadAttempts counts the loads that were sent since every earlier load had a known outcome.
	loadAttempts   int
	lastLoad       time.Time
	outcomeUnknown bool
	// absentSince is the time of the first inventory that did not list the model.
	absentSince    time.Time
	unloadingSince time.Time
}

// New returns an executor without a lease.
func New(settings Settings, domain celerylanding.FailureDomain) *Executor {
	executor := &Executor{settings: settings, domain: domain}
	executor.reset(time.Time{}, 0)
	return executor
}

// reset discards the records of an earlier lease.
func (executor *Executor) reset(now time.Time, fence celerylanding.FencingToken) {
	executor.fence = fence
	executor.since = now
	executor.targetRecords = make(map[celerylanding.Endpoint]*targetRecord)
	executor.replicaRecords = make(map[celerylanding.OrderNumber]*replicaRecord)
}

// Decide returns the actions to start now. The fencing token must be that of a lease that is held at this time.
func (executor *Executor) Decide(now time.Time, current *state.State, fence celerylanding.FencingToken) []Action {
	if fence != executor.fence {
		executor.reset(now, fence)
	}
	var actions []Action
	for _, target := range current.Targets() {
		if target.Domain != executor.domain || target.Kind != celerylanding.KindEngine {
			continue
		}
		actions = append(actions, executor.decideTarget(now, current, target)...)
	}
	executor.prune(current)
	return actions
}

func endpointOf(target state.Target) celerylanding.Endpoint {
	return celerylanding.Endpoint{Target: target.ID, Incarnation: target.Incarnation, Address: target.Address}
}

func (executor *Executor) targetRecord(endpoint celerylanding.Endpoint) *targetRecord {
	record, ok := executor.targetRecords[endpoint]
	if !ok {
		record = &targetRecord{}
		executor.targetRecords[endpoint] = record
	}
	return record
}

func (executor *Executor) replicaRecord(order celerylanding.OrderNumber) *replicaRecord {
	record, ok := executor.replicaRecords[order]
	if !ok {
		record = &replicaRecord{}
		executor.replicaRecords[order] = record
	}
	return record
}

func (executor *Executor) decideTarget(now time.Time, current *state.State, target state.Target) []Action {
	endpoint := endpointOf(target)
	record := executor.targetRecord(endpoint)
	var actions []Action
	if action, ok := executor.fenceOrInventory(now, current, target, record); ok {
		record.callPending = true
		actions = append(actions, action)
	}
	if !record.settled {
		return actions
	}
	if action, ok := executor.decideRole(now, current, target, record); ok {
		actions = append(actions, action)
	}
	for _, replica := range current.ReplicasOn(target.ID) {
		if action, ok := executor.decideReplica(now, current, target, replica); ok {
			executor.replicaRecord(replica.Order()).callPending = true
			actions = append(actions, action)
		}
	}
	return actions
}

// fenceOrInventory returns the next fence or inventory call. It delays the first inventory until no order of an earlier lease holder can take
// effect: a target with fencing must have accepted the new token; for any other one, OrderTimeout must have passed under the lease.
func (executor *Executor) fenceOrInventory(now time.Time, current *state.State, target state.Target, record *targetRecord) (Action, bool) {
	if record.callPending || now.Before(record.nextCall) {
		return Action{}, false
	}
	action := Action{Kind: ActionInventory, Endpoint: endpointOf(target), Fence: executor.fence, Timeout: executor.settings.CallTimeout}
	if target.Fencing && !record.fenced {
		action.Kind = ActionFence
		return action, true
	}
	if !target.Fencing && !record.settled && now.Sub(executor.since) < executor.settings.OrderTimeout {
		return Action{}, false
	}
	return action, !record.settled || now.Sub(record.lastInventory) >= executor.inventoryInterval(current, target)
}

// inventoryInterval returns RetryDelay while the outcome of an order is unknown, and InventoryInterval otherwise.
func (executor *Executor) inventoryInterval(current *state.State, target state.Target) time.Duration {
	for _, replica := range current.ReplicasOn(target.ID) {
		if record, ok := executor.replicaRecords[replica.Order()]; ok && record.outcomeUnknown {
			return executor.settings.RetryDelay
		}
	}
	return executor.settings.InventoryInterval
}

// decideRole orders the role that the configuration sets for the target's group, until the target announces it.
func (executor *Executor) decideRole(now time.Time, current *state.State, target state.Target, record *targetRecord) (Action, bool) {
	if current.Config() == nil || now.Before(record.nextRoleOrder) {
		return Action{}, false
	}
	group, ok := current.Config().Group(target.Group)
	if !ok || group.Role() == "" || group.Role() == target.Role {
		return Action{}, false
	}
	record.nextRoleOrder = now.Add(executor.settings.InventoryInterval)
	order := celerylanding.Order{Fence: executor.fence, Kind: celerylanding.OrderRole, Target: target.ID,
		Incarnation: target.Incarnation, Role: group.Role(), Timeout: executor.settings.CallTimeout}
	return Action{Kind: ActionOrder, Endpoint: endpointOf(target), Order: order, Timeout: order.Timeout}, true
}

func (executor *Executor) decideReplica(now time.Time, current *state.State, target state.Target, replica *state.Replica) (Action, bool) {
	record := executor.replicaRecord(replica.Order())
	if record.callPending || record.outcomeUnknown || now.Before(record.nextOrder) {
		return Action{}, false
	}
	switch replica.State() {
	case state.StateDecided:
		return executor.decideLoad(now, current, target, replica, record)
	case state.StateUnloading:
		return executor.decideUnload(now, target, replica, record)
	}
	return Action{}, false
}

func (executor *Executor) decideLoad(now time.Time, current *state.State, target state.Target,
	replica *state.Replica, record *replicaRecord) (Action, bool) {
	record.loadAttempts++
	record.lastLoad = now
	order := executor.order(celerylanding.OrderLoad, target, replica)
	if current.Config() != nil {
		if model, ok := current.Config().Model(replica.Model()); ok {
			order.Base = model.Base()
		}
	}
	return Action{Kind: ActionOrder, Endpoint: endpointOf(target), Order: order, Timeout: order.Timeout}, true
}

func (executor *Executor) decideUnload(now time.Time, target state.Target, replica *state.Replica, record *replicaRecord) (Action, bool) {
	if record.unloadingSince.IsZero() {
		record.unloadingSince = now
	}
	if now.Sub(record.unloadingSince) < executor.settings.DrainGrace {
		return Action{}, false
	}
	order := executor.order(celerylanding.OrderUnload, target, replica)
	return Action{Kind: ActionOrder, Endpoint: endpointOf(target), Order: order, Timeout: order.Timeout}, true
}

func (executor *Executor) order(kind celerylanding.OrderKind, target state.Target, replica *state.Replica) celerylanding.Order {
	return celerylanding.Order{
		Number:      replica.Order(),
		Fence:       executor.fence,
		Kind:        kind,
		Target:      target.ID,
		Incarnation: target.Incarnation,
		Model:       replica.Model(),
		Bytes:       replica.Bytes(),
		Timeout:     executor.settings.OrderTimeout,
	}
}

// prune deletes the records of targets and replicas that are no longer in the state.
func (executor *Executor) prune(current *state.State) {
	for endpoint := range executor.targetRecords {
		target, ok := current.Target(endpoint.Target)
		if !ok || target.Incarnation != endpoint.Incarnation {
			delete(executor.targetRecords, endpoint)
		}
	}
	for order := range executor.replicaRecords {
		if _, ok := current.Replica(order); !ok {
			delete(executor.replicaRecords, order)
		}
	}
}
