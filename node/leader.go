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
	// planInterval is the shortest time between two rounds of placement.
	planInterval = 50 * time.Millisecond
	// idlePlanInterval is the time between two rounds of placement while nothing changes.
	idlePlanInterval = 500 * time.Millisecond
	// membershipCheckInterval is the time between two checks of the membership.
	membershipCheckInterval = 100 * time.Millisecond
	// registerRetryInterval is the time before the leader proposes the same registration again.
	registerRetryInterval = time.Second
)

// leaderState is the state that a leader keeps during one term.
type leaderState struct {
	term               uint64
	granter            *lease.Granter
	plannedAt          time.Time
	plannedIndex       uint64
	membershipCheckDue time.Time
	registerRetryAt    map[celerylanding.TargetID]time.Time
	reservations       map[celerylanding.Endpoint]reservation
}

func (ctl *control) leaseSettings() lease.Settings {
	return lease.Settings{TTL: ctl.options.Timing.LeaseTTL, Drift: ctl.options.Timing.MaxClockDrift}
}

// currentLeaderState returns the state of the current term if this node leads it, and nil otherwise. The lease promises of an
// earlier term must not carry over.
func (ctl *control) currentLeaderState() *leaderState {
	if ctl.leaderState == nil || ctl.core.Role() != quorum.Leader || ctl.leaderState.term != ctl.core.Term() {
		return nil
	}
	return ctl.leaderState
}

// runLeaderTasks does the leader's periodic work once an entry of its term is committed, so that all entries committed in earlier terms have
// been applied.
func (ctl *control) runLeaderTasks(now time.Time) {
	if !ctl.core.HasCommittedInTerm() {
		return
	}
	if ctl.currentLeaderState() == nil {
		ctl.leaderState = &leaderState{
			term:            ctl.core.Term(),
			granter:         lease.NewGranter(now, ctl.leaseSettings()),
			registerRetryAt: make(map[celerylanding.TargetID]time.Time),
			reservations:    make(map[celerylanding.Endpoint]reservation),
		}
		ctl.planner = placement.New(now)
	}
	if !now.Before(ctl.leaderState.membershipCheckDue) {
		ctl.leaderState.membershipCheckDue = now.Add(membershipCheckInterval)
		ctl.reconcileMembership(now)
	}
	if !ctl.isPlanDue(now) || len(ctl.batch) > 0 {
		return
	}
	ctl.leaderState.plannedAt = now
	ctl.leaderState.plannedIndex = ctl.state.Index()
	ctl.registerTargets(now)
	if ctl.core.HasLeaderLease(now) {
		ctl.queueCommands(ctl.planner.Decide(now, ctl.state, ctl.directory))
	}
}

// isPlanDue reports whether a round of placement is due: soon after a change or while requests wait, and rarely otherwise.
func (ctl *control) isPlanDue(now time.Time) bool {
	elapsed := now.Sub(ctl.leaderState.plannedAt)
	hasChanged := ctl.state.Index() != ctl.leaderState.plannedIndex || ctl.planner.HasWaiting()
	return elapsed >= idlePlanInterval || (hasChanged && elapsed >= planInterval)
}

// registerTargets proposes the new incarnations and changed attributes of announced engines.
func (ctl *control) registerTargets(now time.Time) {
	for _, target := range ctl.directory.Targets() {
		announcement := target.Announcement()
		if announcement.Kind != celerylanding.KindEngine || !now.After(ctl.leaderState.registerRetryAt[announcement.Target]) {
			continue
		}
		if now.Sub(target.LastSeen()) > ctl.options.Timing.TargetSilence {
			// A stale announcement must not re-register an incarnation that the state has removed.
			continue
		}
		announced := stateTarget(announcement)
		known, ok := ctl.state.Target(announcement.Target)
		if ok && (known == announced || known.Incarnation > announced.Incarnation) {
			continue
		}
		if ok && known.Incarnation == announced.Incarnation && known.Leaving && !announced.Leaving {
			continue
		}
		ctl.leaderState.registerRetryAt[announcement.Target] = now.Add(registerRetryInterval)
		ctl.queueCommands([]state.Command{{Register: &state.Register{Target: announced, Inventory: announcement.Inventory}}})
	}
}

func stateTarget(announcement celerylanding.Announcement) state.Target {
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

// recordDemand passes a node's demand to the planner and returns the expected load time of a model; it returns zero if this node does not
// lead.
func (ctl *control) recordDemand(now time.Time, node celerylanding.NodeID, reports []celerylanding.DemandReport) time.Duration {
	if ctl.currentLeaderState() == nil {
		return 0
	}
	ctl.planner.Report(now, node, reports)
	return ctl.planner.ColdStart()
}

// handleRenewal extends, grants or ends a lease; it returns the fencing token if the requesting node holds the lease.
func (ctl *control) handleRenewal(now time.Time, args RenewArgs) (celerylanding.FencingToken, bool) {
	if ctl.currentLeaderState() == nil || !ctl.core.HasLeaderLease(now) {
		return 0, false
	}
	held := ctl.state.Lease(args.Domain)
	current := lease.Current{Holder: held.Holder(), Fence: held.Fence()}
	if args.Release {
		if current.Holder == args.Holder {
			ctl.leaderState.granter.Release(now, args.Domain)
		}
		return 0, false
	}
	request := lease.Request{Domain: args.Domain, Holder: args.Holder, InDomain: args.OwnDomain}
	switch ctl.leaderState.granter.Decide(now, request, current) {
	case lease.DecisionRenewed:
		return current.Fence, true
	case lease.DecisionGrant:
		ctl.queueCommands([]state.Command{{GrantLease: &state.GrantLease{Domain: args.Domain, Holder: args.Holder, ExpectedFence: current.Fence}}})
	}
	return 0, false
}

// recordApplied logs a refused command and records a new revision in force.
func (ctl *control) recordApplied(now time.Time, entry quorum.Entry, result state.Result) {
	if result.Code == state.CodeRefused {
		ctl.log.Debug().Uint64("index", entry.Index).Str("detail", result.Detail).Msg("command refused")
	}
	configuration := ctl.state.Config()
	if configuration != nil && configuration.Revision() != ctl.lastRevision {
		ctl.lastRevision = configuration.Revision()
		ctl.recorder.Record(now, celerylanding.Event{Kind: "revision_in_force",
			Detail: fmt.Sprintf("%d %s", configuration.Revision(), configuration.Digest())})
	}
}
