package control

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

// locate returns where the leader's state is, without that state.
func (ctl *Control) locate(now time.Time, isOutdated bool) feed.WatchReply {
	reply := feed.WatchReply{Leader: ctl.leaderAddress(), Members: ctl.memberAddresses(), Term: ctl.core.Term()}
	switch {
	case isOutdated:
	case ctl.leads(now):
		reply.Leads, reply.Relays = true, ctl.relayCandidates(now)
	case ctl.relays(now):
		reply.Relayed, reply.Relays = true, ctl.feed.relayAddresses
	}
	return reply
}
