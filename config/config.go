package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

// Digest is a hash that identifies the content of a document.
type Digest string

// Document holds the unparsed YAML of a base file and a site's overlay.
type Document struct {
	BaseName    string `cbor:"1,keyasint" json:"base_name"`
	Base        string `cbor:"2,keyasint" json:"base"`
	OverlayName string `cbor:"3,keyasint" json:"overlay_name"`
	Overlay     string `cbor:"4,keyasint" json:"overlay"`
}

// Digest returns the digest of both texts; the file names are not part of it.
func (document Document) Digest() Digest {
	hash := sha256.New()
	for _, text := range []string{document.Base, document.Overlay} {
		sum := sha256.Sum256([]byte(text))
		hash.Write(sum[:])
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Replicas holds the limits of the number of replicas of a model.
type Replicas struct {
	Min int
	Max int
}

// Model is one loadable unit: a version of a model, or an adapter.
type Model struct {
	id        celerylanding.ModelID
	base      celerylanding.ModelID
	group     string
	memory    celerylanding.Bytes
	kvReserve celerylanding.Bytes
	replicas  Replicas
	deadline  time.Duration
	priority  celerylanding.Priority
	public    bool
}

// ID returns the model's identifier.
func (model *Model) ID() celerylanding.ModelID { return model.id }

// Base returns the model that an adapter needs on the same target, or "".
func (model *Model) Base() celerylanding.ModelID { return model.base }

// IsAdapter reports whether the unit is an adapter.
func (model *Model) IsAdapter() bool { return model.base != "" }

// Group returns the group of targets that may load the model.
func (model *Model) Group() string { return model.group }

// Memory returns the memory that a replica occupies on a target in bytes, including the reserve for its KV cache.
func (model *Model) Memory() celerylanding.Bytes { return model.memory + model.kvReserve }

// Replicas returns the limits of the replica count.
func (model *Model) Replicas() Replicas { return model.replicas }

// Deadline returns the default deadline of a request, for callers that set none.
func (model *Model) Deadline() time.Duration { return model.deadline }

// Priority returns the default priority of a request, for callers that set none.
func (model *Model) Priority() celerylanding.Priority { return model.priority }

// IsPublic reports whether callers need no key for the model.
func (model *Model) IsPublic() bool { return model.public }

// Group is a set of targets that may load the same models or run the same services.
type Group struct {
	name         string
	kind         celerylanding.TargetKind
	targetMemory celerylanding.Bytes
	role         celerylanding.Role
}

// Name returns the group's name.
func (group *Group) Name() string { return group.name }

// Kind returns the kind of the group's targets: engines or plain services.
func (group *Group) Kind() celerylanding.TargetKind { return group.kind }

// TargetMemory returns the accelerator memory of the largest target of the group, in bytes.
func (group *Group) TargetMemory() celerylanding.Bytes { return group.targetMemory }

// Role returns the role that is set on the group's engines, or "" if each engine keeps its own.
func (group *Group) Role() celerylanding.Role { return group.role }

// Service is a plain service behind the router.
type Service struct {
	id         celerylanding.ServiceID
	group      string
	deadline   time.Duration
	idempotent map[string]bool
	public     bool
}

// ID returns the service's identifier.
func (service *Service) ID() celerylanding.ServiceID { return service.id }

// Group returns the group of targets that run the service.
func (service *Service) Group() string { return service.group }

// Deadline returns the default deadline of a request, for callers that set none.
func (service *Service) Deadline() time.Duration { return service.deadline }

// IsIdempotent reports whether a call with the HTTP method may be retried after an attempt that may have run.
func (service *Service) IsIdempotent(method string) bool { return service.idempotent[method] }

// IsPublic reports whether callers need no key for the service.
func (service *Service) IsPublic() bool { return service.public }

// Store holds the limits of the weight store.
type Store struct {
	loadsPerSecond   float64
	fullSpeedLoads   int
	adaptersInFlight int
}

// LoadsPerSecond returns the maximum number of loads that start per second.
func (store Store) LoadsPerSecond() float64 { return store.loadsPerSecond }

// FullSpeedLoads returns the number of concurrent model loads that the weight store serves at full speed.
func (store Store) FullSpeedLoads() int { return store.fullSpeedLoads }

// AdaptersInFlight returns the number of concurrent adapter loads that the weight store serves at full speed.
func (store Store) AdaptersInFlight() int { return store.adaptersInFlight }

// Queue holds the limits of the queue of requests that wait for one model.
type Queue struct {
	requests int
	bytes    celerylanding.Bytes
}

// Requests returns the maximum number of waiting requests.
func (queue Queue) Requests() int { return queue.requests }

// Bytes returns the maximum total size of the waiting requests' bodies.
func (queue Queue) Bytes() celerylanding.Bytes { return queue.bytes }

// KeepAlive holds the settings that decide how long an unused replica stays loaded.
type KeepAlive struct {
	coldStartWeight float64
	min             time.Duration
	max             time.Duration
}

// ColdStartWeight returns the weight of cold-start time relative to idle accelerator time, from 0 to 1.
func (keepAlive KeepAlive) ColdStartWeight() float64 { return keepAlive.coldStartWeight }

// Min returns the shortest keep-alive.
func (keepAlive KeepAlive) Min() time.Duration { return keepAlive.min }

// Max returns the longest keep-alive.
func (keepAlive KeepAlive) Max() time.Duration { return keepAlive.max }

// Config is the validated intended state of one site. It is immutable.
type Config struct {
	revision         uint64
	site             string
	digest           Digest
	models           map[celerylanding.ModelID]*Model
	sorted           []*Model
	minReplicaModels []*Model
	aliases          map[string]celerylanding.ModelID
	groups           map[string]*Group
	services         map[celerylanding.ServiceID]*Service
	store            Store
	queue            Queue
	keepAlive        KeepAlive
	claimTTL         time.Duration
	// access holds the workspaces, and table finds one by a key.
	access routing.Configuration
	table  *routing.Table
}

// Revision returns the revision number that the base file or the overlay states.
func (config *Config) Revision() uint64 { return config.revision }

// Site returns the name of the site.
func (config *Config) Site() string { return config.site }

// Digest returns the digest of the document.
func (config *Config) Digest() Digest { return config.digest }

// Model returns the loadable unit with the identifier.
func (config *Config) Model(id celerylanding.ModelID) (*Model, bool) {
	model, ok := config.models[id]
	return model, ok
}

// Resolve returns the loadable unit that a caller's model name refers to: "model", "model@version" or an adapter's name.
func (config *Config) Resolve(name string) (*Model, bool) {
	if id, ok := config.aliases[name]; ok {
		return config.Model(id)
	}
	return config.Model(celerylanding.ModelID(name))
}

// Models returns all loadable units, sorted by identifier. The slice must not be modified.
func (config *Config) Models() []*Model { return config.sorted }

// ModelsWithMinReplicas returns the loadable units whose minimum replica count is above zero, sorted by identifier. The slice must not be
// modified.
func (config *Config) ModelsWithMinReplicas() []*Model { return config.minReplicaModels }

// sortModels fills the sorted slices of models once all models have been read.
func (config *Config) sortModels() {
	for _, model := range config.models {
		config.sorted = append(config.sorted, model)
	}
	sort.Slice(config.sorted, func(i, j int) bool { return config.sorted[i].id < config.sorted[j].id })
	for _, model := range config.sorted {
		if model.replicas.Min > 0 {
			config.minReplicaModels = append(config.minReplicaModels, model)
		}
	}
}

// ModelNames returns all names that a caller may use for a model, sorted.
func (config *Config) ModelNames() []string {
	names := make([]string, 0, len(config.models)+len(config.aliases))
	for name := range config.aliases {
		names = append(names, name)
	}
	for id := range config.models {
		names = append(names, string(id))
	}
	sort.Strings(names)
	return names
}

// Service returns the plain service with the identifier.
func (config *Config) Service(id celerylanding.ServiceID) (*Service, bool) {
	service, ok := config.services[id]
	return service, ok
}

// Services returns all plain services, sorted by identifier.
func (config *Config) Services() []*Service {
	services := make([]*Service, 0, len(config.services))
	for _, service := range config.services {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].id < services[j].id })
	return services
}

// Group returns the group of targets with the name.
func (config *Config) Group(name string) (*Group, bool) {
	group, ok := config.groups[name]
	return group, ok
}

// Access returns the table of the workspaces and their keys.
func (config *Config) Access() *routing.Table { return config.table }

// Workspaces returns the workspaces in the order of the files. The slice must not be modified.
func (config *Config) Workspaces() []routing.Workspace { return config.access.Workspaces }

// HasPublicModels reports whether callers without a key may use a model.
func (config *Config) HasPublicModels() bool {
	return slices.ContainsFunc(config.sorted, (*Model).IsPublic)
}

// Store returns the limits of the weight store.
func (config *Config) Store() Store { return config.store }

// Queue returns the limits of each model's queue.
func (config *Config) Queue() Queue { return config.queue }

// KeepAlive returns the settings of the keep-alive.
func (config *Config) KeepAlive() KeepAlive { return config.keepAlive }

// ClaimTTL returns how long the claim of an idempotency key and its recorded response are kept.
func (config *Config) ClaimTTL() time.Duration { return config.claimTTL }
