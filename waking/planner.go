package waking

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
)

// Order is one step that an engine is asked for.
type Order struct {
	Number   uint64
	Kind     celerylanding.OrderKind
	Endpoint celerylanding.Endpoint
	Unit     feed.Unit
	// Accepted is the number of orders that the engine must have accepted so far, or the order must not be carried out.
	Accepted uint64
	Tier     celerylanding.Tier
	// sent is when the order left; taken is when the engine accepted it.
	sent  time.Time
	taken time.Time
}

// Outcome is an engine's answer to an order.
type Outcome int

// The outcomes.
const (
	// OutcomeUnknown means that the order may be carried out, now or later.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the order is being carried out.
	OutcomeAccepted
	// OutcomeNoChange means that the engine is already as the order wants it.
	OutcomeNoChange
	// OutcomeConflict means that another order is under way or that the count of accepted orders differs.
	OutcomeConflict
	// OutcomeRejected means that the order was not accepted for any other reason.
	OutcomeRejected
	// OutcomeWrongTarget means that another incarnation or another target has the address.
	OutcomeWrongTarget
)

// String returns the outcome's name.
func (outcome Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "rejected", "elsewhere"}[outcome]
}

// Report is an engine's own account, which lags by some hundred milliseconds.
type Report struct {
	Incarnation celerylanding.Incarnation
	Accepted    uint64
	Busy        bool
	// Ready is set when the engine takes new work and is not about to leave.
	Ready     bool
	Inventory []celerylanding.LoadedModel
	Cached    []celerylanding.CachedCheckpoint
}

// Actions are what the caller has to do after a step.
type Actions struct {
	Orders      []Order
	Inspections []celerylanding.Endpoint
}

// want is a unit that requests wait for.
type want struct {
	service celerylanding.ServiceID
	unit    feed.Unit
	since   time.Time
	until   time.Time
	waiting map[celerylanding.NodeID]int
	// onTime is until when the unit must be there for a request that waits to be answered on time.
	onTime time.Time
	// replica is 0 for a unit that requests wait for, and otherwise numbers the further replicas that a model should have.
	replica int
	// avoid holds the engines that a router which waits can't reach.
	avoid  map[lifetime]bool
	engine *engine
}

// lifetime names one start of an engine, wherever it is reached.
type lifetime struct {
	target      celerylanding.TargetID
	incarnation celerylanding.Incarnation
}

func lifetimeOf(endpoint celerylanding.Endpoint) lifetime {
	return lifetime{endpoint.Target, endpoint.Incarnation}
}

func (want *want) count() int {
	sum := 0
	for _, waiting := range want.waiting {
		sum += waiting
	}
	return sum
}

// Planner decides for all engines; it has one user.
type Planner struct {
	engines map[celerylanding.TargetID]*engine
	wants   map[wantKey]*want
	demand  map[demandKey]*demand
	changed map[celerylanding.TargetID]bool
	// storeLoads are the times at which loads from the store began, oldest first.
	storeLoads []time.Time
	// maxFetches is the number of loads from the store that are under way at once.
	maxFetches int
	number     uint64
	spreadDue  time.Time
	// settled is when all live engines have been heard of.
	settled time.Time
	// learned is when the last engine became known, and isInherited is set when those known are all that an
	// earlier leader knew.
	learned     time.Time
	isInherited bool
	// countedSince is when the first arrival was counted.
	countedSince time.Time
	// returns is how long each model would take to come back, as of returnsAt.
	returns   map[demandKey]time.Duration
	returnsAt time.Time
	// placed is what engines hold or are about to, as counted at placedAt.
	placed   map[demandKey]bool
	placedAt time.Time
}

type wantKey struct {
	service celerylanding.ServiceID
	unit    feed.Unit
	replica int
}

// New returns a planner that knows no engines. Until it has settled, which is when all live engines have been heard of, it takes no
// model for one without copies.
func New(settled time.Time) *Planner {
	return &Planner{
		settled:    settled,
		maxFetches: firstFetches,
		engines:    make(map[celerylanding.TargetID]*engine),
		wants:      make(map[wantKey]*want),
		demand:     make(map[demandKey]*demand),
		changed:    make(map[celerylanding.TargetID]bool),
	}
}

// Observe takes an engine's announcement; usable is false for one that is leaving or silent.
func (planner *Planner) Observe(now time.Time, announcement celerylanding.Announcement, spec *routing.Engine, usable bool) {
	eng := planner.engines[announcement.Target]
	if eng == nil || eng.endpoint.Incarnation != announcement.Incarnation {
		planner.drop(eng)
		planner.learned = now
		eng = &engine{held: make(map[celerylanding.ModelID]*resident), inherited: announcement.Fetching}
		planner.engines[announcement.Target] = eng
	}
	eng.endpoint = celerylanding.Endpoint{Target: announcement.Target, Incarnation: announcement.Incarnation, Address: announcement.Address}
	eng.service = celerylanding.ServiceID(announcement.Group)
	eng.spec = spec
	eng.suspect = false
	if eng.usable = usable; !usable {
		planner.unassign(eng)
	}
	eng.onDisk = make(map[celerylanding.ModelID]bool)
	eng.inMemory = make(map[celerylanding.ModelID]bool)
	for _, cached := range announcement.Cached {
		if cached.Tier == celerylanding.TierMemory {
			eng.inMemory[cached.Model] = true
		} else {
			eng.onDisk[cached.Model] = true
		}
	}
	if announcement.Sequence > eng.sequence || eng.sequence == 0 {
		eng.sequence = announcement.Sequence
		planner.adopt(now, eng, announcement.Inventory)
	}
}

// MarkDiscoveryComplete tells the planner that the engines known so far are all that an earlier leader knew.
func (planner *Planner) MarkDiscoveryComplete() { planner.isInherited = true }

// quietTime is how long no further engine must have become known before those that are count as all; engines whose heartbeat was
// not taken repeat it within some hundred milliseconds.
const quietTime = 300 * time.Millisecond

// isBlind reports whether engines may hold models that the planner does not know of, so that orders would do harm.
func (planner *Planner) isBlind(now time.Time) bool {
	return now.Before(planner.settled) && !planner.isInherited && (len(planner.engines) == 0 || now.Sub(planner.learned) < quietTime)
}

// Remove drops an engine that is gone.
func (planner *Planner) Remove(id celerylanding.TargetID) {
	planner.drop(planner.engines[id])
	delete(planner.engines, id)
}

func (planner *Planner) drop(eng *engine) {
	if eng != nil {
		planner.unassign(eng)
	}
}

func (planner *Planner) unassign(eng *engine) {
	for _, want := range eng.wants {
		want.engine = nil
	}
	eng.wants = nil
}

// adopt takes an engine's inventory and completes the order that it proves done.
func (planner *Planner) adopt(now time.Time, eng *engine, inventory []celerylanding.LoadedModel) {
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
	for id, held := range eng.held {
		if found[id] == nil && planner.isGone(now, eng, id, held) {
			delete(eng.held, id)
			planner.changed[eng.endpoint.Target] = true
		}
	}
	if found[eng.inherited] != nil {
		eng.inherited = ""
	}
	for id, adapters := range found {
		if planner.adoptModel(now, eng, id, adapters) {
			planner.changed[eng.endpoint.Target] = true
		}
	}
	planner.complete(now, eng)
}

// missingTime is how long announcements must leave out a model that nobody has unloaded before its memory counts as free; a late
// announcement tells of the time before a load.
const missingTime = 4 * time.Second

// isGone reports whether a model that an announcement leaves out is no longer in memory.
func (planner *Planner) isGone(now time.Time, eng *engine, id celerylanding.ModelID, held *resident) bool {
	order := eng.order
	if order != nil && order.Kind == celerylanding.OrderUnload && order.Unit == (feed.Unit{Model: id}) && !order.taken.IsZero() {
		return true
	}
	if held.missing.IsZero() {
		held.missing = now
		planner.changed[eng.endpoint.Target] = true
	}
	return now.Sub(held.missing) > missingTime
}

// adoptModel brings one resident up to date and reports whether anything has changed.
func (planner *Planner) adoptModel(now time.Time, eng *engine, id celerylanding.ModelID, adapters map[string]bool) bool {
	changed := false
	held := eng.held[id]
	if held == nil {
		held = &resident{since: now, adapters: make(map[string]time.Time)}
		eng.held[id] = held
		changed = true
	}
	if !held.missing.IsZero() {
		held.missing = time.Time{}
		changed = true
	}
	for adapter := range adapters {
		if _, ok := held.adapters[adapter]; !ok {
			held.adapters[adapter] = now
			changed = true
		}
	}
	for adapter, ready := range held.adapters {
		if !adapters[adapter] && now.Sub(ready) > reportLag {
			delete(held.adapters, adapter)
			changed = true
		}
	}
	return changed
}

// complete ends the order under way if the inventory shows its effect.
func (planner *Planner) complete(now time.Time, eng *engine) {
	order := eng.order
	if order == nil || order.taken.IsZero() {
		return
	}
	isHeld := eng.held[order.Unit.Model] != nil
	if isHeld == (order.Kind == celerylanding.OrderLoad) {
		planner.finish(now, eng)
	}
}

func (planner *Planner) finish(now time.Time, eng *engine) {
	order := eng.order
	if isFetch(order) && !order.taken.IsZero() {
		model, _ := eng.spec.Model(order.Unit.Model)
		planner.learnFetch(now.Sub(order.taken), model.StoreLoadTime, planner.fetches())
	}
	eng.order = nil
	planner.changed[eng.endpoint.Target] = true
	if order.Kind != celerylanding.OrderLoad {
		return
	}
	if held := eng.held[order.Unit.Model]; held != nil {
		held.since, held.closing = now, false
	}
}

// Changed returns the targets whose models have changed since the last call, in order.
func (planner *Planner) Changed() []celerylanding.TargetID {
	list := make([]celerylanding.TargetID, 0, len(planner.changed))
	for id := range planner.changed {
		list = append(list, id)
	}
	clear(planner.changed)
	slices.Sort(list)
	return list
}

// IsSuspect reports whether the engine gets no orders until it is heard of again.
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
	case isFetch(eng.order) && !eng.order.taken.IsZero():
		return eng.order.Unit.Model
	}
	return eng.inherited
}

// LoadedModels returns what routers are told of an engine's models.
func (planner *Planner) LoadedModels(now time.Time, id celerylanding.TargetID) []feed.LoadedModel {
	if eng := planner.engines[id]; eng != nil {
		return eng.view(now)
	}
	return nil
}
