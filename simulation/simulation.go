package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/routing"
)

const (
	service = "engines"
	// networkDelay is the one-way delay between two VMs.
	networkDelay = 2 * time.Millisecond
	// orderTimeout is the time after which an unanswered order has an unknown outcome.
	orderTimeout = 150 * time.Millisecond
	// planInterval, announceInterval and waitPollInterval match the intervals of the real processes.
	planInterval     = 15 * time.Millisecond
	announceInterval = 1200 * time.Millisecond
	waitPollInterval = 250 * time.Millisecond
	// zipfExponent is the exponent of the Zipf distribution of requests over popular models.
	zipfExponent = 1.1
	// maxSends is the maximum number of times that a request is sent to a target.
	maxSends = 4
)

// event is a function that runs at a simulated time; sequence orders events of the same time.
type event struct {
	at       time.Time
	sequence int
	handle   func()
}

// eventQueue implements heap.Interface; the earliest event comes first.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].sequence < queue[j].sequence
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(entry any) { *queue = append(*queue, entry.(event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	old := *queue
	last := old[len(old)-1]
	*queue = old[:len(old)-1]
	return last
}

// request is the state of one request, from arrival to its final outcome.
type request struct {
	class      *Class
	unit       feed.Unit
	arrived    time.Time
	deadline   time.Time
	firstToken time.Time
	sends      int
	hasRetried bool
	isWaiting  bool
	target     *feed.Target
	isDone     bool
}

// simulation is the state of one run of an experiment.
type simulation struct {
	experiment        Experiment
	random            *rand.Rand
	now               time.Time
	queue             eventQueue
	lastSequence      int
	planner           *loadplan.Planner
	picker            *dispatch.Picker
	roster            *dispatch.Roster
	table             *dispatch.Table
	revision          uint64
	engineConfig      *routing.Engine
	engines           map[celerylanding.TargetID]*engine
	lastIncarnation   celerylanding.Incarnation
	storeLoads        int
	waiting           map[feed.Unit][]*request
	isUpdateScheduled bool
	result            Result
}

// Run simulates the experiment. The same seed gives the same requests, but results differ slightly between runs, since ties between targets
// of equal cost are broken at random.
func Run(experiment Experiment) (Result, error) {
	if err := experiment.Check(); err != nil {
		return Result{}, err
	}
	sim := &simulation{experiment: experiment, random: rand.New(rand.NewPCG(experiment.Seed, 1)), now: time.Unix(1_700_000_000, 0),
		planner: loadplan.New(time.Time{}), picker: dispatch.NewPicker("n", "d"), roster: dispatch.NewRoster(), table: &dispatch.Table{},
		engines: make(map[celerylanding.TargetID]*engine), waiting: make(map[feed.Unit][]*request),
		result: Result{Name: experiment.Name, Classes: make(map[string]*ClassResult)}}
	sim.start()
	end := sim.now.Add(experiment.Length)
	for sim.queue.Len() > 0 {
		next := heap.Pop(&sim.queue).(event)
		if next.at.After(end) {
			break
		}
		sim.now = next.at
		next.handle()
	}
	return sim.result, nil
}

func (sim *simulation) schedule(delay time.Duration, handle func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{sim.now.Add(delay), sim.lastSequence, handle})
}

// scheduleEvery runs the function at a fixed interval until the end of the simulation.
func (sim *simulation) scheduleEvery(interval time.Duration, handle func()) {
	sim.schedule(interval, func() {
		handle()
		sim.scheduleEvery(interval, handle)
	})
}

func modelID(number int) celerylanding.ModelID {
	return celerylanding.ModelID(fmt.Sprintf("m%03d", number))
}

// start creates the engines with their initial models and schedules planning, announcements, arrivals and disruptions.
func (sim *simulation) start() {
	sim.engineConfig = &routing.Engine{Slots: sim.experiment.Slots, Memory: celerylanding.Bytes(sim.experiment.ModelsPerEngine), AdapterSlots: 1,
		StoreLoadsPerSecond: 100}
	for i := range sim.experiment.Models {
		sim.engineConfig.Models = append(sim.engineConfig.Models, routing.Model{ID: modelID(i), Weights: 1,
			StoreLoadTime: sim.experiment.StoreLoadTime, DiskLoadTime: sim.experiment.DiskLoadTime, MemoryLoadTime: sim.experiment.DiskLoadTime})
	}
	sim.engineConfig.BuildIndex()
	for i := range sim.experiment.Engines {
		eng := sim.newEngine(i, sim.randomDiskCopies(i))
		for slot := range sim.experiment.ModelsPerEngine {
			// The first model of each engine is a popular one; the others are assigned round-robin.
			id := modelID((i*sim.experiment.ModelsPerEngine + slot) % sim.experiment.Models)
			if slot == 0 {
				id = modelID(i % max(1, sim.experiment.Classes[0].PopularModels))
			}
			eng.loaded[id], eng.diskCopies[id] = true, true
		}
		sim.announce(eng)
	}
	if sim.experiment.Policy == PolicyPlanned {
		sim.scheduleEvery(planInterval, sim.runPlanner)
	}
	sim.scheduleEvery(announceInterval, func() {
		for i := range sim.experiment.Engines {
			sim.announce(sim.engines[targetID(i)])
		}
	})
	for i := range sim.experiment.Classes {
		sim.scheduleArrival(&sim.experiment.Classes[i])
	}
	for _, disruption := range sim.experiment.Disruptions {
		sim.schedule(disruption.Start, func() { sim.disrupt(disruption) })
	}
}

func (sim *simulation) randomDiskCopies(int) map[celerylanding.ModelID]bool {
	copies := make(map[celerylanding.ModelID]bool)
	for range sim.experiment.DiskCopies {
		copies[modelID(sim.random.IntN(sim.experiment.Models))] = true
	}
	return copies
}

func targetID(number int) celerylanding.TargetID {
	return celerylanding.TargetID(fmt.Sprintf("e%03d", number))
}

func (sim *simulation) newEngine(number int, disk map[celerylanding.ModelID]bool) *engine {
	sim.lastIncarnation++
	id := targetID(number)
	eng := &engine{endpoint: celerylanding.Endpoint{Target: id, Incarnation: sim.lastIncarnation, Address: "10.0.0.1:1"},
		loaded: make(map[celerylanding.ModelID]bool), diskCopies: disk}
	sim.engines[id] = eng
	return eng
}

// announce sends an announcement of the engine to the planner; the routers' table is updated after FeedLag.
func (sim *simulation) announce(eng *engine) {
	if eng.isStopped {
		return
	}
	sim.planner.Observe(sim.now, eng.announcement(), sim.engineConfig, true)
	sim.scheduleRouterUpdate()
}

func (sim *simulation) runPlanner() {
	actions := sim.planner.Step(sim.now)
	for _, order := range actions.Orders {
		sim.schedule(networkDelay, func() { sim.executeOrder(order) })
	}
	for _, endpoint := range actions.Inspections {
		sim.schedule(2*networkDelay, func() { sim.reportInventory(endpoint) })
	}
	if len(sim.planner.Changed()) > 0 {
		sim.scheduleRouterUpdate()
	}
}

// reportInventory sends an engine's report to the planner, or nil if the inspected incarnation has stopped.
func (sim *simulation) reportInventory(endpoint celerylanding.Endpoint) {
	eng := sim.engines[endpoint.Target]
	if eng == nil || eng.isStopped || eng.endpoint.Incarnation != endpoint.Incarnation {
		sim.planner.HandleReport(sim.now, endpoint, nil)
		return
	}
	sim.planner.HandleReport(sim.now, endpoint, &loadplan.Report{Incarnation: endpoint.Incarnation, Accepted: eng.accepted, Busy: eng.isBusy,
		Inventory: eng.announcement().Inventory})
}

// scheduleRouterUpdate updates the dispatch table of the routers after FeedLag; changes in between are batched into one update.
func (sim *simulation) scheduleRouterUpdate() {
	if sim.isUpdateScheduled {
		return
	}
	sim.isUpdateScheduled = true
	sim.schedule(sim.experiment.FeedLag, func() {
		sim.isUpdateScheduled = false
		sim.revision++
		reply := &feed.WatchReply{Leads: true, Term: 1, Revision: sim.revision, Routers: 1}
		var targets []feed.Target
		for i := range sim.experiment.Engines {
			eng := sim.engines[targetID(i)]
			targets = append(targets, feed.Target{ID: eng.endpoint.Target, Incarnation: eng.endpoint.Incarnation, Service: service,
				Address: eng.endpoint.Address, Domain: "d", Slots: sim.experiment.Slots, Loaded: sim.planner.LoadedModels(sim.now, eng.endpoint.Target)})
		}
		reply.Targets = feed.NewTargetList(targets)
		if table := sim.roster.Apply(sim.now, reply); table != nil {
			sim.table = table
		}
		sim.resumeServable()
	})
}

// scheduleArrival schedules the next request of a class; arrivals form a Poisson process.
func (sim *simulation) scheduleArrival(class *Class) {
	interval := time.Duration(sim.random.ExpFloat64() / class.PerSecond * float64(time.Second))
	sim.schedule(interval, func() {
		sim.result.class(class.Name).Requests++
		sim.result.class(class.Name).MaxValue += class.OnTimeValue
		req := &request{class: class, unit: feed.Unit{Model: sim.chooseModel(class)}, arrived: sim.now, deadline: sim.now.Add(class.Timeout)}
		sim.planner.RecordUsage(sim.now, "r", service, feed.Usage{Unit: req.unit, Arrivals: 1, Urgency: 1 / class.LatencyObjective.Seconds()})
		sim.route(req)
		sim.scheduleArrival(class)
	})
}

// chooseModel picks a model uniformly from all, or by a Zipf distribution from the popular models of the class.
func (sim *simulation) chooseModel(class *Class) celerylanding.ModelID {
	if class.PopularModels == 0 {
		return modelID(sim.random.IntN(sim.experiment.Models))
	}
	sum := 0.0
	for i := range class.PopularModels {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	draw := sim.random.Float64() * sum
	for i := range class.PopularModels {
		if draw -= math.Pow(float64(i+1), -zipfExponent); draw <= 0 {
			return modelID(i)
		}
	}
	return modelID(0)
}

// disrupt stops a random part of the engines and starts new incarnations of them after the duration, at least 1 s. If the duration is
// zero, their disks are empty.
func (sim *simulation) disrupt(disruption Disruption) {
	count := int(disruption.Share * float64(sim.experiment.Engines))
	for _, number := range sim.random.Perm(sim.experiment.Engines)[:count] {
		eng := sim.engines[targetID(number)]
		sim.stop(eng)
		disk := eng.diskCopies
		if disruption.Duration == 0 {
			disk = make(map[celerylanding.ModelID]bool)
		}
		sim.schedule(max(disruption.Duration, time.Second), func() { sim.announce(sim.newEngine(number, disk)) })
	}
}
