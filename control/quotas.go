package control

import (
	"slices"
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// maxQuotaDelay is how long a router's request may wait for the control goroutine; a grant for an older one would be lost, since the router has
// stopped waiting for it.
const maxQuotaDelay = 250 * time.Millisecond

// resetQuotas begins the grants of a new term: those of earlier leaders are unknown, back to the last one that was settled.
func (ctl *Control) resetQuotas(now time.Time) {
	_, changes := ctl.core.TermsAfter(max(ctl.settledTerm, quorum.BootstrapTerm))
	ctl.quotas = throttle.NewAllocator(now, ctl.core.Term(), ctl.options.Quotas, changes)
	ctl.isSettling = true
	ctl.updateQuotas(now)
}

// settleQuotas proposes to record this term once all grants of earlier leaders have expired, if any workspace has a limit.
func (ctl *Control) settleQuotas(now time.Time) {
	if !ctl.isSettling || !ctl.quotas.IsSettled(now) || ctl.configuration == nil {
		return
	}
	isLimited := slices.ContainsFunc(ctl.configuration.Workspaces, func(workspace routing.Workspace) bool { return workspace.Quota.IsLimited() })
	if !isLimited {
		return
	}
	data, err := encodeCommand(&replicated{SettledTerm: ctl.core.Term()})
	if err != nil {
		ctl.options.Log.Error().Err(err).Msg("settled term can't be encoded")
		return
	}
	ctl.isSettling = false
	// Without a commit this node loses its role, and the next leader counts this term as not settled.
	ctl.batch = append(ctl.batch, queuedCommand{data, make(chan ProposeReply, 1)})
}

// updateQuotas takes over the quotas of the active configuration.
func (ctl *Control) updateQuotas(now time.Time) {
	var workspaces []routing.Workspace
	if ctl.configuration != nil {
		workspaces = ctl.configuration.Workspaces
	}
	ctl.quotas.SetWorkspaces(now, workspaces)
}

// grantQuotas grants a router parts of the quotas of workspaces if this node leads. A request that has arrived after the given time, since the VM
// stood still, is granted only by a lease that was in force when it arrived: the grant lasts from its sending.
func (ctl *Control) grantQuotas(now, arrived time.Time, args *feed.QuotaArgs) feed.QuotaReply {
	now = later(now, arrived)
	if !ctl.leads(now) || ctl.quotas == nil || now.Sub(arrived) > maxQuotaDelay {
		return feed.QuotaReply{}
	}
	reply := ctl.quotas.Grant(now, args)
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		scope := ctl.options.Metrics.Tagged(map[string]string{"workspace": string(grant.Workspace)})
		scope.Counter("quota_granted_units").Inc(int64(grant.Units))
		if grant.Wait > 0 {
			scope.Counter("quota_grants_short").Inc(1)
		}
	}
	return reply
}
