package proxy

import (
	"math/rand/v2"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// takeOverTime is the time in which another leader normally answers: an election of up to 1.2 s, and the search of the routers for the new leader.
const takeOverTime = 1500 * time.Millisecond

// refuseWithoutLeader refuses a request that needs a load which no leader can order: the leader has been silent for longer than a take-over takes,
// so that nobody knows when it ends. Callers return spread over the time of another take-over, at routers that may reach a leader. It returns nil
// while a take-over may be under way, and for a stream that has begun.
func (handler *Handler) refuseWithoutLeader(now time.Time, call *call) *refusal {
	if call.unansweredSince.IsZero() {
		call.unansweredSince = now
	}
	silence := min(handler.state.sinceContact(now), now.Sub(handler.options.Started))
	if call.delivery.HasBegun() || (now.Sub(call.unansweredSince) < takeOverTime && silence < takeOverTime) {
		return nil
	}
	handler.options.Metrics.Counter("requests_without_leader").Inc(1)
	delay := takeOverTime/2 + time.Duration(rand.Float64()*float64(takeOverTime))
	return unavailableOrFailed(call, celerylanding.ReasonNoQuorum, delay, "no leader answers, so that the model can't be loaded")
}
