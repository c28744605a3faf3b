package reach

import (
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// otherDomainCost is the number of this router's connections through a router of its own failure domain that weigh as much as the way through
	// another domain.
	otherDomainCost = 4
	// AvoidTime is how long a router is avoided that did not answer or reaches no target itself, and BusyTime how long one that takes on no more.
	AvoidTime = time.Second
	// BusyTime is the counterpart of AvoidTime for a router that is busy.
	BusyTime = 300 * time.Millisecond
)

// Peers chooses among the other routers that reach targets; it is safe for concurrent use.
type Peers struct {
	domain celerylanding.FailureDomain
	mutex  sync.Mutex
	list   []feed.Detour
	// open is the number of this router's connections through each of them.
	open    map[string]int
	avoided map[string]time.Time
}

// NewPeers returns an empty list for a router of the failure domain.
func NewPeers(domain celerylanding.FailureDomain) *Peers {
	return &Peers{domain: domain, open: make(map[string]int), avoided: make(map[string]time.Time)}
}

// Set replaces the routers that reach targets; own is the address of this one.
func (peers *Peers) Set(list []feed.Detour, own string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.list = peers.list[:0:0]
	for _, detour := range list {
		if detour.Address != own {
			peers.list = append(peers.list, detour)
		}
	}
}

// HasUsable reports whether a connection can be tried through some router.
func (peers *Peers) HasUsable(now time.Time) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, detour := range peers.list {
		if !now.Before(peers.avoided[detour.Address]) {
			return true
		}
	}
	return false
}

// Choose returns the router through which to connect, and counts a connection through it until Release. It returns "" if there is none. draw returns
// a random number below its argument. It draws two routers of this domain and two others, so that the connections spread, and takes the least used.
func (peers *Peers) Choose(now time.Time, draw func(count int) int) string {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var near, far []string
	for _, detour := range peers.list {
		switch {
		case now.Before(peers.avoided[detour.Address]):
		case detour.Domain == peers.domain:
			near = append(near, detour.Address)
		default:
			far = append(far, detour.Address)
		}
	}
	best, lowest := "", 0
	consider := func(list []string, extra int) {
		for range min(2, len(list)) {
			address := list[draw(len(list))]
			if cost := peers.open[address] + extra; best == "" || cost < lowest {
				best, lowest = address, cost
			}
		}
	}
	consider(near, 0)
	consider(far, otherDomainCost)
	if best != "" {
		peers.open[best]++
	}
	return best
}

// Release ends the count of a connection through a router.
func (peers *Peers) Release(address string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peers.open[address]--; peers.open[address] <= 0 {
		delete(peers.open, address)
	}
}

// Avoid leaves a router out until a time.
func (peers *Peers) Avoid(address string, until time.Time) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if len(peers.avoided) > 2*len(peers.list) {
		clear(peers.avoided)
	}
	peers.avoided[address] = until
}
