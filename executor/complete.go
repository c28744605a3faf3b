package executor

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/state"
)

// Complete takes the end of an action and returns the commands that record what it proved.
func (executor *Executor) Complete(now time.Time, current *state.State, completion Completion) []state.Command {
	action := completion.Action
	work := executor.work(action.Endpoint)
	if action.fence() != executor.fence {
		// The action belongs to an earlier lease; its outcome is found out anew.
		return nil
	}
	if action.Order.Kind == celerylanding.OrderRole {
		// The target's announcement tells whether it has changed; until then the order is repeated.
		return nil
	}
	if completion.Outcome == OutcomeGone {
		executor.release(now, action, work)
		return executor.onGone(now, action.Endpoint, work)
	}
	work.refusing = time.Time{}
	switch action.Kind {
	case ActionFence:
		work.calling = false
		work.fenced = completion.Outcome == OutcomeDone
		work.due = executor.retryAt(now, work.fenced)
	case ActionInventory:
		return executor.onInventory(now, current, completion, work)
	case ActionOrder:
		return executor.onOrder(now, completion)
	}
	return nil
}

// fence returns the lease under which the action was taken.
func (action Action) fence() celerylanding.Fence {
	if action.Kind == ActionOrder {
		return action.Order.Fence
	}
	return action.Fence
}

func (executor *Executor) retryAt(now time.Time, done bool) time.Time {
	if done {
		return now
	}
	return now.Add(executor.settings.RetryDelay)
}

func (executor *Executor) release(now time.Time, action Action, work *targetWork) {
	work.calling = false
	work.due = now.Add(executor.settings.RetryDelay)
	if action.Kind == ActionOrder {
		replica := executor.replica(action.Order.Number)
		replica.calling = false
		replica.unknown = true
		replica.due = work.due
	}
}

// onGone forgets an incarnation whose address has refused connections for long enough.
func (executor *Executor) onGone(now time.Time, endpoint celerylanding.Endpoint, work *targetWork) []state.Command {
	if work.refusing.IsZero() {
		work.refusing = now
	}
	if now.Sub(work.refusing) < executor.settings.GoneTimeout {
		return nil
	}
	return []state.Command{{Forget: &state.Forget{Target: endpoint.Target, Incarnation: endpoint.Incarnation}}}
}

func (executor *Executor) onInventory(now time.Time, current *state.State, completion Completion, work *targetWork) []state.Command {
	endpoint := completion.Action.Endpoint
	work.calling = false
	work.due = executor.retryAt(now, completion.Outcome == OutcomeDone)
	if completion.Outcome != OutcomeDone {
		return nil
	}
	work.settled = true
	work.inventory = now
	var commands []state.Command
	for _, found := range completion.Inventory {
		if !isKnown(current, endpoint, found.Model) {
			commands = append(commands, state.Command{Adopt: &state.Adopt{Target: endpoint.Target,
				Incarnation: endpoint.Incarnation, Model: found.Model, Bytes: found.Bytes}})
		}
	}
	for _, replica := range current.ReplicasOn(endpoint.Target) {
		if replica.Incarnation() == endpoint.Incarnation {
			commands = append(commands, executor.compare(now, current, replica, completion)...)
		}
	}
	return commands
}

func isKnown(current *state.State, endpoint celerylanding.Endpoint, model celerylanding.ModelID) bool {
	return slices.ContainsFunc(current.ReplicasOn(endpoint.Target), func(replica *state.Replica) bool {
		return replica.Model() == model
	})
}

// compare resolves a replica whose last order had an unknown outcome.
func (executor *Executor) compare(now time.Time, current *state.State, replica *state.Replica, completion Completion) []state.Command {
	work := executor.replica(replica.Order())
	if !work.unknown || completion.Started.Before(work.lastLoad) {
		return nil
	}
	at := slices.IndexFunc(completion.Inventory, func(found celerylanding.LoadedModel) bool {
		return found.Model == replica.Model()
	})
	if at >= 0 {
		work.absent = time.Time{}
		return executor.comparePresent(now, replica, work, completion.Inventory[at].State)
	}
	return executor.compareAbsent(now, current, replica, work)
}

func (executor *Executor) comparePresent(now time.Time, replica *state.Replica, work *replicaWork, found string) []state.Command {
	switch {
	case replica.State() == state.StateUnloading:
		// Whatever was going on has not ended the replica; the next unload order will.
		work.unknown = false
	case found == "ready":
		work.unknown = false
		return executor.advance(now, replica.Order(), state.EventLoaded, "")
	}
	return nil
}

// compareAbsent believes that a model is gone at once where late orders are refused, and otherwise only after a second look
// that follows the last order by its time-out.
func (executor *Executor) compareAbsent(now time.Time, current *state.State, replica *state.Replica, work *replicaWork) []state.Command {
	target, _ := current.Target(replica.Target())
	if replica.State() == state.StateDecided {
		work.unknown = false
		if work.tries < maxTries {
			return nil
		}
		return executor.advance(now, replica.Order(), state.EventUnload, "")
	}
	if !executor.isSettledAbsent(now, target, work) {
		return nil
	}
	work.unknown = false
	return executor.advance(now, replica.Order(), state.EventAbsent, "")
}

func (executor *Executor) isSettledAbsent(now time.Time, target state.Target, work *replicaWork) bool {
	if work.absent.IsZero() {
		work.absent = now
	}
	if !work.lastLoad.IsZero() && now.Sub(work.lastLoad) < executor.settings.OrderTimeout {
		return false
	}
	return target.Fencing || now.Sub(work.absent) >= executor.settings.AbsenceConfirmDelay
}

func (executor *Executor) onOrder(now time.Time, completion Completion) []state.Command {
	order := completion.Action.Order
	work := executor.replica(order.Number)
	work.calling = false
	switch completion.Outcome {
	case OutcomeDone:
		return executor.onOrderDone(now, order, work)
	case OutcomeRefused:
		work.due = now.Add(executor.settings.RetryDelay)
		return executor.onOrderRefused(now, order, work, completion.Cause)
	case OutcomeUnknown, OutcomeStale:
		work.due = now.Add(executor.settings.RetryDelay)
		work.unknown = true
	}
	return nil
}

func (executor *Executor) onOrderDone(now time.Time, order celerylanding.Order, work *replicaWork) []state.Command {
	if order.Kind == celerylanding.OrderLoad {
		work.settleOnlyLoad()
		return executor.advance(now, order.Number, state.EventLoaded, "")
	}
	if !work.lastLoad.IsZero() && now.Sub(work.lastLoad) < executor.settings.OrderTimeout {
		// A load of unknown outcome may still arrive after this unload.
		work.unknown = true
		work.due = now.Add(executor.settings.RetryDelay)
		return nil
	}
	return executor.advance(now, order.Number, state.EventAbsent, "")
}

// onOrderRefused releases a replica only if no earlier load of it can still arrive.
func (executor *Executor) onOrderRefused(now time.Time, order celerylanding.Order, work *replicaWork, cause string) []state.Command {
	if order.Kind != celerylanding.OrderLoad {
		return nil
	}
	if work.settleOnlyLoad() {
		return executor.advance(now, order.Number, state.EventLoadFailed, cause)
	}
	return executor.advance(now, order.Number, state.EventUnload, "")
}

// settleOnlyLoad notes that the outcome of the last load is known; it is false when earlier ones are not.
func (work *replicaWork) settleOnlyLoad() bool {
	if work.tries > 1 {
		return false
	}
	work.tries = 0
	work.lastLoad = time.Time{}
	return true
}

// advance asks for the log entry and leaves the replica alone until it can be there.
func (executor *Executor) advance(now time.Time, order celerylanding.OrderNumber, event chart.Event, cause string) []state.Command {
	executor.replica(order).due = now.Add(executor.settings.CommitTimeout)
	return []state.Command{{Advance: &state.Advance{Order: order, Event: string(event), Fence: executor.fence, Cause: cause}}}
}
