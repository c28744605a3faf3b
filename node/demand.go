package node

import (
	"context"
	"time"
)

// reportDemand tells the leader what callers wait for, soon after it changes.
func (node *Node) reportDemand(ctx context.Context) error {
	ticker := time.NewTicker(demandPoll)
	defer ticker.Stop()
	var sent time.Time
	waiting := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			count := node.traffic.Waiting()
			interval := idleInterval
			if node.traffic.IsBusy() {
				interval = demandInterval
			}
			if count <= waiting && now.Sub(sent) < interval {
				continue
			}
			waiting, sent = count, now
			node.sendDemand(ctx, now)
		}
	}
}

func (node *Node) sendDemand(ctx context.Context, now time.Time) {
	args := &ReportArgs{Node: node.options.ID, Reports: node.traffic.Demand(now)}
	var leader string
	var coldStart time.Duration
	err := node.control.ask(ctx, func(now time.Time) {
		if node.control.duties() != nil {
			coldStart = node.control.report(now, args.Node, args.Reports)
			return
		}
		leader = node.control.leaderAddress()
	})
	if err != nil {
		return
	}
	if leader != "" {
		ctx, cancel := context.WithTimeout(ctx, demandInterval)
		defer cancel()
		var reply ReportReply
		if err := node.peers.Call(ctx, leader, "Peer.Report", args, &reply); err != nil {
			return
		}
		coldStart = reply.ColdStart
	}
	node.control.post(ctx, func(time.Time) { node.control.setColdStart(coldStart) })
}

func (ctl *control) setColdStart(coldStart time.Duration) {
	if coldStart > 0 && coldStart != ctl.coldStart {
		ctl.coldStart = coldStart
		ctl.dirty = true
	}
}
