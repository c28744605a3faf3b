package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/config"
)

// Encode returns the CBOR encoding of a command for the log.
func Encode(command Command) ([]byte, error) { return cbor.Marshal(command) }

// Apply executes the command at the log index. It is deterministic: its result depends only on the state and its arguments. A command
// that cannot be decoded or executed changes only the index and yields CodeRefused.
func (state *State) Apply(index uint64, data []byte) Result {
	state.index = index
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
		return state.refused("undecodable command: %v", err)
	}
	switch {
	case command.Submit != nil:
		return state.submit(command.Submit.Document)
	case command.Register != nil:
		return state.register(*command.Register)
	case command.Deregister != nil:
		return state.deregister(*command.Deregister)
	case command.Place != nil:
		return state.place(*command.Place)
	case command.Advance != nil:
		return state.advance(*command.Advance)
	case command.Adopt != nil:
		return state.adopt(*command.Adopt)
	case command.GrantLease != nil:
		return state.grantLease(*command.GrantLease)
	case command.Claim != nil:
		return state.claim(*command.Claim)
	case command.SettleClaim != nil:
		return state.settleClaim(*command.SettleClaim)
	case command.ReleaseClaim != nil:
		return state.releaseClaim(*command.ReleaseClaim)
	}
	return state.refused("empty command")
}

func (state *State) accepted() Result {
	return Result{Code: CodeAccepted, Index: state.index}
}

func (state *State) unchanged() Result {
	return Result{Code: CodeUnchanged, Index: state.index}
}

func (state *State) refused(format string, args ...any) Result {
	return Result{Code: CodeRefused, Index: state.index, Detail: fmt.Sprintf(format, args...)}
}

// submit puts a newer revision in force. It compares number and digest with the last maxRevisions revisions, so that a resent submission
// is recognized and a number is never used for two documents.
func (state *State) submit(document config.Document) Result {
	parsed, err := config.Parse(document)
	if err != nil {
		return state.refused("%v", err)
	}
	for _, earlier := range state.revisions {
		if earlier.number != parsed.Revision() {
			continue
		}
		if earlier.digest == parsed.Digest() {
			result := state.unchanged()
			result.Number, result.Digest = earlier.number, earlier.digest
			return result
		}
		result := state.refused("revision %d is taken by digest %s", earlier.number, earlier.digest)
		result.Number, result.Digest = earlier.number, earlier.digest
		return result
	}
	if state.config != nil && parsed.Revision() <= state.config.Revision() {
		result := state.refused("revision %d is older than %d, which is in force", parsed.Revision(), state.config.Revision())
		result.Number, result.Digest = state.config.Revision(), state.config.Digest()
		return result
	}
	state.document = document
	state.config = parsed
	state.revisions = append(state.revisions, revision{parsed.Revision(), parsed.Digest()})
	if len(state.revisions) > maxRevisions {
		state.revisions = state.revisions[len(state.revisions)-maxRevisions:]
	}
	result := state.accepted()
	result.Number, result.Digest = parsed.Revision(), parsed.Digest()
	return result
}

// register treats a newer incarnation as proof that the older one is gone and releases its replicas. The models that the newer one already
// holds are counted in the same log entry, so that no replica can be placed before they are.
func (state *State) register(register Register) Result {
	target := register.Target
	registered, ok := state.targets[target.ID]
	if ok && target.Incarnation < registered.Incarnation {
		return state.refused("incarnation %d of %s is older than %d", target.Incarnation, target.ID, registered.Incarnation)
	}
	if ok && target.Incarnation == registered.Incarnation {
		return state.refresh(registered, target)
	}
	if len(register.Inventory) >= ordersPerEntry {
		return state.refused("inventory of %s has %d entries", target.ID, len(register.Inventory))
	}
	state.releaseReplicasOn(target.ID)
	state.putTarget(target)
	for i, found := range register.Inventory {
		if state.replicaOn(target.ID, found.Model) == nil {
			state.insertUnplanned(OrderAt(state.index, i), target, found.Model, found.Bytes)
		}
	}
	return state.accepted()
}

// refresh updates the attributes of an incarnation; leaving is final, and a decrease of memory is refused.
func (state *State) refresh(registered, target Target) Result {
	target.Leaving = target.Leaving || registered.Leaving
	if registered == target {
		return state.unchanged()
	}
	if target.Memory < registered.Memory {
		return state.refused("memory of %s shrinks within incarnation %d", target.ID, target.Incarnation)
	}
	state.putTarget(target)
	return state.accepted()
}

// insertUnplanned counts a model that was found on a target and has it unloaded.
func (state *State) insertUnplanned(order celerylanding.OrderNumber, target Target, model celerylanding.ModelID, size celerylanding.Bytes) {
	state.insert(&Replica{
		order:       order,
		model:       model,
		target:      target.ID,
		incarnation: target.Incarnation,
		bytes:       size,
		state:       StateUnloading,
		unplanned:   true,
	})
}

func (state *State) deregister(request Deregister) Result {
	registered, ok := state.targets[request.Target]
	if !ok || registered.Incarnation != request.Incarnation {
		return state.unchanged()
	}
	state.releaseReplicasOn(request.Target)
	delete(state.targets, request.Target)
	state.orderedTargets = nil
	return state.accepted()
}

func (state *State) releaseReplicasOn(target celerylanding.TargetID) {
	for _, replica := range state.ReplicasOn(target) {
		state.applyEvent(replica, EventIncarnationGone)
	}
}

// place creates a replica unless that exceeds the model's maximum of replicas or the target's memory, or the target cannot host it.
func (state *State) place(place Place) Result {
	if state.config == nil {
		return state.refused("no configuration is in force")
	}
	model, ok := state.config.Model(place.Model)
	if !ok {
		return state.refused("model %s is not in the configuration", place.Model)
	}
	target, ok := state.targets[place.Target]
	if !ok || target.Incarnation != place.Incarnation {
		return state.refused("incarnation %d of %s is not registered", place.Incarnation, place.Target)
	}
	if target.Leaving || target.Group != model.Group() || target.Kind != celerylanding.KindEngine {
		return state.refused("target %s is leaving, in another group or not an engine and cannot host %s", place.Target, place.Model)
	}
	if len(state.byModel[place.Model]) >= model.Replicas().Max {
		return state.refused("%s has its maximum of %d replicas", place.Model, model.Replicas().Max)
	}
	if state.replicaOn(place.Target, place.Model) != nil {
		return state.refused("%s already has a replica on %s", place.Model, place.Target)
	}
	if used := state.ReservedBytes(place.Target); used+model.Memory() > target.Memory {
		return state.refused("%s needs %d bytes, %s has %d of %d in use",
			place.Model, model.Memory(), place.Target, used, target.Memory)
	}
	if model.IsAdapter() && !state.HasRoutableReplica(place.Target, model.Base()) {
		return state.refused("base model %s is not ready on %s", model.Base(), place.Target)
	}
	state.insert(&Replica{
		order:       OrderAt(state.index, 0),
		model:       place.Model,
		target:      place.Target,
		incarnation: place.Incarnation,
		bytes:       model.Memory(),
		state:       state.chart.Initial(),
	})
	return state.accepted()
}

func (state *State) replicaOn(target celerylanding.TargetID, model celerylanding.ModelID) *Replica {
	for _, replica := range state.byTarget[target] {
		if replica.model == model {
			return replica
		}
	}
	return nil
}

// HasReplica reports whether the target has a replica of the model in any state.
func (state *State) HasReplica(target celerylanding.TargetID, model celerylanding.ModelID) bool {
	return state.replicaOn(target, model) != nil
}

// HasRoutableReplica reports whether the target has a routable replica of the model.
func (state *State) HasRoutableReplica(target celerylanding.TargetID, model celerylanding.ModelID) bool {
	replica := state.replicaOn(target, model)
	return replica != nil && state.IsRoutable(replica)
}

func (state *State) advance(advance Advance) Result {
	replica, ok := state.replicas[advance.Order]
	if !ok {
		return state.refused("no replica has order %d", advance.Order)
	}
	domain := state.targets[replica.target].Domain
	if advance.Fence != 0 && advance.Fence != state.leases[domain].fence {
		return state.refused("fence %d of %s is not the current fence %d", advance.Fence, domain, state.leases[domain].fence)
	}
	event := chart.Event(advance.Event)
	if event == EventUnload && state.hasAdapters(replica) {
		return state.refused("adapters of %s are on %s", replica.model, replica.target)
	}
	if event == EventIncarnationGone {
		return state.refused("only registration and deregistration of a target apply this event")
	}
	if err := state.applyEvent(replica, event); err != nil {
		return state.refused("%v", err)
	}
	switch event {
	case EventLoaded:
		delete(state.failures, replica.model)
	case EventLoadFailed:
		state.failures[replica.model] = advance.Cause
	}
	return state.accepted()
}

// hasAdapters reports whether the target has an adapter of the replica's model.
func (state *State) hasAdapters(replica *Replica) bool {
	if state.config == nil {
		return false
	}
	for _, other := range state.byTarget[replica.target] {
		model, ok := state.config.Model(other.model)
		if ok && model.Base() == replica.model {
			return true
		}
	}
	return false
}

func (state *State) applyEvent(replica *Replica, event chart.Event) error {
	next, err := state.chart.Next(replica.state, event)
	if err != nil {
		return err
	}
	replica.state = next
	if state.chart.HasFlag(next, FlagTerminal) {
		state.remove(replica)
	}
	return nil
}

// adopt counts a model that was found on a target, even if that overcommits the target's memory, and has it unloaded.
func (state *State) adopt(adopt Adopt) Result {
	target, ok := state.targets[adopt.Target]
	if !ok || target.Incarnation != adopt.Incarnation {
		return state.refused("incarnation %d of %s is not registered", adopt.Incarnation, adopt.Target)
	}
	if state.replicaOn(adopt.Target, adopt.Model) != nil {
		return state.unchanged()
	}
	state.insertUnplanned(OrderAt(state.index, 0), target, adopt.Model, adopt.Bytes)
	return state.accepted()
}

func (state *State) grantLease(grant GrantLease) Result {
	if state.leases[grant.Domain].fence != grant.ExpectedFence {
		return state.refused("lease of %s has fence %d, not %d", grant.Domain, state.leases[grant.Domain].fence, grant.ExpectedFence)
	}
	state.leases[grant.Domain] = Lease{holder: grant.Holder, fence: celerylanding.FencingToken(state.index)}
	return state.accepted()
}
