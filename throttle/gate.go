package throttle

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// horizon is the time for which the rest of a limit's budget is spread over the demand: the next figures of the leader come sooner, through a
	// relay too. In a steady state, budgetTime/(budgetTime+horizon) of the limit is used.
	horizon = 2500 * time.Millisecond
	// ownTTL is how long a router goes by what a target's last answer to it said; then the leader's list decides, which other routers' answers
	// keep up to date.
	ownTTL = 2 * time.Second
	// publishedGrace is how long a limit is kept that the leader no longer lists, since a new leader starts without any.
	publishedGrace = 3 * time.Second
	// figuresTTL is the time in which the next figures of the leader arrive, also through a relay.
	figuresTTL = 500 * time.Millisecond
	// demandTTL is how long the leader's figure for the demand of all routers is used without a newer one.
	demandTTL = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after which a client returns, and retryTime is that delay where the demand is just the
	// limit. Clients that return later are spread over a longer time, so that more of them are served then.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	retryTime     = 500 * time.Millisecond
)

// Gate decides on one router which requests may be sent to targets that announce a limit. A limit allows a budget of requests in budgetTime.
// Each router lets the same share of its requests pass, by what all routers have left of the budget and by their demand, so that few requests
// of each of many routers stay within the limit too. It is not safe for concurrent use.
type Gate struct {
	node    celerylanding.NodeID
	targets map[celerylanding.TargetID]*gateState
	// listedAt is when the leader's last list arrived.
	listedAt time.Time
}

// gateState is what a router knows of one incarnation of a target.
type gateState struct {
	incarnation celerylanding.Incarnation
	// limit is what the target's last answer to this router named, at answeredAt.
	limit      float64
	hasLimit   bool
	answeredAt time.Time
	// published is what the leader last listed, at publishedAt.
	published   feed.TargetLimit
	publishedAt time.Time
	demand      window
	passed      window
	// wanted and sent are the number of requests for the target, and of those that were sent, since the last report; unpublished counts those
	// sent since the leader's figures arrived.
	wanted, sent, unpublished int
	// credit grows by the share that may pass with each request, and falls by one with each that passes.
	credit float64
}

// NewGate returns the gate of a router that knows no limits.
func NewGate(node celerylanding.NodeID) *Gate {
	return &Gate{node: node, targets: make(map[celerylanding.TargetID]*gateState)}
}

// Clone returns a copy that shares nothing with the gate.
func (gate *Gate) Clone() *Gate {
	clone := *gate
	clone.targets = make(map[celerylanding.TargetID]*gateState, len(gate.targets))
	for id, state := range gate.targets {
		copied := *state
		clone.targets[id] = &copied
	}
	return &clone
}

// state returns what is known of an incarnation of a target; one that is not kept if a later incarnation is known.
func (gate *Gate) state(target celerylanding.TargetID, incarnation celerylanding.Incarnation) *gateState {
	known := gate.targets[target]
	if known != nil && known.incarnation == incarnation {
		return known
	}
	// The first credit differs between routers; otherwise each of them would send its first request to a target at the same time.
	seed := xxhash.Sum64String(string(gate.node) + "\x00" + string(target))
	state := &gateState{incarnation: incarnation, credit: float64(seed>>11) / (1 << 53)}
	if known == nil || known.incarnation < incarnation {
		gate.targets[target] = state
	}
	return state
}

// Forget drops what is known of a target.
func (gate *Gate) Forget(target celerylanding.TargetID) { delete(gate.targets, target) }

// RecordAnswer records the limit that an answer names, or that it names none. It reports whether this differs from the last answer.
func (gate *Gate) RecordAnswer(now time.Time, target *feed.Target, limit float64, hasLimit bool) bool {
	if state := gate.targets[target.ID]; !hasLimit && (state == nil || state.incarnation != target.Incarnation) {
		return false
	}
	state := gate.state(target.ID, target.Incarnation)
	isNew := state.hasLimit != hasLimit || (hasLimit && state.limit != limit)
	state.limit, state.hasLimit, state.answeredAt = limit, hasLimit, now
	return isNew
}

// SetPublished records the leader's list of limits, as of a time.
func (gate *Gate) SetPublished(at time.Time, limits []feed.TargetLimit) {
	gate.listedAt = at
	for _, published := range limits {
		state := gate.state(published.Target, published.Incarnation)
		state.published, state.publishedAt, state.unpublished = published, at, 0
	}
}

// Limit returns the limit in force for a target.
func (gate *Gate) Limit(now time.Time, target *feed.Target) (limit float64, isLimited bool) {
	state := gate.targets[target.ID]
	if state == nil || state.incarnation != target.Incarnation {
		return 0, false
	}
	return state.inForce(now)
}

// LimitAge returns the time since an answer of the target to any router has named its limit, as far as this router knows.
func (gate *Gate) LimitAge(now time.Time, target *feed.Target) time.Duration {
	state := gate.targets[target.ID]
	if state == nil || state.incarnation != target.Incarnation {
		return 0
	}
	age := now.Sub(state.answeredAt)
	if !state.publishedAt.IsZero() {
		age = min(age, now.Sub(state.publishedAt)+state.published.Age)
	}
	return age
}

func (state *gateState) inForce(now time.Time) (limit float64, isLimited bool) {
	isOwnCurrent := now.Sub(state.answeredAt) <= ownTTL
	isPublished := now.Sub(state.publishedAt) <= publishedGrace
	switch {
	case isOwnCurrent:
		return state.limit, state.hasLimit
	case isPublished:
		return state.published.Limit, true
	}
	return 0, false
}

// Allow counts a request that is to be sent to a target, and reports whether it may be; routers is the number of routers.
func (gate *Gate) Allow(now time.Time, target *feed.Target, routers int) bool {
	limit, isLimited := gate.Limit(now, target)
	if !isLimited {
		return true
	}
	state := gate.targets[target.ID]
	state.wanted++
	state.demand.add(now, 1)
	budget := limit*budgetTime.Seconds() - state.totalSent(now, routers)
	// What was left unused is not sent faster than the limit, since figures show late what has been sent.
	state.credit += max(0, min(1, min(budget/horizon.Seconds(), limit)/state.totalDemand(now, routers)))
	if state.credit < 1 {
		return false
	}
	state.credit--
	state.sent++
	state.unpublished++
	state.passed.add(now, 1)
	return true
}

// isCounted reports whether the leader's figures for all routers are recent.
func (state *gateState) isCounted(now time.Time) bool { return now.Sub(state.publishedAt) <= demandTTL }

// totalDemand returns the number of requests a second that all routers have for the target. Without figures of the leader, the others are assumed
// to have as many as this one.
func (state *gateState) totalDemand(now time.Time, routers int) float64 {
	own := state.demand.rate(now)
	if state.isCounted(now) && state.published.Demand > 0 {
		return max(own, state.published.Demand)
	}
	return max(own*float64(routers), state.published.Demand)
}

// totalSent returns the number of requests that all routers have sent to the target in the last budgetTime. While figures of the leader are
// overdue, the others are assumed to use the limit.
func (state *gateState) totalSent(now time.Time, routers int) float64 {
	if state.isCounted(now) {
		overdue := max(0, now.Sub(state.publishedAt)-figuresTTL)
		return float64(state.published.Sent+state.unpublished) + state.published.Limit*overdue.Seconds()
	}
	return float64(state.passed.count(now) * routers)
}

// RetryDelay returns the delay after which a client that all the targets turn away should return.
func (gate *Gate) RetryDelay(now time.Time, targets []*feed.Target, routers int) time.Duration {
	limits, demand := 0.0, 0.0
	for _, target := range targets {
		if limit, isLimited := gate.Limit(now, target); isLimited {
			limits += limit
			demand += gate.targets[target.ID].totalDemand(now, routers)
		}
	}
	if limits <= 0 {
		return maxRetryDelay
	}
	delay := time.Duration(math.Min(demand/limits, 1e3) * float64(retryTime))
	return min(max(delay, minRetryDelay), maxRetryDelay)
}

// Report returns what the leader needs: the limits that recent answers have named or ended, and the demand since the last report. It forgets
// targets of which nothing was heard for a while.
func (gate *Gate) Report(now time.Time) []feed.LimitReport {
	var reports []feed.LimitReport
	for id, state := range gate.targets {
		age := now.Sub(state.answeredAt)
		isCurrent := age <= ownTTL
		isPublished := now.Sub(state.publishedAt) <= publishedGrace
		if !isCurrent && !isPublished {
			delete(gate.targets, id)
			continue
		}
		// A new leader does not list what its predecessor has listed.
		isUnlisted := isPublished && state.publishedAt.Before(gate.listedAt)
		if state.wanted == 0 && !isCurrent && !isUnlisted {
			continue
		}
		report := feed.LimitReport{Target: id, Incarnation: state.incarnation, Wanted: state.wanted, Sent: state.sent, IsAnswered: isCurrent || isUnlisted}
		switch {
		case isCurrent:
			report.Limit, report.HasLimit, report.Age = state.limit, state.hasLimit, age
		case isUnlisted:
			report.Limit, report.HasLimit, report.Age = state.published.Limit, true, now.Sub(state.publishedAt)+state.published.Age
		}
		reports = append(reports, report)
		state.wanted, state.sent = 0, 0
	}
	return reports
}
