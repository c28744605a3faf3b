package quarantine_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quarantine"
)

// endRuns records that runs of a whole request ended with a target.
func endRuns(detector *quarantine.Detector, target celerylanding.TargetID, runs ...uint64) {
	for _, run := range runs {
		detector.RecordCrash(start, quarantine.Evidence{Key: whole, Specificity: quarantine.WholeRequest, Target: target, Incarnation: 1, Run: run})
	}
}

// TestSeveralEndedRunsNeedATrial guards against copies of a request that are free until it has ended three targets.
func TestSeveralEndedRunsNeedATrial(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(detector *quarantine.Detector)
		want []quarantine.Key
	}{
		"one run":                 {func(detector *quarantine.Detector) { endRuns(detector, "t1", 1) }, []quarantine.Key{}},
		"one run, reported twice": {func(detector *quarantine.Detector) { endRuns(detector, "t1", 1, 1) }, []quarantine.Key{}},
		"two runs on one target":  {func(detector *quarantine.Detector) { endRuns(detector, "t1", 1, 2) }, []quarantine.Key{whole}},
		"two runs on two targets": {func(detector *quarantine.Detector) { endRuns(detector, "t1", 1); endRuns(detector, "t2", 2) }, []quarantine.Key{whole}},
		"a part of several prompts": {func(detector *quarantine.Detector) {
			crash(detector, start, 1, first)
			crash(detector, start, 2, first)
		}, []quarantine.Key{}},
		"two runs, then an answer":     {func(detector *quarantine.Detector) { endRuns(detector, "t1", 1, 2); detector.RecordAnswered(whole) }, []quarantine.Key{}},
		"two runs of a blamed request": {func(detector *quarantine.Detector) { endRuns(detector, "t1", 1, 2); detector.MarkBlamed(whole) }, []quarantine.Key{}},
	} {
		t.Run(name, func(t *testing.T) {
			detector := quarantine.NewDetector()
			tc.end(detector)
			assert.DeepEqual(t, detector.TrialKeys(start), tc.want)
			assert.Equal(t, detector.NeedsTrial(start, whole), len(tc.want) > 0)
		})
	}
}

// TestBlameNamesTheRuns guards against a count of copies that misses those of other routers or counts a repeated report.
func TestBlameNamesTheRuns(t *testing.T) {
	detector := quarantine.NewDetector()
	endRuns(detector, "t1", 1, 2, 3)
	endRuns(detector, "t2", 4, 4)
	endRuns(detector, "t3", 5)
	assert.DeepEqual(t, detector.Decide(start), []quarantine.Blame{{Key: whole, Crashes: 3, Runs: 5, IsWhole: true}})
}

// TestOneCopyRunsAtATime plays routers that ask, end and are lost at random.
func TestOneCopyRunsAtATime(t *testing.T) {
	const maxTrialTime, evidenceDelay = 5 * time.Second, 1200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		trials, now := quarantine.NewTrials(), start
		var running uint64
		var blockedUntil time.Time
		for run := uint64(1); run <= 60; run++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			longest := time.Duration(rapid.IntRange(100, 20_000).Draw(t, "longest")) * time.Millisecond
			granted := trials.Begin(now, whole, run, "t1", longest)
			if granted != !now.Before(blockedUntil) {
				t.Fatalf("run %d begins %v at %v, blocked until %v by %d", run, granted, now, blockedUntil, running)
			}
			if granted {
				running, blockedUntil = run, now.Add(min(longest, maxTrialTime))
			}
			if !trials.Begin(now, harmful, run, "t2", longest) {
				t.Fatalf("another request waits for this one")
			}
			trials.End(now, harmful, run, quarantine.TrialNotRun)
			if !rapid.Bool().Draw(t, "ends") {
				continue
			}
			// A result of an earlier run, whose time was over, changes nothing.
			trials.End(now, whole, running-1, quarantine.TrialAnswered)
			result := rapid.SampledFrom([]quarantine.TrialResult{quarantine.TrialBroken, quarantine.TrialNotRun, quarantine.TrialRefused,
				quarantine.TrialAnswered}).Draw(t, "result")
			if now.Before(blockedUntil) {
				trials.End(now, whole, running, result)
				blockedUntil = now
				if result == quarantine.TrialBroken || result == quarantine.TrialRefused {
					blockedUntil = now.Add(evidenceDelay)
				}
			}
		}
	})
}

// TestSuspiciousRequestsAreTriedOnTargetsOfTheirOwn guards against a sound request that is blamed because it ran beside a harmful one on each
// crashed target.
func TestSuspiciousRequestsAreTriedOnTargetsOfTheirOwn(t *testing.T) {
	const sound, other = whole, whole + 1
	trials := quarantine.NewTrials()
	assert.Assert(t, trials.Begin(start, other, 1, "t1", time.Second))
	assert.Assert(t, !trials.Begin(start, sound, 2, "t1", time.Second), "another request is tried on the target")
	assert.Assert(t, trials.Begin(start, sound, 2, "t2", time.Second))
	trials.End(start, other, 1, quarantine.TrialBroken)
	trials.End(start, sound, 2, quarantine.TrialNotRun)
	assert.Assert(t, trials.Begin(start, sound, 3, "t1", time.Second), "a broken trial has left its target")
	assert.Assert(t, !trials.Begin(start, other, 4, "t3", time.Second), "its crash may not have been reported yet")
}

// TestRequestWithMoreEndedRunsIsBlamedFirst guards against a choice by chance between requests that were on the same crashed targets.
func TestRequestWithMoreEndedRunsIsBlamedFirst(t *testing.T) {
	const sound, other = whole, whole + 1
	detector := quarantine.NewDetector()
	for number, target := range []celerylanding.TargetID{"t1", "t2", "t3"} {
		for copies := range 2 {
			detector.RecordCrash(start, quarantine.Evidence{Key: other, Specificity: quarantine.WholeRequest, Target: target, Incarnation: 1,
				Run: uint64(10*number + copies + 1)})
		}
		detector.RecordCrash(start, quarantine.Evidence{Key: sound, Specificity: quarantine.WholeRequest, Target: target, Incarnation: 1,
			Run: uint64(100 + number)})
	}
	assert.Equal(t, len(detector.Decide(start)), 0, "equal keys wait for answers")
	assert.DeepEqual(t, keys(detector.Decide(start.Add(time.Second))), []quarantine.Key{other})
}
