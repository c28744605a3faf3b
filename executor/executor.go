package executor

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/state"
)

// Settings are an executor's times.
type Settings struct {
	// OrderTimeout bounds an order; a predecessor's order is not believed to be given later than this.
	OrderTimeout time.Duration
	// CallTimeout bounds the other calls.
	CallTimeout time.Duration
	// RetryDelay is the pause between two tries.
	RetryDelay time.Duration
	// CommitTimeout is how long the record of an outcome is believed to be on its way into the log.
	CommitTimeout time.Duration
	// InventoryInterval is the time between two inventories of a settled target.
	InventoryInterval time.Duration
	// AbsenceConfirmDelay is the time between the two inventories that prove that a target without fencing does not hold a model.
	AbsenceConfirmDelay time.Duration
	// DrainGrace is the time that routers get to stop using a replica before it is unloaded.
	DrainGrace time.Duration
	// GoneTimeout is how long a target must refuse connections before its incarnation counts as gone.
	GoneTimeout time.Duration
}

// maxTries is the number of loads of unknown outcome after which a replica is given up.
const maxTries = 3

// Executor works for one failure domain under one lease at a time.
type Executor struct {
	settings Settings
	domain   celerylanding.FailureDomain
	fence    celerylanding.Fence
	since    time.Time
	targets  map[celerylanding.Endpoint]*targetWork
	replicas map[celerylanding.OrderNumber]*replicaWork
}

// targetWork is what the executor knows of one incarnation of a target.
type targetWork struct {
	calling   bool
	fenced    bool
	settled   bool
	inventory time.Time
	due       time.Time
	refusing  time.Time
	// roleDue is when the role may be ordered again; the engine's next announcement shows it.
	roleDue time.Time
}

// replicaWork is what the executor did for one replica under its lease.
type replicaWork struct {
	calling   bool
	due       time.Time
	tries     int
	lastLoad  time.Time
	unknown   bool
	absent    time.Time
	unloading time.Time
}

// New returns an executor without a lease.
func New(settings Settings, domain celerylanding.FailureDomain) *Executor {
	executor := &Executor{settings: settings, domain: domain}
	executor.reset(time.Time{}, 0)
	return executor
}

// reset forgets what was done under an earlier lease.
func (executor *Executor) reset(now time.Time, fence celerylanding.Fence) {
	executor.fence = fence
	executor.since = now
	executor.targets = make(map[celerylanding.Endpoint]*targetWork)
	executor.replicas = make(map[celerylanding.OrderNumber]*replicaWork)
}

// Decide returns the actions to begin now. The fence must be that of a lease which is held at this time.
func (executor *Executor) Decide(now time.Time, current *state.State, fence celerylanding.Fence) []Action {
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
	executor.forget(current)
	return actions
}

func endpointOf(target state.Target) celerylanding.Endpoint {
	return celerylanding.Endpoint{Target: target.ID, Incarnation: target.Incarnation, Address: target.Address}
}

func (executor *Executor) work(endpoint celerylanding.Endpoint) *targetWork {
	work, ok := executor.targets[endpoint]
	if !ok {
		work = &targetWork{}
		executor.targets[endpoint] = work
	}
	return work
}

func (executor *Executor) replica(order celerylanding.OrderNumber) *replicaWork {
	work, ok := executor.replicas[order]
	if !ok {
		work = &replicaWork{}
		executor.replicas[order] = work
	}
	return work
}

func (executor *Executor) decideTarget(now time.Time, current *state.State, target state.Target) []Action {
	endpoint := endpointOf(target)
	work := executor.work(endpoint)
	var actions []Action
	if action, ok := executor.settle(now, current, target, work); ok {
		work.calling = true
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
			executor.replica(replica.Order()).calling = true
			actions = append(actions, action)
		}
	}
	return actions
}

// settle makes sure that no order of an earlier holder can take effect, then takes inventories.
func (executor *Executor) settle(now time.Time, current *state.State, target state.Target, work *targetWork) (Action, bool) {
	if work.calling || now.Before(work.due) {
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
	return action, !work.settled || now.Sub(work.inventory) >= executor.inventoryInterval(current, target)
}

// inventoryInterval is short while the outcome of an order is unknown.
func (executor *Executor) inventoryInterval(current *state.State, target state.Target) time.Duration {
	for _, replica := range current.ReplicasOn(target.ID) {
		if work, ok := executor.replicas[replica.Order()]; ok && work.unknown {
			return executor.settings.RetryDelay
		}
	}
	return executor.settings.InventoryInterval
}

// decideRole orders the role that the configuration states for the target's group, until the target announces it.
func (executor *Executor) decideRole(now time.Time, current *state.State, target state.Target, work *targetWork) (Action, bool) {
	if current.Config() == nil || now.Before(work.roleDue) {
		return Action{}, false
	}
	group, ok := current.Config().Group(target.Group)
	if !ok || group.Role() == "" || group.Role() == target.Role {
		return Action{}, false
	}
	work.roleDue = now.Add(executor.settings.InventoryInterval)
	order := celerylanding.Order{Fence: executor.fence, Kind: celerylanding.OrderRole, Target: target.ID,
		Incarnation: target.Incarnation, Role: group.Role(), Timeout: executor.settings.CallTimeout}
	return Action{Kind: ActionOrder, Endpoint: endpointOf(target), Order: order, Timeout: order.Timeout}, true
}

func (executor *Executor) decideReplica(now time.Time, current *state.State, target state.Target, replica *state.Replica) (Action, bool) {
	work := executor.replica(replica.Order())
	if work.calling || work.unknown || now.Before(work.due) {
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
	replica *state.Replica, work *replicaWork) (Action, bool) {
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

func (executor *Executor) decideUnload(now time.Time, target state.Target, replica *state.Replica, work *replicaWork) (Action, bool) {
	if work.unloading.IsZero() {
		work.unloading = now
	}
	if now.Sub(work.unloading) < executor.settings.DrainGrace {
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

// forget drops the work for targets and replicas that are no longer in the state.
func (executor *Executor) forget(current *state.State) {
	for endpoint := range executor.targets {
		target, ok := current.Target(endpoint.Target)
		if !ok || target.Incarnation != endpoint.Incarnation {
			delete(executor.targets, endpoint)
		}
	}
	for order := range executor.replicas {
		if _, ok := current.Replica(order); !ok {
			delete(executor.replicas, order)
		}
	}
}
