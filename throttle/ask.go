package throttle

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// Ask returns the arguments of the next call to the leader if one is due. The call must end with HandleReply or HandleFailure.
func (reserve *Reserve) Ask(now time.Time) (*feed.QuotaArgs, bool) {
	if reserve.isAsking || now.Before(reserve.askAt) {
		return nil, false
	}
	isDue := false
	for id, account := range reserve.accounts {
		account.expire(now)
		if len(account.queue) == 0 && len(account.unsent) == 0 && now.Sub(account.usedAt) > idleTTL {
			delete(reserve.accounts, id)
			continue
		}
		isDue = isDue || account.isDue(now)
	}
	if !isDue {
		return nil, false
	}
	reserve.sequence++
	args := &feed.QuotaArgs{Node: reserve.node, Process: reserve.process, Sequence: reserve.sequence, Term: reserve.term}
	for id, account := range reserve.accounts {
		request := account.request(now, reserve.term)
		if request.Wanted <= 0 && request.Returned <= 0 {
			continue
		}
		request.Workspace = id
		args.Requests = append(args.Requests, request)
	}
	reserve.isAsking = true
	return args, true
}

// NeedsCall reports whether a call is needed, now or later, after a charge.
func (reserve *Reserve) NeedsCall(now time.Time, charge *Charge) bool {
	if charge.state == ChargeWaiting {
		return true
	}
	account := reserve.accounts[charge.workspace]
	return account != nil && !reserve.isAsking && !now.Before(reserve.askAt) && account.isDue(now)
}

// target returns the number of units that a router would like to hold for its demand.
func (account *reserveAccount) target(now time.Time) float64 {
	target := account.demand.rate(now) * holdTime.Seconds()
	if target < minHeldRequests*account.meanCost {
		return 0
	}
	return target
}

// isDue reports whether the leader is to be asked for this workspace.
func (account *reserveAccount) isDue(now time.Time) bool {
	if len(account.queue) > 0 && !now.Before(account.askAt) {
		return true
	}
	return !now.Before(account.prefetchAt) && account.held() < askBelow*account.target(now)
}

// request returns what to ask for, and gives back what is more than twice the target.
func (account *reserveAccount) request(now time.Time, term uint64) feed.QuotaRequest {
	target, held, queued := account.target(now), account.held(), account.queued()
	request := feed.QuotaRequest{Unit: account.quota.Unit, Demand: account.demand.recentRate(now), Needed: max(0, queued-held)}
	if len(account.queue) > 0 {
		request.Least = min(request.Needed, max(0, account.queue[0].units-held))
	}
	request.Wanted = request.Needed + max(0, target-max(0, held-queued))
	if excess := held - queued - 2*target - account.meanCost; excess > 0 {
		request.Returned = account.giveBack(excess, term)
	}
	for i := range account.lots {
		if account.lots[i].term == term {
			request.Held += account.lots[i].units
		}
	}
	for charge := range account.unsent {
		if charge.lot.term == term && now.Before(charge.lot.expires) {
			request.Held += charge.units
		}
	}
	return request
}

// giveBack removes units that a leader has granted, and returns their number.
func (account *reserveAccount) giveBack(units float64, term uint64) float64 {
	returned := 0.0
	for i := range account.lots {
		if lot := &account.lots[i]; lot.term == term {
			removed := min(units-returned, lot.units)
			lot.units -= removed
			returned += removed
		}
	}
	return returned
}

// HandleReply takes over the leader's grants for a call that was sent at a time, and returns the requests that can be sent now.
func (reserve *Reserve) HandleReply(now, sent time.Time, args *feed.QuotaArgs, reply *feed.QuotaReply) []*Charge {
	if reply.Term < reserve.term {
		reserve.HandleFailure(now)
		return nil
	}
	reserve.isAsking, reserve.failures = false, 0
	reserve.askAt = now.Add(urgentInterval)
	reserve.term = reply.Term
	grants := make(map[celerylanding.WorkspaceID]*feed.QuotaGrant, len(reply.Grants))
	for i := range reply.Grants {
		grants[reply.Grants[i].Workspace] = &reply.Grants[i]
	}
	var admitted []*Charge
	for i := range args.Requests {
		request := &args.Requests[i]
		account := reserve.accounts[request.Workspace]
		if account == nil {
			continue
		}
		grant := grants[request.Workspace]
		if grant == nil {
			grant = &feed.QuotaGrant{Wait: maxAskInterval}
		}
		if grant.Units > 0 && account.quota.Unit == request.Unit {
			account.lots = append(account.lots, lot{units: grant.Units, expires: sent.Add(grant.TTL), term: reply.Term})
		}
		account.isShort = grant.Units < request.Needed && grants[request.Workspace] != nil
		account.rate, account.rateAt = grant.Rate, now
		account.readyAt = now.Add(grant.Wait)
		account.askAt = now.Add(min(grant.Wait, maxAskInterval))
		account.prefetchAt = sent.Add(prefetchInterval)
		admitted = append(admitted, account.serve(now)...)
	}
	return admitted
}

// HandleFailure records that a call has failed.
func (reserve *Reserve) HandleFailure(now time.Time) {
	reserve.isAsking = false
	reserve.failures++
	reserve.askAt = now.Add(failedAskInterval)
}

// NextAsk returns the time until a call may be due for the requests that wait; false while none waits or a call is pending.
func (reserve *Reserve) NextAsk(now time.Time) (time.Duration, bool) {
	next, isWaiting := time.Duration(0), false
	for _, account := range reserve.accounts {
		if len(account.queue) == 0 || reserve.isAsking {
			continue
		}
		if wait := max(0, account.askAt.Sub(now), reserve.askAt.Sub(now)); !isWaiting || wait < next {
			next, isWaiting = wait, true
		}
	}
	return next, isWaiting
}
