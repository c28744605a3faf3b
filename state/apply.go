package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/config"
)

// Encode returns the form in which a command stands in the log.
func Encode(command Command) ([]byte, error) { return cbor.Marshal(command) }

// Apply carries out the command at the log index; it depends on nothing but the state and its arguments.
func (state *State) Apply(index uint64, data []byte) Result {
	state.index = index
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
		return state.refuse("undecodable command: %v", err)
	}
	switch {
	case command.Submit != nil:
		return state.submit(command.Submit.Document)
	case command.Register != nil:
		return state.register(*command.Register)
	case command.Forget != nil:
		return state.forget(*command.Forget)
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
	return state.refuse("empty command")
}

func (state *State) accept() Result {
	return Result{Code: CodeAccepted, Index: state.index}
}

func (state *State) already() Result {
	return Result{Code: CodeUnchanged, Index: state.index}
}

func (state *State) refuse(format string, args ...any) Result {
	return Result{Code: CodeRefused, Index: state.index, Detail: fmt.Sprintf(format, args...)}
}

// submit compares number and digest with all revisions that were ever in force.
func (state *State) submit(document config.Document) Result {
	parsed, err := config.Parse(document)
	if err != nil {
		return state.refuse("%v", err)
	}
	for _, past := range state.history {
		if past.number != parsed.Number() {
			continue
		}
		if past.digest == parsed.Digest() {
			result := state.already()
			result.Number, result.Digest = past.number, past.digest
			return result
		}
		result := state.refuse("revision %d is taken by digest %s", past.number, past.digest)
		result.Number, result.Digest = past.number, past.digest
		return result
	}
	if state.config != nil && parsed.Number() <= state.config.Number() {
		result := state.refuse("revision %d is older than %d, which is in force", parsed.Number(), state.config.Number())
		result.Number, result.Digest = state.config.Number(), state.config.Digest()
		return result
	}
	state.document = document
	state.config = parsed
	state.history = append(state.history, revision{parsed.Number(), parsed.Digest()})
	if len(state.history) > maxHistory {
		state.history = state.history[len(state.history)-maxHistory:]
	}
	result := state.accept()
	result.Number, result.Digest = parsed.Number(), parsed.Digest()
	return result
}

// register takes a newer incarnation as proof that the older one is gone. What the newer one holds already is counted with
// the same entry, so that no replica can be decided in between.
func (state *State) register(register Register) Result {
	target := register.Target
	known, ok := state.targets[target.ID]
	if ok && target.Incarnation < known.Incarnation {
		return state.refuse("incarnation %d of %s is older than %d", target.Incarnation, target.ID, known.Incarnation)
	}
	if ok && target.Incarnation == known.Incarnation {
		return state.refresh(known, target)
	}
	if len(register.Inventory) >= ordersPerEntry {
		return state.refuse("inventory of %s has %d entries", target.ID, len(register.Inventory))
	}
	state.releaseAll(target.ID)
	state.putTarget(target)
	for i, found := range register.Inventory {
		if state.find(target.ID, found.Model) == nil {
			state.insertGhost(OrderAt(state.index, i), target, found.Model, found.Bytes)
		}
	}
	return state.accept()
}

// refresh takes changed facts of the same incarnation; leaving is final and memory never shrinks.
func (state *State) refresh(known, target Target) Result {
	target.Leaving = target.Leaving || known.Leaving
	if known == target {
		return state.already()
	}
	if target.Memory < known.Memory {
		return state.refuse("memory of %s shrinks within incarnation %d", target.ID, target.Incarnation)
	}
	state.putTarget(target)
	return state.accept()
}

func (state *State) insertGhost(order celerylanding.OrderNumber, target Target, model celerylanding.ModelID, size celerylanding.Bytes) {
	state.insert(&Replica{
		order:       order,
		model:       model,
		target:      target.ID,
		incarnation: target.Incarnation,
		bytes:       size,
		state:       StateUnloading,
		ghost:       true,
	})
}

func (state *State) forget(gone Forget) Result {
	known, ok := state.targets[gone.Target]
	if !ok || known.Incarnation != gone.Incarnation {
		return state.already()
	}
	state.releaseAll(gone.Target)
	delete(state.targets, gone.Target)
	state.orderedTargets = nil
	return state.accept()
}

func (state *State) releaseAll(target celerylanding.TargetID) {
	for _, replica := range state.ReplicasOn(target) {
		state.move(replica, EventIncarnationGone)
	}
}

// place enforces the bound on replicas and the target's memory.
func (state *State) place(place Place) Result {
	if state.config == nil {
		return state.refuse("no configuration is in force")
	}
	model, ok := state.config.Model(place.Model)
	if !ok {
		return state.refuse("model %s is not stated", place.Model)
	}
	target, ok := state.targets[place.Target]
	if !ok || target.Incarnation != place.Incarnation {
		return state.refuse("incarnation %d of %s is not registered", place.Incarnation, place.Target)
	}
	if target.Leaving || target.Group != model.Group() || target.Kind != celerylanding.KindEngine {
		return state.refuse("target %s does not take %s", place.Target, place.Model)
	}
	if len(state.byModel[place.Model]) >= model.Replicas().Max {
		return state.refuse("%s has its %d replicas", place.Model, model.Replicas().Max)
	}
	if state.find(place.Target, place.Model) != nil {
		return state.refuse("%s is on %s already", place.Model, place.Target)
	}
	if used := state.Used(place.Target); used+model.Memory() > target.Memory {
		return state.refuse("%s needs %d bytes, %s has %d of %d in use",
			place.Model, model.Memory(), place.Target, used, target.Memory)
	}
	if model.IsAdapter() && !state.HasReady(place.Target, model.Base()) {
		return state.refuse("base model %s is not ready on %s", model.Base(), place.Target)
	}
	state.insert(&Replica{
		order:       OrderAt(state.index, 0),
		model:       place.Model,
		target:      place.Target,
		incarnation: place.Incarnation,
		bytes:       model.Memory(),
		state:       state.chart.Initial(),
	})
	return state.accept()
}

func (state *State) find(target celerylanding.TargetID, model celerylanding.ModelID) *Replica {
	for _, replica := range state.byTarget[target] {
		if replica.model == model {
			return replica
		}
	}
	return nil
}

// Holds reports whether a replica of the model is counted on the target.
func (state *State) Holds(target celerylanding.TargetID, model celerylanding.ModelID) bool {
	return state.find(target, model) != nil
}

// HasReady reports whether a replica of the model on the target may be sent requests.
func (state *State) HasReady(target celerylanding.TargetID, model celerylanding.ModelID) bool {
	replica := state.find(target, model)
	return replica != nil && state.IsRoutable(replica)
}

func (state *State) advance(advance Advance) Result {
	replica, ok := state.replicas[advance.Order]
	if !ok {
		return state.refuse("order %d is not open", advance.Order)
	}
	domain := state.targets[replica.target].Domain
	if advance.Fence != 0 && advance.Fence != state.leases[domain].fence {
		return state.refuse("fence %d of %s is not the present %d", advance.Fence, domain, state.leases[domain].fence)
	}
	event := chart.Event(advance.Event)
	if event == EventUnload && state.hasAdapters(replica) {
		return state.refuse("adapters of %s are on %s", replica.model, replica.target)
	}
	if event == EventIncarnationGone {
		return state.refuse("only a newer incarnation releases all replicas")
	}
	if err := state.move(replica, event); err != nil {
		return state.refuse("%v", err)
	}
	switch event {
	case EventLoaded:
		delete(state.failures, replica.model)
	case EventLoadFailed:
		state.failures[replica.model] = advance.Cause
	}
	return state.accept()
}

// hasAdapters reports whether an adapter on the same target needs the replica.
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

func (state *State) move(replica *Replica, event chart.Event) error {
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

// adopt counts a ghost at once, even where it overcommits the target, and has it unloaded.
func (state *State) adopt(adopt Adopt) Result {
	target, ok := state.targets[adopt.Target]
	if !ok || target.Incarnation != adopt.Incarnation {
		return state.refuse("incarnation %d of %s is not registered", adopt.Incarnation, adopt.Target)
	}
	if state.find(adopt.Target, adopt.Model) != nil {
		return state.already()
	}
	state.insertGhost(OrderAt(state.index, 0), target, adopt.Model, adopt.Bytes)
	return state.accept()
}

func (state *State) grantLease(grant GrantLease) Result {
	if state.leases[grant.Domain].fence != grant.ExpectedFence {
		return state.refuse("lease of %s has fence %d, not %d", grant.Domain, state.leases[grant.Domain].fence, grant.ExpectedFence)
	}
	state.leases[grant.Domain] = Lease{holder: grant.Holder, fence: celerylanding.Fence(state.index)}
	return state.accept()
}
