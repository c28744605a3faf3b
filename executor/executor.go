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
	// CommitTimeout is how long the executor waits for a replica's event to be committed before it orders again.
	CommitTimeout time.Duration
	// InventoryInterval is the time between two inventories of a target without orders of unknown outcome.
	InventoryInterval time.Duration
	// AbsenceConfirmDelay is the time between the two inventories that prove that a target without fencing does not hold a model.
	AbsenceConfirmDelay time.Duration
	// DrainGrace is the delay before an unload order, in which routers stop using the replica.
	DrainGrace time.Duration
	// GoneTimeout is how long an incarnation must not be found at its address before it is deregistered.
	GoneTimeout time.Duration
}

// maxLoadTries is the number of loads of unknown outcome after which a replica is unloaded.
const maxLoadTries = 3

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

// targetRecord is the executor's progress with one incarnation of a target under its lease.
type targetRecord struct {
	callPending bool
	// fenced is set once the target has accepted the fencing token of the lease.
	fenced bool
	// settled is set after the first inventory under the lease; orders are sent only then.
	settled       bool
	lastInventory time.Time
	nextCall      time.Time
	// goneSince is the time of the first call that did not find the incarnation at its address, or zero.
	goneSince time.Time
	// nextRoleOrder is the earliest time to order the role again; the engine's next announcement shows whether the order took effect.
	nextRoleOrder time.Time
}

// replicaRecord is the executor's progress with the orders for one replica under its lease.
type replicaRecord struct {
	callPending bool
	nextOrder   time.Time
	// tries counts the loads that were sent since every earlier load had a known outcome.
	tries          int
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

// reset discards the progress made under an earlier lease.
func (executor *Executor) reset(now time.Time, fence celerylanding.FencingToken) {
	executor.fence = fence
	executor.since = now
	executor.targetRecords = make(map[celerylanding.Endpoint]*targetRecord)
	executor.replicaRecords = make(map[celerylanding.OrderNumber]*replicaRecord)
}

// Decide returns the actions to start now. The fence must be that of a lease that is held at this time.
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
	work, ok := executor.targetRecords[endpoint]
	if !ok {
		work = &targetRecord{}
		executor.targetRecords[endpoint] = work
	}
	return work
}

func (executor *Executor) replicaRecord(order celerylanding.OrderNumber) *replicaRecord {
	work, ok := executor.replicaRecords[order]
	if !ok {
		work = &replicaRecord{}
		executor.replicaRecords[order] = work
	}
	return work
}

func (executor *Executor) decideTarget(now time.Time, current *state.State, target state.Target) []Action {
	endpoint := endpointOf(target)
	work := executor.targetRecord(endpoint)
	var actions []Action
	if action, ok := executor.fenceOrInventory(now, current, target, work); ok {
		work.callPending = true
		actions = append(actions, action)
	}
	if !work.settled {
		return actions
	}
	if action, ok := executor.decideRole(now, current, target, work); ok {
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

// fenceOrInventory returns the next fence or inventory call. Before the first inventory no order of an earlier lease holder may take effect
// any more: a target with fencing has accepted the new token, for any other one OrderTimeout has passed under the lease.
func (executor *Executor) fenceOrInventory(now time.Time, current *state.State, target state.Target, work *targetRecord) (Action, bool) {
	if work.callPending || now.Before(work.nextCall) {
		return Action{}, false
	}
	action := Action{Kind: ActionInventory, Endpoint: endpointOf(target), Fence: executor.fence, Timeout: executor.settings.CallTimeout}
	if target.Fencing && !work.fenced {
		action.Kind = ActionFence
		return action, true
	}
	if !target.Fencing && !work.settled && now.Sub(executor.since) < executor.settings.OrderTimeout {
		return Action{}, false
	}
	return action, !work.settled || now.Sub(work.lastInventory) >= executor.inventoryInterval(current, target)
}

// inventoryInterval returns RetryDelay while the outcome of an order is unknown, and InventoryInterval otherwise.
func (executor *Executor) inventoryInterval(current *state.State, target state.Target) time.Duration {
	for _, replica := range current.ReplicasOn(target.ID) {
		if work, ok := executor.replicaRecords[replica.Order()]; ok && work.outcomeUnknown {
			return executor.settings.RetryDelay
		}
	}
	return executor.settings.InventoryInterval
}

// decideRole orders the role that the configuration sets for the target's group, until the target announces it.
func (executor *Executor) decideRole(now time.Time, current *state.State, target state.Target, work *targetRecord) (Action, bool) {
	if current.Config() == nil || now.Before(work.nextRoleOrder) {
		return Action{}, false
	}
	group, ok := current.Config().Group(target.Group)
	if !ok || group.Role() == "" || group.Role() == target.Role {
		return Action{}, false
	}
	work.nextRoleOrder = now.Add(executor.settings.InventoryInterval)
	order := celerylanding.Order{Fence: executor.fence, Kind: celerylanding.OrderRole, Target: target.ID,
		Incarnation: target.Incarnation, Role: group.Role(), Timeout: executor.settings.CallTimeout}
	return Action{Kind: ActionOrder, Endpoint: endpointOf(target), Order: order, Timeout: order.Timeout}, true
}

func (executor *Executor) decideReplica(now time.Time, current *state.State, target state.Target, replica *state.Replica) (Action, bool) {
	work := executor.replicaRecord(replica.Order())
	if work.callPending || work.outcomeUnknown || now.Before(work.nextOrder) {
		return Action{}, false
	}
	switch replica.State() {
	case state.StateDecided:
		return executor.decideLoad(now, current, target, replica, work)
	case state.StateUnloading:
		return executor.decideUnload(now, target, replica, work)
	}
	return Action{}, false
}

func (executor *Executor) decideLoad(now time.Time, current *state.State, target state.Target,
	replica *state.Replica, work *replicaRecord) (Action, bool) {
	work.tries++
	work.lastLoad = now
	order := executor.order(celerylanding.OrderLoad, target, replica)
	if current.Config() != nil {
		if model, ok := current.Config().Model(replica.Model()); ok {
			order.Base = model.Base()
		}
	}
	return Action{Kind: ActionOrder, Endpoint: endpointOf(target), Order: order, Timeout: order.Timeout}, true
}

func (executor *Executor) decideUnload(now time.Time, target state.Target, replica *state.Replica, work *replicaRecord) (Action, bool) {
	if work.unloadingSince.IsZero() {
		work.unloadingSince = now
	}
	if now.Sub(work.unloadingSince) < executor.settings.DrainGrace {
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
