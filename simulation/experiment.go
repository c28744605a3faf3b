package simulation

import (
	"bytes"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	celerylanding "celerylanding.example/celerylanding"
)

// Class describes one class of requests: its rate, latency objective and size, and the value of its answers.
type Class struct {
	Name      string  `yaml:"name"`
	PerSecond float64 `yaml:"per_second"`
	// PopularModels is the number of models that the class requests, the first ones, with a Zipf distribution. If it is zero, the class
	// requests all models uniformly.
	PopularModels    int           `yaml:"busy"`
	LatencyObjective time.Duration `yaml:"aim"`
	Timeout          time.Duration `yaml:"patience"`
	PromptTokens     int           `yaml:"prompt_tokens"`
	OutputTokens     int           `yaml:"output_tokens"`
	// OnTimeValue is the value of an answer whose first token meets LatencyObjective, and LateValue that of a later one.
	OnTimeValue float64 `yaml:"worth"`
	LateValue   float64 `yaml:"late"`
}

// Disruption stops a share of the engines for some time.
type Disruption struct {
	Start time.Duration `yaml:"at"`
	// Share is the fraction of the engines that stop.
	Share float64 `yaml:"share"`
	// Duration is how long they are stopped; they restart with no models loaded and their disks kept. If it is zero, engines with empty
	// disks replace them.
	Duration time.Duration `yaml:"for"`
}

// Experiment describes the engines, the workload and the disruptions of one simulation.
type Experiment struct {
	Name    string        `yaml:"name"`
	Seed    uint64        `yaml:"seed"`
	Length  time.Duration `yaml:"length"`
	Engines int           `yaml:"engines"`
	Slots   int           `yaml:"slots"`
	Models  int           `yaml:"models"`
	// ModelsPerEngine is how many models fit in the memory of an engine, and DiskCopies how many models are drawn at random for the initial
	// contents of its disk.
	ModelsPerEngine int           `yaml:"residents"`
	DiskCopies      int           `yaml:"copies"`
	StoreLoadTime   time.Duration `yaml:"from_store"`
	DiskLoadTime    time.Duration `yaml:"from_disk"`
	// FullSpeedStoreLoads is how many concurrent loads from the store run at full speed.
	FullSpeedStoreLoads int `yaml:"store_width"`
	// PromptTokensPerMs is the prefill speed of an engine in tokens per ms, and TokenTime the decoding time of one output token.
	PromptTokensPerMs float64       `yaml:"tokens_per_ms"`
	TokenTime         time.Duration `yaml:"step_time"`
	// FeedLag is the time after which routers see a change of the engines.
	FeedLag     time.Duration `yaml:"feed_lag"`
	Classes     []Class       `yaml:"classes"`
	Disruptions []Disruption  `yaml:"disruptions"`
	// Policy is PolicyPlanned, or PolicyStatic as a baseline for comparison.
	Policy string `yaml:"policy"`
}

// Parse decodes and validates an experiment in YAML. Errors name the file, and the line or the field.
func Parse(name string, text []byte) (Experiment, error) {
	experiment := Experiment{Policy: PolicyPlanned}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&experiment); err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", name, err)
	}
	if err := experiment.Check(); err != nil {
		return Experiment{}, fmt.Errorf("%s: %s", name, celerylanding.MessageOf(err))
	}
	return experiment, nil
}

// The values of Experiment.Policy. With PolicyPlanned, the planner loads and unloads models; with PolicyStatic, the initially loaded models
// stay loaded.
const (
	PolicyPlanned = "planned"
	PolicyStatic  = "static"
)

// Check returns an error with the name of the first field that is out of range.
func (experiment *Experiment) Check() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"length", experiment.Length.Seconds()}, {"engines", float64(experiment.Engines)}, {"slots", float64(experiment.Slots)},
		{"models", float64(experiment.Models)}, {"residents", float64(experiment.ModelsPerEngine)},
		{"from_store", experiment.StoreLoadTime.Seconds()}, {"from_disk", experiment.DiskLoadTime.Seconds()},
		{"store_width", float64(experiment.FullSpeedStoreLoads)}, {"tokens_per_ms", experiment.PromptTokensPerMs},
		{"step_time", experiment.TokenTime.Seconds()}, {"classes", float64(len(experiment.Classes))},
	} {
		if field.value <= 0 {
			return celerylanding.NewFieldError(field.name, "must be positive")
		}
	}
	if experiment.Policy != PolicyPlanned && experiment.Policy != PolicyStatic {
		return celerylanding.NewFieldError("policy", "%q must be planned or static", experiment.Policy)
	}
	for i, class := range experiment.Classes {
		if class.PerSecond <= 0 || class.LatencyObjective <= 0 || class.Timeout < class.LatencyObjective {
			return celerylanding.NewFieldError(fmt.Sprintf("classes[%d]", i),
				"%q needs a positive per_second, a positive aim and a patience of at least the aim", class.Name)
		}
	}
	return nil
}
