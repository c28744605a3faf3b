package routing

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Kind is the retry class of a route's requests.
type Kind uint8

// The kinds of route.
const (
	// KindOnce is for requests that may run at most once.
	KindOnce Kind = iota
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent
	// KindStream is for requests that are answered by a stream of events; each may run at most once unless the route is resumable.
	KindStream
)

// String returns the name used in metrics.
func (kind Kind) String() string {
	switch kind {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "once"
}

// Share is one service of a route's weighted traffic split.
type Share struct {
	Service celerylanding.ServiceID `cbor:"1,keyasint"`
	// Weight is relative to the sum of the weights of the route.
	Weight int `cbor:"2,keyasint"`
}

// Route maps the requests of a host under a path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Resumable is set when an interrupted stream may resume at another target.
	Resumable bool `cbor:"5,keyasint,omitempty"`
	// Timeout bounds the time from the arrival of a request to the end of its answer.
	Timeout time.Duration `cbor:"6,keyasint"`
	// LatencyObjective is the latency up to which an answer has its full value; for a stream, the latency of its first event.
	LatencyObjective time.Duration `cbor:"7,keyasint"`
	// MaxEventGap is the objective for the longest time between two events of a stream.
	MaxEventGap time.Duration `cbor:"8,keyasint,omitempty"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `cbor:"9,keyasint,omitempty"`
	// MaxAttempts is the largest number of targets that one request may run on.
	MaxAttempts int     `cbor:"10,keyasint"`
	Shares      []Share `cbor:"11,keyasint"`
	// Public is set if callers need no key although the configuration has workspaces.
	Public bool `cbor:"12,keyasint,omitempty"`
}

// IsRetryable reports whether a request of the route may run a second time.
func (route *Route) IsRetryable() bool {
	return route.Kind == KindIdempotent || (route.Kind == KindStream && route.Resumable)
}

// Model is a set of weights that engines load and unload.
type Model struct {
	ID      celerylanding.ModelID `cbor:"1,keyasint"`
	Weights celerylanding.Bytes   `cbor:"2,keyasint"`
	// AdapterWeights is the size of the weights of each adapter.
	AdapterWeights celerylanding.Bytes `cbor:"3,keyasint"`
	// Adapters are the names of the model's adapters.
	Adapters []string `cbor:"7,keyasint,omitempty"`
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the durations of a load by the location of the weights: in the weight store, on the
	// engine's disk and in its memory.
	StoreLoadTime  time.Duration `cbor:"4,keyasint"`
	DiskLoadTime   time.Duration `cbor:"5,keyasint"`
	MemoryLoadTime time.Duration `cbor:"6,keyasint"`
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	Slots int `cbor:"1,keyasint"`
	// CacheTokens is the capacity of the KV cache in tokens, which running requests and cached prompt parts share.
	CacheTokens int                 `cbor:"2,keyasint"`
	Memory      celerylanding.Bytes `cbor:"3,keyasint"`
	// AdapterSlots is the number of adapters that an engine can have loaded at once.
	AdapterSlots int `cbor:"4,keyasint"`
	// StoreLoadsPerSecond is the load rate that the weight store allows over all engines together.
	StoreLoadsPerSecond float64 `cbor:"5,keyasint"`
	Models              []Model `cbor:"6,keyasint"`
	index               map[celerylanding.ModelID]int
}

// BuildIndex builds the index for Model by identifier; it must not run concurrently with Model.
func (engine *Engine) BuildIndex() {
	engine.index = make(map[celerylanding.ModelID]int, len(engine.Models))
	for i, model := range engine.Models {
		engine.index[model.ID] = i
	}
}

// Model finds a model by its identifier.
func (engine *Engine) Model(id celerylanding.ModelID) (Model, bool) {
	if engine.index != nil {
		if at, ok := engine.index[id]; ok {
			return engine.Models[at], true
		}
		return Model{}, false
	}
	for _, model := range engine.Models {
		if model.ID == id {
			return model, true
		}
	}
	return Model{}, false
}

// Service is a set of interchangeable targets.
type Service struct {
	ID         celerylanding.ServiceID `cbor:"1,keyasint"`
	HealthPath string                  `cbor:"2,keyasint"`
	// MaxConns is the number of connections that a target accepts from all nodes together.
	MaxConns int `cbor:"3,keyasint"`
	// Engine is nil for a plain service.
	Engine *Engine `cbor:"4,keyasint,omitempty"`
}

// Limits bound what a caller may send; zero means no bound.
type Limits struct {
	HeaderBytes   int           `cbor:"1,keyasint"`
	BodyBytes     int64         `cbor:"2,keyasint"`
	HeaderTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout   time.Duration `cbor:"4,keyasint"`
}

// Configuration is one version of all routes and services.
type Configuration struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
	// Source is the text that the operator submitted; the operator interface returns it.
	Source []byte `cbor:"5,keyasint,omitempty"`
	// Workspaces lists the groups of callers. Callers need a key if there are any, or if NeedsKeys is set: a list that has become empty lets
	// nobody in.
	Workspaces []Workspace `cbor:"6,keyasint,omitempty"`
	NeedsKeys  bool        `cbor:"7,keyasint,omitempty"`
}

// Service finds a service by its identifier.
func (configuration *Configuration) Service(id celerylanding.ServiceID) (*Service, bool) {
	for i := range configuration.Services {
		if configuration.Services[i].ID == id {
			return &configuration.Services[i], true
		}
	}
	return nil, false
}
