package quarantine

import (
	"cmp"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// crashThreshold is the number of crashed targets from which a key can be quarantined.
	crashThreshold = 3
	// suspectThreshold is the number of crashed targets from which a key is a suspect, so that routers report answers to requests with it; so is
	// a request with several ended runs.
	suspectThreshold = 2
	// minShare is the share of the crashes since its first one that a key must explain. In an outage of many targets, keys that many requests
	// have in common are found on several of them by chance.
	minShare = 0.25
	// tieTimeout is how long a decision between keys with equally many crashes waits for answers that clear some of them.
	tieTimeout = 500 * time.Millisecond
	// partTimeout is the same for a part of prompts, from the crash that suffices on: in an outage of many targets it may be the part that all
	// requests of a class begin with.
	partTimeout = 500 * time.Millisecond
	// evidenceTTL is how long a crash is kept.
	evidenceTTL = 10 * time.Minute
	// maxRankingAge is how long the order of the keys is kept without a change, before crashes that have become too old are dropped.
	maxRankingAge = time.Second
	// maxCrashes bounds the crashes that are kept; the oldest one is dropped first.
	maxCrashes = 256
	// maxRuns bounds the copies of a request that are counted for one crash.
	maxRuns = 32
	// maxSuspects bounds the list of suspects, which every reply to a router contains.
	maxSuspects = 64
)

// Key identifies something that requests have in common: a part of their prompts, or the whole request.
type Key uint64

// Evidence says that a request with the key was running on an incarnation of a target when that crashed.
type Evidence struct {
	Key Key
	// Specificity orders the keys of a request: a later part of the prompt is more specific than an earlier one, and the whole request most.
	Specificity int
	Target      celerylanding.TargetID
	Incarnation celerylanding.Incarnation
	// Run identifies the exchange that broke off, for a whole request; zero for a part of a prompt.
	Run uint64
}

// crashID identifies the crash of one incarnation of a target.
type crashID struct {
	target      celerylanding.TargetID
	incarnation celerylanding.Incarnation
}

// crash holds the keys of the requests that were running on a target when it crashed; nil once a blamed key explains the crash.
type crash struct {
	id   crashID
	at   time.Time
	keys map[Key]involvement
}

// involvement is the part of a key in a crash.
type involvement struct {
	specificity int
	// runs are the copies of a whole request that ended with the target, at most maxRuns.
	runs []uint64
}

// Detector decides which keys are to be quarantined; the owner reports crashes and answers. It is not safe for concurrent use.
//
// A key is blamed if requests with it were running on several targets that crashed, and none with it has been answered in between. The key
// that explains most crashes is blamed first; its crashes then no longer count against the other keys of the same requests.
type Detector struct {
	// crashes are the recent crashes, oldest first.
	crashes []*crash
	blamed  map[Key]bool
	// ranking holds the candidates as of rankedAt; nil after a change.
	ranking  []candidate
	rankedAt time.Time
	// tiedSince is when the keys with the most crashes were first found to be several; zero if they are not.
	tiedSince time.Time
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector { return &Detector{blamed: make(map[Key]bool)} }

// RecordCrash adds evidence and reports whether it was new. Evidence of a crash that a blamed key explains is ignored.
func (detector *Detector) RecordCrash(now time.Time, evidence Evidence) bool {
	id := crashID{evidence.Target, evidence.Incarnation}
	at := slices.IndexFunc(detector.crashes, func(entry *crash) bool { return entry.id == id })
	if at < 0 {
		if len(detector.crashes) >= maxCrashes {
			detector.crashes = slices.Delete(detector.crashes, 0, 1)
		}
		at = len(detector.crashes)
		detector.crashes = append(detector.crashes, &crash{id: id, at: now, keys: make(map[Key]involvement)})
	}
	entry := detector.crashes[at]
	if entry.keys == nil {
		return false
	}
	if detector.blamed[evidence.Key] {
		entry.keys = nil
		detector.ranking = nil
		return false
	}
	known, isKnown := entry.keys[evidence.Key]
	isNewRun := evidence.Run != 0 && len(known.runs) < maxRuns && !slices.Contains(known.runs, evidence.Run)
	if isKnown && !isNewRun {
		return false
	}
	known.specificity = evidence.Specificity
	if isNewRun {
		known.runs = append(known.runs, evidence.Run)
	}
	entry.keys[evidence.Key] = known
	detector.ranking = nil
	return true
}

// RecordAnswered clears a key: a target has answered a request with it and did not crash.
func (detector *Detector) RecordAnswered(key Key) {
	detector.ranking = nil
	for _, entry := range detector.crashes {
		delete(entry.keys, key)
	}
}

// MarkBlamed makes all crashes with the key count as explained by it, those that are reported later included.
func (detector *Detector) MarkBlamed(key Key) {
	detector.blamed[key] = true
	detector.ranking = nil
	for _, entry := range detector.crashes {
		if _, ok := entry.keys[key]; ok {
			entry.keys = nil
		}
	}
}

// Forget ends the blame of a key.
func (detector *Detector) Forget(key Key) { delete(detector.blamed, key) }

// candidate is a key with the crashes that it may have caused.
type candidate struct {
	key         Key
	specificity int
	crashes     int
	runs        int
	// sufficientAt is the time of the crash with which the key has reached crashThreshold; zero before.
	sufficientAt time.Time
	// before is the number of unexplained crashes before the first one with the key, and since the number of those from that one on.
	before int
	since  int
}

// candidates returns the keys of the unexplained crashes, those with the most crashes first; among equals the most specific first, then those
// with the most ended runs.
func (detector *Detector) candidates(now time.Time) []candidate {
	if detector.ranking == nil || now.Sub(detector.rankedAt) > maxRankingAge {
		detector.ranking, detector.rankedAt = detector.rank(now), now
	}
	return detector.ranking
}

func (detector *Detector) rank(now time.Time) []candidate {
	detector.crashes = slices.DeleteFunc(detector.crashes, func(entry *crash) bool { return now.Sub(entry.at) > evidenceTTL })
	byKey := make(map[Key]*candidate)
	unexplained := 0
	for _, entry := range detector.crashes {
		if entry.keys == nil {
			continue
		}
		for key, part := range entry.keys {
			found := byKey[key]
			if found == nil {
				found = &candidate{key: key, before: unexplained}
				byKey[key] = found
			}
			if found.crashes++; found.crashes == crashThreshold {
				found.sufficientAt = entry.at
			}
			found.runs += len(part.runs)
			found.specificity = max(found.specificity, part.specificity)
		}
		unexplained++
	}
	list := make([]candidate, 0, len(byKey))
	for _, found := range byKey {
		if found.crashes >= suspectThreshold || found.needsTrial() {
			found.since = unexplained - found.before
			list = append(list, *found)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.specificity, a.specificity), cmp.Compare(b.runs, a.runs),
			cmp.Compare(a.key, b.key))
	})
	return list
}

// needsTrial reports whether copies of the request run one at a time: several runs of it have ended with their targets.
func (found *candidate) needsTrial() bool {
	return found.specificity == WholeRequest && found.runs >= trialRuns
}

// TrialKeys returns the requests whose copies must run one at a time, at most maxTrialKeys, in ascending order.
func (detector *Detector) TrialKeys(now time.Time) []Key {
	keys := make([]Key, 0)
	for _, found := range detector.candidates(now) {
		if found.needsTrial() && len(keys) < maxTrialKeys {
			keys = append(keys, found.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// NeedsTrial reports whether copies of the request must run one at a time.
func (detector *Detector) NeedsTrial(now time.Time, key Key) bool {
	return slices.ContainsFunc(detector.candidates(now), func(found candidate) bool { return found.key == key && found.needsTrial() })
}

// IsBlamed reports whether the key is to be refused.
func (detector *Detector) IsBlamed(key Key) bool { return detector.blamed[key] }

// Suspects returns the keys with several crashes or ended runs, at most maxSuspects, in ascending order.
func (detector *Detector) Suspects(now time.Time) []Key {
	list := detector.candidates(now)
	keys := make([]Key, 0, min(len(list), maxSuspects))
	for _, found := range list[:cap(keys)] {
		keys = append(keys, found.key)
	}
	slices.Sort(keys)
	return keys
}

// Blame is a key that is to be quarantined, with the number of crashes that it explains.
type Blame struct {
	Key     Key
	Crashes int
	// Runs is the number of copies of a whole request that ended in these crashes; zero for a part of a prompt.
	Runs int
	// IsWhole is set for a whole request instead of a part of its prompt.
	IsWhole bool
}

// WholeRequest is the specificity of a whole request.
const WholeRequest = 1 << 16

// Decide returns the keys that are to be quarantined now; each is returned once.
func (detector *Detector) Decide(now time.Time) []Blame {
	var blames []Blame
	for {
		list := detector.candidates(now)
		if len(list) == 0 || list[0].crashes < crashThreshold || float64(list[0].crashes) < minShare*float64(list[0].since) {
			detector.tiedSince = time.Time{}
			return blames
		}
		if detector.awaitsAnswers(now, list) {
			return blames
		}
		detector.tiedSince = time.Time{}
		detector.MarkBlamed(list[0].key)
		blames = append(blames, Blame{Key: list[0].key, Crashes: list[0].crashes, Runs: list[0].runs, IsWhole: list[0].specificity == WholeRequest})
	}
}

// awaitsAnswers reports whether answers may still clear the first candidate, or decide between it and an equal one.
func (detector *Detector) awaitsAnswers(now time.Time, list []candidate) bool {
	isTied := len(list) > 1 && list[1].crashes == list[0].crashes
	switch {
	case !isTied:
		detector.tiedSince = time.Time{}
	case detector.tiedSince.IsZero():
		detector.tiedSince = now
	}
	if isTied && now.Sub(detector.tiedSince) < tieTimeout {
		return true
	}
	return list[0].specificity != WholeRequest && now.Sub(list[0].sufficientAt) < partTimeout
}
