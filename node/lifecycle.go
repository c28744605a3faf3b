package node

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
)

// life returns the state in the node chart.
func (node *Node) life() chart.State {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.state
}

// move carries out an event of the node chart; one that does not apply changes nothing.
func (node *Node) move(event chart.Event) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	next, err := node.chart.Next(node.state, event)
	if err != nil || next == node.state {
		return
	}
	node.state = next
	node.recorder.Record(time.Now(), celerylanding.Event{Kind: "node", Detail: string(next)})
}

// Terminate begins a drain; called again, it ends the node at once.
func (node *Node) Terminate() {
	isFirst := false
	node.terminate.Do(func() {
		isFirst = true
		node.move(eventTerminate)
		close(node.terminated)
	})
	if !isFirst {
		node.move(eventTerminate)
		node.endDrain()
	}
}

func (node *Node) endDrain() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	select {
	case <-node.drained:
	default:
		close(node.drained)
	}
}

// watchLife makes the node ready once it has caught up with a leader, or serves what it has when none is heard of.
func (node *Node) watchLife(ctx context.Context) error {
	ticker := time.NewTicker(lifePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if node.life() != node.chart.Initial() {
				continue
			}
			var ready bool
			isLate := now.Sub(node.began) > joinGrace
			if err := node.control.ask(ctx, func(time.Time) { ready = node.control.isCaughtUp(isLate) }); err != nil || !ready {
				continue
			}
			if node.learnTargets(ctx) || isLate {
				node.move(eventJoined)
			}
		}
	}
}

// learnTargets asks the leader, or any other node, what it has heard of targets; a node without others knows enough.
func (node *Node) learnTargets(ctx context.Context) bool {
	var addresses []string
	err := node.control.ask(ctx, func(time.Time) {
		if leader := node.control.leaderAddress(); leader != node.control.member.Address {
			addresses = append(addresses, leader)
		}
	})
	addresses = append(addresses, node.options.Peers...)
	if err != nil || len(addresses) == 0 {
		return err == nil
	}
	for _, address := range addresses {
		asked, cancel := context.WithTimeout(ctx, lifePoll*4)
		var known AnnounceArgs
		err := node.peers.Call(asked, address, "Peer.Announcements", &Empty{}, &known)
		cancel()
		if err != nil {
			continue
		}
		return node.control.ask(ctx, func(now time.Time) {
			for _, announcement := range known.Announcements {
				node.control.observe(now, announcement)
			}
		}) == nil
	}
	return false
}

// isCaughtUp reports whether the node knows the configuration in force, or the latest one it can get while cut off.
func (ctl *control) isCaughtUp(alone bool) bool {
	if ctl.core.Leader() != "" && ctl.core.CommitIndex() > 0 {
		return true
	}
	return alone && ctl.state.Config() != nil
}

// drain waits until the node is told to stop, then until the balancer has noticed and the last request has ended.
func (node *Node) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-node.terminated:
	}
	node.control.post(ctx, func(time.Time) { node.control.stopping = true })
	notice := time.NewTimer(node.options.Timing.DrainNotice)
	limit := time.NewTimer(node.options.Timing.DrainTimeout)
	poll := time.NewTicker(drainPoll)
	defer notice.Stop()
	defer limit.Stop()
	defer poll.Stop()
	noticed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-node.drained:
			return nil
		case <-limit.C:
			node.move(eventExpired)
			return nil
		case <-notice.C:
			noticed = true
		case <-poll.C:
			if noticed && node.isIdle(ctx) {
				node.move(eventDrained)
				return nil
			}
		}
	}
}

// isIdle reports whether no request and no order is open.
func (node *Node) isIdle(ctx context.Context) bool {
	if node.gateway.Open() > 0 || node.tasks.Running() > 0 {
		return false
	}
	idle := false
	err := node.control.ask(ctx, func(time.Time) { idle = len(node.control.executors) == 0 })
	return err == nil && idle
}
