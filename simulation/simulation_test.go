package simulation_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/simulation"
)

const exampleFile = "../examples/experiments/rare-models.yaml"

func loadExperiment(t *testing.T) simulation.Experiment {
	t.Helper()
	text, err := os.ReadFile(exampleFile)
	assert.NilError(t, err)
	experiment, err := simulation.Parse(exampleFile, text)
	assert.NilError(t, err)
	return experiment
}

func simulate(t *testing.T, experiment simulation.Experiment) *simulation.Result {
	t.Helper()
	result, err := simulation.Run(experiment)
	assert.NilError(t, err)
	assert.Equal(t, result.MemoryOverruns, 0, "an engine was loaded beyond its memory")
	var text strings.Builder
	assert.NilError(t, result.Write(&text))
	t.Log("\n" + text.String())
	return &result
}

// TestRareModelsMeetTheirLatencyObjective guards against a planner that loads rare models too late or at the cost of popular ones. No engine
// fails; about half of the models are loaded nowhere at the start, and all are on some disk.
func TestRareModelsMeetTheirLatencyObjective(t *testing.T) {
	experiment := loadExperiment(t)
	experiment.Disruptions = nil
	planned := simulate(t, experiment)
	assert.Assert(t, planned.ValueShare("rare") >= 0.9, "%.3f", planned.ValueShare("rare"))
	assert.Assert(t, planned.ValueShare("busy") >= 0.95, "%.3f", planned.ValueShare("busy"))
	experiment.Policy = simulation.PolicyStatic
	assert.Assert(t, simulate(t, experiment).ValueShare("rare") < 0.6,
		"without loads, the rare class gets only the models that are loaded at the start")
}

// TestCrashOfAQuarterOfTheEngines guards against slow recovery when a quarter of the engines crash and their models are lost at once:
// requests of the busy class must be served again within seconds.
func TestCrashOfAQuarterOfTheEngines(t *testing.T) {
	result := simulate(t, loadExperiment(t))
	assert.Assert(t, result.ValueShare("busy") >= 0.9, "%.3f", result.ValueShare("busy"))
	assert.Assert(t, result.ValueShare("rare") >= 0.8, "%.3f", result.ValueShare("rare"))
}

// TestEnginesWithoutCopies guards against models that stay unavailable once their disk copies are lost: twice, a share of 0.3 of the engines
// is replaced by engines with empty disks, so that models must be loaded from the store.
func TestEnginesWithoutCopies(t *testing.T) {
	experiment := loadExperiment(t)
	experiment.DiskCopies = 6
	experiment.Disruptions = []simulation.Disruption{{Start: 8 * time.Second, Share: 0.3}, {Start: 18 * time.Second, Share: 0.3}}
	result := simulate(t, experiment)
	assert.Assert(t, result.ValueShare("busy") >= 0.85, "%.3f", result.ValueShare("busy"))
	assert.Assert(t, result.StoreLoads > 0)
}

// TestBurstOfRareRequests guards against a burst of rare requests, at three times the usual rate, that starves the busy class. The planner
// must refuse requests that can't be served in time instead of queueing them.
func TestBurstOfRareRequests(t *testing.T) {
	experiment := loadExperiment(t)
	experiment.Disruptions = nil
	experiment.Classes[1].PerSecond *= 3
	result := simulate(t, experiment)
	assert.Assert(t, result.ValueShare("busy") >= 0.85, "the rare class must not starve the busy one: %.3f", result.ValueShare("busy"))
	assert.Assert(t, result.ValueShare("rare") >= 0.5, "%.3f", result.ValueShare("rare"))
}

// TestSameSeedSameRequests checks that a seed determines the requests. Values differ slightly, since ties between targets of equal cost are
// broken at random.
func TestSameSeedSameRequests(t *testing.T) {
	first, second := simulate(t, loadExperiment(t)), simulate(t, loadExperiment(t))
	assert.Equal(t, first.Classes["rare"].Requests, second.Classes["rare"].Requests)
	assert.Equal(t, first.Classes["busy"].Requests, second.Classes["busy"].Requests)
	difference := first.ValueShare("") - second.ValueShare("")
	assert.Assert(t, difference < 0.02 && difference > -0.02, "%.3f", difference)
}

// TestLargeSimulationIsFast guards against planning code that scales badly: 90 engines and 320 models must be simulated within 10 s.
func TestLargeSimulationIsFast(t *testing.T) {
	experiment := loadExperiment(t)
	experiment.Engines, experiment.Models, experiment.Slots, experiment.DiskCopies = 90, 320, 12, 13
	experiment.Classes[0].PerSecond, experiment.Classes[1].PerSecond = 389, 44
	began := time.Now()
	result := simulate(t, experiment)
	assert.Assert(t, time.Since(began) < 10*time.Second, "%v", time.Since(began))
	assert.Assert(t, result.ValueShare("") >= 0.7, "%.3f", result.ValueShare(""))
}

func TestParseErrorsNameFileAndField(t *testing.T) {
	text, err := os.ReadFile(exampleFile)
	assert.NilError(t, err)
	for _, tc := range []struct{ from, to, want string }{
		{"engines: 12", "engines: 0", "engines"}, {"aim: 3s", "aim: 0s", "classes[1]"}, {"store_width: 4", "store_width: -1", "store_width"},
		{"length: 40s", "length: forty", "line 4"},
	} {
		_, err := simulation.Parse("f.yaml", []byte(strings.Replace(string(text), tc.from, tc.to, 1)))
		want := tc.want
		assert.Assert(t, err != nil && strings.Contains(err.Error(), want) && strings.Contains(err.Error(), "f.yaml"), "%v", err)
	}
	_, err = simulation.Parse("f.yaml", append(text, []byte("colour: red\n")...))
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "line"), "%v", err)
}

// requiredValueShare is the value share that the operators of the modelled site require on its days of heaviest load.
const requiredValueShare = 0.71

// TestFewDiskCopies guards against lost value when load orders exceed the capacity of the engines: more than half of them are replaced by
// engines with empty disks. Both classes must reach requiredValueShare, averaged over the seeds.
func TestFewDiskCopies(t *testing.T) {
	text, err := os.ReadFile("../examples/experiments/scarce-copies.yaml")
	assert.NilError(t, err)
	experiment, err := simulation.Parse("scarce-copies.yaml", text)
	assert.NilError(t, err)
	experiment.Disruptions[0].Share = 0.55
	const seeds = 4
	mean := make(map[string]float64)
	for seed := range uint64(seeds) {
		experiment.Seed = seed + 1
		result := simulate(t, experiment)
		for _, class := range []string{"rare", "busy"} {
			mean[class] += result.ValueShare(class) / seeds
		}
	}
	for class, share := range mean {
		assert.Assert(t, share >= requiredValueShare, "%s: %.3f", class, share)
	}
}
