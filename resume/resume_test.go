package resume_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/resume"
)

var start = time.Unix(1_700_000_000, 0)

// TestStreamOfUnknownOriginNeedsOneVersion guards against a guess between versions, also by a leader that has just started and has seen only one of them,
// and against streams that are lost where there is only one.
func TestStreamOfUnknownOriginNeedsOneVersion(t *testing.T) {
	later := start.Add(5 * time.Second)
	lead := func(ledger *resume.Ledger, now time.Time, hasHistory bool, history ...celerylanding.SoftwareVersion) {
		var list []resume.ServiceVersion
		for _, software := range history {
			list = append(list, resume.ServiceVersion{Service: "s", Software: software})
		}
		ledger.Lead(now, list, hasHistory)
	}
	for name, tc := range map[string]struct {
		prepare func(ledger *resume.Ledger)
		now     time.Time
		want    celerylanding.SoftwareVersion
		known   bool
	}{
		"one version, history not known": {func(ledger *resume.Ledger) {
			lead(ledger, start, false)
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "", false},
		"one version, as listed": {func(ledger *resume.Ledger) {
			lead(ledger, start, true, "v2")
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "v2", true},
		"one version, the list has another": {func(ledger *resume.Ledger) {
			lead(ledger, start, true, "v1", "v2")
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "", false},
		"one version, an incomplete list has only that": {func(ledger *resume.Ledger) {
			lead(ledger, start, false, "v2")
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "", false},
		"one version since long": {func(ledger *resume.Ledger) {
			lead(ledger, start, false, "v1")
			ledger.ObserveVersion(start.Add(3*time.Minute), "s", "v2")
		}, start.Add(3 * time.Minute), "v2", true},
		"no target, one version in the list": {func(ledger *resume.Ledger) { lead(ledger, start, true, "v1") }, later, "v1", true},
		"recorded": {func(ledger *resume.Ledger) {
			ledger.Record(later, feed.Origin{Call: 7, Software: "v2"})
			ledger.ObserveVersion(later, "s", "v1")
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "v2", true},
		"the first record holds": {func(ledger *resume.Ledger) {
			ledger.Record(later, feed.Origin{Call: 7, Software: "v2"})
			ledger.Record(later, feed.Origin{Call: 7, Software: "v1"})
		}, later, "v2", true},
		"one version": {func(ledger *resume.Ledger) {
			lead(ledger, start, true)
			ledger.ObserveVersion(later, "s", "v1")
		}, later, "v1", true},
		"one version, new leader": {func(ledger *resume.Ledger) {
			lead(ledger, start, true)
			ledger.ObserveVersion(start, "s", "v1")
		}, start.Add(time.Second), "", false},
		"two versions": {func(ledger *resume.Ledger) {
			lead(ledger, start, true)
			ledger.ObserveVersion(later, "s", "v1")
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "", false},
		"another version a minute ago": {func(ledger *resume.Ledger) {
			lead(ledger, start, true)
			ledger.ObserveVersion(start, "s", "v1")
			ledger.ObserveVersion(start.Add(time.Minute), "s", "v2")
		}, start.Add(time.Minute), "", false},
		"another version long ago": {func(ledger *resume.Ledger) {
			lead(ledger, start, true)
			ledger.ObserveVersion(start, "s", "v1")
			ledger.ObserveVersion(start.Add(3*time.Minute), "s", "v2")
		}, start.Add(3 * time.Minute), "v2", true},
		"versions of another service": {func(ledger *resume.Ledger) {
			lead(ledger, start, true)
			ledger.ObserveVersion(later, "other", "v1")
			ledger.ObserveVersion(later, "s", "v2")
		}, later, "v2", true},
		"no target": {func(*resume.Ledger) {}, later, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := resume.NewLedger(start)
			tc.prepare(ledger)
			software, isKnown := ledger.Find(tc.now, 7, "s")
			assert.Equal(t, isKnown, tc.known)
			assert.Equal(t, software, tc.want)
		})
	}
}

// TestOldRecordsAreForgotten guards against a ledger that grows without bound.
func TestOldRecordsAreForgotten(t *testing.T) {
	ledger := resume.NewLedger(start)
	ledger.Record(start, feed.Origin{Call: 1, Software: "v1"})
	ledger.Record(start.Add(2*time.Minute), feed.Origin{Call: 2, Software: "v1"})
	_, isKnown := ledger.Find(start.Add(2*time.Minute), 1, "s")
	assert.Assert(t, !isKnown)
}

// TestLeadersLearnAllStreamsOfLivingRouters plays lost reports, lost replies and changes of the leader at random.
func TestLeadersLearnAllStreamsOfLivingRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		journal, ledger, now := resume.NewJournal(), resume.NewLedger(start), start
		isNewLeader := false
		deliver := func(origins []feed.Origin) {
			for _, origin := range origins {
				ledger.Record(now, origin)
			}
		}
		const calls = 40
		for call := uint64(1); call <= calls; call++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			journal.Record(now, call, "v1")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				ledger, isNewLeader = resume.NewLedger(now), true
			case 1:
				journal.Report(now)
			case 2:
				deliver(journal.Report(now))
			default:
				deliver(journal.Report(now))
				journal.Acknowledge(isNewLeader)
				isNewLeader = false
			}
		}
		for range 2 {
			deliver(journal.Report(now))
			journal.Acknowledge(isNewLeader)
			isNewLeader = false
		}
		for call := uint64(1); call <= calls; call++ {
			if _, isKnown := ledger.Find(now, call, "s"); !isKnown {
				t.Fatalf("the leader does not know call %d", call)
			}
			if _, isKnown := journal.Find(call); !isKnown {
				t.Fatalf("the router has forgotten call %d", call)
			}
		}
		if left := journal.Report(now); len(left) > 0 {
			t.Fatalf("%d records are reported again", len(left))
		}
	})
}

// TestCopiesHoldWhatTheLeaderHolds guards against records that a control node lacks when it succeeds the leader: it plays batches, lost replies, expiry
// and changes of the leader at random.
func TestCopiesHoldWhatTheLeaderHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		ledgers := []*resume.Ledger{resume.NewLedger(now), resume.NewLedger(now), resume.NewLedger(now)}
		next := []uint64{resume.FirstRecord, resume.FirstRecord, resume.FirstRecord}
		leader := 0
		recorded := make(map[uint64]time.Time)
		// update sends the leader's records to a follower; the reply may be lost.
		update := func(follower int, isLost bool) {
			origins, after := ledgers[leader].Since(now, next[follower])
			if isLost {
				return
			}
			for _, origin := range origins {
				ledgers[follower].Record(now, origin)
			}
			next[follower] = after
		}
		for call := uint64(1); call <= 60; call++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			ledgers[leader].Record(now, feed.Origin{Call: call, Software: "v1"})
			recorded[call] = now
			for follower := range ledgers {
				if follower != leader {
					update(follower, rapid.Bool().Draw(t, "lost"))
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "change") > 0 {
				continue
			}
			for follower := range ledgers {
				if follower != leader {
					update(follower, false)
				}
			}
			ledgers[leader] = resume.NewLedger(now)
			leader = (leader + 1) % len(ledgers)
			ledgers[leader].Lead(now, nil, true)
			next = []uint64{resume.FirstRecord, resume.FirstRecord, resume.FirstRecord}
			for call, at := range recorded {
				_, isKnown := ledgers[leader].Find(now, call, "s")
				assert.Equal(t, isKnown, now.Sub(at) <= time.Minute, "call %d after %v", call, now.Sub(at))
			}
		}
	})
}

// TestRecordsComeInBatches guards against a reply with all records of a busy minute, and against records that are left out between two replies.
func TestRecordsComeInBatches(t *testing.T) {
	ledger, copied := resume.NewLedger(start), resume.NewLedger(start)
	const calls = 10_000
	for call := uint64(1); call <= calls; call++ {
		ledger.Record(start, feed.Origin{Call: call, Software: "v1"})
	}
	replies := 0
	for next := resume.FirstRecord; next < ledger.Next(); replies++ {
		var origins []feed.Origin
		origins, next = ledger.Since(start, next)
		assert.Assert(t, len(origins) > 0 && len(origins) <= 4096)
		for _, origin := range origins {
			copied.Record(start, origin)
		}
	}
	assert.Equal(t, replies, 3)
	assert.Equal(t, copied.Len(), calls)
}
