package membership

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// ailingHalfLife is the time after which an outcome counts half; targets that fail all they get do so for some seconds.
	ailingHalfLife = time.Second
	// leastFailures is the decayed number of failures from which a target can be ailing.
	leastFailures = 3.5
	// ailingShare is the part of the requests that an ailing target fails; one that fails fewer is still better than none.
	ailingShare = 0.75
	// ailingReporters is the number of routers that must have seen failures, since the way of one of them may be harmed.
	ailingReporters = 2
	// reporterTime is how long a router's failures count for that.
	reporterTime = 3 * time.Second
	// persistTime is how long a target must have failed; connections that break all at once say nothing of the target.
	persistTime = 800 * time.Millisecond
	// ailingTime is how long an ailing target gets no work before it is tried again; a model comes back elsewhere in a second or two.
	ailingTime = 4 * time.Second
)

// ailment is what routers have told of one incarnation of a target.
type ailment struct {
	incarnation celerylanding.Incarnation
	answered    float64
	failed      float64
	at          time.Time
	reporters   map[celerylanding.NodeID]time.Time
	// since is when the counts began to say that the target is ailing; zero while they don't.
	since time.Time
	until time.Time
}

// Ailing finds the targets that fail nearly all they get, whatever they say of their health; it has one user.
type Ailing struct {
	targets map[celerylanding.TargetID]*ailment
}

// NewAiling returns a record without targets.
func NewAiling() *Ailing { return &Ailing{targets: make(map[celerylanding.TargetID]*ailment)} }

// Report takes a router's count of what a target has answered and failed since its last report; it is true when the target turns out
// to be ailing.
func (ailing *Ailing) Report(now time.Time, node celerylanding.NodeID, target celerylanding.TargetID,
	incarnation celerylanding.Incarnation, answered, failed int) bool {
	known := ailing.targets[target]
	if known == nil || known.incarnation < incarnation {
		known = &ailment{incarnation: incarnation, at: now, reporters: make(map[celerylanding.NodeID]time.Time)}
		ailing.targets[target] = known
	}
	if known.incarnation != incarnation || now.Before(known.until) {
		return false
	}
	decay := math.Exp2(-now.Sub(known.at).Seconds() / ailingHalfLife.Seconds())
	known.answered = known.answered*decay + float64(answered)
	known.failed = known.failed*decay + float64(failed)
	known.at = now
	if failed > 0 {
		known.reporters[node] = now
	}
	if known.failed < ailingShare*(known.answered+known.failed) {
		known.since = time.Time{}
		return false
	}
	if known.since.IsZero() {
		known.since = now
	}
	if failed == 0 || known.failed < leastFailures || known.countReporters(now) < ailingReporters || now.Sub(known.since) < persistTime {
		return false
	}
	known.answered, known.failed, known.since, known.until = 0, 0, time.Time{}, now.Add(ailingTime)
	clear(known.reporters)
	return true
}

func (known *ailment) countReporters(now time.Time) int {
	for node, at := range known.reporters {
		if now.Sub(at) > reporterTime {
			delete(known.reporters, node)
		}
	}
	return len(known.reporters)
}

// IsAiling reports whether the incarnation of the target gets no work now.
func (ailing *Ailing) IsAiling(now time.Time, target celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	known := ailing.targets[target]
	return known != nil && known.incarnation == incarnation && now.Before(known.until)
}

// Recovered returns the targets that are to be tried again, once each, and forgets those of which nothing is told any more.
func (ailing *Ailing) Recovered(now time.Time) []celerylanding.TargetID {
	var list []celerylanding.TargetID
	for id, known := range ailing.targets {
		switch {
		case !known.until.IsZero() && !now.Before(known.until):
			known.until = time.Time{}
			list = append(list, id)
		case known.until.IsZero() && now.Sub(known.at) > ailingTime:
			delete(ailing.targets, id)
		}
	}
	return list
}
