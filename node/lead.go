package node

import (
	"fmt"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/lease"
	"celerylanding.example/celerylanding/placement"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/state"
)

const (
	planInterval = 50 * time.Millisecond
	// quietPlanInterval is the time between two rounds of placement while nothing changes.
	quietPlanInterval = 500 * time.Millisecond
	reshapeInterval   = 100 * time.Millisecond
	// pendingTime is how long a proposal of the leader's own is not repeated.
	pendingTime = time.Second
)

// leaderDuties is what only the leader does; it is made anew in each term.
type leaderDuties struct {
	term         uint64
	granter      *lease.Granter
	planned      time.Time
	plannedIndex uint64
	reshapeDue   time.Time
	registered   map[celerylanding.TargetID]time.Time
	isolated     map[celerylanding.Endpoint]isolationRow
}

func (ctl *control) leaseSettings() lease.Settings {
	return lease.Settings{TTL: ctl.options.Timing.LeaseTTL, Drift: ctl.options.Timing.MaxClockDrift}
}

// duties returns what this node does as the leader of the present term, or nil. What an earlier term promised must not be
// mixed with it.
func (ctl *control) duties() *leaderDuties {
	if ctl.leader == nil || ctl.core.Role() != quorum.Leader || ctl.leader.term != ctl.core.Term() {
		return nil
	}
	return ctl.leader
}

// lead does the leader's work, once all that earlier terms committed has been applied.
func (ctl *control) lead(now time.Time) {
	if !ctl.core.HasCommittedInTerm() {
		return
	}
	if ctl.duties() == nil {
		ctl.leader = &leaderDuties{
			term:       ctl.core.Term(),
			granter:    lease.NewGranter(now, ctl.leaseSettings()),
			registered: make(map[celerylanding.TargetID]time.Time),
			isolated:   make(map[celerylanding.Endpoint]isolationRow),
		}
		ctl.planner = placement.New(now)
	}
	if !now.Before(ctl.leader.reshapeDue) {
		ctl.leader.reshapeDue = now.Add(reshapeInterval)
		ctl.reshape(now)
	}
	if !ctl.isPlanDue(now) || len(ctl.batch) > 0 {
		return
	}
	ctl.leader.planned = now
	ctl.leader.plannedIndex = ctl.state.Index()
	ctl.registerTargets(now)
	if ctl.core.HasLeaderLease(now) {
		ctl.submit(ctl.planner.Decide(now, ctl.state, ctl.directory))
	}
}

// isPlanDue paces the placement: soon after something has changed or while requests wait, and rarely otherwise.
func (ctl *control) isPlanDue(now time.Time) bool {
	elapsed := now.Sub(ctl.leader.planned)
	hasChanged := ctl.state.Index() != ctl.leader.plannedIndex || ctl.planner.HasWaiting()
	return elapsed >= quietPlanInterval || (hasChanged && elapsed >= planInterval)
}

// registerTargets records new incarnations and changed facts of the engines that were heard of.
func (ctl *control) registerTargets(now time.Time) {
	for _, target := range ctl.directory.Targets() {
		announcement := target.Announcement()
		if announcement.Kind != celerylanding.KindEngine || !now.After(ctl.leader.registered[announcement.Target]) {
			continue
		}
		if now.Sub(target.LastHeard()) > ctl.options.Timing.TargetSilence {
			// An old announcement must not bring back an incarnation that the log has forgotten.
			continue
		}
		facts := factsOf(announcement)
		known, ok := ctl.state.Target(announcement.Target)
		if ok && (known == facts || known.Incarnation > facts.Incarnation) {
			continue
		}
		if ok && known.Incarnation == facts.Incarnation && known.Leaving && !facts.Leaving {
			continue
		}
		ctl.leader.registered[announcement.Target] = now.Add(pendingTime)
		ctl.submit([]state.Command{{Register: &state.Register{Target: facts, Inventory: announcement.Inventory}}})
	}
}

func factsOf(announcement celerylanding.Announcement) state.Target {
	return state.Target{
		ID:          announcement.Target,
		Incarnation: announcement.Incarnation,
		Domain:      announcement.Domain,
		Group:       announcement.Group,
		Address:     announcement.Address,
		Kind:        announcement.Kind,
		Memory:      announcement.Memory,
		Fencing:     announcement.Fencing,
		Leaving:     announcement.Leaving,
		Role:        announcement.Role,
	}
}

// report takes a node's demand if this node leads, and returns the expected load time.
func (ctl *control) report(now time.Time, node celerylanding.NodeID, reports []celerylanding.DemandReport) time.Duration {
	if ctl.duties() == nil {
		return 0
	}
	ctl.planner.Report(now, node, reports)
	return ctl.planner.ColdStart()
}

// renew extends, grants or ends a lease; the fence is that of a lease which the caller holds.
func (ctl *control) renew(now time.Time, args RenewArgs) (celerylanding.Fence, bool) {
	if ctl.duties() == nil || !ctl.core.HasLeaderLease(now) {
		return 0, false
	}
	held := ctl.state.Lease(args.Domain)
	current := lease.Current{Holder: held.Holder(), Fence: held.Fence()}
	if args.Release {
		if current.Holder == args.Holder {
			ctl.leader.granter.Release(now, args.Domain)
		}
		return 0, false
	}
	request := lease.Request{Domain: args.Domain, Holder: args.Holder, InDomain: args.Own}
	switch ctl.leader.granter.Decide(now, request, current) {
	case lease.DecisionRenewed:
		return current.Fence, true
	case lease.DecisionGrant:
		ctl.submit([]state.Command{{GrantLease: &state.GrantLease{Domain: args.Domain, Holder: args.Holder, ExpectedFence: current.Fence}}})
	}
	return 0, false
}

// noteApplied records what a command changed.
func (ctl *control) noteApplied(now time.Time, entry quorum.Entry, result state.Result) {
	if result.Code == state.CodeRefused {
		ctl.log.Debug().Uint64("index", entry.Index).Str("detail", result.Detail).Msg("command refused")
	}
	configuration := ctl.state.Config()
	if configuration != nil && configuration.Number() != ctl.lastNumber {
		ctl.lastNumber = configuration.Number()
		ctl.recorder.Record(now, celerylanding.Event{Kind: "revision_in_force",
			Detail: fmt.Sprintf("%d %s", configuration.Number(), configuration.Digest())})
	}
}
