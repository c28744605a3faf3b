package throttle

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// brittleTTL is how long a router goes by what a target's last answer to it said, and how long by that of another target of the service.
	brittleTTL = 2 * time.Second
	// loadTTL is how long a report of a target's load says whether it has room.
	loadTTL = time.Second
	// maxLoadAge is how long such a report says how much room it has, together with what has been sent since then.
	maxLoadAge = 2 * time.Second
	// roomMargin is the number of standard deviations of independent arrivals that are left free of a target's slots.
	roomMargin = 1.0
	// maxSlotCredit and maxSlotDebt bound the slot time that a router saves or owes.
	maxSlotCredit = 250 * time.Millisecond
	maxSlotDebt   = 5 * time.Second
	// reactionTime is the time after which routers see in the leader's figures what they have sent.
	reactionTime = 1400 * time.Millisecond
	// minEnded and maxEnded are the numbers of requests from and over which their mean length is known.
	minEnded = 4
	maxEnded = 64
	// maxDebtLengths is the largest slot time that a router owes in mean lengths of requests, once these are known.
	maxDebtLengths = 2
	// keptShare is the share of the answered requests that may be sent again while there is no other room.
	keptShare = 0.7
	// firstSlotDebt is the largest slot time that a router owes before its first request to a target.
	firstSlotDebt = 4 * time.Second
	// minRejectionPause is how long a router sends nothing to a brittle target that has turned one of its requests away; each further one within
	// maxRejectionPause doubles the time, up to that.
	minRejectionPause = 500 * time.Millisecond
	maxRejectionPause = 4 * time.Second
	// toleratedShare is the share of the tolerated rejections from which on no router sends requests.
	toleratedShare = 0.25
	// probedShare is the share of the tolerated rejections that all routers may cause in the long run.
	probedShare = 0.25
)

// Rooms decides on one router which requests may be sent to brittle targets, which crash when they have to turn too many requests away. All routers
// together use the slots of a target only, since its waiting room may shrink without notice. Each of them uses slot time by its share of the demand,
// so that routers with less than one slot stay within the sum too. It is not safe for concurrent use.
type Rooms struct {
	node     celerylanding.NodeID
	targets  map[celerylanding.TargetID]*roomState
	services map[celerylanding.ServiceID]brittleness
	lengths  map[celerylanding.ServiceID]*lengths
}

// NewRooms returns the rooms of a router that knows no brittle target.
func NewRooms(node celerylanding.NodeID) *Rooms {
	return &Rooms{node: node, targets: make(map[celerylanding.TargetID]*roomState), services: make(map[celerylanding.ServiceID]brittleness),
		lengths: make(map[celerylanding.ServiceID]*lengths)}
}

// Clone returns a copy that shares nothing with the rooms.
func (rooms *Rooms) Clone() *Rooms {
	clone := NewRooms(rooms.node)
	for id, state := range rooms.targets {
		copied := *state
		copied.lengths = clone.lengthsOf(state.service)
		*copied.lengths = *state.lengths
		clone.targets[id] = &copied
	}
	for id, known := range rooms.services {
		clone.services[id] = known
	}
	return clone
}

func (rooms *Rooms) known(target *feed.Target) *roomState {
	if state := rooms.targets[target.ID]; state != nil && state.incarnation == target.Incarnation {
		return state
	}
	return nil
}

// state returns what is known of an incarnation of a target; one that is not kept if a later incarnation is known.
func (rooms *Rooms) state(id celerylanding.TargetID, incarnation celerylanding.Incarnation, service celerylanding.ServiceID) *roomState {
	known := rooms.targets[id]
	if known != nil && known.incarnation == incarnation {
		return known
	}
	// The first debt differs between routers; otherwise each of them would send its first request to a target at the same time.
	seed := xxhash.Sum64String(string(rooms.node) + "\x00" + string(id))
	state := &roomState{incarnation: incarnation, service: service, lengths: rooms.lengthsOf(service), draw: float64(seed>>11) / (1 << 53)}
	state.credit = -state.draw * firstSlotDebt.Seconds()
	if known == nil || known.incarnation < incarnation {
		rooms.targets[id] = state
	}
	return state
}

// Forget drops what is known of a target.
func (rooms *Rooms) Forget(target celerylanding.TargetID) { delete(rooms.targets, target) }

func (rooms *Rooms) lengthsOf(service celerylanding.ServiceID) *lengths {
	if rooms.lengths[service] == nil {
		rooms.lengths[service] = &lengths{}
	}
	return rooms.lengths[service]
}

// RecordAnswer records whether an answer says that its target is brittle. It reports whether this differs from the last answer.
func (rooms *Rooms) RecordAnswer(now time.Time, target *feed.Target, tolerance int, isBrittle bool) bool {
	state := rooms.targets[target.ID]
	if isOutdated := state != nil && state.incarnation > target.Incarnation; isOutdated || (rooms.known(target) == nil && !isBrittle) {
		return false
	}
	state = rooms.state(target.ID, target.Incarnation, target.Service)
	isNew := state.answer.isBrittle != isBrittle || (isBrittle && state.answer.tolerance != tolerance)
	state.answer = brittleness{isBrittle, tolerance, now}
	if isBrittle {
		rooms.services[target.Service] = state.answer
	}
	return isNew
}

// RecordRejection records that a target has turned a request away for want of room.
func (rooms *Rooms) RecordRejection(now time.Time, target *feed.Target, routers int) {
	state := rooms.known(target)
	if state == nil {
		return
	}
	state.rejected++
	state.unpublished++
	state.ownRejected.add(now, 1)
	if now.Sub(state.rejectedAt) > maxRejectionPause {
		state.pause = 0
	}
	state.pause = min(max(minRejectionPause, 2*state.pause), maxRejectionPause)
	state.rejectedAt, state.pausedUntil = now, now.Add(state.pause)
	// A rejection uses no slot time, and would otherwise cost the router nothing.
	state.credit = min(state.credit, -firstSlotDebt.Seconds()/2)
	if tolerance, _ := rooms.Tolerance(now, target); !state.isCounted(now) {
		// The others are assumed to be turned away as often as this router.
		alone := time.Duration(float64(routers) / (toleratedShare * float64(max(1, tolerance))) * float64(time.Second))
		state.pausedUntil = now.Add(max(state.pause, min(alone, maxRejectionPause)))
	}
}

// RecordEnd records that a target has answered a request completely.
func (rooms *Rooms) RecordEnd(target *feed.Target) {
	if state := rooms.known(target); state != nil {
		state.lengths.recordEnd()
	}
}

// RecordLoad records a report of a target's load that was made at a time.
func (rooms *Rooms) RecordLoad(at time.Time, target *feed.Target, load celerylanding.TargetLoad, slots int) {
	if state := rooms.known(target); state != nil && !at.Before(state.reportedAt) {
		state.load, state.slots, state.reportedAt, state.sentSince = load, slots, at, 0
	}
}

// SetPublished records the leader's list of brittle targets, as of a time.
func (rooms *Rooms) SetPublished(at time.Time, list []feed.BrittleTarget) {
	for _, published := range list {
		state := rooms.state(published.Target, published.Incarnation, published.Service)
		state.published, state.publishedAt, state.unpublished, state.unpublishedSent = published, at, 0, 0
		if said := at.Add(-published.Age); said.After(rooms.services[published.Service].at) {
			rooms.services[published.Service] = brittleness{true, published.Tolerance, said}
		}
	}
}

// Tolerance returns the number of requests a second that a target can turn away, and whether it is brittle. A target of which nothing is known yet
// is brittle if another target of its service is.
func (rooms *Rooms) Tolerance(now time.Time, target *feed.Target) (tolerance int, isBrittle bool) {
	if len(rooms.services) == 0 {
		return 0, false
	}
	if state := rooms.known(target); state != nil {
		switch {
		case now.Sub(state.answer.at) <= brittleTTL:
			return state.answer.tolerance, state.answer.isBrittle
		case now.Sub(state.publishedAt) <= publishedGrace:
			return state.published.Tolerance, true
		}
	}
	known := rooms.services[target.Service]
	return known.tolerance, known.isBrittle && now.Sub(known.at) <= brittleTTL
}

// Settle accounts for the slot time that the router has used at a target since the last call with its number of requests in flight, which is
// about to change.
func (rooms *Rooms) Settle(now time.Time, target *feed.Target, inFlight int) {
	if state := rooms.known(target); state != nil {
		state.settle(now, inFlight)
	}
}

// Bid is what counts of a request that wants a brittle target, beside the target's own state.
type Bid struct {
	// Routers is the number of routers, and InFlight that of this router's requests in flight at the target.
	Routers, InFlight int
	// WasRejected is set if a brittle target has turned the request away; then it is sent only where room is known.
	WasRejected bool
	// Chance is a random number in [0, 1) of the request.
	Chance float64
}

// Blocks counts a request that could be sent to a target, and reports whether it must not be.
func (rooms *Rooms) Blocks(now time.Time, target *feed.Target, bid Bid) bool {
	routers, inFlight := bid.Routers, bid.InFlight
	tolerance, isBrittle := rooms.Tolerance(now, target)
	if !isBrittle {
		return false
	}
	state := rooms.state(target.ID, target.Incarnation, target.Service)
	state.wanted++
	state.demand.add(now, 1)
	state.settle(now, inFlight)
	part := state.ownShare(now, routers)
	state.share = state.room(now, target, tolerance) * part
	if now.Before(state.pausedUntil) || float64(state.justRejected(now, routers)) > toleratedShare*float64(tolerance) || state.isFull(now) {
		// Routers must not save slot time while they are held back, and use it together afterwards.
		state.share = 0
		return true
	}
	switch {
	case inFlight >= int(math.Ceil(state.share)):
		return true
	case now.Before(state.pacedUntil(now, tolerance, part)), bid.WasRejected && !state.hasRoom(now):
		return true
	case float64(inFlight+1) <= math.Floor(state.share), state.credit >= 0:
		return false
	}
	return drawAt(bid.Chance, target) >= state.chance(now, target, tolerance)
}

// CountSent counts a request that is sent to a target.
func (rooms *Rooms) CountSent(now time.Time, target *feed.Target) {
	if state := rooms.known(target); state != nil {
		state.sentAt = now
		state.ownSent.add(now, 1)
		state.unpublishedSent++
		state.sent++
		state.sentSince++
	}
}

// RetryDelay returns the delay after which a client that all the brittle targets turn away should return: it grows with the demand beyond what is
// sent.
func (rooms *Rooms) RetryDelay(now time.Time, targets []*feed.Target) time.Duration {
	demand, sent := 0.0, 0.0
	for _, target := range targets {
		if state := rooms.known(target); state != nil && state.isCounted(now) {
			demand += state.published.Demand
			sent += float64(state.published.Sent) / budgetTime.Seconds()
		}
	}
	if sent <= 0 {
		return 2 * minRetryDelay
	}
	return min(max(time.Duration(math.Min(demand/sent, 1e3)*float64(retryTime)), minRetryDelay), maxRetryDelay)
}

// Report returns what the leader needs: what recent answers say, and the figures since the last report. It forgets targets of which nothing was heard
// for a while.
func (rooms *Rooms) Report(now time.Time) []feed.BrittleReport {
	var reports []feed.BrittleReport
	for id, state := range rooms.targets {
		age := now.Sub(state.answer.at)
		isCurrent := age <= brittleTTL
		isPublished := now.Sub(state.publishedAt) <= publishedGrace
		if !isCurrent && !isPublished && now.Sub(rooms.services[state.service].at) > brittleTTL {
			delete(rooms.targets, id)
			continue
		}
		if !isCurrent && state.wanted == 0 && state.rejected == 0 {
			continue
		}
		report := feed.BrittleReport{Target: id, Incarnation: state.incarnation, Service: state.service, Wanted: state.wanted, Sent: state.sent,
			Rejected: state.rejected}
		if isCurrent {
			report.IsAnswered, report.Age, report.IsBrittle, report.Tolerance = true, age, state.answer.isBrittle, state.answer.tolerance
		}
		reports = append(reports, report)
		state.wanted, state.sent, state.rejected = 0, 0, 0
	}
	for service, known := range rooms.services {
		if now.Sub(known.at) > brittleTTL {
			delete(rooms.services, service)
			if len(rooms.targets) == 0 {
				clear(rooms.lengths)
			}
		}
	}
	return reports
}
