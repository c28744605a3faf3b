package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

// Defaults of the settings that the files may omit, and upper limits of settings.
const (
	defaultDeadline         = 30 * time.Second
	defaultQueueRequests    = 256
	defaultQueueBytes       = 64 << 20
	defaultLoadsPerSecond   = 4
	defaultFullSpeedLoads   = 4
	defaultAdaptersInFlight = 32
	defaultColdStartWeight  = 0.5
	defaultMinKeepAlive     = 30 * time.Second
	defaultMaxKeepAlive     = 30 * time.Minute
	defaultClaimTTL         = 24 * time.Hour
	defaultMaxReplicas      = 1
	replicaCountLimit       = 10_000
	queueRequestsLimit      = 1_000_000
	quotaLimit              = 1_000_000_000
)

// reader fills a Config from the merged tree. It collects the references between sections and checks them at the end.
type reader struct {
	config          *Config
	problems        *problems
	baseRefs        []baseRef
	memoryChecks    []memoryCheck
	groupRefs       []groupRef
	keyOwners       map[celerylanding.KeyDigest]celerylanding.WorkspaceID
	defaultDeadline time.Duration
}

// baseRef is an adapter's reference to its base model, resolved once all models have been read.
type baseRef struct {
	adapter *Model
	name    string
	field   fieldNode
}

// memoryCheck compares a unit's memory with the targets of its group once all groups have been read.
type memoryCheck struct {
	model *Model
	field fieldNode
}

// groupRef is a reference to a group, resolved once all groups have been read.
type groupRef struct {
	name  string
	kind  celerylanding.TargetKind
	field fieldNode
}

// Parse merges and validates a document. The error lists every problem with its file, line and field.
func Parse(document Document) (*Config, error) {
	problems := &problems{}
	parser := &parser{files: make(map[*yaml.Node]string), problems: problems}
	base := parser.parse(document.BaseName, document.Base)
	overlay := parser.parse(document.OverlayName, document.Overlay)
	if err := problems.err(); err != nil {
		return nil, err
	}
	merged := parser.merge(base, overlay)
	parser.files[merged] = document.BaseName
	reader := newReader(document, problems)
	root := fieldNode{parser: parser, node: merged}
	reader.readDefaults(root)
	reader.readRoot(root)
	reader.resolve()
	reader.config.sortModels()
	reader.config.access.Version = reader.config.revision
	reader.config.table = routing.NewTable(&reader.config.access)
	if err := problems.err(); err != nil {
		return nil, err
	}
	return reader.config, nil
}

func newReader(document Document, problems *problems) *reader {
	return &reader{
		problems:        problems,
		defaultDeadline: defaultDeadline,
		keyOwners:       make(map[celerylanding.KeyDigest]celerylanding.WorkspaceID),
		config: &Config{
			digest:   document.Digest(),
			models:   make(map[celerylanding.ModelID]*Model),
			aliases:  make(map[string]celerylanding.ModelID),
			groups:   make(map[string]*Group),
			services: make(map[celerylanding.ServiceID]*Service),
			store: Store{loadsPerSecond: defaultLoadsPerSecond, fullSpeedLoads: defaultFullSpeedLoads,
				adaptersInFlight: defaultAdaptersInFlight},
			queue: Queue{requests: defaultQueueRequests, bytes: defaultQueueBytes},
			keepAlive: KeepAlive{coldStartWeight: defaultColdStartWeight, min: defaultMinKeepAlive,
				max: defaultMaxKeepAlive},
			claimTTL: defaultClaimTTL,
		},
	}
}

// readDefaults runs before all other sections are read, since they use its values as defaults.
func (reader *reader) readDefaults(root fieldNode) {
	if root.node.Kind != yaml.MappingNode {
		return
	}
	root.forEachKey(func(name string, child fieldNode) {
		if name == "defaults" {
			child.readMapping(fields{
				"deadline": func(field fieldNode) { reader.defaultDeadline = field.duration() },
			})
		}
	})
}

func (reader *reader) readRoot(root fieldNode) {
	config := reader.config
	root.readMapping(fields{
		"revision": func(field fieldNode) { config.revision = uint64(field.integer(1, math.MaxInt)) },
		"site":     func(field fieldNode) { config.site = field.text() },
		"defaults": func(fieldNode) {},
		"groups":   func(field fieldNode) { field.forEachKey(reader.readGroup) },
		"models":   func(field fieldNode) { field.forEachKey(reader.readModel) },
		"adapters": func(field fieldNode) { field.forEachKey(reader.readAdapter) },
		"services": func(field fieldNode) { field.forEachKey(reader.readService) },
		"workspaces": func(field fieldNode) {
			config.access.NeedsKeys = true
			field.forEachKey(reader.readWorkspace)
		},
		"store":     reader.readStore,
		"queue":     reader.readQueue,
		"idling":    reader.readKeepAlive,
		"claim_ttl": func(field fieldNode) { config.claimTTL = field.duration() },
	})
	if config.revision == 0 && len(reader.problems.list) == 0 {
		root.addProblem("revision is missing")
	}
	if config.site == "" && len(reader.problems.list) == 0 {
		root.addProblem("site is missing")
	}
}

func (reader *reader) readGroup(name string, field fieldNode) {
	field.checkName(name)
	group := &Group{name: name, kind: celerylanding.KindEngine}
	field.readMapping(fields{
		"kind": func(field fieldNode) {
			group.kind = celerylanding.TargetKind(field.text())
			if group.kind != celerylanding.KindEngine && group.kind != celerylanding.KindService {
				field.addProblem("%q must be engine or service", group.kind)
			}
		},
		"target_memory": func(field fieldNode) { group.targetMemory = field.bytes() },
		"role": func(field fieldNode) {
			group.role = celerylanding.Role(field.text())
			if !group.role.IsValid() {
				field.addProblem("%q must be mixed, prefill or decode", group.role)
			}
		},
	})
	if group.kind == celerylanding.KindEngine && group.targetMemory == 0 {
		field.addProblem("target_memory is missing")
	}
	reader.config.groups[name] = group
}

func (reader *reader) readModel(name string, field fieldNode) {
	field.checkName(name)
	template := Model{replicas: Replicas{Max: defaultMaxReplicas}, deadline: reader.defaultDeadline,
		priority: celerylanding.PriorityNormal}
	var defaultVersion string
	var versions fieldNode
	known := modelFields(&template)
	known["group"] = func(field fieldNode) { reader.readModelGroup(&template, field) }
	known["default"] = func(field fieldNode) { defaultVersion = field.text() }
	known["versions"] = func(field fieldNode) { versions = field }
	field.readMapping(known)
	if template.group == "" {
		field.addProblem("group is missing")
	}
	if versions.node == nil {
		field.addProblem("versions is missing")
		return
	}
	last := reader.readVersions(name, template, versions)
	if defaultVersion == "" {
		defaultVersion = last
	}
	id := celerylanding.ModelID(name + "@" + defaultVersion)
	if _, ok := reader.config.models[id]; !ok {
		field.addProblem("default version %q is not defined", defaultVersion)
	}
	reader.config.aliases[name] = id
}

// modelFields returns the settings that models and adapters have in common.
func modelFields(model *Model) fields {
	return fields{
		"deadline": func(field fieldNode) { model.deadline = field.duration() },
		"priority": func(field fieldNode) { model.priority = readPriority(field) },
		"replicas": func(field fieldNode) { model.replicas = readReplicas(field, model.replicas) },
		"public":   func(field fieldNode) { model.public = field.boolean() },
	}
}

func readPriority(field fieldNode) celerylanding.Priority {
	priority, ok := celerylanding.ParsePriority(field.text())
	if !ok {
		field.addProblem("%q must be interactive, normal or batch", field.node.Value)
	}
	return priority
}

func readReplicas(field fieldNode, replicas Replicas) Replicas {
	field.readMapping(fields{
		"min": func(field fieldNode) { replicas.Min = field.integer(0, replicaCountLimit) },
		"max": func(field fieldNode) { replicas.Max = field.integer(0, replicaCountLimit) },
	})
	if replicas.Min > replicas.Max {
		field.addProblem("min %d is more than max %d", replicas.Min, replicas.Max)
	}
	return replicas
}

// readVersions adds a unit for each version of a model and returns the name of the last one, which is the default
// version unless the model sets one.
func (reader *reader) readVersions(name string, template Model, field fieldNode) string {
	var last string
	field.forEachKey(func(version string, field fieldNode) {
		field.checkName(version)
		model := template
		model.id = celerylanding.ModelID(name + "@" + version)
		field.readMapping(fields{
			"memory":     func(field fieldNode) { model.memory = field.bytes() },
			"kv_reserve": func(field fieldNode) { model.kvReserve = field.bytes() },
		})
		if model.memory == 0 {
			field.addProblem("memory is missing")
		}
		reader.memoryChecks = append(reader.memoryChecks, memoryCheck{&model, field})
		reader.config.models[model.id] = &model
		last = version
	})
	return last
}

func (reader *reader) readAdapter(name string, field fieldNode) {
	field.checkName(name)
	adapter := &Model{id: celerylanding.ModelID(name), replicas: Replicas{Max: defaultMaxReplicas},
		deadline: reader.defaultDeadline, priority: celerylanding.PriorityNormal}
	known := modelFields(adapter)
	known["memory"] = func(field fieldNode) { adapter.memory = field.bytes() }
	known["base"] = func(field fieldNode) {
		reader.baseRefs = append(reader.baseRefs, baseRef{adapter, field.text(), field})
	}
	before := len(reader.baseRefs)
	field.readMapping(known)
	if len(reader.baseRefs) == before {
		field.addProblem("base is missing")
	}
	if adapter.memory == 0 {
		field.addProblem("memory is missing")
	}
	if _, ok := reader.config.aliases[name]; ok {
		field.addProblem("a model already has this name")
	}
	reader.config.models[adapter.id] = adapter
}

func (reader *reader) readModelGroup(model *Model, field fieldNode) {
	model.group = field.text()
	reader.groupRefs = append(reader.groupRefs, groupRef{model.group, celerylanding.KindEngine, field})
}

func (reader *reader) readService(name string, field fieldNode) {
	field.checkName(name)
	service := &Service{id: celerylanding.ServiceID(name), deadline: reader.defaultDeadline,
		idempotent: map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true}}
	field.readMapping(fields{
		"group": func(field fieldNode) {
			service.group = field.text()
			reader.groupRefs = append(reader.groupRefs, groupRef{service.group, celerylanding.KindService, field})
		},
		"deadline":           func(field fieldNode) { service.deadline = field.duration() },
		"public":             func(field fieldNode) { service.public = field.boolean() },
		"idempotent_methods": func(field fieldNode) { service.idempotent = readMethods(field) },
	})
	if service.group == "" {
		field.addProblem("group is missing")
	}
	reader.config.services[service.id] = service
}

// readWorkspace adds a workspace with the digests of its keys; problems do not repeat a value that may be a key.
func (reader *reader) readWorkspace(name string, field fieldNode) {
	field.checkName(name)
	workspace := routing.Workspace{ID: celerylanding.WorkspaceID(name)}
	quota := &workspace.Quota
	field.readMapping(fields{
		"keys": func(field fieldNode) {
			field.forEachItem(func(field fieldNode) {
				workspace.Keys = append(workspace.Keys, reader.readKey(workspace.ID, field))
			})
		},
		"priority": func(field fieldNode) { workspace.Priority = int(readPriority(field)) },
		"rate":     func(field fieldNode) { quota.Rate = field.number(0, quotaLimit) },
		"burst":    func(field fieldNode) { quota.Burst = field.number(0, quotaLimit) },
		"unit": func(field fieldNode) {
			if text := field.text(); text == "tokens" {
				quota.Unit = routing.QuotaTokens
			} else if text != "requests" {
				field.addProblem("%q must be requests or tokens", text)
			}
		},
		"default_tokens": func(field fieldNode) { quota.DefaultTokens = field.integer(0, quotaLimit) },
	})
	reader.config.access.Workspaces = append(reader.config.access.Workspaces, workspace)
}

// readKey reads the digest of a key, which no other workspace may have.
func (reader *reader) readKey(workspace celerylanding.WorkspaceID, field fieldNode) celerylanding.KeyDigest {
	sum, err := hex.DecodeString(field.text())
	if err != nil || len(sum) != sha256.Size {
		field.addProblem("must be the SHA-256 sum of a key, as 64 hexadecimal digits")
		return celerylanding.KeyDigest{}
	}
	digest := celerylanding.KeyDigest(sum[:len(celerylanding.KeyDigest{})])
	if owner, ok := reader.keyOwners[digest]; ok && owner != workspace {
		field.addProblem("workspace %q has a key of workspace %q", workspace, owner)
	}
	reader.keyOwners[digest] = workspace
	return digest
}

func readMethods(field fieldNode) map[string]bool {
	methods := make(map[string]bool)
	field.forEachItem(func(field fieldNode) {
		method := field.text()
		if method == "" || method != strings.ToUpper(method) {
			field.addProblem("%q must be an HTTP method in upper case", method)
		}
		methods[method] = true
	})
	return methods
}

func (reader *reader) readStore(field fieldNode) {
	store := &reader.config.store
	field.readMapping(fields{
		"loads_per_second":   func(field fieldNode) { store.loadsPerSecond = field.number(0.01, 10_000) },
		"full_speed_loads":   func(field fieldNode) { store.fullSpeedLoads = field.integer(1, 10_000) },
		"adapters_in_flight": func(field fieldNode) { store.adaptersInFlight = field.integer(1, 100_000) },
	})
}

func (reader *reader) readQueue(field fieldNode) {
	queue := &reader.config.queue
	field.readMapping(fields{
		"requests": func(field fieldNode) { queue.requests = field.integer(1, queueRequestsLimit) },
		"bytes":    func(field fieldNode) { queue.bytes = field.bytes() },
	})
}

func (reader *reader) readKeepAlive(field fieldNode) {
	keepAlive := &reader.config.keepAlive
	field.readMapping(fields{
		"cold_start_weight": func(field fieldNode) { keepAlive.coldStartWeight = field.number(0, 1) },
		"keep_alive_min":    func(field fieldNode) { keepAlive.min = field.duration() },
		"keep_alive_max":    func(field fieldNode) { keepAlive.max = field.duration() },
	})
	if keepAlive.min > keepAlive.max {
		field.addProblem("keep_alive_min %v is more than keep_alive_max %v", keepAlive.min, keepAlive.max)
	}
}
