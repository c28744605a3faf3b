package control

import (
	"time"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// maxAllowanceDelay is how long a router's request may wait for the control goroutine; a grant for an older one would be lost, since the router has
// stopped waiting for it.
const maxAllowanceDelay = 250 * time.Millisecond

// observeSuccession records changes of the leader that the log shows.
func (ctl *Control) observeSuccession(now time.Time) {
	if newest, terms := ctl.core.TermsAfter(ctl.succession.Term()); terms > 0 {
		ctl.succession.Observe(now, newest, terms)
	}
}

// resetAllowances begins the grants of a new term: those of an earlier leader are unknown.
func (ctl *Control) resetAllowances(now time.Time) {
	ctl.allowances = throttle.NewAllocator(ctl.core.Term(), ctl.options.Allowances, ctl.succession)
	ctl.updateAllowances(now)
}

// updateAllowances takes over the allowances of the active configuration.
func (ctl *Control) updateAllowances(now time.Time) {
	var workspaces []routing.Workspace
	if ctl.configuration != nil {
		workspaces = ctl.configuration.Workspaces
	}
	ctl.allowances.SetWorkspaces(now, workspaces)
}

// grantAllowances grants a router parts of the allowances of workspaces if this node leads. A request that has arrived after the given time, since the VM
// stood still, is granted only by a lease that was in force when it arrived: the grant lasts from its sending.
func (ctl *Control) grantAllowances(now, arrived time.Time, args *feed.AllowanceArgs) feed.AllowanceReply {
	now = later(now, arrived)
	if !ctl.leads(now) || ctl.allowances == nil || now.Sub(arrived) > maxAllowanceDelay {
		return feed.AllowanceReply{}
	}
	reply := ctl.allowances.Grant(now, args)
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		scope := ctl.options.Metrics.Tagged(map[string]string{"workspace": string(grant.Workspace)})
		scope.Counter("allowance_granted_units").Inc(int64(grant.Units))
		if grant.Wait > 0 {
			scope.Counter("allowance_grants_short").Inc(1)
		}
	}
	return reply
}
