package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Digest identifies the content of a document.
type Digest string

// Document is a base file and a site's overlay as the operator wrote them.
type Document struct {
	BaseName    string `cbor:"1,keyasint" json:"base_name"`
	Base        string `cbor:"2,keyasint" json:"base"`
	OverlayName string `cbor:"3,keyasint" json:"overlay_name"`
	Overlay     string `cbor:"4,keyasint" json:"overlay"`
}

// Digest returns the digest of both texts; the files' names do not count.
func (document Document) Digest() Digest {
	hash := sha256.New()
	for _, text := range []string{document.Base, document.Overlay} {
		sum := sha256.Sum256([]byte(text))
		hash.Write(sum[:])
	}
	return Digest(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Replicas bounds the replicas of a model.
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
}

// ID returns the model's identifier.
func (model *Model) ID() celerylanding.ModelID { return model.id }

// Base returns the model that an adapter needs on the same target, or "".
func (model *Model) Base() celerylanding.ModelID { return model.base }

// IsAdapter reports whether the unit is an adapter.
func (model *Model) IsAdapter() bool { return model.base != "" }

// Group returns the group of targets that may load the model.
func (model *Model) Group() string { return model.group }

// Memory returns the bytes that a replica takes on a target, with the reserve for its KV cache.
func (model *Model) Memory() celerylanding.Bytes { return model.memory + model.kvReserve }

// Replicas returns the bounds of the replica count.
func (model *Model) Replicas() Replicas { return model.replicas }

// Deadline returns the time a request has when its caller states none.
func (model *Model) Deadline() time.Duration { return model.deadline }

// Priority returns the class of a request whose caller states none.
func (model *Model) Priority() celerylanding.Priority { return model.priority }

// Group is a set of targets that serve the same things.
type Group struct {
	name         string
	kind         celerylanding.TargetKind
	targetMemory celerylanding.Bytes
	role         celerylanding.Role
}

// Name returns the group's name.
func (group *Group) Name() string { return group.name }

// Kind returns whether the group holds engines or plain services.
func (group *Group) Kind() celerylanding.TargetKind { return group.kind }

// TargetMemory returns the accelerator memory of the largest target of the group, in bytes.
func (group *Group) TargetMemory() celerylanding.Bytes { return group.targetMemory }

// Role returns the role that the group's engines shall have, or "" where that is left to them.
func (group *Group) Role() celerylanding.Role { return group.role }

// Service is a plain service behind the router.
type Service struct {
	id         celerylanding.ServiceID
	group      string
	deadline   time.Duration
	idempotent map[string]bool
}

// ID returns the service's identifier.
func (service *Service) ID() celerylanding.ServiceID { return service.id }

// Group returns the group of targets that run the service.
func (service *Service) Group() string { return service.group }

// Deadline returns the time a request has when its caller states none.
func (service *Service) Deadline() time.Duration { return service.deadline }

// IsIdempotent reports whether a call with the method may be repeated after it may have run.
func (service *Service) IsIdempotent(method string) bool { return service.idempotent[method] }

// Store holds the limits of the weight store.
type Store struct {
	loadsPerSecond   float64
	fullSpeedLoads   int
	adaptersInFlight int
}

// LoadsPerSecond returns how many loads may begin in a second.
func (store Store) LoadsPerSecond() float64 { return store.loadsPerSecond }

// FullSpeedLoads returns how many model loads run at once at full speed.
func (store Store) FullSpeedLoads() int { return store.fullSpeedLoads }

// AdaptersInFlight returns how many adapter loads run at once at full speed.
func (store Store) AdaptersInFlight() int { return store.adaptersInFlight }

// Queue bounds the requests that wait for one model.
type Queue struct {
	requests int
	bytes    celerylanding.Bytes
}

// Requests returns the largest number of waiting requests of one model.
func (queue Queue) Requests() int { return queue.requests }

// Bytes returns the largest sum of the waiting requests' bodies of one model.
func (queue Queue) Bytes() celerylanding.Bytes { return queue.bytes }

// KeepAlive sets how long an unused replica stays loaded.
type KeepAlive struct {
	coldStartWeight float64
	least           time.Duration
	most            time.Duration
}

// ColdStartWeight returns the weight of cold-start time against idle accelerator time, from 0 to 1.
func (idling KeepAlive) ColdStartWeight() float64 { return idling.coldStartWeight }

// Min returns the shortest keep-alive.
func (idling KeepAlive) Min() time.Duration { return idling.least }

// Max returns the longest keep-alive.
func (idling KeepAlive) Max() time.Duration { return idling.most }

// Config is the checked intended state of one site; it does not change.
type Config struct {
	number   uint64
	site     string
	digest   Digest
	models   map[celerylanding.ModelID]*Model
	ordered  []*Model
	kept     []*Model
	aliases  map[string]celerylanding.ModelID
	groups   map[string]*Group
	services map[celerylanding.ServiceID]*Service
	store    Store
	queue    Queue
	idling   KeepAlive
	claimTTL time.Duration
}

// Revision returns the revision's number.
func (config *Config) Revision() uint64 { return config.number }

// Site returns the name of the site.
func (config *Config) Site() string { return config.site }

// Digest returns the digest of the document.
func (config *Config) Digest() Digest { return config.digest }

// Model finds a loadable unit by its identifier.
func (config *Config) Model(id celerylanding.ModelID) (*Model, bool) {
	model, ok := config.models[id]
	return model, ok
}

// Resolve finds a loadable unit by the name a caller uses: "model", "model@version" or an adapter.
func (config *Config) Resolve(name string) (*Model, bool) {
	if id, ok := config.aliases[name]; ok {
		return config.Model(id)
	}
	return config.Model(celerylanding.ModelID(name))
}

// Models returns all loadable units, ordered by their identifiers; the caller must not change the slice.
func (config *Config) Models() []*Model { return config.ordered }

// ModelsWithMinReplicas returns the units that have replicas at all times, ordered by their identifiers; the caller must not change
// the slice.
func (config *Config) ModelsWithMinReplicas() []*Model { return config.kept }

// orderModels is called once all models are known.
func (config *Config) orderModels() {
	for _, model := range config.models {
		config.ordered = append(config.ordered, model)
	}
	sort.Slice(config.ordered, func(i, j int) bool { return config.ordered[i].id < config.ordered[j].id })
	for _, model := range config.ordered {
		if model.replicas.Min > 0 {
			config.kept = append(config.kept, model)
		}
	}
}

// Names returns all names that a caller may use for a model, in order.
func (config *Config) Names() []string {
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

// Service finds a plain service.
func (config *Config) Service(id celerylanding.ServiceID) (*Service, bool) {
	service, ok := config.services[id]
	return service, ok
}

// Services returns all plain services, ordered by their identifiers.
func (config *Config) Services() []*Service {
	services := make([]*Service, 0, len(config.services))
	for _, service := range config.services {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].id < services[j].id })
	return services
}

// Group finds a group of targets.
func (config *Config) Group(name string) (*Group, bool) {
	group, ok := config.groups[name]
	return group, ok
}

// Store returns the limits of the weight store.
func (config *Config) Store() Store { return config.store }

// Queue returns the bounds of each model's queue.
func (config *Config) Queue() Queue { return config.queue }

// KeepAlive returns the settings of the keep-alive.
func (config *Config) KeepAlive() KeepAlive { return config.idling }

// ClaimTTL returns how long the answer to an idempotency key is kept.
func (config *Config) ClaimTTL() time.Duration { return config.claimTTL }
