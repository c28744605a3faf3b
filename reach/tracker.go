package reach

import (
	"maps"
	"slices"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// maxNeeded is the number of distinct targets to which connections must have failed, without one made since, for the router to count as cut off,
	// or all targets if there are fewer. With fewer than minTargets it never does.
	maxNeeded, minTargets = 5, 3
	// maxDomains bounds the number of failure domains in which connections must have failed.
	maxDomains = 6
	// evidenceWindow is how long a failed connection counts.
	evidenceWindow = 1200 * time.Millisecond
	// ProbeInterval is the time between two rounds of probes.
	ProbeInterval = 300 * time.Millisecond
)

// Tracker decides from attempts to connect to targets whether this router reaches them; it is safe for concurrent use. Connections that exist say
// nothing: they may go on while new ones are refused.
type Tracker struct {
	domain celerylanding.FailureDomain
	mutex  sync.Mutex
	// targets holds the failure domain of each target by address, and domains the number of targets in each.
	targets map[string]celerylanding.FailureDomain
	domains map[celerylanding.FailureDomain]int
	isCut   bool
	// changedAt is when isCut last changed.
	changedAt time.Time
	// failed holds when the last connection attempt to each address failed, since one to any address succeeded.
	failed map[string]time.Time
}

// NewTracker returns a tracker of a router in the failure domain; it knows no targets.
func NewTracker(domain celerylanding.FailureDomain) *Tracker {
	return &Tracker{domain: domain, failed: make(map[string]time.Time)}
}

// Update replaces the targets.
func (tracker *Tracker) Update(targets []*feed.Target) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.targets = make(map[string]celerylanding.FailureDomain, len(targets))
	tracker.domains = make(map[celerylanding.FailureDomain]int)
	for _, target := range targets {
		tracker.targets[target.Address] = target.Domain
		tracker.domains[target.Domain]++
	}
}

// IsCut reports whether this router reaches no target.
func (tracker *Tracker) IsCut() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.isCut
}

// ChangedAt returns when this router last lost or regained the targets; zero if it never did.
func (tracker *Tracker) ChangedAt() time.Time {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.changedAt
}

// IsSuspected reports whether this router may be cut off: connections have failed lately, and none has been made since.
func (tracker *Tracker) IsSuspected(now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.isCut && len(tracker.targets) >= minTargets && len(tracker.recent(now)) > 0
}

// RecordFailed records that a target could not be connected to, or did not acknowledge what was sent. It reports whether the router now counts as
// cut off and did not before.
func (tracker *Tracker) RecordFailed(now time.Time, address string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if _, isKnown := tracker.targets[address]; !isKnown {
		return false
	}
	tracker.failed[address] = now
	failed := tracker.recent(now)
	if tracker.isCut || len(failed) < tracker.needed() || len(tracker.uncovered(failed)) > 0 {
		return false
	}
	tracker.isCut, tracker.changedAt = true, now
	return true
}

// RecordConnected records that a connection to a target was made. It reports whether the router counted as cut off before.
func (tracker *Tracker) RecordConnected(now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	clear(tracker.failed)
	if !tracker.isCut {
		return false
	}
	tracker.isCut, tracker.changedAt = false, now
	return true
}

// NextProbes returns the targets to connect to now, to find out whether the router is cut off, or no longer is: none while nothing suggests it. They
// are as many as make it certain if they fail; order returns a random order of a number of elements.
func (tracker *Tracker) NextProbes(now time.Time, order func(count int) []int) []string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	failed := tracker.recent(now)
	if tracker.isCut {
		failed = nil
	} else if len(failed) == 0 || len(tracker.targets) < minTargets {
		return nil
	}
	addresses := slices.Sorted(maps.Keys(tracker.targets))
	missing := tracker.uncovered(failed)
	var probes, others []string
	for _, at := range order(len(addresses)) {
		address := addresses[at]
		if slices.Contains(failed, address) {
			continue
		}
		if domain := slices.Index(missing, tracker.targets[address]); domain >= 0 {
			missing = slices.Delete(missing, domain, domain+1)
			probes = append(probes, address)
			continue
		}
		others = append(others, address)
	}
	more := min(max(0, tracker.needed()-len(failed)-len(probes)), len(others))
	return append(probes, others[:more]...)
}

// needed returns the number of distinct targets to which connections must fail.
func (tracker *Tracker) needed() int { return max(minTargets, min(maxNeeded, len(tracker.targets))) }

// uncovered returns the failure domains in which a connection must still fail for the router to count as cut off: that of the router comes first,
// since another one may be cut off from it as a whole.
func (tracker *Tracker) uncovered(failed []string) []celerylanding.FailureDomain {
	covered := make(map[celerylanding.FailureDomain]bool)
	for _, address := range failed {
		if domain, isKnown := tracker.targets[address]; isKnown {
			covered[domain] = true
		}
	}
	var list []celerylanding.FailureDomain
	if tracker.domains[tracker.domain] > 0 && !covered[tracker.domain] {
		list = append(list, tracker.domain)
	}
	for domain := range tracker.domains {
		if len(covered)+len(list) >= maxDomains {
			break
		}
		if domain != tracker.domain && !covered[domain] {
			list = append(list, domain)
		}
	}
	return list
}

// recent returns the addresses to which connections have failed lately, and forgets the others.
func (tracker *Tracker) recent(now time.Time) []string {
	var list []string
	for address, at := range tracker.failed {
		if now.Sub(at) > evidenceWindow {
			delete(tracker.failed, address)
			continue
		}
		list = append(list, address)
	}
	return list
}
