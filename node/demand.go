package node

import (
	"context"
	"time"
)

// reportDemand sends the node's demand to the leader: as soon as a poll finds more waiting requests than at the last report, and otherwise at
// demandInterval or idleDemandInterval.
func (node *Node) reportDemand(ctx context.Context) error {
	ticker := time.NewTicker(demandPollInterval)
	defer ticker.Stop()
	var lastSent time.Time
	lastWaiting := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			count := node.dispatcher.Waiting()
			interval := idleDemandInterval
			if node.dispatcher.HasDemand() {
				interval = demandInterval
			}
			if count <= lastWaiting && now.Sub(lastSent) < interval {
				continue
			}
			lastWaiting, lastSent = count, now
			node.sendDemand(ctx, now)
		}
	}
}

func (node *Node) sendDemand(ctx context.Context, now time.Time) {
	args := &ReportArgs{Node: node.options.ID, Reports: node.dispatcher.Demand(now)}
	var leader string
	var coldStart time.Duration
	err := node.control.call(ctx, func(now time.Time) {
		if node.control.currentLeaderState() != nil {
			coldStart = node.control.recordDemand(now, args.Node, args.Reports)
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
