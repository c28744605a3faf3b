package throttle

import (
	"slices"
	"time"

	"celerylanding.example/celerylanding/routing"
)

// Preview is what a reserve holds for a workspace, and what would become of a request.
type Preview struct {
	// Charge is the state that the request's charge would get at once; one that would wait is ChargeWaiting.
	Charge Charge
	// Held is the number of units that may be used now, and Queued the number that requests wait for.
	Held, Queued float64
	// Rate is what the leader grants per second while there is too little, zero if it has named nothing lately, and Ready the time until it expects
	// to grant more.
	Rate  float64
	Ready time.Duration
	// Failures is the number of calls to the leader that failed since its last answer.
	Failures int
}

// Preview returns what Begin would do with a request, by Begin itself on a copy; the reserve does not change.
func (reserve *Reserve) Preview(now time.Time, workspace *routing.Workspace, rank int, units float64, patience time.Duration) Preview {
	copied := NewReserve(reserve.node, reserve.process)
	copied.failures = reserve.failures
	if account := reserve.accounts[workspace.ID]; account != nil {
		copied.accounts[workspace.ID] = account.clone()
	}
	account := copied.account(workspace)
	account.expire(now)
	preview := Preview{Held: account.held(), Queued: account.queued(), Failures: reserve.failures}
	if now.Sub(account.rateAt) <= rateTTL {
		preview.Rate, preview.Ready = account.rate, max(0, account.readyAt.Sub(now))
	}
	preview.Charge = *copied.BeginRanked(now, workspace, rank, units, patience)
	return preview
}

// clone returns a copy that shares nothing with the account.
func (account *reserveAccount) clone() *reserveAccount {
	clone := *account
	clone.lots = slices.Clone(account.lots)
	clone.unsent = make(map[*Charge]struct{})
	clone.queue = make([]*Charge, len(account.queue))
	for i, charge := range account.queue {
		copied := *charge
		clone.queue[i] = &copied
	}
	return &clone
}
