package proxy

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

const (
	// originTimeout is the timeout of one call to the leader for the origin of a stream, and originInterval the time between two calls.
	originTimeout  = 400 * time.Millisecond
	originInterval = 100 * time.Millisecond
	// originWait is how long the leader is asked for a stream that it does not know: the time in which another router's report arrives, also
	// through a relay.
	originWait = 700 * time.Millisecond
	// originLeaderWait is how long a stream waits while no leader answers, or a new one, which covers an election.
	originLeaderWait = 2 * time.Second
)

// findOrigin finds the software version that began the stream that a call takes up. A stream of unknown origin is refused, since targets do not
// check whether they can go on with it.
func (handler *Handler) findOrigin(ctx context.Context, call *call) *refusal {
	if !handler.lacksOrigin(call) {
		return nil
	}
	key := hash(call.metadata.Resumes)
	for {
		reply, err := handler.askOrigin(ctx, feed.OriginArgs{Service: call.service, Call: key})
		now := handler.options.Clock()
		limit := originWait
		switch {
		case err == nil && reply.IsKnown:
			call.origin, call.waited = reply.Software, now.Sub(call.arrived)
			return nil
		case err != nil || reply.IsStarting:
			limit = originLeaderWait
		}
		if now.Add(originInterval).After(call.arrived.Add(limit)) || handler.refusesWaiting.Load() {
			return unavailable(celerylanding.ReasonUnknownOrigin, 0, "the version of the software that began the stream is not known")
		}
		if !sleep(ctx, originInterval) {
			return deadlineExceeded(call)
		}
	}
}

// lacksOrigin reports whether the leader must be asked for the origin of the stream that a call takes up; otherwise it is set if there is one.
func (handler *Handler) lacksOrigin(call *call) bool {
	if call.route.Kind != routing.KindStream || call.metadata.ResumeAfter == "" {
		return false
	}
	software, isKnown := handler.journal.Find(hash(call.metadata.Resumes))
	call.origin = software
	return !isKnown
}

func (handler *Handler) askOrigin(ctx context.Context, args feed.OriginArgs) (feed.OriginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	return handler.options.Leader.Origin(ctx, args)
}

// recordOrigin records which software version has begun the stream of a call, also under the ID of the call that brought its first event: the caller's
// next attempt names that one, and the router that recorded it may be lost.
func (handler *Handler) recordOrigin(call *call) {
	now := handler.options.Clock()
	handler.journal.Record(now, hash(call.metadata.ID), call.origin)
	if call.metadata.ResumeAfter != "" && call.metadata.Resumes != "" {
		handler.journal.Record(now, hash(call.metadata.Resumes), call.origin)
	}
}
