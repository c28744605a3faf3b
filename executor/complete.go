package executor

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/state"
)

// Complete processes the result of an action and returns the commands for the changes that the result proves.
func (executor *Executor) Complete(now time.Time, current *state.State, completion Completion) []state.Command {
	action := completion.Action
	record := executor.targetRecord(action.Endpoint)
	if action.fence() != executor.fence {
		// The action belongs to an earlier lease; an inventory under the current one shows its outcome.
		return nil
	}
	if action.Order.Kind == celerylanding.OrderRole {
		// The target's announcement shows whether its role has changed; until then the order is repeated.
		return nil
	}
	if completion.Outcome == OutcomeGone {
		executor.recordGoneCall(now, action, record)
		return executor.onGone(now, action.Endpoint, record)
	}
	record.goneSince = time.Time{}
	switch action.Kind {
	case ActionFence:
		record.callPending = false
		record.fenced = completion.Outcome == OutcomeDone
		record.nextCall = executor.nextCallTime(now, record.fenced)
	case ActionInventory:
		return executor.onInventory(now, current, completion, record)
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

// recordGoneCall ends a call that did not find the incarnation at its address; the outcome of an order becomes unknown.
func (executor *Executor) recordGoneCall(now time.Time, action Action, record *targetRecord) {
	record.callPending = false
	record.nextCall = now.Add(executor.settings.RetryDelay)
	if action.Kind == ActionOrder {
		replica := executor.replicaRecord(action.Order.Number)
		replica.callPending = false
		replica.outcomeUnknown = true
		replica.nextOrder = record.nextCall
	}
}

// onGone deregisters an incarnation that has not been found at its address for GoneTimeout.
func (executor *Executor) onGone(now time.Time, endpoint celerylanding.Endpoint, record *targetRecord) []state.Command {
	if record.goneSince.IsZero() {
		record.goneSince = now
	}
	if now.Sub(record.goneSince) < executor.settings.GoneTimeout {
		return nil
	}
	return []state.Command{{Deregister: &state.Deregister{Target: endpoint.Target, Incarnation: endpoint.Incarnation}}}
}

// onInventory adopts models that the state does not count and resolves orders of unknown outcome.
func (executor *Executor) onInventory(now time.Time, current *state.State, completion Completion, record *targetRecord) []state.Command {
	endpoint := completion.Action.Endpoint
	record.callPending = false
	record.nextCall = executor.nextCallTime(now, completion.Outcome == OutcomeDone)
	if completion.Outcome != OutcomeDone {
		return nil
	}
	record.settled = true
	record.lastInventory = now
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

// reconcile resolves a replica whose last order has an unknown outcome; an inventory that was requested before the last load proves nothing.
func (executor *Executor) reconcile(now time.Time, current *state.State, replica *state.Replica, completion Completion) []state.Command {
	record := executor.replicaRecord(replica.Order())
	if !record.outcomeUnknown || completion.Started.Before(record.lastLoad) {
		return nil
	}
	at := slices.IndexFunc(completion.Inventory, func(found celerylanding.LoadedModel) bool {
		return found.Model == replica.Model()
	})
	if at >= 0 {
		record.absentSince = time.Time{}
		return executor.reconcilePresent(now, replica, record, completion.Inventory[at].State)
	}
	return executor.reconcileAbsent(now, current, replica, record)
}

func (executor *Executor) reconcilePresent(now time.Time, replica *state.Replica, record *replicaRecord, found string) []state.Command {
	switch {
	case replica.State() == state.StateUnloading:
		// The model is still loaded, so the unload order is sent again.
		record.outcomeUnknown = false
	case found == "ready":
		record.outcomeUnknown = false
		return executor.advance(now, replica.Order(), state.EventLoaded, "")
	}
	return nil
}

// reconcileAbsent handles a replica that the inventory does not list. A loading replica is loaded again, or unloaded after maxLoadAttempts.
// An unloading replica is released once its absence is confirmed.
func (executor *Executor) reconcileAbsent(now time.Time, current *state.State, replica *state.Replica, record *replicaRecord) []state.Command {
	target, _ := current.Target(replica.Target())
	if replica.State() == state.StateDecided {
		record.outcomeUnknown = false
		if record.loadAttempts < maxLoadAttempts {
			return nil
		}
		return executor.advance(now, replica.Order(), state.EventUnload, "")
	}
	if !executor.isConfirmedAbsent(now, target, record) {
		return nil
	}
	record.outcomeUnknown = false
	return executor.advance(now, replica.Order(), state.EventAbsent, "")
}

// isConfirmedAbsent reports whether no earlier load can still take effect. The last load must be older than OrderTimeout; a target
// without fencing, which cannot refuse late orders, must also lack the model in two inventories that are AbsenceConfirmDelay apart.
func (executor *Executor) isConfirmedAbsent(now time.Time, target state.Target, record *replicaRecord) bool {
	if record.absentSince.IsZero() {
		record.absentSince = now
	}
	if !record.lastLoad.IsZero() && now.Sub(record.lastLoad) < executor.settings.OrderTimeout {
		return false
	}
	return target.Fencing || now.Sub(record.absentSince) >= executor.settings.AbsenceConfirmDelay
}

func (executor *Executor) onOrder(now time.Time, completion Completion) []state.Command {
	order := completion.Action.Order
	record := executor.replicaRecord(order.Number)
	record.callPending = false
	switch completion.Outcome {
	case OutcomeDone:
		return executor.onOrderDone(now, order, record)
	case OutcomeRefused:
		record.nextOrder = now.Add(executor.settings.RetryDelay)
		return executor.onOrderRefused(now, order, record, completion.Cause)
	case OutcomeUnknown, OutcomeStale:
		record.nextOrder = now.Add(executor.settings.RetryDelay)
		record.outcomeUnknown = true
	}
	return nil
}

func (executor *Executor) onOrderDone(now time.Time, order celerylanding.Order, record *replicaRecord) []state.Command {
	if order.Kind == celerylanding.OrderLoad {
		record.clearSingleLoad()
		return executor.advance(now, order.Number, state.EventLoaded, "")
	}
	if !record.lastLoad.IsZero() && now.Sub(record.lastLoad) < executor.settings.OrderTimeout {
		// A load of unknown outcome may still take effect after this unload.
		record.outcomeUnknown = true
		record.nextOrder = now.Add(executor.settings.RetryDelay)
		return nil
	}
	return executor.advance(now, order.Number, state.EventAbsent, "")
}

// onOrderRefused handles a refused order. It reports a failed load only if no earlier load of the replica can still take effect; otherwise it
// unloads the replica.
func (executor *Executor) onOrderRefused(now time.Time, order celerylanding.Order, record *replicaRecord, cause string) []state.Command {
	if order.Kind != celerylanding.OrderLoad {
		return nil
	}
	if record.clearSingleLoad() {
		return executor.advance(now, order.Number, state.EventLoadFailed, cause)
	}
	return executor.advance(now, order.Number, state.EventUnload, "")
}

// clearSingleLoad resets the load history after a load with a known outcome; it returns false if earlier loads may still take effect.
func (record *replicaRecord) clearSingleLoad() bool {
	if record.loadAttempts > 1 {
		return false
	}
	record.loadAttempts = 0
	record.lastLoad = time.Time{}
	return true
}

// advance returns the command for the event and delays further orders for the replica by CommitTimeout, so that the command can be committed.
func (executor *Executor) advance(now time.Time, order celerylanding.OrderNumber, event chart.Event, cause string) []state.Command {
	executor.replicaRecord(order).nextOrder = now.Add(executor.settings.CommitTimeout)
	return []state.Command{{Advance: &state.Advance{Order: order, Event: string(event), Fence: executor.fence, Cause: cause}}}
}
