package control

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

// recordDetours records which routers reach targets, as a router or a relay reports it.
func (ctl *Control) recordDetours(now time.Time, args *feed.WatchArgs) {
	switch {
	case args.Relay != "":
		ctl.detours.Report(now, args.Node, args.Detours...)
	case args.Detour != nil && !args.IsCut:
		ctl.detours.Report(now, args.Node, *args.Detour)
	case args.Detour != nil:
		ctl.detours.Report(now, args.Node)
	}
}

// addDetours adds the routers that reach targets to a reply, if the node has another list.
func (ctl *Control) addDetours(now time.Time, args *feed.WatchArgs, reply *feed.WatchReply) {
	if reply.Leads {
		ctl.detours.Refresh(now)
	}
	switch {
	case args.Relay != "":
		reply.Detours = ctl.detours.All(args.DetoursDigest)
	case args.Detour != nil:
		reply.Detours = ctl.detours.For(args.Node, args.Detour.Domain, args.DetoursDigest)
	}
}
