package node

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/executor"
	"celerylanding.example/celerylanding/lease"
	"celerylanding.example/celerylanding/target"
)

const (
	// renewDivisor divides a lease's TTL into its renewal interval.
	renewDivisor = 3
	// expectedCommitTime is the time that an executor's command is expected to take until it is committed.
	expectedCommitTime = 500 * time.Millisecond
)

// domainExecutor carries out the orders of one failure domain while this node holds its lease.
type domainExecutor struct {
	executor  *executor.Executor
	holder    *lease.Holder
	renewDue  time.Time
	renewing  bool
	openCalls int
}

func (ctl *control) executorSettings() executor.Settings {
	return executor.Settings{
		OrderTimeout:        ctl.options.Timing.OrderTimeout,
		CallTimeout:         2 * time.Second,
		RetryDelay:          250 * time.Millisecond,
		CommitTimeout:       2 * expectedCommitTime,
		InventoryInterval:   5 * time.Second,
		AbsenceConfirmDelay: 2 * time.Second,
		DrainGrace:          300 * time.Millisecond,
		GoneTimeout:         3 * time.Second,
	}
}

// leaseDomains returns the failure domains whose lease this node requests: its own and, as leader, those without a live node.
func (ctl *control) leaseDomains(now time.Time) []celerylanding.FailureDomain {
	requested := []celerylanding.FailureDomain{ctl.options.Domain}
	if ctl.currentLeaderState() == nil {
		return requested
	}
	seen := map[celerylanding.FailureDomain]bool{ctl.options.Domain: true}
	for _, registered := range ctl.state.Targets() {
		if !seen[registered.Domain] && !ctl.leaderState.granter.IsDomainNodeAlive(now, registered.Domain) {
			requested = append(requested, registered.Domain)
		}
		seen[registered.Domain] = true
	}
	return requested
}

// runExecutors renews leases and starts the actions that are due in the domains whose lease this node holds.
func (ctl *control) runExecutors(now time.Time) {
	if ctl.stopping {
		ctl.releaseLeases(now)
	} else {
		for _, domain := range ctl.leaseDomains(now) {
			ctl.renewLease(now, domain)
		}
	}
	for domain, exec := range ctl.executors {
		exec.holder.ObserveFence(ctl.state.Lease(domain).Fence())
		fence, held := exec.holder.Fence(now)
		if !held || ctl.stopping {
			continue
		}
		for _, action := range exec.executor.Decide(now, ctl.state, fence) {
			ctl.startAction(now, domain, exec, action)
		}
	}
}

func (ctl *control) domainExecutor(domain celerylanding.FailureDomain) *domainExecutor {
	exec, ok := ctl.executors[domain]
	if !ok {
		exec = &domainExecutor{
			executor: executor.New(ctl.executorSettings(), domain),
			holder:   lease.NewHolder(ctl.leaseSettings()),
		}
		ctl.executors[domain] = exec
	}
	return exec
}

func (ctl *control) renewLease(now time.Time, domain celerylanding.FailureDomain) {
	exec := ctl.domainExecutor(domain)
	if exec.renewing || now.Before(exec.renewDue) {
		return
	}
	exec.renewDue = now.Add(ctl.renewInterval(now, domain, exec))
	args := RenewArgs{Domain: domain, Holder: ctl.holderID, OwnDomain: domain == ctl.options.Domain}
	if ctl.currentLeaderState() != nil {
		if fence, granted := ctl.handleRenewal(now, args); granted {
			ctl.acceptLease(now, domain, exec, now, fence)
		}
		return
	}
	address := ctl.leaderAddress()
	if address == "" {
		return
	}
	exec.renewing = true
	ctl.tasks.Go(func(ctx context.Context) {
		reply := ctl.requestRenewal(ctx, address, args)
		ctl.post(ctx, func(received time.Time) {
			exec.renewing = false
			if reply.Granted {
				// The lease runs from the time of the request, so that it never ends later here than at the leader.
				ctl.acceptLease(received, domain, exec, now, reply.Fence)
			}
		})
	})
}

// renewInterval returns the time until the next renewal: a quarter of the regular interval while the lease is free or its grant to
// this node is not confirmed yet, and the regular interval while this or another node holds it.
func (ctl *control) renewInterval(now time.Time, domain celerylanding.FailureDomain, exec *domainExecutor) time.Duration {
	interval := ctl.options.Timing.LeaseTTL / renewDivisor
	holder := ctl.state.Lease(domain).Holder()
	if _, held := exec.holder.Fence(now); !held && (holder == "" || holder == ctl.holderID) {
		return interval / 4
	}
	return interval
}

func (ctl *control) requestRenewal(ctx context.Context, address string, args RenewArgs) RenewReply {
	ctx, cancel := context.WithTimeout(ctx, ctl.options.Timing.LeaseTTL/2)
	defer cancel()
	var reply RenewReply
	if err := ctl.peers.Call(ctx, address, "Peer.Renew", &args, &reply); err != nil {
		ctl.log.Debug().Err(err).Msg("lease renewal failed")
		return RenewReply{}
	}
	return reply
}

func (ctl *control) acceptLease(now time.Time, domain celerylanding.FailureDomain, exec *domainExecutor,
	sent time.Time, fence celerylanding.FencingToken) {
	before, _ := exec.holder.Fence(now)
	exec.holder.RecordRenewal(sent, fence)
	if fence != before {
		ctl.recorder.Record(now, celerylanding.Event{Kind: "lease_taken", Detail: fmt.Sprintf("%s fence %d", domain, fence)})
	}
}

// releaseLeases releases the leases under which no call to a target is open.
func (ctl *control) releaseLeases(now time.Time) {
	for domain, exec := range ctl.executors {
		if exec.openCalls > 0 {
			continue
		}
		delete(ctl.executors, domain)
		if _, held := exec.holder.Fence(now); !held {
			continue
		}
		args := RenewArgs{Domain: domain, Holder: ctl.holderID, Release: true}
		ctl.recorder.Record(now, celerylanding.Event{Kind: "lease_released", Detail: string(domain)})
		if ctl.currentLeaderState() != nil {
			ctl.handleRenewal(now, args)
		} else if address := ctl.leaderAddress(); address != "" {
			ctl.tasks.Go(func(ctx context.Context) { ctl.requestRenewal(ctx, address, args) })
		}
	}
}

// startAction makes one call to a target in its own goroutine.
func (ctl *control) startAction(now time.Time, domain celerylanding.FailureDomain, exec *domainExecutor, action executor.Action) {
	exec.openCalls++
	if action.Kind == executor.ActionOrder {
		ctl.recorder.Record(now, celerylanding.Event{Kind: "order_" + string(action.Order.Kind), Model: action.Order.Model,
			Target: action.Endpoint.Target, Detail: fmt.Sprintf("order %d fence %d", action.Order.Number, action.Order.Fence)})
	}
	ctl.tasks.Go(func(ctx context.Context) {
		completion := ctl.performAction(ctx, action)
		completion.Started = now
		ctl.post(ctx, func(completedAt time.Time) {
			exec.openCalls--
			ctl.completeAction(completedAt, domain, exec, completion)
		})
	})
}

// performAction calls the target and classifies the result.
func (ctl *control) performAction(ctx context.Context, action executor.Action) executor.Completion {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	completion := executor.Completion{Action: action}
	var err error
	switch action.Kind {
	case executor.ActionOrder:
		err = ctl.orders.Send(ctx, action.Endpoint, action.Order)
	case executor.ActionInventory:
		completion.Inventory, err = ctl.orders.Inventory(ctx, action.Endpoint)
	case executor.ActionFence:
		err = ctl.orders.Fence(ctx, action.Endpoint, action.Fence)
	}
	if err != nil {
		completion.Cause = err.Error()
	}
	completion.Outcome = outcomeOf(err)
	return completion
}

func outcomeOf(err error) executor.Outcome {
	switch {
	case err == nil:
		return executor.OutcomeDone
	case errorx.IsOfType(err, target.ErrOrderRefused):
		return executor.OutcomeRefused
	case errorx.IsOfType(err, target.ErrStaleFence):
		return executor.OutcomeStale
	case errorx.IsOfType(err, target.ErrProcessGone):
		return executor.OutcomeGone
	}
	return executor.OutcomeUnknown
}

// completeAction proposes the commands that follow from the result of a call to a target.
func (ctl *control) completeAction(now time.Time, domain celerylanding.FailureDomain, exec *domainExecutor, completion executor.Completion) {
	if completion.Action.Kind == executor.ActionOrder {
		order := completion.Action.Order
		ctl.recorder.Record(now, celerylanding.Event{Kind: "order_ended", Model: order.Model, Target: order.Target,
			Detail: fmt.Sprintf("%s %s %s", order.Kind, completion.Outcome, completion.Cause)})
	}
	if ctl.state.Lease(domain).Holder() != ctl.holderID {
		return
	}
	for _, command := range exec.executor.Complete(now, ctl.state, completion) {
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, expectedCommitTime*4)
			defer cancel()
			if _, err := ctl.propose(ctx, command); err != nil {
				ctl.log.Warn().Err(err).Msg("failed to commit an order's outcome; the executor determines it again")
			}
		})
	}
}
