package executor

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// ActionKind is the kind of a call to a target.
type ActionKind int

// The kinds of action.
const (
	// ActionOrder sends a load, unload or role order.
	ActionOrder ActionKind = iota
	// ActionInventory lists the models that the target holds.
	ActionInventory
	// ActionFence raises the target's fencing token, so that it refuses orders of earlier lease holders.
	ActionFence
)

// Action is one call to a target that the user of this package has to make.
type Action struct {
	Kind     ActionKind
	Endpoint celerylanding.Endpoint
	Order    celerylanding.Order
	Fence    celerylanding.FencingToken
	Timeout  time.Duration
}

// Outcome is how an action ended.
type Outcome int

// The outcomes of an action.
const (
	// OutcomeDone means that the target carried out the call.
	OutcomeDone Outcome = iota
	// OutcomeRefused means that the target has not carried out the call and will not.
	OutcomeRefused
	// OutcomeStale means that the target has seen a higher fencing token.
	OutcomeStale
	// OutcomeGone means that nothing listens at the target's address, or that another incarnation does.
	OutcomeGone
	// OutcomeUnknown means that the target may have carried out the call or may still do so.
	OutcomeUnknown
)

// Completion is the result of an action.
type Completion struct {
	Action    Action
	Outcome   Outcome
	Inventory []celerylanding.LoadedModel
	Cause     string
	// Started is the local time at which the action was started.
	Started time.Time
}

// String returns the name of the outcome.
func (outcome Outcome) String() string {
	return [...]string{"done", "refused", "stale", "gone", "unknown"}[outcome]
}
