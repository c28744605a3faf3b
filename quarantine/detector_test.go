package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quarantine"
)

// The keys of a request: two parts that sound requests share, the part that crashes targets, and the whole request from whole upwards.
const (
	first quarantine.Key = iota + 1
	second
	harmful
	whole
)

var start = time.Unix(1_700_000_000, 0)

// crash records that a target crashed while it ran requests with the keys, in the order of their specificity.
func crash(detector *quarantine.Detector, now time.Time, number int, keys ...quarantine.Key) {
	for position, key := range keys {
		specificity := position + 1
		if key >= whole {
			specificity = quarantine.WholeRequest
		}
		detector.RecordCrash(now, quarantine.Evidence{Key: key, Specificity: specificity,
			Target: celerylanding.TargetID(fmt.Sprintf("t%d", number)), Incarnation: 1})
	}
}

func keys(blames []quarantine.Blame) []quarantine.Key {
	var list []quarantine.Key
	for _, blame := range blames {
		list = append(list, blame.Key)
	}
	return list
}

// TestPartOfAllCrashesIsBlamed guards against a quarantine that needs the same request several times: no two are alike, and other
// requests have answered the parts that they share.
func TestPartOfAllCrashesIsBlamed(t *testing.T) {
	detector := quarantine.NewDetector()
	for number := range 3 {
		now := start.Add(time.Duration(number) * time.Second)
		assert.Equal(t, len(detector.Decide(now)), 0, "blamed after %d crashes", number)
		crash(detector, now, number, first, second, harmful, whole+quarantine.Key(number))
		detector.RecordAnswered(first)
		detector.RecordAnswered(second)
	}
	blames := detector.Decide(start.Add(3 * time.Second))
	assert.DeepEqual(t, blames, []quarantine.Blame{{Key: harmful, Crashes: 3}})
	assert.Equal(t, len(detector.Decide(start.Add(4*time.Second))), 0, "a key is returned once")
}

// TestBlamedPartExplainsItsCrashes guards against a quarantine of the parts that a harmful request shares with sound ones: they are in as
// many crashes, and requests that were sent before the quarantine crash more targets.
func TestBlamedPartExplainsItsCrashes(t *testing.T) {
	detector := quarantine.NewDetector()
	for number := range 3 {
		crash(detector, start, number, first, second, harmful)
	}
	assert.Equal(t, len(detector.Decide(start)), 0, "equal keys wait for answers")
	assert.DeepEqual(t, keys(detector.Decide(start.Add(time.Second))), []quarantine.Key{harmful})
	for number := 3; number < 10; number++ {
		// Reports of other routers about the same crash come without the harmful part, before and after it.
		crash(detector, start, number, first, second)
		crash(detector, start, number, first, second, harmful)
		crash(detector, start, number, first)
	}
	assert.Equal(t, len(detector.Decide(start.Add(2*time.Second))), 0)
	assert.Equal(t, len(detector.Suspects(start.Add(2*time.Second))), 0)
}

// TestAnswersClearTheMoreSpecificPart guards against a quarantine of a sound part behind a harmful first one.
func TestAnswersClearTheMoreSpecificPart(t *testing.T) {
	detector := quarantine.NewDetector()
	for number := range 3 {
		crash(detector, start, number, harmful, second)
	}
	assert.Equal(t, len(detector.Decide(start)), 0)
	assert.DeepEqual(t, detector.Suspects(start), []quarantine.Key{second, harmful})
	detector.RecordAnswered(second)
	assert.Equal(t, len(detector.Decide(start.Add(100*time.Millisecond))), 0, "the first part may be that of a whole class in an outage")
	assert.DeepEqual(t, keys(detector.Decide(start.Add(500*time.Millisecond))), []quarantine.Key{harmful})
}

// TestRepeatedRequestIsBlamedAlone guards against a quarantine of the parts of a request that crashes targets as a whole.
func TestRepeatedRequestIsBlamedAlone(t *testing.T) {
	detector := quarantine.NewDetector()
	for number := range 3 {
		crash(detector, start, number, first, second, whole)
	}
	detector.Decide(start)
	assert.DeepEqual(t, detector.Decide(start.Add(time.Second)), []quarantine.Blame{{Key: whole, Crashes: 3, IsWhole: true}})
	assert.Equal(t, len(detector.Decide(start.Add(2*time.Second))), 0)
}

// TestOutageBlamesNobody guards against a quarantine of sound requests when many targets end at once: some parts are found on several of
// them.
func TestOutageBlamesNobody(t *testing.T) {
	detector := quarantine.NewDetector()
	for number := range 40 {
		crash(detector, start, number, quarantine.Key(100+number/4), quarantine.Key(200+number))
	}
	assert.Equal(t, len(detector.Decide(start)), 0)
	assert.Equal(t, len(detector.Decide(start.Add(time.Second))), 0)
}

// TestOutageDoesNotBlameThePartOfAWholeClass guards against a quarantine of all requests of a class whose prompts begin alike, when many targets
// that run them end at once: answers of other targets are reported a little later.
func TestOutageDoesNotBlameThePartOfAWholeClass(t *testing.T) {
	detector := quarantine.NewDetector()
	for number := range 11 {
		crash(detector, start, number, first, quarantine.Key(200+number))
	}
	assert.Equal(t, len(detector.Decide(start.Add(150*time.Millisecond))), 0)
	assert.Assert(t, slices.Contains(detector.Suspects(start), first), "routers are asked for answers")
	detector.RecordAnswered(first)
	assert.Equal(t, len(detector.Decide(start.Add(time.Minute))), 0)
}

// TestForgottenPartIsBlamedAgain guards against a part that is never refused again after the end of its quarantine.
func TestForgottenPartIsBlamedAgain(t *testing.T) {
	detector := quarantine.NewDetector()
	detector.MarkBlamed(harmful)
	crash(detector, start, 1, first, harmful)
	detector.Forget(harmful)
	for number := 2; number < 5; number++ {
		crash(detector, start, number, harmful)
	}
	assert.DeepEqual(t, keys(detector.Decide(start.Add(time.Second))), []quarantine.Key{harmful})
}

// TestHarmfulPartAmongManyRequests plays crashes of a fleet whose targets run other requests too, some of which crash with each target, and
// checks that the harmful part is blamed within five crashes and no other one ever is.
func TestHarmfulPartAmongManyRequests(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		detector := quarantine.NewDetector()
		popularity := 20 + random.IntN(200)
		needed := 0
		for number := range 12 {
			now := start.Add(time.Duration(number) * time.Duration(1+random.IntN(1500)) * time.Millisecond)
			crash(detector, now, number, first, second, harmful, whole+quarantine.Key(1000+number))
			for range random.IntN(12) {
				// Parts with many requests have been answered at nearly all routers, which then don't report them.
				other := quarantine.Key(10_000 + random.IntN(popularity))
				if random.Float64() < 0.3 {
					crash(detector, now, number, 9, other, other+quarantine.Key(100_000*(number+1)))
				}
			}
			for _, key := range detector.Suspects(now) {
				if key != harmful && random.Float64() < 0.9 {
					detector.RecordAnswered(key)
				}
			}
			for _, blame := range detector.Decide(now.Add(time.Second)) {
				assert.Equal(t, blame.Key, harmful, "seed %d", seed)
				needed = number + 1
			}
		}
		assert.Assert(t, needed > 0 && needed <= 5, "seed %d: blamed after %d crashes", seed, needed)
	}
}

// TestOldCrashesAreDropped guards against a part that is blamed for crashes of long ago.
func TestOldCrashesAreDropped(t *testing.T) {
	detector := quarantine.NewDetector()
	crash(detector, start, 0, harmful)
	crash(detector, start, 1, harmful)
	assert.Equal(t, len(detector.Suspects(start)), 1)
	later := start.Add(11 * time.Minute)
	assert.Equal(t, len(detector.Suspects(later)), 0)
	crash(detector, later, 2, harmful)
	assert.Equal(t, len(detector.Decide(later)), 0)
}

// BenchmarkDecide measures one evaluation in a storm of crashes that nothing explains: 256 targets with 16 requests of three parts each.
func BenchmarkDecide(b *testing.B) {
	detector := quarantine.NewDetector()
	for number := range 256 {
		for request := range 16 {
			crash(detector, start, number, first, quarantine.Key(100+request%7), quarantine.Key(1000+number*16+request))
		}
	}
	for b.Loop() {
		detector.RecordAnswered(whole)
		detector.Decide(start)
		detector.Suspects(start)
	}
}
