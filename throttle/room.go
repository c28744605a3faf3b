package throttle

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// brittleness is what an answer has said at a time.
type brittleness struct {
	isBrittle bool
	tolerance int
	at        time.Time
}

// roomState is what a router knows of one incarnation of a brittle target.
type roomState struct {
	incarnation celerylanding.Incarnation
	service     celerylanding.ServiceID
	// answer is what the target's last answer to this router said.
	answer brittleness
	// published is what the leader last listed, at publishedAt.
	published   feed.BrittleTarget
	publishedAt time.Time
	demand      window
	// wanted, sent and rejected count since the last report; unpublished counts the rejections since the leader's figures arrived.
	wanted, sent, rejected, unpublished int
	unpublishedSent                     int
	ownSent, ownRejected                window
	// load and slots are the newest report of any router, made at reportedAt; sentSince counts this router's requests since then.
	load       celerylanding.TargetLoad
	slots      int
	reportedAt time.Time
	sentSince  int
	// credit is the slot time in seconds that the router may use, as of settledAt, and share the number of slots at which it grows.
	credit    float64
	share     float64
	settledAt time.Time
	lengths   *lengths
	// draw is a number in [0, 1) that differs between routers. sentAt is when a request was last sent, and rejectingSince when the target began to
	// turn requests away.
	draw                   float64
	sentAt, rejectingSince time.Time
	// rejectedAt is when the target last turned a request of this router away.
	rejectedAt  time.Time
	pause       time.Duration
	pausedUntil time.Time
}

// lengths measure how long the requests of one router run at the brittle targets of a service.
type lengths struct {
	// busy is the slot time in seconds that requests have used, and ended their number.
	busy, ended float64
}

// mean returns the mean length in seconds, if enough requests have ended.
func (lengths *lengths) mean() (seconds float64, isKnown bool) {
	if lengths.ended < minEnded {
		return 0, false
	}
	return lengths.busy / lengths.ended, true
}

func (lengths *lengths) recordEnd() {
	if lengths.ended++; lengths.ended >= maxEnded {
		lengths.ended, lengths.busy = lengths.ended/2, lengths.busy/2
	}
}

func (state *roomState) settle(now time.Time, inFlight int) {
	if state.settledAt.IsZero() {
		// Those in flight have begun before the count.
		state.lengths.ended -= float64(inFlight)
	} else {
		elapsed := now.Sub(state.settledAt).Seconds()
		state.lengths.busy += float64(inFlight) * elapsed
		state.credit += (state.share - float64(inFlight)) * elapsed
		debt := maxSlotDebt.Seconds()
		if length, isKnown := state.lengths.mean(); isKnown {
			debt = min(debt, maxDebtLengths*length)
		}
		state.credit = min(max(state.credit, -debt), max(1, state.share)*maxSlotCredit.Seconds())
	}
	state.settledAt = now
}

// drawAt returns a number in [0, 1) that depends on a request's chance and a target.
func drawAt(chance float64, target *feed.Target) float64 {
	hash := math.Float64bits(chance) ^ xxhash.Sum64String(string(target.ID))
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return float64((hash^hash>>31)>>11) / (1 << 53)
}

// chance returns the share of all requests for the target that may be sent beyond the routers' slot time: a part of those that it has answered, and
// those that the room between what it runs and what it may run takes within reactionTime. Some are sent in any case, so that its load becomes known.
func (state *roomState) chance(now time.Time, target *feed.Target, tolerance int) float64 {
	if !state.isCounted(now) {
		return 0
	}
	rate := probedShare * float64(tolerance)
	if now.Sub(state.reportedAt) <= maxLoadAge {
		answered := float64(max(0, state.published.Sent-state.totalRejected(now))) / budgetTime.Seconds()
		free := state.room(now, target, tolerance) - state.expected(now)
		rate = max(rate, keptShare*answered+free/reactionTime.Seconds())
	}
	return rate / max(state.published.Demand, state.demand.rate(now))
}

// pacedUntil returns when the router may send its next request so that, at the recent share of rejections, all routers stay within probedShare.
func (state *roomState) pacedUntil(now time.Time, tolerance int, part float64) time.Time {
	rejected := state.totalRejected(now)
	if rejected == 0 {
		state.rejectingSince = time.Time{}
		return time.Time{}
	}
	if state.rejectingSince.IsZero() {
		state.rejectingSince = now
	}
	ratio := min(1, float64(rejected)/max(1, float64(state.totalSent(now))))
	interval := time.Duration(ratio / (probedShare * max(1, float64(tolerance)) * part) * float64(time.Second))
	if state.sentAt.Before(state.rejectingSince) {
		return state.rejectingSince.Add(time.Duration(state.draw * float64(interval)))
	}
	return state.sentAt.Add(interval)
}

// room returns the number of requests that all routers together may have in flight at a target.
func (state *roomState) room(now time.Time, target *feed.Target, tolerance int) float64 {
	slots := float64(target.Slots)
	if state.slots > 0 {
		slots = float64(state.slots)
	}
	if state.isReported(now) && state.load.Waiting > 0 {
		// Requests may wait for other things than slots, such as memory.
		slots = min(slots, float64(state.load.Running))
	}
	room := max(1, slots-roomMargin*math.Sqrt(slots))
	return room / (1 + float64(state.totalRejected(now))/max(1, float64(tolerance)))
}

// ownShare returns the router's share of a target's room: that of the demand or, without figures of the leader, the same for each router.
func (state *roomState) ownShare(now time.Time, routers int) float64 {
	equal := 1 / float64(routers)
	if !state.isCounted(now) || state.published.Demand <= 0 {
		return equal
	}
	// The leader's rate rises at once with the demand, so that the shares don't add up to more than one.
	own := float64(state.demand.count(now)) / budgetTime.Seconds()
	return min(1, max(equal/8, own/state.published.Demand))
}

func (state *roomState) isCounted(now time.Time) bool { return now.Sub(state.publishedAt) <= demandTTL }

func (state *roomState) isReported(now time.Time) bool { return now.Sub(state.reportedAt) <= loadTTL }

// isFull reports whether the target's load leaves no room for another request.
func (state *roomState) isFull(now time.Time) bool {
	limit := state.slots
	if state.load.Waiting > 0 {
		limit = min(limit, state.load.Running)
	}
	return state.isReported(now) && state.expected(now)+1 > float64(limit)
}

// expected returns the number of requests that the target now runs or keeps waiting: those of the last report that have not ended, and those that
// have been sent since.
func (state *roomState) expected(now time.Time) float64 {
	reported := float64(state.load.Running + state.load.Waiting)
	length, isKnown := state.lengths.mean()
	if !isKnown || reported == 0 {
		return reported + float64(state.sentSince)
	}
	left := math.Exp(-now.Sub(state.reportedAt).Seconds() / length * float64(state.load.Running) / reported)
	others := float64(state.published.Sent) / budgetTime.Seconds() * length * (1 - left)
	return reported*left + max(others, float64(state.sentSince))
}

// hasRoom reports whether the target's load is known to leave room for several more requests.
func (state *roomState) hasRoom(now time.Time) bool {
	return state.isReported(now) && state.load.Waiting == 0 && 4*state.expected(now) <= float64(3*state.slots)
}

// totalRejected returns the number of requests of all routers that the target has turned away in the last 4 s.
func (state *roomState) totalRejected(now time.Time) int {
	if now.Sub(state.publishedAt) > budgetTime {
		return state.ownRejected.count(now)
	}
	return state.published.Rejected + state.unpublished
}

// totalSent returns the number of requests of all routers, sent in the last 4 s.
func (state *roomState) totalSent(now time.Time) int {
	if now.Sub(state.publishedAt) > budgetTime {
		return state.ownSent.count(now)
	}
	return state.published.Sent + state.unpublishedSent
}

// justRejected returns the number of requests of all routers that the target has turned away in the last second.
func (state *roomState) justRejected(now time.Time, routers int) int {
	if state.isCounted(now) {
		return state.published.JustRejected + state.unpublished
	}
	return state.ownRejected.last(now, justBuckets) * routers
}

// justBuckets is the number of buckets of the last second.
const justBuckets = int64(time.Second / bucketTime)
