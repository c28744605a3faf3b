package router_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/router"
)

const (
	compareTargets = 6
	compareSlots   = 4
	compareCalls   = 20_000
	compareWarmUp  = 1_000
	reportEvery    = 500 * time.Millisecond
	callDeadline   = 10 * time.Second
)

// event is a function to run at a simulated time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(i, j int) bool { return queue[i].at.Before(queue[j].at) }
func (queue eventQueue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }

// Push appends an event; it implements heap.Interface.
func (queue *eventQueue) Push(next any) { *queue = append(*queue, next.(event)) }

// Pop removes the last event; it implements heap.Interface.
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// simulation runs the same seeded calls against targets of different speed.
type simulation struct {
	events    eventQueue
	random    *rand.Rand
	busy      [compareTargets]int
	waiting   [compareTargets][]func(now time.Time)
	latencies []time.Duration
	refused   int
}

func (sim *simulation) schedule(now time.Time, delay time.Duration, run func(now time.Time)) {
	heap.Push(&sim.events, event{now.Add(delay), run})
}

// serve runs a call on a target once one of its slots is free. Target 0 takes three times as long as the others.
func (sim *simulation) serve(now time.Time, target int, work time.Duration, done func(now time.Time)) {
	if target == 0 {
		work *= 3
	}
	begin := func(now time.Time) {
		sim.busy[target]++
		sim.schedule(now, work, func(now time.Time) {
			sim.busy[target]--
			done(now)
			if next := sim.waiting[target]; len(next) > 0 && sim.busy[target] < compareSlots {
				sim.waiting[target] = next[1:]
				next[0](now)
			}
		})
	}
	if sim.busy[target] < compareSlots {
		begin(now)
		return
	}
	sim.waiting[target] = append(sim.waiting[target], begin)
}

// simulate sends the calls through two routers in turn at the given share of the full load. dispatch returns the function
// that sends one call; its arguments are the current time, the router's index, the service time and the callback for the end of the call.
func simulate(share float64, dispatch func(sim *simulation) func(now time.Time, from int, work time.Duration, done func(now time.Time, ok bool))) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(7, 7))}
	send := dispatch(sim)
	now := start
	// Full load is the capacity of five targets at full speed and one at a third of it.
	rate := share * (5 + 1.0/3) * compareSlots / 0.1
	for i := range compareCalls {
		now = now.Add(time.Duration(sim.random.ExpFloat64() / rate * float64(time.Second)))
		work := time.Duration((0.5 + sim.random.ExpFloat64()*0.5) * float64(100*time.Millisecond))
		sim.schedule(now, 0, func(at time.Time) {
			send(at, i%2, work, func(now time.Time, ok bool) {
				switch {
				case i < compareWarmUp:
				case ok:
					sim.latencies = append(sim.latencies, now.Sub(at))
				default:
					sim.refused++
				}
			})
		})
	}
	for sim.events.Len() > 0 {
		next := heap.Pop(&sim.events).(event)
		next.run(next.at)
	}
	slices.Sort(sim.latencies)
	return sim
}

func (sim *simulation) quantile(share float64) time.Duration {
	return sim.latencies[int(share*float64(len(sim.latencies)-1))].Round(time.Millisecond)
}

// dispatchByChoice sends each call to the target that choose returns.
func dispatchByChoice(choose func(random *rand.Rand, call int) int) func(sim *simulation) func(time.Time, int, time.Duration, func(time.Time, bool)) {
	return func(sim *simulation) func(time.Time, int, time.Duration, func(time.Time, bool)) {
		random, call := rand.New(rand.NewPCG(9, 9)), 0
		return func(now time.Time, _ int, work time.Duration, done func(time.Time, bool)) {
			call++
			sim.serve(now, choose(random, call), work, func(now time.Time) { done(now, true) })
		}
	}
}

// dispatchByScheduler sends the calls through two schedulers that observe each other's calls only through delayed load reports.
func dispatchByScheduler(t *testing.T) func(sim *simulation) func(time.Time, int, time.Duration, func(time.Time, bool)) {
	return func(sim *simulation) func(time.Time, int, time.Duration, func(time.Time, bool)) {
		parsed := parseConfig(t, 1000)
		var schedulers []*router.Scheduler
		waiting := make([]map[router.Ticket]func(now time.Time, grant router.Grant), 2)
		for i := range 2 {
			schedulers = append(schedulers, router.NewScheduler("d0", rand.New(rand.NewPCG(uint64(i), 1))))
			waiting[i] = make(map[router.Ticket]func(time.Time, router.Grant))
		}
		deliver := func(now time.Time, from int, grants []router.Grant) {
			for _, grant := range grants {
				run := waiting[from][grant.Ticket]
				delete(waiting[from], grant.Ticket)
				run(now, grant)
			}
		}
		publish := func(now time.Time, sequence uint64) {
			var routes []router.Route
			for target := range compareTargets {
				routes = append(routes, router.Route{Domain: "d0", Slots: compareSlots, Sequence: sequence,
					ReportedLoad: sim.busy[target] + len(sim.waiting[target]),
					Endpoint:     celerylanding.Endpoint{Target: celerylanding.TargetID(fmt.Sprint(target)), Incarnation: 1}})
			}
			for from, scheduler := range schedulers {
				deliver(now, from, scheduler.Update(now, view(parsed, routes...)))
			}
		}
		publish(start, 1)
		for i := range 1000 {
			sim.schedule(start, time.Duration(i+1)*reportEvery, func(now time.Time) { publish(now, uint64(i)+2) })
		}
		return func(now time.Time, from int, work time.Duration, done func(time.Time, bool)) {
			ticket, grant, err := schedulers[from].Admit(now, router.Request{Model: "m@v", Deadline: now.Add(callDeadline)})
			if err != nil {
				done(now, false)
				return
			}
			run := func(now time.Time, grant router.Grant) {
				var target int
				_, _ = fmt.Sscan(string(grant.Endpoint.Target), &target)
				sim.serve(now, target, work, func(now time.Time) {
					done(now, true)
					deliver(now, from, schedulers[from].Finish(now, grant.Ticket, router.OutcomeAnswered))
				})
			}
			if grant != nil {
				run(now, *grant)
				return
			}
			waiting[from][ticket] = run
		}
	}
}

// TestChoiceAgainstRandomAndRoundRobin guards against a load balancer whose p99 latency is no better than that of random or round-robin
// choice. All three get the same seeded calls; one of the six targets is three times slower.
func TestChoiceAgainstRandomAndRoundRobin(t *testing.T) {
	for _, share := range []float64{0.3, 0.5, 0.8} {
		rows := []struct {
			name string
			sim  *simulation
		}{
			{"two choices", simulate(share, dispatchByScheduler(t))},
			{"random", simulate(share, dispatchByChoice(func(random *rand.Rand, _ int) int { return random.IntN(compareTargets) }))},
			{"round robin", simulate(share, dispatchByChoice(func(_ *rand.Rand, call int) int { return call % compareTargets }))},
		}
		for _, row := range rows {
			t.Logf("load %.0f %%, %-12s p50 %v, p99 %v, refused %.2f %%", share*100, row.name, row.sim.quantile(0.5), row.sim.quantile(0.99),
				100*float64(row.sim.refused)/float64(compareCalls-compareWarmUp))
		}
		scheduled := rows[0].sim
		for _, other := range rows[1:] {
			assert.Assert(t, scheduled.quantile(0.99) < other.sim.quantile(0.99), "at load %.1f the p99 must be lower than with %s", share, other.name)
		}
	}
}
