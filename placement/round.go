package placement

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/keepalive"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/state"
)

// round is one placement pass over an unchanged state; it collects the resulting commands.
type round struct {
	planner   *Planner
	now       time.Time
	state     *state.State
	directory *membership.Directory
	config    *config.Config
	commands  []state.Command
	// reserved holds the bytes that this round's placements reserve on each target.
	reserved        map[celerylanding.TargetID]celerylanding.Bytes
	pendingLoads    int
	pendingAdapters int
}

// candidate is a target that could host a replica, with the properties by which it is ranked.
type candidate struct {
	id          celerylanding.TargetID
	incarnation celerylanding.Incarnation
	free        celerylanding.Bytes
	tier        int
	replicas    int
}

// countPending counts the replicas that are not loaded yet, which use the weight store; it counts adapters separately.
func (round *round) countPending() {
	for _, replica := range round.state.Replicas() {
		if replica.State() != state.StateDecided {
			continue
		}
		if model, ok := round.config.Model(replica.Model()); ok && model.IsAdapter() {
			round.pendingAdapters++
		} else {
			round.pendingLoads++
		}
	}
}

// scaleUp adds a replica for a model if its waiting requests need more replicas than it has.
func (round *round) scaleUp(demand modelDemand) {
	model, ok := round.config.Model(demand.model)
	if !ok {
		return
	}
	desired := min(model.Replicas().Max, 1+demand.waiting/waitingPerReplica)
	if round.state.ReplicaCountOfModel(demand.model) < desired {
		round.tryPlace(model)
	}
}

// tryPlace places a model on the best target, or records the reason if that is not possible. It evicts an idle replica if no target has room.
func (round *round) tryPlace(model *config.Model) {
	if failed, ok := round.planner.failedAt[model.ID()]; ok && round.now.Sub(failed) < failureBackoff {
		round.planner.blocked[model.ID()] = "the last load failed; it is tried again soon"
		return
	}
	if !round.hasStoreCapacity(model) {
		round.planner.blocked[model.ID()] = "the weight store's limits are used up"
		return
	}
	if model.IsAdapter() && !round.isBaseReady(model) {
		round.planner.blocked[model.ID()] = "its base model is not ready"
		round.ensureBase(model)
		return
	}
	best, ok := round.chooseTarget(model)
	if !ok {
		round.planner.blocked[model.ID()] = "no target of its group has room"
		round.evictIdle(model)
		return
	}
	round.place(model, best)
}

func (round *round) hasStoreCapacity(model *config.Model) bool {
	if model.IsAdapter() {
		return round.pendingAdapters < round.config.Store().AdaptersInFlight()
	}
	return round.pendingLoads < round.config.Store().FullSpeedLoads() && round.planner.tokens >= 1
}

// isBaseReady reports whether an adapter's base model is ready on any routable target.
func (round *round) isBaseReady(model *config.Model) bool {
	for _, replica := range round.state.ReplicasOf(model.Base()) {
		if round.state.IsRoutable(replica) && round.isRoutable(replica.Target()) {
			return true
		}
	}
	return false
}

// ensureBase places the base model of an adapter unless one of its replicas is loading.
func (round *round) ensureBase(adapter *config.Model) {
	base, ok := round.config.Model(adapter.Base())
	if !ok {
		return
	}
	for _, replica := range round.state.ReplicasOf(base.ID()) {
		if replica.State() == state.StateDecided {
			return
		}
	}
	if round.state.ReplicaCountOfModel(base.ID()) < base.Replicas().Max && !round.isPlacedThisRound(base.ID()) {
		round.tryPlace(base)
	}
}

func (round *round) isPlacedThisRound(model celerylanding.ModelID) bool {
	for _, command := range round.commands {
		if command.Place != nil && command.Place.Model == model {
			return true
		}
	}
	return false
}

func (round *round) place(model *config.Model, on candidate) {
	if round.isPlacedThisRound(model.ID()) {
		return
	}
	if model.IsAdapter() {
		round.pendingAdapters++
	} else {
		round.pendingLoads++
		round.planner.tokens--
	}
	round.reserved[on.id] += model.Memory()
	round.commands = append(round.commands, state.Command{Place: &state.Place{
		Model: model.ID(), Target: on.id, Incarnation: on.incarnation}})
}

func (round *round) isRoutable(id celerylanding.TargetID) bool {
	target, ok := round.directory.Target(id)
	return ok && target.IsRoutable()
}

// chooseTarget ranks targets by the nearest cached checkpoint, then the fewest replicas, then the most free memory.
func (round *round) chooseTarget(model *config.Model) (candidate, bool) {
	var best candidate
	found := false
	for _, registered := range round.state.Targets() {
		host, ok := round.evaluate(model, registered)
		if ok && (!found || host.isBetter(best)) {
			best, found = host, true
		}
	}
	return best, found
}

func (host candidate) isBetter(best candidate) bool {
	if host.tier != best.tier {
		return host.tier < best.tier
	}
	if host.replicas != best.replicas {
		return host.replicas < best.replicas
	}
	return host.free > best.free
}

func (round *round) evaluate(model *config.Model, registered state.Target) (candidate, bool) {
	if !round.canHost(model, registered) {
		return candidate{}, false
	}
	used := round.state.ReservedBytes(registered.ID) + round.reserved[registered.ID]
	host := candidate{
		id:          registered.ID,
		incarnation: registered.Incarnation,
		free:        registered.Memory - used,
		tier:        round.tier(registered.ID, model.ID()),
		replicas:    round.state.ReplicaCountOnTarget(registered.ID),
	}
	return host, host.free >= model.Memory()
}

// canHost reports whether the target meets all conditions for the model except free memory.
func (round *round) canHost(model *config.Model, registered state.Target) bool {
	target, ok := round.directory.Target(registered.ID)
	if !ok || !target.IsRoutable() || target.Announcement().Incarnation != registered.Incarnation {
		return false
	}
	if registered.Group != model.Group() || registered.Leaving || registered.Kind != celerylanding.KindEngine {
		return false
	}
	if round.state.HasReplica(registered.ID, model.ID()) {
		return false
	}
	return !model.IsAdapter() || round.state.HasRoutableReplica(registered.ID, model.Base())
}

// tier returns where the target has the model's checkpoint: 0 in host memory, 1 on disk, 2 only in the weight store.
func (round *round) tier(id celerylanding.TargetID, model celerylanding.ModelID) int {
	target, _ := round.directory.Target(id)
	for _, cached := range target.Announcement().Cached {
		if cached.Model != model {
			continue
		}
		switch cached.Tier {
		case celerylanding.TierMemory:
			return 0
		case celerylanding.TierDisk:
			return 1
		}
	}
	return 2
}

// evictIdle unloads the least recently used idle replica of a target that could host the model, unless such a target is unloading already.
func (round *round) evictIdle(model *config.Model) {
	var victim *state.Replica
	var oldest time.Time
	for _, registered := range round.state.Targets() {
		if !round.canHost(model, registered) {
			continue
		}
		if round.isUnloading(registered.ID) {
			return
		}
		for _, replica := range round.state.ReplicasOn(registered.ID) {
			last, ok := round.idleSince(replica)
			isOlder := victim == nil || last.Before(oldest)
			if ok && isOlder && replica.Model() != model.Base() && !round.hasAdapter(replica) {
				victim, oldest = replica, last
			}
		}
	}
	if victim != nil {
		round.unload(victim)
	}
}

func (round *round) isUnloading(id celerylanding.TargetID) bool {
	for _, replica := range round.state.ReplicasOn(id) {
		if replica.State() == state.StateUnloading {
			return true
		}
	}
	return false
}

// idleSince returns the time since which a replica is idle; it returns false while requests use the replica or before its minimum residence
// has passed.
func (round *round) idleSince(replica *state.Replica) (time.Time, bool) {
	ready, ok := round.planner.readyAt[replica.Order()]
	if !ok || replica.State() != state.StateReady || round.now.Sub(ready) < minResidence {
		return time.Time{}, false
	}
	if round.planner.isBusy(round.now, replica.Model()) {
		return time.Time{}, false
	}
	if last, ok := round.planner.policy.LastUse(replica.Model()); ok && last.After(ready) {
		return last, true
	}
	return ready, true
}

func (round *round) hasAdapter(base *state.Replica) bool {
	for _, replica := range round.state.ReplicasOn(base.Target()) {
		model, ok := round.config.Model(replica.Model())
		if ok && model.Base() == base.Model() {
			return true
		}
	}
	return false
}

func (round *round) unload(replica *state.Replica) {
	round.commands = append(round.commands, state.Command{Advance: &state.Advance{
		Order: replica.Order(), Event: string(state.EventUnload)}})
}

// ensureMinimum places models that have fewer replicas than their configured minimum.
func (round *round) ensureMinimum() {
	for _, model := range round.config.ModelsWithMinReplicas() {
		if round.state.ReplicaCountOfModel(model.ID()) < model.Replicas().Min && !round.isPlacedThisRound(model.ID()) {
			round.tryPlace(model)
		}
	}
}

// unloadIdle unloads replicas that are idle for longer than their keep-alive, exceed the configured maximum or have left the configuration.
func (round *round) unloadIdle() {
	seen := make(map[celerylanding.ModelID]int)
	for _, replica := range round.state.Replicas() {
		model, ok := round.config.Model(replica.Model())
		seen[replica.Model()]++
		isSurplus := !ok || seen[replica.Model()] > model.Replicas().Max
		if isSurplus && replica.State() == state.StateReady && !round.hasAdapter(replica) {
			round.unload(replica)
			continue
		}
		if !ok || round.state.ReplicaCountOfModel(replica.Model()) <= model.Replicas().Min {
			continue
		}
		since, idle := round.idleSince(replica)
		if idle && round.now.Sub(since) > round.keepAlive(replica.Model()) && !round.hasAdapter(replica) {
			round.unload(replica)
		}
	}
}

func (round *round) keepAlive(model celerylanding.ModelID) time.Duration {
	settings := round.config.KeepAlive()
	return round.planner.policy.KeepAlive(model, keepalive.Settings{
		ColdStartWeight: settings.ColdStartWeight(),
		Min:             settings.Min(),
		Max:             settings.Max(),
		Default:         defaultKeepAlive,
		ColdStart:       round.planner.coldStart,
	})
}
