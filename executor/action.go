package executor

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// ActionKind tells the calls to a target apart.
type ActionKind int

// The kinds of action.
const (
	// ActionOrder gives a load or unload order.
	ActionOrder ActionKind = iota
	// ActionInventory asks what the target holds.
	ActionInventory
	// ActionFence makes the target refuse earlier holders.
	ActionFence
)

// Action is one call that the caller of this package has to make.
type Action struct {
	Kind     ActionKind
	Endpoint celerylanding.Endpoint
	Order    celerylanding.Order
	Fence    celerylanding.Fence
	Timeout  time.Duration
}

// Outcome is how an action ended.
type Outcome int

// The outcomes of an action.
const (
	// OutcomeDone means that the target did what was asked.
	OutcomeDone Outcome = iota
	// OutcomeRefused means that the target did not do it and will not.
	OutcomeRefused
	// OutcomeStale means that the target knows a later holder.
	OutcomeStale
	// OutcomeGone means that nothing listens at the target's address, or that another incarnation does.
	OutcomeGone
	// OutcomeUnknown means that the target may have done it or may still do it.
	OutcomeUnknown
)

// Completion reports the end of an action.
type Completion struct {
	Action    Action
	Outcome   Outcome
	Inventory []celerylanding.LoadedModel
	Cause     string
	// Started is when the action was started.
	Started time.Time
}

// String returns the name of the outcome.
func (outcome Outcome) String() string {
	return [...]string{"done", "refused", "stale", "gone", "unknown"}[outcome]
}
