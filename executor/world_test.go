package executor_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/executor"
	"celerylanding.example/celerylanding/lease"
	"celerylanding.example/celerylanding/state"
)

// engine simulates a target and the models that it actually holds.
type engine struct {
	id          celerylanding.TargetID
	incarnation celerylanding.Incarnation
	fencing     bool
	fence       celerylanding.FencingToken
	loaded      map[celerylanding.ModelID]celerylanding.LoadedModel
}

// call is an action in transit to an engine, or its response in transit back.
type call struct {
	from *worker
	// incarnation is that of the sender at the time of the call, or -1 after the sender has timed out.
	incarnation int
	action      executor.Action
	sent        time.Time
	// notBefore is the earliest time at which a call that its sender has abandoned takes effect.
	notBefore  time.Time
	executed   bool
	completion executor.Completion
}

// worker simulates a node that may hold the lease. It applies the log with a delay; clockRate is the speed of its clock, and incarnation
// is the number of its starts.
type worker struct {
	name        string
	clockRate   float64
	applied     int
	state       *state.State
	executor    *executor.Executor
	holder      *lease.Holder
	incarnation int
	up          bool
}

// world simulates executors, lease granter, engines, a log and a network that delays, loses and reorders messages.
type world struct {
	t        *rapid.T
	start    time.Time
	now      time.Time
	random   *rand.Rand
	log      [][]byte
	state    *state.State
	granter  *lease.Granter
	workers  []*worker
	engines  []*engine
	calls    []*call
	pending  []state.Command
	granting bool
}

func newState() *state.State {
	fresh, err := state.New()
	if err != nil {
		panic(err)
	}
	return fresh
}

func newWorld(t *rapid.T) *world {
	start := time.Unix(1_000_000, 0)
	world := &world{t: t, start: start, now: start, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)), state: newState()}
	for i, rate := range []float64{0.97, 1.03} {
		worker := &worker{name: fmt.Sprintf("w%d", i), clockRate: rate}
		world.boot(worker)
		world.workers = append(world.workers, worker)
	}
	world.granter = lease.NewGranter(world.now, leaseSettings())
	for i, fencing := range []bool{true, false} {
		engine := &engine{id: celerylanding.TargetID(fmt.Sprintf("e%d", i)), fencing: fencing,
			loaded: make(map[celerylanding.ModelID]celerylanding.LoadedModel)}
		world.engines = append(world.engines, engine)
	}
	world.commit(state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "base", Base: siteText}}})
	for _, engine := range world.engines {
		world.restartEngine(engine)
	}
	return world
}

func leaseSettings() lease.Settings { return lease.Settings{TTL: leaseTTL, Drift: clockDrift} }

func executorSettings() executor.Settings {
	return executor.Settings{OrderTimeout: orderTimeout, CallTimeout: time.Second, RetryDelay: 200 * time.Millisecond,
		CommitTimeout: time.Second, InventoryInterval: 2 * time.Second, AbsenceConfirmDelay: time.Second, GoneTimeout: 2 * time.Second}
}

func (world *world) boot(worker *worker) {
	worker.incarnation++
	worker.up = true
	worker.executor = executor.New(executorSettings(), domain)
	worker.holder = lease.NewHolder(leaseSettings())
	worker.state = newState()
	worker.applied = 0
	world.catchUp(worker, len(world.log))
}

// holderID identifies one start of a worker; a restarted worker no longer has the orders that it sent before and needs a new lease.
func (worker *worker) holderID() string { return fmt.Sprintf("%s#%d", worker.name, worker.incarnation) }

// clock returns a worker's local time, which runs fast or slow.
func (world *world) clock(worker *worker) time.Time {
	return world.start.Add(time.Duration(float64(world.now.Sub(world.start)) * worker.clockRate))
}

func (world *world) commit(command state.Command) state.Result {
	data, err := state.Encode(command)
	if err != nil {
		panic(err)
	}
	world.log = append(world.log, data)
	return world.state.Apply(uint64(len(world.log)), data)
}

func (world *world) catchUp(worker *worker, to int) {
	for worker.applied < to {
		worker.state.Apply(uint64(worker.applied+1), world.log[worker.applied])
		worker.applied++
	}
}

// restartEngine starts a new incarnation, which may still hold some of the models of the previous one.
func (world *world) restartEngine(engine *engine) {
	engine.incarnation++
	engine.fence = 0
	for model, held := range engine.loaded {
		if held.State == "loading" || world.random.IntN(2) == 0 {
			delete(engine.loaded, model)
		}
	}
	world.commit(state.Command{Register: &state.Register{
		Target: state.Target{ID: engine.id, Incarnation: engine.incarnation, Domain: domain, Group: "engines",
			Address: "127.0.0.1:1", Kind: celerylanding.KindEngine, Memory: 80 * gib, Fencing: engine.fencing},
		Inventory: engine.inventory(),
	}})
}

func (engine *engine) inventory() []celerylanding.LoadedModel {
	var list []celerylanding.LoadedModel
	for _, model := range models {
		if held, ok := engine.loaded[model]; ok {
			list = append(list, held)
		}
	}
	return list
}

// renewLease simulates one renewal: the leader responds, and the response reaches the worker unless it is lost.
func (world *world) renewLease(worker *worker, lost bool) {
	sent := world.clock(worker)
	world.delayMessage()
	current := world.state.Lease(domain)
	switch world.granter.Decide(world.now, lease.Request{Domain: domain, Holder: worker.holderID(), InDomain: true},
		lease.Current{Holder: current.Holder(), Fence: current.Fence()}) {
	case lease.DecisionRenewed:
		world.delayMessage()
		if !lost {
			worker.holder.RecordRenewal(sent, current.Fence())
		}
	case lease.DecisionGrant:
		world.pending = append(world.pending, state.Command{GrantLease: &state.GrantLease{Domain: domain,
			Holder: worker.holderID(), ExpectedFence: current.Fence()}})
	}
}

// delayMessage advances the time by the delay of a request or response, which may be zero.
func (world *world) delayMessage() {
	switch {
	case world.chance(50):
		world.now = world.now.Add(time.Duration(world.random.IntN(2500)) * time.Millisecond)
	case world.chance(500):
		world.now = world.now.Add(time.Duration(world.random.IntN(400)) * time.Millisecond)
	}
}

// decideAndSend sends the actions that a worker decides, provided that it holds the lease.
func (world *world) decideAndSend(worker *worker) {
	now := world.clock(worker)
	worker.holder.ObserveFence(worker.state.Lease(domain).Fence())
	fence, held := worker.holder.Fence(now)
	if !held {
		return
	}
	for _, action := range worker.executor.Decide(now, worker.state, fence) {
		world.calls = append(world.calls, &call{from: worker, incarnation: worker.incarnation, action: action, sent: world.now,
			completion: executor.Completion{Action: action, Started: now, Outcome: executor.OutcomeUnknown}})
	}
}

func (world *world) engine(id celerylanding.TargetID) *engine {
	for _, engine := range world.engines {
		if engine.id == id {
			return engine
		}
	}
	return nil
}

// canStillArrive reports whether a call may still be delivered: up to 90% of the order timeout, or without limit where the engine has
// fencing and the lease has a higher fencing token than the call.
func (world *world) canStillArrive(call *call) bool {
	engine := world.engine(call.action.Endpoint.Target)
	if engine.fencing && fenceOf(call.action) < world.state.Lease(domain).Fence() {
		return true
	}
	return world.now.Sub(call.sent) <= time.Duration(float64(orderTimeout)*0.9)
}

func fenceOf(action executor.Action) celerylanding.FencingToken {
	if action.Kind == executor.ActionOrder {
		return action.Order.Fence
	}
	return action.Fence
}

// execute runs a call on its engine and sets its outcome.
func (world *world) execute(call *call) {
	engine := world.engine(call.action.Endpoint.Target)
	call.executed = true
	completion := &call.completion
	switch {
	case call.action.Endpoint.Incarnation != engine.incarnation:
		completion.Outcome = executor.OutcomeGone
	case engine.fencing && call.action.Kind != executor.ActionInventory && fenceOf(call.action) < engine.fence:
		completion.Outcome = executor.OutcomeStale
	case call.action.Kind == executor.ActionFence:
		engine.fence = fenceOf(call.action)
		completion.Outcome = executor.OutcomeDone
	case call.action.Kind == executor.ActionInventory:
		completion.Outcome = executor.OutcomeDone
		completion.Inventory = engine.inventory()
	default:
		completion.Outcome = engine.applyOrder(call.action.Order, world.random)
	}
}

// applyOrder executes a load or unload order; a load may stay incomplete with an unknown outcome.
func (engine *engine) applyOrder(order celerylanding.Order, random *rand.Rand) executor.Outcome {
	engine.fence = max(engine.fence, order.Fence)
	held, isLoaded := engine.loaded[order.Model]
	switch {
	case isLoaded && held.State == "loading":
		return executor.OutcomeUnknown
	case order.Kind == celerylanding.OrderUnload:
		delete(engine.loaded, order.Model)
		return executor.OutcomeDone
	case isLoaded:
		return executor.OutcomeDone
	}
	engine.loaded[order.Model] = celerylanding.LoadedModel{Model: order.Model, Bytes: order.Bytes, State: "loading"}
	if random.IntN(3) == 0 {
		return executor.OutcomeUnknown
	}
	engine.markReady(order.Model)
	return executor.OutcomeDone
}

func (engine *engine) markReady(model celerylanding.ModelID) {
	held := engine.loaded[model]
	held.State = "ready"
	engine.loaded[model] = held
}

// deliverCompletion passes the outcome to the worker unless the worker has stopped or restarted.
func (world *world) deliverCompletion(call *call) {
	worker := call.from
	if !worker.up || worker.incarnation != call.incarnation {
		return
	}
	world.pending = append(world.pending, worker.executor.Complete(world.clock(worker), worker.state, call.completion)...)
}

// step advances the simulation by up to 200 ms: workers apply, renew and decide, messages are delivered and engines finish loads.
func (world *world) step(faults faults) {
	world.now = world.now.Add(time.Duration(world.random.IntN(200)) * time.Millisecond)
	for _, worker := range world.workers {
		if !worker.up {
			continue
		}
		if !world.chance(faults.lag) {
			world.catchUp(worker, len(world.log))
		}
		if world.chance(300) {
			world.renewLease(worker, world.chance(faults.lose))
		}
		if !world.chance(faults.lag) {
			world.decideAndSend(worker)
		}
	}
	world.deliverCalls(faults)
	world.commitPending(faults)
	for _, engine := range world.engines {
		for _, model := range models {
			if _, ok := engine.loaded[model]; ok && world.chance(200) {
				engine.markReady(model)
			}
		}
	}
}

// lossRate is higher for orders, because the guarantees must hold when orders arrive late.
func (call *call) lossRate(faults faults) int {
	if call.action.Kind == executor.ActionOrder {
		return faults.lose * 3 / 2
	}
	return faults.lose / 2
}

func (world *world) deliverCalls(faults faults) {
	var open []*call
	for _, call := range world.calls {
		switch {
		case !call.executed && !world.canStillArrive(call):
			world.deliverCompletion(call)
		case !call.executed && call.incarnation >= 0 && world.chance(call.lossRate(faults)):
			// The sender times out; the call may still arrive.
			world.deliverCompletion(call)
			call.incarnation = -1
			call.notBefore = world.now.Add(time.Duration(world.random.Int64N(int64(orderTimeout))))
			open = append(open, call)
		case !call.executed && (world.now.Before(call.notBefore) || world.chance(faults.delay)):
			open = append(open, call)
		case !call.executed:
			world.execute(call)
			open = append(open, call)
		case world.chance(faults.delay):
			open = append(open, call)
		default:
			if world.chance(faults.lose) {
				call.completion = executor.Completion{Action: call.action, Started: call.completion.Started, Outcome: executor.OutcomeUnknown}
			}
			world.deliverCompletion(call)
		}
	}
	world.calls = open
}

func (world *world) commitPending(faults faults) {
	pending := world.pending
	world.pending = nil
	world.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	for _, command := range pending {
		switch {
		case command.GrantLease == nil && world.chance(faults.lose):
		case world.chance(faults.delay):
			world.pending = append(world.pending, command)
		default:
			world.commit(command)
		}
	}
}

// faults holds the fault probabilities per mille.
type faults struct {
	lose, delay, lag int
}

// chance returns true with the given probability.
func (world *world) chance(perMille int) bool { return world.random.IntN(1000) < perMille }
