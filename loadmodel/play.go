package loadmodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/waking"
)

const (
	service = "engines"
	// hop is the time of one way between two VMs.
	hop = 2 * time.Millisecond
	// orderTimeout is when an order without an answer is given up.
	orderTimeout = 150 * time.Millisecond
	// planInterval, beatInterval and pollInterval are as in the processes.
	planInterval = 15 * time.Millisecond
	beatInterval = 1200 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	// popularity is the exponent of the distribution of the busy models.
	popularity = 1.1
	maxSends   = 4
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	run    func()
}

type events []event

func (list events) Len() int { return len(list) }
func (list events) Less(i, j int) bool {
	if !list[i].at.Equal(list[j].at) {
		return list[i].at.Before(list[j].at)
	}
	return list[i].number < list[j].number
}
func (list events) Swap(i, j int) { list[i], list[j] = list[j], list[i] }

// Push adds an event; it is part of heap.Interface.
func (list *events) Push(entry any) { *list = append(*list, entry.(event)) }

// Pop removes the last event; it is part of heap.Interface.
func (list *events) Pop() any {
	old := *list
	last := old[len(old)-1]
	*list = old[:len(old)-1]
	return last
}

// visit is one request on its way.
type visit struct {
	class    *Class
	unit     feed.Unit
	arrived  time.Time
	deadline time.Time
	first    time.Time
	sends    int
	returned bool
	waiting  bool
	target   *feed.Target
	ended    bool
}

// play is one run of an experiment.
type play struct {
	experiment Experiment
	random     *rand.Rand
	now        time.Time
	list       events
	number     int
	planner    *waking.Planner
	picker     *dispatch.Picker
	roster     *dispatch.Roster
	table      *dispatch.Table
	revision   uint64
	spec       *routing.Engine
	engines    map[celerylanding.TargetID]*modelEngine
	lives      celerylanding.Incarnation
	fetching   int
	waits      map[feed.Unit][]*visit
	pushing    bool
	result     Result
}

// Run plays the experiment; the same seed gives the same requests, and targets that cost the same are chosen by chance.
func Run(experiment Experiment) (Result, error) {
	if err := experiment.Check(); err != nil {
		return Result{}, err
	}
	run := &play{experiment: experiment, random: rand.New(rand.NewPCG(experiment.Seed, 1)), now: time.Unix(1_700_000_000, 0),
		planner: waking.New(time.Time{}), picker: dispatch.NewPicker("d"), roster: dispatch.NewRoster(), table: &dispatch.Table{},
		engines: make(map[celerylanding.TargetID]*modelEngine), waits: make(map[feed.Unit][]*visit),
		result: Result{Name: experiment.Name, Classes: make(map[string]*ClassResult)}}
	run.begin()
	end := run.now.Add(experiment.Length)
	for run.list.Len() > 0 {
		next := heap.Pop(&run.list).(event)
		if next.at.After(end) {
			break
		}
		run.now = next.at
		next.run()
	}
	return run.result, nil
}

func (play *play) after(length time.Duration, run func()) {
	play.number++
	heap.Push(&play.list, event{play.now.Add(length), play.number, run})
}

// every repeats the function for the whole day.
func (play *play) every(length time.Duration, run func()) {
	play.after(length, func() {
		run()
		play.every(length, run)
	})
}

func modelID(number int) celerylanding.ModelID {
	return celerylanding.ModelID(fmt.Sprintf("m%03d", number))
}

func (play *play) begin() {
	play.spec = &routing.Engine{Slots: play.experiment.Slots, Memory: celerylanding.Bytes(play.experiment.Residents), AdapterSlots: 1, StoreLoadsPerSecond: 100}
	for i := range play.experiment.Models {
		play.spec.Models = append(play.spec.Models, routing.Model{ID: modelID(i), Weights: 1, StoreLoadTime: play.experiment.FromStore,
			DiskLoadTime: play.experiment.FromDisk, MemoryLoadTime: play.experiment.FromDisk})
	}
	play.spec.BuildIndex()
	for i := range play.experiment.Engines {
		eng := play.newEngine(i, play.copiesOf(i))
		for slot := range play.experiment.Residents {
			// The first place of each engine is for a busy model, the others for one model after the other.
			id := modelID((i*play.experiment.Residents + slot) % play.experiment.Models)
			if slot == 0 {
				id = modelID(i % max(1, play.experiment.Classes[0].Busy))
			}
			eng.held[id], eng.disk[id] = true, true
		}
		play.announce(eng)
	}
	if play.experiment.Policy == PolicyPlanned {
		play.every(planInterval, play.plan)
	}
	play.every(beatInterval, func() {
		for i := range play.experiment.Engines {
			play.announce(play.engines[targetID(i)])
		}
	})
	for i := range play.experiment.Classes {
		play.nextArrival(&play.experiment.Classes[i])
	}
	for _, disruption := range play.experiment.Disruptions {
		play.after(disruption.At, func() { play.disrupt(disruption) })
	}
}

func (play *play) copiesOf(int) map[celerylanding.ModelID]bool {
	copies := make(map[celerylanding.ModelID]bool)
	for range play.experiment.Copies {
		copies[modelID(play.random.IntN(play.experiment.Models))] = true
	}
	return copies
}

func targetID(number int) celerylanding.TargetID {
	return celerylanding.TargetID(fmt.Sprintf("e%03d", number))
}

func (play *play) newEngine(number int, disk map[celerylanding.ModelID]bool) *modelEngine {
	play.lives++
	id := targetID(number)
	eng := &modelEngine{endpoint: celerylanding.Endpoint{Target: id, Incarnation: play.lives, Address: "10.0.0.1:1"},
		held: make(map[celerylanding.ModelID]bool), disk: disk}
	play.engines[id] = eng
	return eng
}

// announce tells the planner of an engine, and the routers after the feed's lag.
func (play *play) announce(eng *modelEngine) {
	if eng.isGone {
		return
	}
	play.planner.Observe(play.now, eng.announcement(), play.spec, true)
	play.push()
}

func (play *play) plan() {
	actions := play.planner.Step(play.now)
	for _, order := range actions.Orders {
		play.after(hop, func() { play.take(order) })
	}
	for _, endpoint := range actions.Inspections {
		play.after(2*hop, func() { play.inspect(endpoint) })
	}
	if len(play.planner.Changed()) > 0 {
		play.push()
	}
}

func (play *play) inspect(endpoint celerylanding.Endpoint) {
	eng := play.engines[endpoint.Target]
	if eng == nil || eng.isGone || eng.endpoint.Incarnation != endpoint.Incarnation {
		play.planner.HandleReport(play.now, endpoint, nil)
		return
	}
	play.planner.HandleReport(play.now, endpoint, &waking.Report{Incarnation: endpoint.Incarnation, Accepted: eng.accepted, Busy: eng.isBusy,
		Inventory: eng.announcement().Inventory})
}

// push brings the routers up to date, all changes of a while together.
func (play *play) push() {
	if play.pushing {
		return
	}
	play.pushing = true
	play.after(play.experiment.FeedLag, func() {
		play.pushing = false
		play.revision++
		reply := &feed.WatchReply{Leads: true, Term: 1, Revision: play.revision, Routers: 1}
		for i := range play.experiment.Engines {
			eng := play.engines[targetID(i)]
			reply.Targets = append(reply.Targets, feed.Target{ID: eng.endpoint.Target, Incarnation: eng.endpoint.Incarnation, Service: service,
				Address: eng.endpoint.Address, Domain: "d", Slots: play.experiment.Slots, Loaded: play.planner.LoadedModels(play.now, eng.endpoint.Target)})
		}
		if table := play.roster.Apply(play.now, reply); table != nil {
			play.table = table
		}
		play.retryWaits()
	})
}

func (play *play) nextArrival(class *Class) {
	pause := time.Duration(play.random.ExpFloat64() / class.PerSecond * float64(time.Second))
	play.after(pause, func() {
		play.result.class(class.Name).Asked++
		play.result.class(class.Name).Owed += class.Worth
		call := &visit{class: class, unit: feed.Unit{Model: play.chooseModel(class)}, arrived: play.now, deadline: play.now.Add(class.Patience)}
		play.planner.RecordUsage(play.now, "r", service, feed.Usage{Unit: call.unit, Arrivals: 1, Urgency: 1 / class.Aim.Seconds()})
		play.route(call)
		play.nextArrival(class)
	})
}

func (play *play) chooseModel(class *Class) celerylanding.ModelID {
	if class.Busy == 0 {
		return modelID(play.random.IntN(play.experiment.Models))
	}
	sum := 0.0
	for i := range class.Busy {
		sum += math.Pow(float64(i+1), -popularity)
	}
	draw := play.random.Float64() * sum
	for i := range class.Busy {
		if draw -= math.Pow(float64(i+1), -popularity); draw <= 0 {
			return modelID(i)
		}
	}
	return modelID(0)
}

// disrupt takes engines away and brings them, or others, back.
func (play *play) disrupt(disruption Disruption) {
	hit := int(disruption.Share * float64(play.experiment.Engines))
	for _, number := range play.random.Perm(play.experiment.Engines)[:hit] {
		eng := play.engines[targetID(number)]
		eng.isGone = true
		disk := eng.disk
		if disruption.For == 0 {
			disk = make(map[celerylanding.ModelID]bool)
		}
		play.after(max(disruption.For, time.Second), func() { play.announce(play.newEngine(number, disk)) })
	}
}
