package quarantine

import (
	"maps"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// trialRuns is the number of ended runs from which copies of a request run one at a time.
	trialRuns = 2
	// maxTrialKeys bounds the requests whose copies run one at a time, which every reply to a router lists.
	maxTrialKeys = 64
	// maxTrialTime is how long a copy may run before the next one, in case its router is lost.
	maxTrialTime = 5 * time.Second
	// evidenceDelay is the time after a broken trial in which routers can report that its target has crashed.
	evidenceDelay = 1200 * time.Millisecond
	// refusalDelay is the time after a trial that its target has refused: each copy that reaches a target counts, whether it runs or not.
	refusalDelay = evidenceDelay
)

// TrialResult is how the trial of a request ended.
type TrialResult int

const (
	// TrialBroken means that the target may have crashed.
	TrialBroken TrialResult = iota
	// TrialNotRun means that no target has got the request.
	TrialNotRun
	// TrialRefused means that a target has got the request and has not run it.
	TrialRefused
	// TrialAnswered means that a target has answered the request completely.
	TrialAnswered
)

// trial is a copy of a request that runs alone.
type trial struct {
	run uint64
	// target is "" once the copy has ended.
	target celerylanding.TargetID
	until  time.Time
}

// Trials lets one copy of a request run at a time, over all routers; the owner asks it before each copy of a request that Detector.NeedsTrial
// names. Two requests are not tried on one target at a time, since its crash would count against both. It is not safe for concurrent use.
type Trials struct{ running map[Key]trial }

// NewTrials returns trials of which none is running.
func NewTrials() *Trials { return &Trials{running: make(map[Key]trial)} }

// Begin reports whether a run of the request may begin on the target, which then is the only one until End, or until its longest time is over.
func (trials *Trials) Begin(now time.Time, key Key, run uint64, target celerylanding.TargetID, longest time.Duration) bool {
	maps.DeleteFunc(trials.running, func(_ Key, other trial) bool { return !now.Before(other.until) })
	for otherKey, other := range trials.running {
		if (otherKey == key && other.run != run) || (otherKey != key && other.target == target) {
			return false
		}
	}
	trials.running[key] = trial{run: run, target: target, until: now.Add(min(longest, maxTrialTime))}
	return true
}

// End ends a run. After a broken one the next one waits until its crash can have been reported, and after one that a target has refused until
// the routers can know a better target.
func (trials *Trials) End(now time.Time, key Key, run uint64, result TrialResult) {
	switch current, ok := trials.running[key]; {
	case !ok || current.run != run:
	case result == TrialBroken:
		trials.running[key] = trial{run: run, until: now.Add(evidenceDelay)}
	case result == TrialRefused:
		trials.running[key] = trial{run: run, until: now.Add(refusalDelay)}
	default:
		delete(trials.running, key)
	}
}
