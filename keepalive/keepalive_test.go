package keepalive_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/keepalive"
)

const (
	model     celerylanding.ModelID = "m"
	coldStart                       = 20 * time.Second
	fixed                           = 5 * time.Minute
)

var begin = time.Unix(1_000_000, 0)

func settings(weight float64) keepalive.Settings {
	return keepalive.Settings{ColdStartWeight: weight, Min: 30 * time.Second, Max: 30 * time.Minute, Default: fixed, ColdStart: coldStart}
}

// trace generates the gaps between the requests of a model.
type trace func(random *rand.Rand) []time.Duration

func periodic(period time.Duration) trace {
	return func(random *rand.Rand) []time.Duration {
		var gaps []time.Duration
		for range 300 {
			jitter := time.Duration(random.NormFloat64() * 0.02 * float64(period))
			gaps = append(gaps, period+jitter)
		}
		return gaps
	}
}

func bursty(random *rand.Rand) []time.Duration {
	var gaps []time.Duration
	for range 40 {
		for range 3 + random.IntN(10) {
			gaps = append(gaps, time.Duration(2+random.IntN(20))*time.Second)
		}
		gaps = append(gaps, time.Duration(30+random.IntN(120))*time.Minute)
	}
	return gaps
}

func oneOff(random *rand.Rand) []time.Duration {
	var gaps []time.Duration
	for range 30 {
		gaps = append(gaps, time.Duration(3+random.IntN(9))*time.Hour)
	}
	return gaps
}

func poisson(random *rand.Rand) []time.Duration {
	var gaps []time.Duration
	for range 400 {
		gaps = append(gaps, time.Duration(-math.Log(1-random.Float64())*float64(10*time.Minute)))
	}
	return gaps
}

// outcome holds the cold starts and the idle time of a keep-alive policy on a trace.
type outcome struct {
	cold int
	idle time.Duration
}

// simulate replays the gaps with the keep-alive that keep returns for each of them.
func simulate(gaps []time.Duration, keep func(now time.Time) time.Duration) outcome {
	var result outcome
	now := begin
	for _, gap := range gaps {
		kept := keep(now)
		result.idle += min(gap, kept)
		if gap > kept {
			result.cold++
		}
		now = now.Add(gap)
	}
	return result
}

// TestLearnedKeepAliveCostsLessThanFixed guards against a learned keep-alive that costs more than a fixed one over traces of five kinds. It
// logs the cold starts and idle time of both.
func TestLearnedKeepAliveCostsLessThanFixed(t *testing.T) {
	traces := []struct {
		name     string
		generate trace
	}{{"periodic 12 min", periodic(12 * time.Minute)}, {"periodic 3 h", periodic(3 * time.Hour)}, {"bursty", bursty}, {"one-off", oneOff}, {"poisson 10 min", poisson}}
	for _, site := range []struct {
		name   string
		weight float64
	}{{"weight 0.8", 0.8}, {"weight 0.3", 0.3}} {
		var learnedCost, fixedCost float64
		for _, row := range traces {
			gaps := row.generate(rand.New(rand.NewPCG(1, 1)))
			policy := keepalive.New()
			learned := simulate(gaps, func(now time.Time) time.Duration {
				policy.RecordUse(now, model)
				return policy.KeepAlive(model, settings(site.weight))
			})
			baseline := simulate(gaps, func(time.Time) time.Duration { return fixed })
			t.Logf("%s, %-15s: learned %3d cold starts, %6.1f idle hours; fixed %3d cold starts, %6.1f idle hours",
				site.name, row.name, learned.cold, learned.idle.Hours(), baseline.cold, baseline.idle.Hours())
			learnedCost += cost(learned, site.weight)
			fixedCost += cost(baseline, site.weight)
		}
		t.Logf("%s: cost %.1f learned, %.1f fixed", site.name, learnedCost, fixedCost)
		assert.Assert(t, learnedCost < fixedCost, "over all traces the learned keep-alive costs less")
	}
}

// cost returns the weighted cost of an outcome: at equal weights a second of cold start costs as much as 20 idle seconds.
func cost(result outcome, weight float64) float64 {
	return weight*float64(result.cold)*coldStart.Hours()*20 + (1-weight)*result.idle.Hours()
}

func TestKeepAliveStaysWithinItsBounds(t *testing.T) {
	for _, weight := range []float64{0, 0.5, 1} {
		policy := keepalive.New()
		assert.Equal(t, policy.KeepAlive(model, settings(weight)), fixed, "a model without history gets the default keep-alive")
		now := begin
		for _, gap := range bursty(rand.New(rand.NewPCG(2, 2))) {
			policy.RecordUse(now, model)
			now = now.Add(gap)
			kept := policy.KeepAlive(model, settings(weight))
			assert.Assert(t, kept >= 30*time.Second && kept <= 30*time.Minute, "%v", kept)
		}
	}
}

func TestHigherWeightNeverKeepsShorter(t *testing.T) {
	policy := keepalive.New()
	now := begin
	for _, gap := range poisson(rand.New(rand.NewPCG(3, 3))) {
		policy.RecordUse(now, model)
		now = now.Add(gap)
	}
	before := time.Duration(0)
	for weight := 0.0; weight <= 1; weight += 0.1 {
		kept := policy.KeepAlive(model, settings(weight))
		assert.Assert(t, kept >= before, "weight %.1f keeps the model for %v, a lower weight for %v", weight, kept, before)
		before = kept
	}
}
