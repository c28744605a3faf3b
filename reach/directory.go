package reach

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// reportTimeout is how long after its last report a router is listed; routers report four times a second.
	reportTimeout = time.Second
	// gatherInterval is the shortest time between two changes of the list, so that routers that lose their targets together cause few replies.
	gatherInterval = 200 * time.Millisecond
	// maxDetours bounds the list that a router gets, half of it in its own failure domain, and maxGathered that of a relay.
	maxDetours  = 16
	maxGathered = 1024
)

// report is what a router, or a relay for its routers, has last reported.
type report struct {
	detours []feed.Detour
	at      time.Time
}

// Directory lists the routers that reach targets, on the nodes that answer watch requests; it is safe for concurrent use. It is kept in memory only:
// routers repeat their reports with each watch request.
type Directory struct {
	mutex   sync.Mutex
	reports map[celerylanding.NodeID]report
	// list is sorted and was gathered at gatheredAt, or adopted from the leader; digest identifies it, and is zero for an empty one.
	list       []feed.Detour
	digest     uint64
	gatheredAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{reports: make(map[celerylanding.NodeID]report)}
}

// Report records what a node reports: a router itself, a relay its routers.
func (directory *Directory) Report(now time.Time, node celerylanding.NodeID, detours ...feed.Detour) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.reports[node] = report{detours, now}
}

// Gather returns what nodes have reported lately.
func (directory *Directory) Gather(now time.Time) []feed.Detour {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.gather(now)
}

func (directory *Directory) gather(now time.Time) []feed.Detour {
	var list []feed.Detour
	for node, report := range directory.reports {
		if now.Sub(report.at) > reportTimeout {
			delete(directory.reports, node)
			continue
		}
		list = append(list, report.detours...)
	}
	slices.SortFunc(list, func(a, b feed.Detour) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Address, b.Address))
	})
	list = slices.Compact(list)
	return list[:min(len(list), maxGathered)]
}

// Refresh updates the leader's list from the reports.
func (directory *Directory) Refresh(now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if now.Sub(directory.gatheredAt) < gatherInterval {
		return
	}
	directory.gatheredAt = now
	directory.list = directory.gather(now)
	directory.digest = digestOf(directory.list)
}

// Adopt replaces the list by that of the leader, on a relay; nil changes nothing.
func (directory *Directory) Adopt(list *feed.DetourList) {
	if list == nil {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.list, directory.digest = list.Detours, list.Digest
}

// Digest returns the digest of the list.
func (directory *Directory) Digest() uint64 {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.digest
}

// All returns the list, for a relay; nil if it has the digest known.
func (directory *Directory) All(known uint64) *feed.DetourList {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if known == directory.digest {
		return nil
	}
	return &feed.DetourList{Digest: directory.digest, Detours: directory.list}
}

// For returns the part of the list that a router gets; nil if it is from the list with the digest known. Each router gets other ones, so that those
// that lose their targets together use all of the others.
func (directory *Directory) For(node celerylanding.NodeID, domain celerylanding.FailureDomain, known uint64) *feed.DetourList {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if known == directory.digest {
		return nil
	}
	type ranked struct {
		feed.Detour
		rank uint64
	}
	var near, far []ranked
	for _, detour := range directory.list {
		entry := ranked{detour, xxhash.Sum64String(detour.Address + "\x00" + string(node))}
		if detour.Domain == domain {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	var list []feed.Detour
	for _, group := range [][]ranked{near, far} {
		slices.SortFunc(group, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		for _, entry := range group[:min(len(group), maxDetours/2)] {
			list = append(list, entry.Detour)
		}
	}
	return &feed.DetourList{Digest: directory.digest, Detours: list}
}

// digestOf returns a hash of a sorted list, and zero for an empty one.
func digestOf(list []feed.Detour) uint64 {
	if len(list) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, detour := range list {
		// A write to a hash never fails.
		_, _ = digest.WriteString(string(detour.Domain) + "\x00" + detour.Address + "\x00")
	}
	return digest.Sum64() | 1
}
