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
	// renewShare is the part of a lease's time after which it is renewed.
	renewShare = 3
	// commitTime is how long commands of an executor are believed to be on their way.
	commitTime = 500 * time.Millisecond
)

// domainExecutor gives the orders of one failure domain while this node holds its lease.
type domainExecutor struct {
	executor *executor.Executor
	holder   *lease.Holder
	renewDue time.Time
	renewing bool
	open     int
}

func (ctl *control) executorSettings() executor.Settings {
	return executor.Settings{
		OrderTimeout:        ctl.options.Timing.OrderTimeout,
		CallTimeout:         2 * time.Second,
		RetryDelay:          250 * time.Millisecond,
		CommitTimeout:       2 * commitTime,
		InventoryInterval:   5 * time.Second,
		AbsenceConfirmDelay: 2 * time.Second,
		DrainGrace:          300 * time.Millisecond,
		GoneTimeout:         3 * time.Second,
	}
}

// domains returns the failure domains whose lease this node wants: its own one and, as leader, those without a node.
func (ctl *control) domains(now time.Time) []celerylanding.FailureDomain {
	wanted := []celerylanding.FailureDomain{ctl.options.Domain}
	if ctl.duties() == nil {
		return wanted
	}
	seen := map[celerylanding.FailureDomain]bool{ctl.options.Domain: true}
	for _, registered := range ctl.state.Targets() {
		if !seen[registered.Domain] && !ctl.leader.granter.IsDomainNodeAlive(now, registered.Domain) {
			wanted = append(wanted, registered.Domain)
		}
		seen[registered.Domain] = true
	}
	return wanted
}

// execute renews leases and gives the orders of the domains that this node holds.
func (ctl *control) execute(now time.Time) {
	if ctl.stopping {
		ctl.releaseLeases(now)
	} else {
		for _, domain := range ctl.domains(now) {
			ctl.renewLease(now, domain)
		}
	}
	for domain, work := range ctl.executors {
		work.holder.ObserveFence(ctl.state.Lease(domain).Fence())
		fence, held := work.holder.Fence(now)
		if !held || ctl.stopping {
			continue
		}
		for _, action := range work.executor.Decide(now, ctl.state, fence) {
			ctl.begin(now, domain, work, action)
		}
	}
}

func (ctl *control) domainExecutor(domain celerylanding.FailureDomain) *domainExecutor {
	work, ok := ctl.executors[domain]
	if !ok {
		work = &domainExecutor{
			executor: executor.New(ctl.executorSettings(), domain),
			holder:   lease.NewHolder(ctl.leaseSettings()),
		}
		ctl.executors[domain] = work
	}
	return work
}

func (ctl *control) renewLease(now time.Time, domain celerylanding.FailureDomain) {
	work := ctl.domainExecutor(domain)
	if work.renewing || now.Before(work.renewDue) {
		return
	}
	work.renewDue = now.Add(ctl.renewInterval(now, domain, work))
	args := RenewArgs{Domain: domain, Holder: ctl.holderID, Own: domain == ctl.options.Domain}
	if ctl.duties() != nil {
		if fence, granted := ctl.renew(now, args); granted {
			ctl.takeLease(now, domain, work, now, fence)
		}
		return
	}
	address := ctl.leaderAddress()
	if address == "" {
		return
	}
	work.renewing = true
	ctl.tasks.Go(func(ctx context.Context) {
		reply := ctl.askToRenew(ctx, address, args)
		ctl.post(ctx, func(answered time.Time) {
			work.renewing = false
			if reply.Granted {
				// The lease counts from before the question was asked.
				ctl.takeLease(answered, domain, work, now, reply.Fence)
			}
		})
	})
}

// renewInterval is short while a lease that nobody holds is on its way to this node, and long while another one holds it.
func (ctl *control) renewInterval(now time.Time, domain celerylanding.FailureDomain, work *domainExecutor) time.Duration {
	interval := ctl.options.Timing.LeaseTTL / renewShare
	holder := ctl.state.Lease(domain).Holder()
	if _, held := work.holder.Fence(now); !held && (holder == "" || holder == ctl.holderID) {
		return interval / 4
	}
	return interval
}

func (ctl *control) askToRenew(ctx context.Context, address string, args RenewArgs) RenewReply {
	ctx, cancel := context.WithTimeout(ctx, ctl.options.Timing.LeaseTTL/2)
	defer cancel()
	var reply RenewReply
	if err := ctl.peers.Call(ctx, address, "Peer.Renew", &args, &reply); err != nil {
		ctl.log.Debug().Err(err).Msg("lease was not renewed")
		return RenewReply{}
	}
	return reply
}

func (ctl *control) takeLease(now time.Time, domain celerylanding.FailureDomain, work *domainExecutor, sent time.Time, fence celerylanding.Fence) {
	before, _ := work.holder.Fence(now)
	work.holder.Renewed(sent, fence)
	if fence != before {
		ctl.recorder.Record(now, celerylanding.Event{Kind: "lease_taken", Detail: fmt.Sprintf("%s fence %d", domain, fence)})
	}
}

// releaseLeases gives up the leases under which no order is open any more.
func (ctl *control) releaseLeases(now time.Time) {
	for domain, work := range ctl.executors {
		if work.open > 0 {
			continue
		}
		delete(ctl.executors, domain)
		if _, held := work.holder.Fence(now); !held {
			continue
		}
		args := RenewArgs{Domain: domain, Holder: ctl.holderID, Release: true}
		ctl.recorder.Record(now, celerylanding.Event{Kind: "lease_released", Detail: string(domain)})
		if ctl.duties() != nil {
			ctl.renew(now, args)
		} else if address := ctl.leaderAddress(); address != "" {
			ctl.tasks.Go(func(ctx context.Context) { ctl.askToRenew(ctx, address, args) })
		}
	}
}

// begin makes one call to a target in a goroutine of its own.
func (ctl *control) begin(now time.Time, domain celerylanding.FailureDomain, work *domainExecutor, action executor.Action) {
	work.open++
	if action.Kind == executor.ActionOrder {
		ctl.recorder.Record(now, celerylanding.Event{Kind: "order_" + string(action.Order.Kind), Model: action.Order.Model,
			Target: action.Endpoint.Target, Detail: fmt.Sprintf("order %d fence %d", action.Order.Number, action.Order.Fence)})
	}
	ctl.tasks.Go(func(ctx context.Context) {
		completion := ctl.perform(ctx, action)
		completion.Started = now
		ctl.post(ctx, func(ended time.Time) {
			work.open--
			ctl.complete(ended, domain, work, completion)
		})
	})
}

// perform calls the target and sorts the answer.
func (ctl *control) perform(ctx context.Context, action executor.Action) executor.Completion {
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

// complete records what a call to a target proved, in the log.
func (ctl *control) complete(now time.Time, domain celerylanding.FailureDomain, work *domainExecutor, completion executor.Completion) {
	if completion.Action.Kind == executor.ActionOrder {
		order := completion.Action.Order
		ctl.recorder.Record(now, celerylanding.Event{Kind: "order_ended", Model: order.Model, Target: order.Target,
			Detail: fmt.Sprintf("%s %s %s", order.Kind, completion.Outcome, completion.Cause)})
	}
	if ctl.state.Lease(domain).Holder() != ctl.holderID {
		return
	}
	for _, command := range work.executor.Complete(now, ctl.state, completion) {
		ctl.tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, commitTime*4)
			defer cancel()
			if _, err := ctl.propose(ctx, command); err != nil {
				ctl.log.Warn().Err(err).Msg("an order's outcome was not recorded; it is found out anew")
			}
		})
	}
}
