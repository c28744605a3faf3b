package loadplan

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// Order is an order to an engine to load or unload a unit.
type Order struct {
	Number   uint64
	Kind     celerylanding.OrderKind
	Endpoint celerylanding.Endpoint
	Unit     feed.Unit
	// Accepted is the number of orders that the engine must have accepted before this one; otherwise it must refuse the order.
	Accepted uint64
	Tier     celerylanding.Tier
	sentAt   time.Time
	// acceptedAt is zero until the engine has accepted the order.
	acceptedAt time.Time
}

// Outcome is an engine's answer to an order.
type Outcome int

// The outcomes.
const (
	// OutcomeUnknown means that no answer arrived; the engine may carry out the order, now or later.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the engine is carrying out the order.
	OutcomeAccepted
	// OutcomeNoChange means that the engine is already in the ordered state.
	OutcomeNoChange
	// OutcomeConflict means that another order is in progress or that the number of accepted orders differs.
	OutcomeConflict
	// OutcomeRejected means that the engine rejected the order for another reason.
	OutcomeRejected
	// OutcomeWrongTarget means that another target or another incarnation answers at the address.
	OutcomeWrongTarget
)

// String returns the outcome's name.
func (outcome Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "rejected", "elsewhere"}[outcome]
}

// Report is an engine's report of its own state; it lags the state by some hundred milliseconds.
type Report struct {
	Incarnation celerylanding.Incarnation
	Accepted    uint64
	Busy        bool
	// Ready is set when the engine accepts new work and is not leaving.
	Ready     bool
	Inventory []celerylanding.LoadedModel
	Cached    []celerylanding.CachedCheckpoint
}

// Actions are the orders to send after a step, and the engines to ask for a report.
type Actions struct {
	Orders      []Order
	Inspections []celerylanding.Endpoint
}

// pendingLoad is a load that is queued for waiting requests, or to add a replica or a copy.
type pendingLoad struct {
	service celerylanding.ServiceID
	unit    feed.Unit
	// software is the version that the engine must have, for streams that go on; "" for any.
	software celerylanding.SoftwareVersion
	expiry   time.Time
	waiting  map[celerylanding.NodeID]int
	// latencyDeadline is the time by which the unit must be loaded so that a waiting request can be answered within its latency objective.
	latencyDeadline time.Time
	// replica is 0 for a load that requests wait for, prefetchReplica for a prefetch, and otherwise the number of an additional replica.
	replica int
	// unreachable holds the engines that a waiting router can't reach.
	unreachable map[incarnationKey]bool
	engine      *engine
	// storeSeconds is the time of a load from the store under the settings storeCostSpec.
	storeSeconds  float64
	storeCostSpec *routing.Engine
}

// incarnationKey identifies an incarnation of an engine regardless of its address.
type incarnationKey struct {
	target      celerylanding.TargetID
	incarnation celerylanding.Incarnation
}

func incarnationKeyOf(endpoint celerylanding.Endpoint) incarnationKey {
	return incarnationKey{endpoint.Target, endpoint.Incarnation}
}

// excludes reports whether a waiting router can't reach the engine, or the engine has another version than the load needs.
func (load *pendingLoad) excludes(eng *engine) bool {
	if load.software != "" && load.software != eng.software {
		return true
	}
	return len(load.unreachable) > 0 && load.unreachable[incarnationKeyOf(eng.endpoint)]
}

// continuesStream reports whether a caller that waits for the load has a part of the answer.
func (load *pendingLoad) continuesStream() bool { return load.software != "" }

func (load *pendingLoad) count() int {
	sum := 0
	for _, waiting := range load.waiting {
		sum += waiting
	}
	return sum
}

// Planner plans the loads and unloads of all engines; it is not safe for concurrent use.
type Planner struct {
	engines map[celerylanding.TargetID]*engine
	// ordered holds the engines sorted by target ID.
	ordered []*engine
	index   modelIndex
	pending map[pendingKey]*pendingLoad
	demand  map[demandKey]*demand
	changed map[celerylanding.TargetID]bool
	store   storeState
	// storeLoads are the start times of recent loads from the store, oldest first.
	storeLoads []time.Time
	// fetchLimit limits the concurrent loads from the store.
	fetchLimit          int
	fetchLimitChangedAt time.Time
	// isStoreLimitKnown is set once concurrent loads from the store have slowed each other down.
	isStoreLimitKnown bool
	// isWoken is set once requests have waited for a unit.
	isWoken         bool
	lastOrderNumber uint64
	scaleOutDue     time.Time
	// discoveryEnd is the time by which all live engines have sent a heartbeat to this leader.
	discoveryEnd time.Time
	// lastDiscovery is when an engine or a new incarnation of one last became known.
	lastDiscovery time.Time
	// isDiscoveryComplete is set when the planner knows all engines that an earlier leader knew.
	isDiscoveryComplete bool
	// countedSince is when the first arrival was counted.
	countedSince time.Time
	// reloadTimes, replicaNeeds and pressures cache values that change little from one round to the next.
	reloadTimes  map[modelKey]cachedDuration
	replicaNeeds map[modelKey]cachedCount
	pressures    map[celerylanding.ServiceID]cachedRate
	// placed holds the units that are loaded or being loaded, as of placedAt.
	placed   map[demandKey]bool
	placedAt time.Time
}

type pendingKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
	replica int
	// software is that of the load.
	software celerylanding.SoftwareVersion
}

// New returns a planner that knows no engines. Before discoveryEnd, by which all live engines have sent a heartbeat, a model without a
// known copy may have one on an engine that is not known yet, so the planner loads nothing from the store.
func New(discoveryEnd time.Time) *Planner {
	return &Planner{
		discoveryEnd: discoveryEnd,
		fetchLimit:   initialFetchLimit,
		engines:      make(map[celerylanding.TargetID]*engine),
		index:        make(modelIndex),
		reloadTimes:  make(map[modelKey]cachedDuration),
		replicaNeeds: make(map[modelKey]cachedCount),
		pressures:    make(map[celerylanding.ServiceID]cachedRate),
		pending:      make(map[pendingKey]*pendingLoad),
		demand:       make(map[demandKey]*demand),
		changed:      make(map[celerylanding.TargetID]bool),
	}
}

// Observe applies an engine's announcement; usable is false if the engine must get no new work, for instance because it is leaving or silent.
func (planner *Planner) Observe(now time.Time, announcement celerylanding.Announcement, spec *routing.Engine, usable bool) {
	eng := planner.engines[announcement.Target]
	service := celerylanding.ServiceID(announcement.Group)
	if eng == nil || eng.endpoint.Incarnation != announcement.Incarnation || eng.service != service {
		planner.dropEngine(announcement.Target)
		planner.lastDiscovery = now
		eng = &engine{service: service, residents: make(map[celerylanding.ModelID]*resident), inheritedFetch: announcement.Fetching}
		eng.endpoint.Target = announcement.Target
		planner.addEngine(announcement.Target, eng)
	}
	planner.store.isValid = false
	eng.endpoint = celerylanding.Endpoint{Target: announcement.Target, Incarnation: announcement.Incarnation, Address: announcement.Address}
	eng.spec, eng.software = spec, announcement.Software
	eng.suspect = false
	if eng.usable = usable; !usable {
		planner.clearQueue(eng)
	}
	planner.setCached(eng, announcement.Cached)
	if announcement.Sequence > eng.sequence || eng.sequence == 0 {
		eng.sequence = announcement.Sequence
		planner.applyInventory(now, eng, announcement.Inventory)
	}
}

// SetLimit records the number of requests per second that an engine takes, or that it announces no limit. Loads then prefer other engines, and a
// replica of a busy model there does not count.
func (planner *Planner) SetLimit(id celerylanding.TargetID, limit float64, isLimited bool) {
	if eng := planner.engines[id]; eng != nil {
		eng.limit, eng.isLimited = limit, isLimited
	}
}

// MarkDiscoveryComplete declares that the engines known so far include all that an earlier leader knew, so that orders need not wait for
// discovery.
func (planner *Planner) MarkDiscoveryComplete() { planner.isDiscoveryComplete = true }

// discoveryQuietPeriod is the time without a newly discovered engine after which all engines count as known; engines repeat a heartbeat
// that was not accepted within some hundred milliseconds.
const discoveryQuietPeriod = 300 * time.Millisecond

// isDiscovering reports whether engines may be running that this leader does not know yet. They may already have models loaded, so an order
// given now could evict a model or load one without need.
func (planner *Planner) isDiscovering(now time.Time) bool {
	return now.Before(planner.discoveryEnd) && !planner.isDiscoveryComplete &&
		(len(planner.engines) == 0 || now.Sub(planner.lastDiscovery) < discoveryQuietPeriod)
}

// Remove removes an engine that has stopped.
func (planner *Planner) Remove(id celerylanding.TargetID) {
	planner.store.isValid = false
	planner.dropEngine(id)
}

// clearQueue removes all pending loads from the engine's queue; the next step assigns them again.
func (planner *Planner) clearQueue(eng *engine) {
	for _, load := range eng.queue {
		load.engine = nil
	}
	eng.queue = nil
}

// applyInventory updates the residents from an engine's inventory and completes the order in progress if the inventory shows its effect.
func (planner *Planner) applyInventory(now time.Time, eng *engine, inventory []celerylanding.LoadedModel) {
	found := make(map[celerylanding.ModelID]map[string]bool)
	for _, entry := range inventory {
		model, adapter := SplitUnit(entry.Model)
		if found[model] == nil {
			found[model] = make(map[string]bool)
		}
		if adapter != "" {
			found[model][adapter] = true
		}
	}
	for id, resident := range eng.residents {
		if found[id] == nil && planner.isGone(now, eng, id, resident) {
			planner.removeResident(eng, id)
			planner.changed[eng.endpoint.Target] = true
		}
	}
	if found[eng.inheritedFetch] != nil {
		eng.inheritedFetch = ""
	}
	for id, adapters := range found {
		if planner.updateResident(now, eng, id, adapters) {
			planner.changed[eng.endpoint.Target] = true
		}
	}
	planner.completeOrder(now, eng)
}

// missingTimeout is how long a model without an unload order must be absent from announcements before its memory counts as free; a delayed
// announcement may describe the state before a load.
const missingTimeout = 4 * time.Second

// isGone reports whether a model that is absent from an inventory is no longer in memory, and records since when it has been absent.
func (planner *Planner) isGone(now time.Time, eng *engine, id celerylanding.ModelID, resident *resident) bool {
	order := eng.order
	if order != nil && order.Kind == celerylanding.OrderUnload && order.Unit == (feed.Unit{Model: id}) && !order.acceptedAt.IsZero() {
		return true
	}
	if resident.missingSince.IsZero() {
		resident.missingSince = now
		planner.changed[eng.endpoint.Target] = true
	}
	return now.Sub(resident.missingSince) > missingTimeout
}

// updateResident updates one resident from an inventory and reports whether anything has changed.
func (planner *Planner) updateResident(now time.Time, eng *engine, id celerylanding.ModelID, adapters map[string]bool) bool {
	changed := false
	current := eng.residents[id]
	if current == nil {
		current = &resident{loadedAt: now, adapters: make(map[string]time.Time)}
		planner.addResident(eng, id, current)
		changed = true
	}
	if !current.missingSince.IsZero() {
		current.missingSince = time.Time{}
		changed = true
	}
	for adapter := range adapters {
		if _, ok := current.adapters[adapter]; !ok {
			current.adapters[adapter] = now
			changed = true
		}
	}
	for adapter, ready := range current.adapters {
		if !adapters[adapter] && now.Sub(ready) > reportLag {
			delete(current.adapters, adapter)
			changed = true
		}
	}
	return changed
}

// completeOrder finishes the order in progress if the residents show its effect.
func (planner *Planner) completeOrder(now time.Time, eng *engine) {
	order := eng.order
	if order == nil || order.acceptedAt.IsZero() {
		return
	}
	isLoaded := eng.residents[order.Unit.Model] != nil
	if isLoaded == (order.Kind == celerylanding.OrderLoad) {
		planner.finishOrder(now, eng)
	}
}

func (planner *Planner) finishOrder(now time.Time, eng *engine) {
	order := eng.order
	if isFetch(order) && !order.acceptedAt.IsZero() {
		model, _ := eng.spec.Model(order.Unit.Model)
		planner.adjustFetchLimit(now, order.acceptedAt, model.StoreLoadTime, planner.fetches())
	}
	eng.order = nil
	planner.store.isValid = false
	planner.changed[eng.endpoint.Target] = true
	if order.Kind != celerylanding.OrderLoad {
		return
	}
	if resident := eng.residents[order.Unit.Model]; resident != nil {
		resident.loadedAt, resident.draining = now, false
	}
}

// Changed returns the targets whose models have changed since the last call, sorted.
func (planner *Planner) Changed() []celerylanding.TargetID {
	list := make([]celerylanding.TargetID, 0, len(planner.changed))
	for id := range planner.changed {
		list = append(list, id)
	}
	clear(planner.changed)
	slices.Sort(list)
	return list
}

// IsSuspect reports whether the engine gets no orders until its next announcement.
func (planner *Planner) IsSuspect(id celerylanding.TargetID) bool {
	eng := planner.engines[id]
	return eng != nil && eng.suspect
}

// Fetching returns the model that the engine loads from the store, or "".
func (planner *Planner) Fetching(id celerylanding.TargetID) celerylanding.ModelID {
	eng := planner.engines[id]
	switch {
	case eng == nil:
		return ""
	case isFetch(eng.order) && !eng.order.acceptedAt.IsZero():
		return eng.order.Unit.Model
	}
	return eng.inheritedFetch
}

// LoadedModels returns an engine's models as they are published to routers.
func (planner *Planner) LoadedModels(now time.Time, id celerylanding.TargetID) []feed.LoadedModel {
	if eng := planner.engines[id]; eng != nil {
		return eng.loadedModels(now)
	}
	return nil
}
