package control

import (
	"context"
	"time"

	"celerylanding.example/celerylanding/feed"
)

// requestWake queues a wake request for the control goroutine and returns its reply. It turns the request away if too many wait, or if
// this one has waited too long.
func (ctl *Control) requestWake(ctx context.Context, args feed.WakeArgs) feed.WakeReply {
	arrived := ctl.options.Clock()
	replies := make(chan feed.WakeReply, 1)
	work := func(now time.Time) {
		if now.Sub(arrived) > maxWakeDelay {
			replies <- ctl.turnAway(args, "the request has waited too long")
			return
		}
		replies <- ctl.wake(now, args)
	}
	select {
	case ctl.inbox.wakes <- work:
	default:
		return ctl.turnAway(args, "too many requests wait")
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return feed.WakeReply{}
	}
}

func (ctl *Control) turnAway(args feed.WakeArgs, cause string) feed.WakeReply {
	ctl.options.Metrics.Counter("wakes_turned_away").Inc(1)
	ctl.options.Log.Debug().Str("unit", args.Unit.String()).Str("router", string(args.Node)).Str("cause", cause).Msg("wake turned away")
	return feed.WakeReply{Busy: true, Cause: cause}
}

// wake asks the planner to load a unit for waiting requests; it returns an empty reply if this node does not lead or the service has no
// engine.
func (ctl *Control) wake(now time.Time, args feed.WakeArgs) feed.WakeReply {
	if !ctl.leads(now) || ctl.engineSpec(args.Service) == nil {
		return feed.WakeReply{}
	}
	reply := ctl.planner.Wake(now, args)
	ctl.options.Log.Info().Str("unit", args.Unit.String()).Str("router", string(args.Node)).Int("waiting", args.Waiting).
		Dur("patience", args.MaxWait).Dur("expected", reply.Expected).Bool("hopeless", reply.Infeasible).Str("cause", reply.Cause).
		Msg("wake asked for")
	return reply
}
