package executor

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/state"
)

// Complete processes the result of an action and returns the commands that record what it proves.
func (executor *Executor) Complete(now time.Time, current *state.State, completion Completion) []state.Command {
	action := completion.Action
	work := executor.targetRecord(action.Endpoint)
	if action.fence() != executor.fence {
		// The action belongs to an earlier lease; the inventory under the current one shows its outcome.
		return nil
	}
	if action.Order.Kind == celerylanding.OrderRole {
		// The target's announcement shows whether its role has changed; until then the order is repeated.
		return nil
	}
	if completion.Outcome == OutcomeGone {
		executor.recordGoneCall(now, action, work)
		return executor.onGone(now, action.Endpoint, work)
	}
	work.goneSince = time.Time{}
	switch action.Kind {
	case ActionFence:
		work.callPending = false
		work.fenced = completion.Outcome == OutcomeDone
		work.nextCall = executor.nextCallTime(now, work.fenced)
	case ActionInventory:
		return executor.onInventory(now, current, completion, work)
	case ActionOrder:
		return executor.onOrder(now, completion)
	}
	return nil
}

// fence returns the fencing token of the lease under which the action was started.
func (action Action) fence() celerylanding.FencingToken {
	if action.Kind == ActionOrder {
		return action.Order.Fence
	}
	return action.Fence
}

// nextCallTime returns the time of the next call to a target: now after a success, otherwise after the retry delay.
func (executor *Executor) nextCallTime(now time.Time, done bool) time.Time {
	if done {
		return now
	}
	return now.Add(executor.settings.RetryDelay)
}

// recordGoneCall ends a call that found no such incarnation; the outcome of an order becomes unknown.
func (executor *Executor) recordGoneCall(now time.Time, action Action, work *targetRecord) {
	work.callPending = false
	work.nextCall = now.Add(executor.settings.RetryDelay)
	if action.Kind == ActionOrder {
		replica := executor.replicaRecord(action.Order.Number)
		replica.callPending = false
		replica.outcomeUnknown = true
		replica.nextOrder = work.nextCall
	}
}

// onGone deregisters an incarnation that has not been found at its address for GoneTimeout.
func (executor *Executor) onGone(now time.Time, endpoint celerylanding.Endpoint, work *targetRecord) []state.Command {
	if work.goneSince.IsZero() {
		work.goneSince = now
	}
	if now.Sub(work.goneSince) < executor.settings.GoneTimeout {
		return nil
	}
	return []state.Command{{Deregister: &state.Deregister{Target: endpoint.Target, Incarnation: endpoint.Incarnation}}}
}

// onInventory adopts models that the state does not count and resolves orders of unknown outcome.
func (executor *Executor) onInventory(now time.Time, current *state.State, completion Completion, work *targetRecord) []state.Command {
	endpoint := completion.Action.Endpoint
	work.callPending = false
	work.nextCall = executor.nextCallTime(now, completion.Outcome == OutcomeDone)
	if completion.Outcome != OutcomeDone {
		return nil
	}
	work.settled = true
	work.lastInventory = now
	var commands []state.Command
	for _, found := range completion.Inventory {
		if !isKnown(current, endpoint, found.Model) {
			commands = append(commands, state.Command{Adopt: &state.Adopt{Target: endpoint.Target,
				Incarnation: endpoint.Incarnation, Model: found.Model, Bytes: found.Bytes}})
		}
	}
	for _, replica := range current.ReplicasOn(endpoint.Target) {
		if replica.Incarnation() == endpoint.Incarnation {
			commands = append(commands, executor.reconcile(now, current, replica, completion)...)
		}
	}
	return commands
}

func isKnown(current *state.State, endpoint celerylanding.Endpoint, model celerylanding.ModelID) bool {
	return slices.ContainsFunc(current.ReplicasOn(endpoint.Target), func(replica *state.Replica) bool {
		return replica.Model() == model
	})
}

// reconcile resolves a replica whose last order has an unknown outcome; an inventory from before the last load proves nothing.
func (executor *Executor) reconcile(now time.Time, current *state.State, replica *state.Replica, completion Completion) []state.Command {
	work := executor.replicaRecord(replica.Order())
	if !work.outcomeUnknown || completion.Started.Before(work.lastLoad) {
		return nil
	}
	at := slices.IndexFunc(completion.Inventory, func(found celerylanding.LoadedModel) bool {
		return found.Model == replica.Model()
	})
	if at >= 0 {
		work.absentSince = time.Time{}
		return executor.reconcilePresent(now, replica, work, completion.Inventory[at].State)
	}
	return executor.reconcileAbsent(now, current, replica, work)
}

func (executor *Executor) reconcilePresent(now time.Time, replica *state.Replica, work *replicaRecord, found string) []state.Command {
	switch {
	case replica.State() == state.StateUnloading:
		// The model is still loaded, so the unload order is sent again.
		work.outcomeUnknown = false
	case found == "ready":
		work.outcomeUnknown = false
		return executor.advance(now, replica.Order(), state.EventLoaded, "")
	}
	return nil
}

// reconcileAbsent handles a replica that the inventory does not list. A loading replica is loaded again, or unloaded after maxLoadTries.
// An unloading replica is released once its absence is confirmed.
func (executor *Executor) reconcileAbsent(now time.Time, current *state.State, replica *state.Replica, work *replicaRecord) []state.Command {
	target, _ := current.Target(replica.Target())
	if replica.State() == state.StateDecided {
		work.outcomeUnknown = false
		if work.tries < maxLoadTries {
			return nil
		}
		return executor.advance(now, replica.Order(), state.EventUnload, "")
	}
	if !executor.isConfirmedAbsent(now, target, work) {
		return nil
	}
	work.outcomeUnknown = false
	return executor.advance(now, replica.Order(), state.EventAbsent, "")
}

// isConfirmedAbsent reports whether no earlier load can still take effect. The last load must be older than OrderTimeout; a target
// without fencing, which cannot refuse late orders, must also lack the model in two inventories that are AbsenceConfirmDelay apart.
func (executor *Executor) isConfirmedAbsent(now time.Time, target state.Target, work *replicaRecord) bool {
	if work.absentSince.IsZero() {
		work.absentSince = now
	}
	if !work.lastLoad.IsZero() && now.Sub(work.lastLoad) < executor.settings.OrderTimeout {
		return false
	}
	return target.Fencing || now.Sub(work.absentSince) >= executor.settings.AbsenceConfirmDelay
}

func (executor *Executor) onOrder(now time.Time, completion Completion) []state.Command {
	order := completion.Action.Order
	work := executor.replicaRecord(order.Number)
	work.callPending = false
	switch completion.Outcome {
	case OutcomeDone:
		return executor.onOrderDone(now, order, work)
	case OutcomeRefused:
		work.nextOrder = now.Add(executor.settings.RetryDelay)
		return executor.onOrderRefused(now, order, work, completion.Cause)
	case OutcomeUnknown, OutcomeStale:
		work.nextOrder = now.Add(executor.settings.RetryDelay)
		work.outcomeUnknown = true
	}
	return nil
}

func (executor *Executor) onOrderDone(now time.Time, order celerylanding.Order, work *replicaRecord) []state.Command {
	if order.Kind == celerylanding.OrderLoad {
		work.clearSingleLoad()
		return executor.advance(now, order.Number, state.EventLoaded, "")
	}
	if !work.lastLoad.IsZero() && now.Sub(work.lastLoad) < executor.settings.OrderTimeout {
		// A load of unknown outcome may still arrive after this unload.
		work.outcomeUnknown = true
		work.nextOrder = now.Add(executor.settings.RetryDelay)
		return nil
	}
	return executor.advance(now, order.Number, state.EventAbsent, "")
}

// onOrderRefused reports a failed load only if no earlier load of the replica can still arrive; otherwise it unloads the replica.
func (executor *Executor) onOrderRefused(now time.Time, order celerylanding.Order, work *replicaRecord, cause string) []state.Command {
	if order.Kind != celerylanding.OrderLoad {
		return nil
	}
	if work.clearSingleLoad() {
		return executor.advance(now, order.Number, state.EventLoadFailed, cause)
	}
	return executor.advance(now, order.Number, state.EventUnload, "")
}

// clearSingleLoad resets the load history after a load with a known outcome; it is false when earlier loads may still take effect.
func (work *replicaRecord) clearSingleLoad() bool {
	if work.tries > 1 {
		return false
	}
	work.tries = 0
	work.lastLoad = time.Time{}
	return true
}

// advance returns the command for the event and sends no further order for the replica until the command can be committed.
func (executor *Executor) advance(now time.Time, order celerylanding.OrderNumber, event chart.Event, cause string) []state.Command {
	executor.replicaRecord(order).nextOrder = now.Add(executor.settings.CommitTimeout)
	return []state.Command{{Advance: &state.Advance{Order: order, Event: string(event), Fence: executor.fence, Cause: cause}}}
}
