package config

import (
	"math"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	celerylanding "celerylanding.example/celerylanding"
)

// The defaults of every setting that the files may leave out.
const (
	defaultDeadline         = 30 * time.Second
	defaultQueueRequests    = 256
	defaultQueueBytes       = 64 << 20
	defaultLoadsPerSecond   = 4
	defaultFullSpeedLoads   = 4
	defaultAdaptersInFlight = 32
	defaultColdStartWeight  = 0.5
	defaultKeepAliveLeast   = 30 * time.Second
	defaultKeepAliveMost    = 30 * time.Minute
	defaultClaimTTL         = 24 * time.Hour
	defaultMaxReplicas      = 1
	maxReplicas             = 10_000
	maxRequests             = 1_000_000
)

// reader fills a Config from the merged tree.
type reader struct {
	config   *Config
	problems *problems
	bases    []pendingBase
	memory   []pendingMemory
	groups   []pendingGroup
	deadline time.Duration
}

// pendingBase is an adapter's base that can be checked once all models are known.
type pendingBase struct {
	adapter *Model
	name    string
	at      setting
}

// pendingMemory is a memory need that can be checked once all groups are known.
type pendingMemory struct {
	model *Model
	at    setting
}

// pendingGroup is the use of a group that can be checked once all groups are known.
type pendingGroup struct {
	name string
	kind celerylanding.TargetKind
	at   setting
}

// Parse merges and checks a document; the error lists every mistake with its file, line and field.
func Parse(document Document) (*Config, error) {
	problems := &problems{}
	source := &source{files: make(map[*yaml.Node]string), problems: problems}
	base := source.parse(document.BaseName, document.Base)
	overlay := source.parse(document.OverlayName, document.Overlay)
	if err := problems.err(); err != nil {
		return nil, err
	}
	merged := source.merge(base, overlay)
	source.files[merged] = document.BaseName
	reader := newReader(document, problems)
	root := setting{source: source, node: merged}
	reader.readDefaults(root)
	reader.readRoot(root)
	reader.resolve()
	reader.config.orderModels()
	if err := problems.err(); err != nil {
		return nil, err
	}
	return reader.config, nil
}

func newReader(document Document, problems *problems) *reader {
	return &reader{
		problems: problems,
		deadline: defaultDeadline,
		config: &Config{
			digest:   document.Digest(),
			models:   make(map[celerylanding.ModelID]*Model),
			aliases:  make(map[string]celerylanding.ModelID),
			groups:   make(map[string]*Group),
			services: make(map[celerylanding.ServiceID]*Service),
			store: Store{loadsPerSecond: defaultLoadsPerSecond, fullSpeedLoads: defaultFullSpeedLoads,
				adaptersInFlight: defaultAdaptersInFlight},
			queue: Queue{requests: defaultQueueRequests, bytes: defaultQueueBytes},
			idling: KeepAlive{coldStartWeight: defaultColdStartWeight, least: defaultKeepAliveLeast,
				most: defaultKeepAliveMost},
			claimTTL: defaultClaimTTL,
		},
	}
}

// readDefaults runs first, since other sections fall back on it.
func (reader *reader) readDefaults(root setting) {
	if root.node.Kind != yaml.MappingNode {
		return
	}
	root.each(func(name string, child setting) {
		if name == "defaults" {
			child.mapping(fields{
				"deadline": func(at setting) { reader.deadline = at.duration() },
			})
		}
	})
}

func (reader *reader) readRoot(root setting) {
	config := reader.config
	root.mapping(fields{
		"revision":  func(at setting) { config.number = uint64(at.integer(1, math.MaxInt)) },
		"site":      func(at setting) { config.site = at.text() },
		"defaults":  func(setting) {},
		"groups":    func(at setting) { at.each(reader.readGroup) },
		"models":    func(at setting) { at.each(reader.readModel) },
		"adapters":  func(at setting) { at.each(reader.readAdapter) },
		"services":  func(at setting) { at.each(reader.readService) },
		"store":     reader.readStore,
		"queue":     reader.readQueue,
		"idling":    reader.readIdling,
		"claim_ttl": func(at setting) { config.claimTTL = at.duration() },
	})
	if config.number == 0 && len(reader.problems.list) == 0 {
		root.fail("revision is missing")
	}
	if config.site == "" && len(reader.problems.list) == 0 {
		root.fail("site is missing")
	}
}

func (reader *reader) readGroup(name string, at setting) {
	at.checkName(name)
	group := &Group{name: name, kind: celerylanding.KindEngine}
	at.mapping(fields{
		"kind": func(at setting) {
			group.kind = celerylanding.TargetKind(at.text())
			if group.kind != celerylanding.KindEngine && group.kind != celerylanding.KindService {
				at.fail("%q must be engine or service", group.kind)
			}
		},
		"target_memory": func(at setting) { group.targetMemory = at.bytes() },
		"role": func(at setting) {
			group.role = celerylanding.Role(at.text())
			if !group.role.IsValid() {
				at.fail("%q must be mixed, prefill or decode", group.role)
			}
		},
	})
	if group.kind == celerylanding.KindEngine && group.targetMemory == 0 {
		at.fail("target_memory is missing")
	}
	reader.config.groups[name] = group
}

func (reader *reader) readModel(name string, at setting) {
	at.checkName(name)
	template := Model{replicas: Replicas{Max: defaultMaxReplicas}, deadline: reader.deadline,
		priority: celerylanding.PriorityNormal}
	var defaultVersion string
	var versions setting
	known := modelFields(&template)
	known["group"] = func(at setting) { reader.useGroup(&template, at) }
	known["default"] = func(at setting) { defaultVersion = at.text() }
	known["versions"] = func(at setting) { versions = at }
	at.mapping(known)
	if template.group == "" {
		at.fail("group is missing")
	}
	if versions.node == nil {
		at.fail("versions is missing")
		return
	}
	last := reader.readVersions(name, template, versions)
	if defaultVersion == "" {
		defaultVersion = last
	}
	id := celerylanding.ModelID(name + "@" + defaultVersion)
	if _, ok := reader.config.models[id]; !ok {
		at.fail("default version %q is not stated", defaultVersion)
	}
	reader.config.aliases[name] = id
}

// modelFields are the settings that models and adapters share.
func modelFields(model *Model) fields {
	return fields{
		"deadline": func(at setting) { model.deadline = at.duration() },
		"priority": func(at setting) {
			priority, ok := celerylanding.ParsePriority(at.text())
			if !ok {
				at.fail("%q must be interactive, normal or batch", at.node.Value)
			}
			model.priority = priority
		},
		"replicas": func(at setting) { model.replicas = readReplicas(at, model.replicas) },
	}
}

func readReplicas(at setting, replicas Replicas) Replicas {
	at.mapping(fields{
		"min": func(at setting) { replicas.Min = at.integer(0, maxReplicas) },
		"max": func(at setting) { replicas.Max = at.integer(0, maxReplicas) },
	})
	if replicas.Min > replicas.Max {
		at.fail("min %d is more than max %d", replicas.Min, replicas.Max)
	}
	return replicas
}

// readVersions returns the name of the last version.
func (reader *reader) readVersions(name string, template Model, at setting) string {
	var last string
	at.each(func(version string, at setting) {
		at.checkName(version)
		model := template
		model.id = celerylanding.ModelID(name + "@" + version)
		at.mapping(fields{
			"memory":     func(at setting) { model.memory = at.bytes() },
			"kv_reserve": func(at setting) { model.kvReserve = at.bytes() },
		})
		if model.memory == 0 {
			at.fail("memory is missing")
		}
		reader.memory = append(reader.memory, pendingMemory{&model, at})
		reader.config.models[model.id] = &model
		last = version
	})
	return last
}

func (reader *reader) readAdapter(name string, at setting) {
	at.checkName(name)
	adapter := &Model{id: celerylanding.ModelID(name), replicas: Replicas{Max: defaultMaxReplicas},
		deadline: reader.deadline, priority: celerylanding.PriorityNormal}
	known := modelFields(adapter)
	known["memory"] = func(at setting) { adapter.memory = at.bytes() }
	known["base"] = func(at setting) {
		reader.bases = append(reader.bases, pendingBase{adapter, at.text(), at})
	}
	before := len(reader.bases)
	at.mapping(known)
	if len(reader.bases) == before {
		at.fail("base is missing")
	}
	if adapter.memory == 0 {
		at.fail("memory is missing")
	}
	if _, ok := reader.config.aliases[name]; ok {
		at.fail("a model has the same name")
	}
	reader.config.models[adapter.id] = adapter
}

func (reader *reader) useGroup(model *Model, at setting) {
	model.group = at.text()
	reader.groups = append(reader.groups, pendingGroup{model.group, celerylanding.KindEngine, at})
}

func (reader *reader) readService(name string, at setting) {
	at.checkName(name)
	service := &Service{id: celerylanding.ServiceID(name), deadline: reader.deadline,
		idempotent: map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true}}
	at.mapping(fields{
		"group": func(at setting) {
			service.group = at.text()
			reader.groups = append(reader.groups, pendingGroup{service.group, celerylanding.KindService, at})
		},
		"deadline":           func(at setting) { service.deadline = at.duration() },
		"idempotent_methods": func(at setting) { service.idempotent = readMethods(at) },
	})
	if service.group == "" {
		at.fail("group is missing")
	}
	reader.config.services[service.id] = service
}

func readMethods(at setting) map[string]bool {
	methods := make(map[string]bool)
	at.list(func(at setting) {
		method := at.text()
		if method == "" || method != strings.ToUpper(method) {
			at.fail("%q must be an HTTP method in capitals", method)
		}
		methods[method] = true
	})
	return methods
}

func (reader *reader) readStore(at setting) {
	store := &reader.config.store
	at.mapping(fields{
		"loads_per_second":   func(at setting) { store.loadsPerSecond = at.number(0.01, 10_000) },
		"full_speed_loads":   func(at setting) { store.fullSpeedLoads = at.integer(1, 10_000) },
		"adapters_in_flight": func(at setting) { store.adaptersInFlight = at.integer(1, 100_000) },
	})
}

func (reader *reader) readQueue(at setting) {
	queue := &reader.config.queue
	at.mapping(fields{
		"requests": func(at setting) { queue.requests = at.integer(1, maxRequests) },
		"bytes":    func(at setting) { queue.bytes = at.bytes() },
	})
}

func (reader *reader) readIdling(at setting) {
	idling := &reader.config.idling
	at.mapping(fields{
		"cold_start_weight": func(at setting) { idling.coldStartWeight = at.number(0, 1) },
		"keep_alive_min":    func(at setting) { idling.least = at.duration() },
		"keep_alive_max":    func(at setting) { idling.most = at.duration() },
	})
	if idling.least > idling.most {
		at.fail("keep_alive_min %v is more than keep_alive_max %v", idling.least, idling.most)
	}
}

// resolve checks what refers to other sections.
func (reader *reader) resolve() {
	for _, use := range reader.groups {
		group, ok := reader.config.groups[use.name]
		switch {
		case !ok:
			use.at.fail("group %q is not stated", use.name)
		case group.kind != use.kind:
			use.at.fail("group %q is of kind %s, not %s", use.name, group.kind, use.kind)
		}
	}
	for _, pending := range reader.bases {
		reader.resolveBase(pending)
	}
	for _, pending := range reader.memory {
		group, ok := reader.config.groups[pending.model.group]
		if ok && pending.model.Memory() > group.targetMemory {
			pending.at.fail("needs %d bytes with its reserve, more than the %d of any target in group %q",
				pending.model.Memory(), group.targetMemory, group.name)
		}
	}
}

func (reader *reader) resolveBase(pending pendingBase) {
	base, ok := reader.config.Resolve(pending.name)
	if !ok || base.IsAdapter() {
		pending.at.fail("base model %q is not stated", pending.name)
		return
	}
	pending.adapter.base = base.id
	pending.adapter.group = base.group
	reader.memory = append(reader.memory, pendingMemory{
		&Model{memory: pending.adapter.memory + base.Memory(), group: base.group}, pending.at})
}
