package throttle

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

const (
	// holderDemandTTL is how long the demand that a router has reported counts.
	holderDemandTTL = 2 * time.Second
	// firstAskTime is the time for which a router gets its part with its first request.
	firstAskTime = 100 * time.Millisecond
	// maxOwedTime bounds what a router is owed, and maxDebtTime how long the leader remembers what a router has received beyond its part.
	maxOwedTime = time.Second
	maxDebtTime = 30 * time.Second
	// expiryInterval is the time between two searches for what has expired.
	expiryInterval = 50 * time.Millisecond
	// maxWait bounds the time that the leader tells a router to wait.
	maxWait = 30 * time.Second
)

// Allocator is the leader's record of the quotas of workspaces: it grants parts of them to routers. What it and routers hold of a quota
// never exceeds a capacity, and grows by no more than the rate, so that the use in each window is bounded by their sum, whatever part of the
// routers is cut off. It is not safe for concurrent use.
type Allocator struct {
	bounds QuotaBounds
	term   uint64
	// changes is the number of changes of the leader after which grants may be in use until settledAt.
	changes   int
	settledAt time.Time
	accounts  map[celerylanding.WorkspaceID]*account
}

// account is the state of one workspace.
type account struct {
	quota routing.Quota
	// level is the number of units that can be granted, as of refilledAt.
	level      float64
	refilledAt time.Time
	// emptyUntil is when the last grant in another unit expires. Until then nothing is granted.
	emptyUntil time.Time
	// isRemoved is set while the configuration does not list the workspace, although grants may be in use.
	isRemoved bool
	holders   map[holderID]*holder
	// outstanding and demand are the sums over the holders; what has expired is counted until expiryDue.
	outstanding float64
	demand      float64
	expiryDue   time.Time
}

// holderID identifies one start of a router's process.
type holderID struct {
	node    celerylanding.NodeID
	process uint64
}

// holder is what the leader knows of a router that uses a quota.
type holder struct {
	sequence uint64
	askedAt  time.Time
	// outstanding is the number of granted units that the router may still use, until outstandingTTL after askedAt.
	outstanding float64
	demand      float64
	// owed is the part of the rate that the router has not received while there was too little for all. It is negative after a large request.
	owed float64
}

// NewAllocator returns the allocator of the leader of a term, which has granted nothing yet; changes is the number of changes of the leader, including
// the one to this leader, since one of them was settled.
func NewAllocator(now time.Time, term uint64, bounds QuotaBounds, changes int) *Allocator {
	return &Allocator{bounds: bounds, term: term, changes: changes, settledAt: now.Add(outstandingTTL),
		accounts: make(map[celerylanding.WorkspaceID]*account)}
}

// IsSettled reports whether all grants of earlier leaders have expired.
func (allocator *Allocator) IsSettled(now time.Time) bool { return !now.Before(allocator.settledAt) }

// SetWorkspaces replaces the quotas by those of a configuration.
func (allocator *Allocator) SetWorkspaces(now time.Time, workspaces []routing.Workspace) {
	for id, entry := range allocator.accounts {
		allocator.refill(now, entry)
		if entry.isRemoved && entry.outstanding == 0 {
			delete(allocator.accounts, id)
		}
		entry.isRemoved = true
	}
	for i := range workspaces {
		workspace := &workspaces[i]
		entry := allocator.accounts[workspace.ID]
		switch {
		case entry == nil:
			entry = &account{refilledAt: now, holders: make(map[holderID]*holder)}
		case entry.quota.Unit != workspace.Quota.Unit:
			entry = &account{refilledAt: now, emptyUntil: now.Add(outstandingTTL), holders: make(map[holderID]*holder)}
		}
		entry.quota, entry.isRemoved = workspace.Quota, false
		allocator.accounts[workspace.ID] = entry
	}
}

// Grant decides what a router gets.
func (allocator *Allocator) Grant(now time.Time, args *feed.QuotaArgs) feed.QuotaReply {
	reply := feed.QuotaReply{Leads: true, Term: allocator.term}
	id := holderID{args.Node, args.Process}
	for i := range args.Requests {
		request := &args.Requests[i]
		entry := allocator.accounts[request.Workspace]
		switch {
		case entry == nil || entry.isRemoved || entry.quota.Unit != request.Unit:
			continue
		case !entry.quota.IsLimited():
			// The router does not know yet that the limit has ended.
			reply.Grants = append(reply.Grants, feed.QuotaGrant{Workspace: request.Workspace, Units: request.Wanted, TTL: grantTTL})
			continue
		}
		allocator.refill(now, entry)
		asking, gap := entry.record(now, id, args, request, args.Term == allocator.term)
		if asking == nil {
			continue
		}
		// The limit may have been lowered since what the router returns was granted.
		entry.level = min(entry.level, max(0, allocator.capacity(now, entry)-entry.outstanding))
		grant := allocator.grant(now, entry, asking, gap, request)
		grant.Workspace = request.Workspace
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

func (allocator *Allocator) capacity(now time.Time, entry *account) float64 {
	switch {
	case now.Before(entry.emptyUntil):
		return 0
	case !allocator.IsSettled(now):
		return allocator.bounds.earlyCapacity(entry.quota, allocator.changes)
	}
	return allocator.bounds.capacity(entry.quota)
}

// refill adds what the rate gives since the last time, up to the capacity.
func (allocator *Allocator) refill(now time.Time, entry *account) {
	if !now.Before(entry.expiryDue) {
		entry.expire(now)
	}
	room := max(0, allocator.capacity(now, entry)-entry.outstanding)
	gained := entry.quota.Rate * max(0, now.Sub(entry.refilledAt)).Seconds()
	entry.level = min(entry.level+gained, room)
	if now.After(entry.refilledAt) {
		entry.refilledAt = now
	}
}

// expire forgets routers that have neither units nor demand, and sums up what the others have.
func (entry *account) expire(now time.Time) {
	entry.expiryDue = now.Add(expiryInterval)
	entry.outstanding, entry.demand = 0, 0
	for id, holder := range entry.holders {
		age := now.Sub(holder.askedAt)
		if age >= outstandingTTL {
			holder.outstanding = 0
			if holder.owed >= 0 || age >= maxDebtTime {
				delete(entry.holders, id)
			}
		}
		if age >= holderDemandTTL {
			holder.demand = 0
		}
		entry.outstanding += holder.outstanding
		entry.demand += holder.demand
	}
}

// record takes over a router's report, and returns its state and the time since its last request; nil if the request is older than another one.
func (entry *account) record(now time.Time, id holderID, args *feed.QuotaArgs, request *feed.QuotaRequest, isOwnTerm bool) (*holder, time.Duration) {
	asking := entry.holders[id]
	gap := firstAskTime
	if asking == nil {
		asking = &holder{}
		entry.holders[id] = asking
	} else {
		if args.Sequence <= asking.sequence {
			return nil, 0
		}
		gap = max(0, now.Sub(asking.askedAt))
	}
	held := 0.0
	if isOwnTerm {
		held = max(0, request.Held)
		// What a router returns was outstanding, so that the sum of both stays the same.
		entry.level += min(max(0, request.Returned), max(0, asking.outstanding-held))
	}
	demand := max(request.Demand, request.Needed)
	entry.outstanding += held - asking.outstanding
	entry.demand += demand - asking.demand
	asking.sequence, asking.askedAt, asking.outstanding, asking.demand = args.Sequence, now, held, demand
	return asking, gap
}

// grant decides what a router gets of an account.
func (allocator *Allocator) grant(now time.Time, entry *account, asking *holder, gap time.Duration, request *feed.QuotaRequest) feed.QuotaGrant {
	capacity := allocator.capacity(now, entry)
	spare := max(0, entry.level-reserveShare*capacity)
	needed := min(request.Needed, request.Wanted)
	// What is over half the capacity is saved up by the router.
	least := min(request.Least, capacity/2)
	part := 1.0
	if entry.demand > 0 {
		part = min(1, asking.demand/entry.demand)
	}
	if entry.demand <= entry.quota.Rate {
		asking.owed = 0
		grant := feed.QuotaGrant{Units: min(needed, entry.level), TTL: grantTTL}
		if grant.Units < least {
			grant.Units = 0
		}
		if grant.Units < needed {
			grant.Wait = waitFor(least-entry.level, entry.quota.Rate)
		} else {
			most := part*capacity*(1-reserveShare) - asking.outstanding - grant.Units
			grant.Units += max(0, min(request.Wanted-needed, spare-grant.Units, most))
		}
		entry.hand(asking, grant.Units)
		return grant
	}
	grant := feed.QuotaGrant{TTL: grantTTL, Rate: entry.quota.Rate * part}
	gained := grant.Rate * gap.Seconds()
	if entry.level < reserveShare/2*capacity {
		// Saves for requests larger than what is left.
		gained *= 1 - savedShare
	}
	asking.owed = min(asking.owed+gained, grant.Rate*maxOwedTime.Seconds())
	// The first request is granted whole, whatever its size, so that large ones are refused no more often than others. While there is more than
	// the reserve, it is for whoever asks first; then a router waits until it has paid for what it got.
	available := 0.0
	switch {
	case spare > 0:
		available = min(max(spare, least), entry.level)
	case asking.owed > 0:
		available = min(max(asking.owed, least), entry.level)
	}
	if granted := min(needed, available); granted >= least {
		grant.Units = granted
	}
	entry.hand(asking, grant.Units)
	if spare <= 0 {
		asking.owed -= grant.Units
	}
	if grant.Units < needed {
		grant.Wait = max(waitFor(-asking.owed, grant.Rate), waitFor(least-entry.level, entry.quota.Rate))
	}
	return grant
}

// hand moves units from the account to a router.
func (entry *account) hand(asking *holder, units float64) {
	entry.level -= units
	entry.outstanding += units
	asking.outstanding += units
}

// waitFor returns the time in which a rate gives what is lacking.
func waitFor(lacking, rate float64) time.Duration {
	seconds := max(0, lacking) / rate
	if math.IsNaN(seconds) || seconds > maxWait.Seconds() {
		return maxWait
	}
	return max(time.Millisecond, time.Duration(seconds*float64(time.Second)))
}
