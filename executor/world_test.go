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

// engine is a target with what it really holds.
type engine struct {
	id          celerylanding.TargetID
	incarnation celerylanding.Incarnation
	fencing     bool
	fence       celerylanding.Fence
	holds       map[celerylanding.ModelID]celerylanding.LoadedModel
}

// call is an action on its way to an engine or an answer on its way back.
type call struct {
	from   *worker
	life   int
	action executor.Action
	sent   time.Time
	// arrives is the earliest time at which a call that its sender has given up takes effect.
	arrives    time.Time
	executed   bool
	completion executor.Completion
}

// worker is a node that may be the executor; it sees the log with a delay.
type worker struct {
	name     string
	rate     float64
	applied  int
	state    *state.State
	executor *executor.Executor
	holder   *lease.Holder
	life     int
	up       bool
}

// world joins the deciding parts with engines, a log and a network that delays, loses and reorders.
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
		worker := &worker{name: fmt.Sprintf("w%d", i), rate: rate}
		world.boot(worker)
		world.workers = append(world.workers, worker)
	}
	world.granter = lease.NewGranter(world.now, leaseSettings())
	for i, fencing := range []bool{true, false} {
		engine := &engine{id: celerylanding.TargetID(fmt.Sprintf("e%d", i)), fencing: fencing,
			holds: make(map[celerylanding.ModelID]celerylanding.LoadedModel)}
		world.engines = append(world.engines, engine)
	}
	world.commit(state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "base", Base: siteText}}})
	for _, engine := range world.engines {
		world.restartEngine(engine)
	}
	return world
}

func leaseSettings() lease.Settings { return lease.Settings{TTL: ttl, Drift: drift} }

func executorSettings() executor.Settings {
	return executor.Settings{OrderTimeout: timeout, CallTimeout: time.Second, RetryDelay: 200 * time.Millisecond,
		CommitTimeout: time.Second, InventoryInterval: 2 * time.Second, AbsenceConfirmDelay: time.Second, GoneTimeout: 2 * time.Second}
}

func (world *world) boot(worker *worker) {
	worker.life++
	worker.up = true
	worker.executor = executor.New(executorSettings(), domain)
	worker.holder = lease.NewHolder(leaseSettings())
	worker.state = newState()
	worker.applied = 0
	world.catchUp(worker, len(world.log))
}

// holderID names one life of a worker; a worker that has forgotten its orders needs a lease of its own.
func (worker *worker) holderID() string { return fmt.Sprintf("%s#%d", worker.name, worker.life) }

// clock returns a worker's own time, which runs fast or slow.
func (world *world) clock(worker *worker) time.Time {
	return world.start.Add(time.Duration(float64(world.now.Sub(world.start)) * worker.rate))
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

// restartEngine starts a later incarnation, which may still hold a part of what the earlier one held.
func (world *world) restartEngine(engine *engine) {
	engine.incarnation++
	engine.fence = 0
	for model, held := range engine.holds {
		if held.State == "loading" || world.random.IntN(2) == 0 {
			delete(engine.holds, model)
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
		if held, ok := engine.holds[model]; ok {
			list = append(list, held)
		}
	}
	return list
}

// renew plays one renewal: the leader answers now, and the answer reaches the worker unless it is lost.
func (world *world) renew(worker *worker, lost bool) {
	sent := world.clock(worker)
	world.passTime()
	current := world.state.Lease(domain)
	switch world.granter.Decide(world.now, lease.Request{Domain: domain, Holder: worker.holderID(), InDomain: true},
		lease.Current{Holder: current.Holder(), Fence: current.Fence()}) {
	case lease.DecisionRenewed:
		world.passTime()
		if !lost {
			worker.holder.Renewed(sent, current.Fence())
		}
	case lease.DecisionGrant:
		world.pending = append(world.pending, state.Command{GrantLease: &state.GrantLease{Domain: domain,
			Holder: worker.holderID(), ExpectedFence: current.Fence()}})
	}
}

// passTime plays the way of a question or an answer, which may take no time at all.
func (world *world) passTime() {
	switch {
	case world.happens(50):
		world.now = world.now.Add(time.Duration(world.random.IntN(2500)) * time.Millisecond)
	case world.happens(500):
		world.now = world.now.Add(time.Duration(world.random.IntN(400)) * time.Millisecond)
	}
}

// work lets a worker decide and send.
func (world *world) work(worker *worker) {
	now := world.clock(worker)
	worker.holder.ObserveFence(worker.state.Lease(domain).Fence())
	fence, held := worker.holder.Fence(now)
	if !held {
		return
	}
	for _, action := range worker.executor.Decide(now, worker.state, fence) {
		world.calls = append(world.calls, &call{from: worker, life: worker.life, action: action, sent: world.now,
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

// canStillArrive bounds how late a call may take effect: by its time-out, or not at all where a later fence refuses it.
func (world *world) canStillArrive(call *call) bool {
	engine := world.engine(call.action.Endpoint.Target)
	if engine.fencing && fenceOf(call.action) < world.state.Lease(domain).Fence() {
		return true
	}
	return world.now.Sub(call.sent) <= time.Duration(float64(timeout)*0.9)
}

func fenceOf(action executor.Action) celerylanding.Fence {
	if action.Kind == executor.ActionOrder {
		return action.Order.Fence
	}
	return action.Fence
}

// execute lets a call take effect on its engine.
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
		completion.Outcome = engine.obey(call.action.Order, world.random)
	}
}

func (engine *engine) obey(order celerylanding.Order, random *rand.Rand) executor.Outcome {
	engine.fence = max(engine.fence, order.Fence)
	held, holds := engine.holds[order.Model]
	switch {
	case holds && held.State == "loading":
		return executor.OutcomeUnknown
	case order.Kind == celerylanding.OrderUnload:
		delete(engine.holds, order.Model)
		return executor.OutcomeDone
	case holds:
		return executor.OutcomeDone
	}
	engine.holds[order.Model] = celerylanding.LoadedModel{Model: order.Model, Bytes: order.Bytes, State: "loading"}
	if random.IntN(3) == 0 {
		return executor.OutcomeUnknown
	}
	engine.ready(order.Model)
	return executor.OutcomeDone
}

func (engine *engine) ready(model celerylanding.ModelID) {
	held := engine.holds[model]
	held.State = "ready"
	engine.holds[model] = held
}

// answer hands the outcome to the worker, if it still lives.
func (world *world) answer(call *call) {
	worker := call.from
	if !worker.up || worker.life != call.life {
		return
	}
	world.pending = append(world.pending, worker.executor.Complete(world.clock(worker), worker.state, call.completion)...)
}

// step lets a little of everything happen.
func (world *world) step(faults faults) {
	world.now = world.now.Add(time.Duration(world.random.IntN(200)) * time.Millisecond)
	for _, worker := range world.workers {
		if !worker.up {
			continue
		}
		if !world.happens(faults.lag) {
			world.catchUp(worker, len(world.log))
		}
		if world.happens(300) {
			world.renew(worker, world.happens(faults.lose))
		}
		if !world.happens(faults.lag) {
			world.work(worker)
		}
	}
	world.passCalls(faults)
	world.commitPending(faults)
	for _, engine := range world.engines {
		for _, model := range models {
			if _, ok := engine.holds[model]; ok && world.happens(200) {
				engine.ready(model)
			}
		}
	}
}

// lossRate is higher for orders, whose late arrival is what the promises have to survive.
func (call *call) lossRate(faults faults) int {
	if call.action.Kind == executor.ActionOrder {
		return faults.lose * 3 / 2
	}
	return faults.lose / 2
}

func (world *world) passCalls(faults faults) {
	var open []*call
	for _, call := range world.calls {
		switch {
		case !call.executed && !world.canStillArrive(call):
			world.answer(call)
		case !call.executed && call.life >= 0 && world.happens(call.lossRate(faults)):
			// The caller times out; the call may still arrive.
			world.answer(call)
			call.life = -1
			call.arrives = world.now.Add(time.Duration(world.random.Int64N(int64(timeout))))
			open = append(open, call)
		case !call.executed && (world.now.Before(call.arrives) || world.happens(faults.delay)):
			open = append(open, call)
		case !call.executed:
			world.execute(call)
			open = append(open, call)
		case world.happens(faults.delay):
			open = append(open, call)
		default:
			if world.happens(faults.lose) {
				call.completion = executor.Completion{Action: call.action, Started: call.completion.Started, Outcome: executor.OutcomeUnknown}
			}
			world.answer(call)
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
		case command.GrantLease == nil && world.happens(faults.lose):
		case world.happens(faults.delay):
			world.pending = append(world.pending, command)
		default:
			world.commit(command)
		}
	}
}

// faults are shares in a thousand.
type faults struct {
	lose, delay, lag int
}

func (world *world) happens(perMille int) bool { return world.random.IntN(1000) < perMille }
