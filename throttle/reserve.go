package throttle

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

const (
	// holdTime is the time for which a router would like to hold units for its demand, and askBelow the part of that below which it asks for more.
	// Units are used before they expire.
	holdTime = 2 * time.Second
	askBelow = 0.5
	// minHeldRequests is the number of requests in holdTime from which a router holds units in advance; those of rarer requests would expire.
	minHeldRequests = 2
	// prefetchInterval is the shortest time between two calls while no request waits, and urgentInterval while one does.
	prefetchInterval = 150 * time.Millisecond
	urgentInterval   = 20 * time.Millisecond
	// maxAskInterval is the longest time after which the leader is asked again for what it could not grant.
	maxAskInterval = 250 * time.Millisecond
	// failedAskInterval is the time before the next call after one that failed.
	failedAskInterval = 100 * time.Millisecond
	// rateTTL is how long a router goes by the rate that the leader has named.
	rateTTL = time.Second
	// idleTTL is how long a router remembers a workspace without requests.
	idleTTL = 30 * time.Second
	// costWeight is the weight of a request in the mean cost of the requests.
	costWeight = 0.1
	// minQuotaDelay and maxQuotaDelay bound the delay after which a caller returns.
	minQuotaDelay = 200 * time.Millisecond
	maxQuotaDelay = 8 * time.Second
)

// Reserve is a router's part of the quotas of workspaces, as the leader has granted it. Requests use what is held, and otherwise wait in order
// for the leader's next grant. It is not safe for concurrent use.
type Reserve struct {
	node     celerylanding.NodeID
	process  uint64
	sequence uint64
	term     uint64
	accounts map[celerylanding.WorkspaceID]*reserveAccount
	// isAsking is set while a call is pending; askAt is when the next one may be sent, after a failure or at urgentInterval.
	isAsking bool
	askAt    time.Time
	// failures counts the calls that failed since the last answer.
	failures int
}

// reserveAccount is what a router holds for one workspace.
type reserveAccount struct {
	quota routing.Quota
	// lots are the granted units, the first to expire first.
	lots []lot
	// unsent are the admitted requests that were not sent to a target yet.
	unsent map[*Charge]struct{}
	queue  []*Charge
	demand window
	// meanCost is the mean number of units of the last requests.
	meanCost float64
	usedAt   time.Time
	// rate is what the leader grants per second while there is too little, as of rateAt.
	rate   float64
	rateAt time.Time
	// isShort is set while the leader has granted less than requests need, and readyAt is when it expects to grant more.
	isShort bool
	readyAt time.Time
	// promised is the number of units for which callers were told to return, as of promisedAt.
	promised   float64
	promisedAt time.Time
	// askAt is when the leader is asked again for requests that wait, and prefetchAt when for others.
	askAt, prefetchAt time.Time
}

// lot is a number of units that were granted together.
type lot struct {
	units   float64
	expires time.Time
	term    uint64
}

// ChargeState is what has become of a request's charge.
type ChargeState uint8

// The states of a charge.
const (
	// ChargeWaiting means that the request waits for the leader's next grant.
	ChargeWaiting ChargeState = iota
	// ChargeAdmitted means that the request may be sent.
	ChargeAdmitted
	// ChargeRefused means that the request can't be sent in time.
	ChargeRefused
)

// Charge is the use of a quota by one request.
type Charge struct {
	workspace celerylanding.WorkspaceID
	// rank orders the requests that wait; the lowest goes first.
	rank  int
	units float64
	state ChargeState
	// lot names the term and the expiry of the units.
	lot lot
	// retryAfter is the time after which a refused caller should return, and isCutOff is set if the leader did not say that there is too little.
	retryAfter time.Duration
	isCutOff   bool
}

// State returns what has become of the charge.
func (charge *Charge) State() ChargeState { return charge.state }

// Workspace returns the workspace that is charged.
func (charge *Charge) Workspace() celerylanding.WorkspaceID { return charge.workspace }

// Units returns the number of units of the request.
func (charge *Charge) Units() float64 { return charge.units }

// RetryAfter returns the time after which the caller of a refused request should return.
func (charge *Charge) RetryAfter() time.Duration { return charge.retryAfter }

// IsCutOff reports whether the request was refused because the leader did not answer in time, not because the quota is used up.
func (charge *Charge) IsCutOff() bool { return charge.isCutOff }

// NewReserve returns the reserve of a router that holds nothing; process identifies this start of its process.
func NewReserve(node celerylanding.NodeID, process uint64) *Reserve {
	return &Reserve{node: node, process: process, accounts: make(map[celerylanding.WorkspaceID]*reserveAccount)}
}

// Begin charges a request of a workspace with a limit. It refuses one that would have to wait for longer than its patience.
func (reserve *Reserve) Begin(now time.Time, workspace *routing.Workspace, units float64, patience time.Duration) *Charge {
	return reserve.BeginRanked(now, workspace, 0, units, patience)
}

// BeginRanked is Begin for a request with a rank: it waits behind those of the same rank and before those of higher numbers. A workspace that asks for
// more than its quota gets its more urgent requests served first; the others get what is left, and none waits longer than its patience.
func (reserve *Reserve) BeginRanked(now time.Time, workspace *routing.Workspace, rank int, units float64, patience time.Duration) *Charge {
	account := reserve.account(workspace)
	account.usedAt = now
	account.demand.add(now, int(units))
	if account.meanCost == 0 {
		account.meanCost = units
	}
	account.meanCost += costWeight * (units - account.meanCost)
	charge := &Charge{workspace: workspace.ID, rank: rank, units: units}
	account.enqueue(charge)
	account.serve(now)
	if charge.state == ChargeWaiting && account.delay(now, charge) > patience {
		reserve.refuse(now, account, charge)
	}
	return charge
}

// account returns the state of a workspace, adapted to its current quota.
func (reserve *Reserve) account(workspace *routing.Workspace) *reserveAccount {
	account := reserve.accounts[workspace.ID]
	if account == nil {
		account = &reserveAccount{quota: workspace.Quota, unsent: make(map[*Charge]struct{})}
		reserve.accounts[workspace.ID] = account
	}
	if account.quota == workspace.Quota {
		return account
	}
	share := 0.0
	if account.quota.Unit == workspace.Quota.Unit {
		share = min(1, workspace.Quota.Rate/account.quota.Rate)
	}
	for i := range account.lots {
		account.lots[i].units *= share
	}
	account.quota = workspace.Quota
	return account
}

// expire drops the units that may no longer be used.
func (account *reserveAccount) expire(now time.Time) {
	kept := account.lots[:0]
	for _, lot := range account.lots {
		if lot.units > 0 && now.Before(lot.expires) {
			kept = append(kept, lot)
		}
	}
	account.lots = kept
}

// held returns the number of units that may be used.
func (account *reserveAccount) held() float64 {
	sum := 0.0
	for i := range account.lots {
		sum += account.lots[i].units
	}
	return sum
}

// queued returns the number of units that requests wait for.
func (account *reserveAccount) queued() float64 {
	sum := 0.0
	for _, charge := range account.queue {
		sum += charge.units
	}
	return sum
}

// serve admits waiting requests in the order of their arrival while enough units are held, and returns them.
func (account *reserveAccount) serve(now time.Time) []*Charge {
	account.expire(now)
	held := account.held()
	count := 0
	for _, charge := range account.queue {
		if charge.units > held {
			break
		}
		held -= charge.units
		count++
		account.take(charge)
		charge.state = ChargeAdmitted
		account.unsent[charge] = struct{}{}
	}
	admitted := account.queue[:count:count]
	account.queue = account.queue[count:]
	return admitted
}

// take removes the units of a request from the lots.
func (account *reserveAccount) take(charge *Charge) {
	lacking := charge.units
	for i := range account.lots {
		lot := &account.lots[i]
		used := min(lacking, lot.units)
		if used <= 0 {
			continue
		}
		lot.units -= used
		lacking -= used
		// The units of the charge expire with the first of them, and count for the last leader of those that granted them.
		if charge.lot.expires.IsZero() {
			charge.lot.expires = lot.expires
		}
		charge.lot.term = max(charge.lot.term, lot.term)
	}
}

// enqueue adds a request behind those that go before it.
func (account *reserveAccount) enqueue(charge *Charge) {
	at := len(account.queue)
	for at > 0 && account.queue[at-1].rank > charge.rank {
		at--
	}
	account.queue = slices.Insert(account.queue, at, charge)
}

// delay returns the time until a request of the queue can be sent, as far as it is known: when those before it have had their units.
func (account *reserveAccount) delay(now time.Time, charge *Charge) time.Duration {
	if !account.isRated(now) {
		return 0
	}
	ahead := -account.held()
	for _, waiting := range account.queue {
		if waiting == charge {
			break
		}
		ahead += waiting.units
	}
	ahead = max(0, ahead)
	return max(0, account.readyAt.Sub(now)) + time.Duration(ahead/account.rate*float64(time.Second))
}

// isRated reports whether the leader has said lately that callers ask for more than the quota.
func (account *reserveAccount) isRated(now time.Time) bool {
	return account.rate > 0 && now.Sub(account.rateAt) <= rateTTL
}

// isUnanswered reports whether the leader has not said that there is too little for the requests that wait.
func (reserve *Reserve) isUnanswered(now time.Time, account *reserveAccount) bool {
	return reserve.failures > 0 || !account.isShort && !account.isRated(now)
}

// IsUnanswered reports whether a request waits for an answer of the leader, not for the quota.
func (reserve *Reserve) IsUnanswered(now time.Time, charge *Charge) bool {
	account := reserve.accounts[charge.workspace]
	return charge.state == ChargeWaiting && account != nil && reserve.isUnanswered(now, account)
}

// refuse ends a request that waits. The delay after which its caller returns also counts those that were told to return earlier.
func (reserve *Reserve) refuse(now time.Time, account *reserveAccount, charge *Charge) {
	charge.state, charge.isCutOff = ChargeRefused, reserve.isUnanswered(now, account)
	rate := account.quota.Rate
	if account.isRated(now) {
		rate = account.rate
	}
	account.promised = max(0, account.promised-rate*now.Sub(account.promisedAt).Seconds())
	account.promisedAt = now
	account.promised += charge.units
	ahead := max(0, account.promised+account.queued()-account.held())
	delay := time.Duration(min(ahead/rate, maxQuotaDelay.Seconds()) * float64(time.Second))
	charge.retryAfter = min(max(delay, minQuotaDelay), maxQuotaDelay)
	account.remove(charge)
}

func (account *reserveAccount) remove(charge *Charge) {
	for i, waiting := range account.queue {
		if waiting == charge {
			account.queue = append(account.queue[:i:i], account.queue[i+1:]...)
			return
		}
	}
}

// GiveUp refuses a request that can't wait any longer, and returns those behind it that can be admitted.
func (reserve *Reserve) GiveUp(now time.Time, charge *Charge) []*Charge {
	account := reserve.accounts[charge.workspace]
	if charge.state != ChargeWaiting || account == nil {
		return nil
	}
	reserve.refuse(now, account, charge)
	return account.serve(now)
}

// Use records that an admitted request is sent to a target; its units are used up.
func (reserve *Reserve) Use(charge *Charge) {
	if account := reserve.accounts[charge.workspace]; account != nil {
		delete(account.unsent, charge)
	}
}

// Return gives back the units of an admitted request that has ended without being sent, and returns the requests that can be admitted now. After Use
// it has no effect.
func (reserve *Reserve) Return(now time.Time, charge *Charge) []*Charge {
	account := reserve.accounts[charge.workspace]
	if account == nil {
		return nil
	}
	if _, isUnsent := account.unsent[charge]; !isUnsent {
		return nil
	}
	delete(account.unsent, charge)
	charge.lot.units = charge.units
	account.lots = append([]lot{charge.lot}, account.lots...)
	return account.serve(now)
}
