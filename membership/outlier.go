package membership

import (
	"math"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// outcomeHalfLife is the time after which an outcome counts half; a faulty target fails its requests for some seconds.
	outcomeHalfLife = time.Second
	// minFailures is the decayed number of failures at which a target can be ejected.
	minFailures = 3.5
	// minFailureShare is the share of failed requests at which a target can be ejected; a target that fails fewer is still better than none.
	minFailureShare = 0.75
	// minReporters is the number of routers that must report failures, since the network path of a single router may be broken.
	minReporters = 2
	// reporterWindow is how long the failures of a router count towards minReporters.
	reporterWindow = 3 * time.Second
	// minFailingTime is how long a target must have been failing; connections that all break at once do not show that the target is at
	// fault.
	minFailingTime = 800 * time.Millisecond
	// ejectionTime is how long a target stays ejected before it gets work again; loading one of its models on another target takes a second or
	// two.
	ejectionTime = 4 * time.Second
)

// outcomeStats holds the outcomes that routers report for one incarnation of a target.
type outcomeStats struct {
	incarnation celerylanding.Incarnation
	answered    float64
	failed      float64
	updatedAt   time.Time
	reporters   map[celerylanding.NodeID]time.Time
	// failingSince is when the failure share reached minFailureShare; zero while it is below.
	failingSince time.Time
	ejectedUntil time.Time
}

// OutlierDetector ejects targets that fail most of their requests, regardless of the health that they report. It is not safe for concurrent
// use.
type OutlierDetector struct {
	targets map[celerylanding.TargetID]*outcomeStats
}

// NewOutlierDetector returns a detector without targets.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{targets: make(map[celerylanding.TargetID]*outcomeStats)}
}

// Report adds a router's counts of a target's answered and failed requests since its last report; it returns true when the target
// becomes ejected.
func (detector *OutlierDetector) Report(now time.Time, node celerylanding.NodeID, target celerylanding.TargetID,
	incarnation celerylanding.Incarnation, answered, failed int) bool {
	stats := detector.targets[target]
	if stats == nil || stats.incarnation < incarnation {
		stats = &outcomeStats{incarnation: incarnation, updatedAt: now, reporters: make(map[celerylanding.NodeID]time.Time)}
		detector.targets[target] = stats
	}
	if stats.incarnation != incarnation || now.Before(stats.ejectedUntil) {
		return false
	}
	decay := math.Exp2(-now.Sub(stats.updatedAt).Seconds() / outcomeHalfLife.Seconds())
	stats.answered = stats.answered*decay + float64(answered)
	stats.failed = stats.failed*decay + float64(failed)
	stats.updatedAt = now
	if failed > 0 {
		stats.reporters[node] = now
	}
	if stats.failed < minFailureShare*(stats.answered+stats.failed) {
		stats.failingSince = time.Time{}
		return false
	}
	if stats.failingSince.IsZero() {
		stats.failingSince = now
	}
	if failed == 0 || stats.failed < minFailures || stats.countReporters(now) < minReporters || now.Sub(stats.failingSince) < minFailingTime {
		return false
	}
	stats.answered, stats.failed, stats.failingSince, stats.ejectedUntil = 0, 0, time.Time{}, now.Add(ejectionTime)
	clear(stats.reporters)
	return true
}

func (stats *outcomeStats) countReporters(now time.Time) int {
	for node, at := range stats.reporters {
		if now.Sub(at) > reporterWindow {
			delete(stats.reporters, node)
		}
	}
	return len(stats.reporters)
}

// IsEjected reports whether the incarnation of the target gets no work now.
func (detector *OutlierDetector) IsEjected(now time.Time, target celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	stats := detector.targets[target]
	return stats != nil && stats.incarnation == incarnation && now.Before(stats.ejectedUntil)
}

// EndEjections returns the targets whose ejection has ended since the last call, and removes targets without recent reports.
func (detector *OutlierDetector) EndEjections(now time.Time) []celerylanding.TargetID {
	var list []celerylanding.TargetID
	for id, stats := range detector.targets {
		switch {
		case !stats.ejectedUntil.IsZero() && !now.Before(stats.ejectedUntil):
			stats.ejectedUntil = time.Time{}
			list = append(list, id)
		case stats.ejectedUntil.IsZero() && now.Sub(stats.updatedAt) > ejectionTime:
			delete(detector.targets, id)
		}
	}
	return list
}
