package watch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// callTimeout is the timeout of one watch request, which the leader or a relay holds for at most 250 ms. That of a direct client is shorter, since it
	// has no search beside it.
	callTimeout       = 1500 * time.Millisecond
	directCallTimeout = time.Second
	// overdueTime is the time after which the client searches for another source while a watch request goes on.
	overdueTime = 500 * time.Millisecond
	// searchTimeout is the timeout of one request for the leader's address, which nodes answer at once. It covers a new connection whose first packet
	// is lost and sent again after a second. A node that has not answered for overdueTime is asked once more, maxSearches times at most.
	searchTimeout = 1500 * time.Millisecond
	maxSearches   = 3
	// searchInterval is the time between the beginnings of two such requests, which go on side by side.
	searchInterval = 50 * time.Millisecond
	// retryDelay is the time before a node is asked again.
	retryDelay = 100 * time.Millisecond
	// relayRetryDelay is how long a relay that did not answer is avoided, and leaderRetryDelay how long another node's word on the leader is not
	// followed after that node did not answer as the leader. It is still found by its own word.
	relayRetryDelay  = 3 * time.Second
	leaderRetryDelay = time.Second
)

// Request is a call that a finder wants.
type Request struct {
	Address string
	// IsSearch is set for a request for the leader's address; otherwise the leader's state is wanted.
	IsSearch bool
	Timeout  time.Duration
	number   int
}

// Change is what a reply has changed.
type Change struct {
	// IsState is set if the reply holds the leader's state and is to be applied.
	IsState bool
	// LostLeader and LostRelay are the addresses of nodes that are watched no more since they failed, and NewLeader and NewSource those of nodes
	// that are known now; "" if nothing has changed.
	LostLeader, LostRelay string
	NewLeader, NewSource  string
}

// Finder decides which nodes a client asks; it is not safe for concurrent use.
type Finder struct {
	node     celerylanding.NodeID
	domain   celerylanding.FailureDomain
	isDirect bool
	// leader is the leader of a term, by its own word or that of another node.
	leader  string
	term    uint64
	members []string
	// source is the node that is watched, or "" while none is known.
	source string
	// watching is the watch request whose reply is wanted, sent at watchedAt; number counts the requests. A request whose reply is not wanted any more has
	// been given up.
	watching  *Request
	watchedAt time.Time
	number    int
	watchDue  time.Time
	// searching counts the pending requests for the leader to each node, and searchDue is when the next node is asked.
	searching map[string]int
	searchDue time.Time
	turn      int
	// failedAt holds the times at which watch requests failed, and askedAt those at which searches last began or ended.
	failedAt map[string]time.Time
	askedAt  map[string]time.Time
}

// NewFinder returns a finder that knows no node yet; a direct one watches only the first of the seeds.
func NewFinder(node celerylanding.NodeID, domain celerylanding.FailureDomain, isDirect bool) *Finder {
	return &Finder{node: node, domain: domain, isDirect: isDirect, searching: make(map[string]int), failedAt: make(map[string]time.Time),
		askedAt: make(map[string]time.Time)}
}

// Leader returns the address of the leader, or "" while none is known.
func (finder *Finder) Leader() string { return finder.leader }

// Source returns the address of the node that is watched, or "" while none is known.
func (finder *Finder) Source() string { return finder.source }

// Next returns the requests to send now, and the time until it must be called again if no reply arrives earlier.
func (finder *Finder) Next(now time.Time, seeds []string) (requests []Request, wait time.Duration) {
	wait = overdueTime
	target := finder.target(seeds)
	if finder.watching != nil && (now.Sub(finder.watchedAt) > finder.watching.Timeout+overdueTime || finder.isDirect && finder.watching.Address != target) {
		finder.giveUp(now)
		target = finder.target(seeds)
	}
	if finder.watching == nil {
		switch {
		case target == "":
		case now.Before(finder.watchDue):
			wait = finder.watchDue.Sub(now)
		default:
			requests = append(requests, finder.watch(now, target))
		}
	}
	if finder.isWaiting(now) {
		return requests, min(wait, finder.watchedAt.Add(overdueTime).Sub(now))
	}
	if finder.isDirect {
		return requests, wait
	}
	if !now.Before(finder.searchDue) {
		if address := finder.candidate(now, seeds); address != "" {
			finder.searching[address]++
			finder.askedAt[address] = now
			finder.searchDue = now.Add(searchInterval)
			requests = append(requests, Request{Address: address, IsSearch: true, Timeout: searchTimeout})
		} else {
			return requests, min(wait, searchInterval)
		}
	}
	return requests, min(wait, finder.searchDue.Sub(now))
}

// target returns the address of the node to watch, or "" while none is known.
func (finder *Finder) target(seeds []string) string {
	switch {
	case finder.isDirect && len(seeds) > 0:
		return seeds[0]
	case finder.source != "":
		return finder.source
	}
	return finder.leader
}

func (finder *Finder) watch(now time.Time, address string) Request {
	finder.number++
	request := Request{Address: address, Timeout: callTimeout, number: finder.number}
	if finder.isDirect {
		request.Timeout = directCallTimeout
	}
	finder.watching, finder.watchedAt = &request, now
	return request
}

// isOverdue reports whether the pending watch request should have been answered.
func (finder *Finder) isOverdue(now time.Time) bool {
	return finder.watching != nil && now.Sub(finder.watchedAt) >= overdueTime
}

// isWaiting reports whether no search is needed, since the pending watch request to a node that had the leader's state may still be answered in time.
func (finder *Finder) isWaiting(now time.Time) bool {
	return finder.watching != nil && finder.source != "" && !finder.isOverdue(now)
}

// candidate returns the next node to ask for the leader, or "" if all were asked a moment ago.
func (finder *Finder) candidate(now time.Time, seeds []string) string {
	addresses := slices.Clone(finder.members)
	for _, seed := range seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	for range addresses {
		address := addresses[finder.turn%len(addresses)]
		finder.turn++
		pause := retryDelay
		if finder.searching[address] > 0 {
			pause = overdueTime
		}
		if address != "" && finder.searching[address] < maxSearches && now.Sub(finder.askedAt[address]) >= pause {
			return address
		}
	}
	return ""
}

// Handle records the reply to a request, or its error, and returns what it has changed. The reply to a watch request that is no longer wanted changes
// nothing.
func (finder *Finder) Handle(now time.Time, request Request, reply *feed.WatchReply, err error) Change {
	if request.IsSearch {
		finder.searching[request.Address]--
		finder.askedAt[request.Address] = now
		if err != nil || finder.isWaiting(now) {
			return Change{}
		}
		return finder.handleFound(now, request.Address, reply)
	}
	if finder.watching == nil || finder.watching.number != request.number {
		return Change{}
	}
	finder.watching = nil
	if err == nil && reply.IsState() {
		delete(finder.failedAt, request.Address)
		change := finder.follow(now, request.Address, reply)
		change.IsState = true
		return change
	}
	return finder.handleFailure(now, request.Address, reply, err)
}

// handleFound uses the reply of a node that was asked for the leader.
func (finder *Finder) handleFound(now time.Time, address string, reply *feed.WatchReply) Change {
	if len(reply.Members) > 0 {
		finder.members = reply.Members
	}
	if reply.IsState() {
		change := finder.follow(now, address, reply)
		if finder.watching != nil && finder.watching.Address != finder.source {
			finder.giveUp(now)
		}
		return change
	}
	isTried := finder.watching != nil && (finder.watching.Address == reply.Leader || (!finder.isOverdue(now) && reply.Term <= finder.term))
	if isTried || !finder.mayFollow(now, address, reply) {
		return Change{}
	}
	change := Change{}
	if finder.leader != reply.Leader {
		change.NewLeader = reply.Leader
	}
	finder.giveUp(now)
	finder.leader, finder.term, finder.source, finder.watchDue = reply.Leader, reply.Term, "", now
	return change
}

// giveUp stops waiting for the pending watch request, if there is one; its node counts as failed.
func (finder *Finder) giveUp(now time.Time) {
	if finder.watching == nil {
		return
	}
	finder.failedAt[finder.watching.Address] = now
	if finder.source == finder.watching.Address {
		finder.source = ""
	}
	finder.watching, finder.watchDue = nil, now
}

// mayFollow reports whether a node's word on another leader is worth a request to that one.
func (finder *Finder) mayFollow(now time.Time, address string, reply *feed.WatchReply) bool {
	return reply.Leader != "" && reply.Leader != address && reply.Term >= finder.term && now.Sub(finder.failedAt[reply.Leader]) >= leaderRetryDelay
}

// follow takes over the leader and the source that a node with the leader's state names.
func (finder *Finder) follow(now time.Time, address string, reply *feed.WatchReply) Change {
	var change Change
	finder.members, finder.watchDue = reply.Members, now
	leader := reply.Leader
	if reply.Leads {
		leader = address
	}
	if finder.leader != leader {
		change.NewLeader = leader
	}
	finder.leader, finder.term = leader, max(finder.term, reply.Term)
	source := leader
	if !finder.isDirect {
		if relay := ChooseRelay(now, finder.node, finder.domain, reply.Relays, finder.avoided(now)); relay != "" {
			source = relay
		}
		if source != address && (finder.isOverdueAt(now, source) || now.Sub(finder.failedAt[source]) < relayRetryDelay) {
			source = address
		}
	}
	if source != finder.source {
		change.NewSource = source
	}
	finder.source = source
	return change
}

// isOverdueAt reports whether the node has been asked for the leader's state and should have answered.
func (finder *Finder) isOverdueAt(now time.Time, address string) bool {
	return finder.isOverdue(now) && finder.watching.Address == address
}

// avoided maps the nodes that did not answer to when they are watched again.
func (finder *Finder) avoided(now time.Time) map[string]time.Time {
	avoided := make(map[string]time.Time)
	for address, at := range finder.failedAt {
		if now.Sub(at) >= relayRetryDelay {
			delete(finder.failedAt, address)
			continue
		}
		avoided[address] = at.Add(relayRetryDelay)
	}
	return avoided
}

// handleFailure records that a watch request failed or was answered without the leader's state.
func (finder *Finder) handleFailure(now time.Time, address string, reply *feed.WatchReply, err error) Change {
	var change Change
	finder.watchDue = now.Add(retryDelay)
	finder.failedAt[address] = now
	if finder.source == address {
		finder.source = ""
		if address != finder.leader {
			change.LostRelay = address
		}
	}
	if address == finder.leader {
		finder.leader = ""
		change.LostLeader = address
	}
	if err != nil {
		return change
	}
	if len(reply.Members) > 0 {
		finder.members = reply.Members
	}
	if finder.mayFollow(now, address, reply) {
		if finder.leader != reply.Leader {
			change.NewLeader = reply.Leader
		}
		finder.leader, finder.term, finder.watchDue = reply.Leader, reply.Term, now
	}
	return change
}

// ChooseRelay returns the address of the relay that a node watches: one of its own failure domain if there is one, chosen by a hash, so that
// the nodes of a domain are spread over its relays and each keeps its choice. Relays are left out until their time in avoided.
// It returns "" if there is none.
func ChooseRelay(now time.Time, node celerylanding.NodeID, domain celerylanding.FailureDomain, relays []feed.RelayAddress,
	avoided map[string]time.Time) string {
	var best feed.RelayAddress
	var highest uint64
	for _, relay := range relays {
		if now.Before(avoided[relay.Address]) {
			continue
		}
		rank := xxhash.Sum64String(relay.Address + "\x00" + string(node))
		isNearer := relay.Domain == domain && best.Domain != domain
		isFarther := relay.Domain != domain && best.Domain == domain && best.Address != ""
		if best.Address == "" || isNearer || (!isFarther && rank > highest) {
			best, highest = relay, rank
		}
	}
	return best.Address
}
