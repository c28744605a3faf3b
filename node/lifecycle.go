package node

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
)

// lifecycleState returns the node's state in the node chart.
func (node *Node) lifecycleState() chart.State {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.state
}

// applyEvent applies an event of the node chart; one without a transition from the present state changes nothing.
func (node *Node) applyEvent(event chart.Event) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	next, err := node.chart.Next(node.state, event)
	if err != nil || next == node.state {
		return
	}
	node.state = next
	node.recorder.Record(time.Now(), celerylanding.Event{Kind: "node", Detail: string(next)})
}

// Terminate begins a drain; a second call ends the node at once.
func (node *Node) Terminate() {
	isFirst := false
	node.terminateOnce.Do(func() {
		isFirst = true
		node.applyEvent(eventTerminate)
		close(node.terminated)
	})
	if !isFirst {
		node.applyEvent(eventTerminate)
		node.abortDrain()
	}
}

func (node *Node) abortDrain() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	select {
	case <-node.drainAborted:
	default:
		close(node.drainAborted)
	}
}

// watchReadiness makes the node ready once it has caught up with a leader and fetched the targets, or after joinTimeout if it has any
// configuration.
func (node *Node) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if node.lifecycleState() != node.chart.Initial() {
				continue
			}
			var ready bool
			joinTimedOut := now.Sub(node.startedAt) > joinTimeout
			if err := node.control.call(ctx, func(time.Time) { ready = node.control.isCaughtUp(joinTimedOut) }); err != nil || !ready {
				continue
			}
			if node.fetchTargets(ctx) || joinTimedOut {
				node.applyEvent(eventJoined)
			}
		}
	}
}

// fetchTargets fetches the known targets from the leader or any other node. It returns true if a node has answered or there is no other
// node.
func (node *Node) fetchTargets(ctx context.Context) bool {
	var addresses []string
	err := node.control.call(ctx, func(time.Time) {
		if leader := node.control.leaderAddress(); leader != "" && leader != node.control.member.Address {
			addresses = append(addresses, leader)
		}
	})
	addresses = append(addresses, node.options.Peers...)
	if err != nil || len(addresses) == 0 {
		return err == nil
	}
	for _, address := range addresses {
		callCtx, cancel := context.WithTimeout(ctx, readinessPollInterval*4)
		var known AnnounceArgs
		err := node.peers.Call(callCtx, address, "Peer.Announcements", &Empty{}, &known)
		cancel()
		if err != nil {
			continue
		}
		return node.control.call(ctx, func(now time.Time) {
			for _, announcement := range known.Announcements {
				node.control.observe(now, announcement)
			}
		}) == nil
	}
	return false
}

// isCaughtUp reports whether the node knows the configuration in force or, if it may serve without a leader, any configuration.
func (ctl *control) isCaughtUp(withoutLeader bool) bool {
	if ctl.core.Leader() != "" && ctl.core.CommitIndex() > 0 {
		return true
	}
	return withoutLeader && ctl.state.Config() != nil
}

// drain waits for Terminate, then until DrainNotice has passed and the last request has ended, but at most for DrainTimeout or until the
// drain is aborted.
func (node *Node) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-node.terminated:
	}
	node.control.post(ctx, func(time.Time) { node.control.stopping = true })
	notice := time.NewTimer(node.options.Timing.DrainNotice)
	limit := time.NewTimer(node.options.Timing.DrainTimeout)
	poll := time.NewTicker(drainPollInterval)
	defer notice.Stop()
	defer limit.Stop()
	defer poll.Stop()
	noticePassed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-node.drainAborted:
			return nil
		case <-limit.C:
			node.applyEvent(eventExpired)
			return nil
		case <-notice.C:
			noticePassed = true
		case <-poll.C:
			if noticePassed && node.isIdle(ctx) {
				node.applyEvent(eventDrained)
				return nil
			}
		}
	}
}

// isIdle reports whether no request and no order is open.
func (node *Node) isIdle(ctx context.Context) bool {
	if node.gateway.InFlight() > 0 || node.tasks.Running() > 0 {
		return false
	}
	idle := false
	err := node.control.call(ctx, func(time.Time) { idle = len(node.control.executors) == 0 })
	return err == nil && idle
}
