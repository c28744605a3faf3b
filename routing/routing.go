package routing

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds of route.
const (
	// KindOnce is for requests that may run at most once.
	KindOnce Kind = iota
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent
	// KindStream is for requests that are answered by events; each may run at most once unless the route is resumable.
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

// Share is one of the services that a route's requests are divided among.
type Share struct {
	Service celerylanding.ServiceID `cbor:"1,keyasint"`
	// Weight is the service's part of the sum of all weights.
	Weight int `cbor:"2,keyasint"`
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Kind   Kind   `cbor:"4,keyasint"`
	// Resumable is set when a broken stream may go on at another target.
	Resumable bool `cbor:"5,keyasint,omitempty"`
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration `cbor:"6,keyasint"`
	// LatencyObjective is the time within which an answer has its full worth; for a stream, its first event.
	LatencyObjective time.Duration `cbor:"7,keyasint"`
	// MaxEventGap is the longest pause between two events of a stream that is on time.
	MaxEventGap time.Duration `cbor:"8,keyasint,omitempty"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `cbor:"9,keyasint,omitempty"`
	// MaxAttempts is the largest number of targets that may run one request.
	MaxAttempts int     `cbor:"10,keyasint"`
	Shares      []Share `cbor:"11,keyasint"`
}

// MayRepeat reports whether a request of the route may run a second time.
func (route *Route) MayRepeat() bool {
	return route.Kind == KindIdempotent || (route.Kind == KindStream && route.Resumable)
}

// Model is a set of weights that engines load and unload.
type Model struct {
	ID      celerylanding.ModelID `cbor:"1,keyasint"`
	Weights celerylanding.Bytes   `cbor:"2,keyasint"`
	// AdapterWeights is the size of each of its adapters.
	AdapterWeights celerylanding.Bytes `cbor:"3,keyasint"`
	// Adapters are the names of its adapters.
	Adapters []string `cbor:"7,keyasint,omitempty"`
	// StoreLoadTime, FromDisk and FromMemory are the times that a load takes by where the weights lie.
	StoreLoadTime  time.Duration `cbor:"4,keyasint"`
	DiskLoadTime   time.Duration `cbor:"5,keyasint"`
	MemoryLoadTime time.Duration `cbor:"6,keyasint"`
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	Slots int `cbor:"1,keyasint"`
	// CacheTokens is the number of tokens that running requests and cached prompt parts share.
	CacheTokens int                 `cbor:"2,keyasint"`
	Memory      celerylanding.Bytes `cbor:"3,keyasint"`
	// AdapterSlots is the number of adapters that fit on an engine.
	AdapterSlots int `cbor:"4,keyasint"`
	// StoreLoadsPerSecond is the number of loads per second that the weight store allows over all engines.
	StoreLoadsPerSecond float64 `cbor:"5,keyasint"`
	Models              []Model `cbor:"6,keyasint"`
	index               map[celerylanding.ModelID]int
}

// BuildIndex makes Model fast; it must not run at the same time as Model.
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

// Service is a set of targets that answer the same requests.
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
	// Source is the text that the operator sent, kept for reading it back.
	Source []byte `cbor:"5,keyasint,omitempty"`
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
