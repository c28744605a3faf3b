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

// happening is something that takes place at a time.
type happening struct {
	at  time.Time
	run func(now time.Time)
}

// agenda is a heap of happenings.
type agenda []happening

func (agenda agenda) Len() int           { return len(agenda) }
func (agenda agenda) Less(i, j int) bool { return agenda[i].at.Before(agenda[j].at) }
func (agenda agenda) Swap(i, j int)      { agenda[i], agenda[j] = agenda[j], agenda[i] }

// Push adds a happening.
func (agenda *agenda) Push(next any) { *agenda = append(*agenda, next.(happening)) }

// Pop removes the last one.
func (agenda *agenda) Pop() any {
	last := (*agenda)[len(*agenda)-1]
	*agenda = (*agenda)[:len(*agenda)-1]
	return last
}

// workload plays the same seeded calls against targets of different speed.
type workload struct {
	agenda  agenda
	random  *rand.Rand
	busy    [compareTargets]int
	waiting [compareTargets][]func(now time.Time)
	times   []time.Duration
	refused int
}

func (load *workload) after(now time.Time, delay time.Duration, run func(now time.Time)) {
	heap.Push(&load.agenda, happening{now.Add(delay), run})
}

// serve runs a call on a target, behind those that wait there already.
func (load *workload) serve(now time.Time, target int, work time.Duration, ended func(now time.Time)) {
	if target == 0 {
		work *= 3
	}
	begin := func(now time.Time) {
		load.busy[target]++
		load.after(now, work, func(now time.Time) {
			load.busy[target]--
			ended(now)
			if next := load.waiting[target]; len(next) > 0 && load.busy[target] < compareSlots {
				load.waiting[target] = next[1:]
				next[0](now)
			}
		})
	}
	if load.busy[target] < compareSlots {
		begin(now)
		return
	}
	load.waiting[target] = append(load.waiting[target], begin)
}

// play lets two routers dispatch the calls; dispatch gets the router, the work and what to do at the end.
func play(share float64, dispatch func(load *workload) func(now time.Time, from int, work time.Duration, ended func(now time.Time, ok bool))) *workload {
	load := &workload{random: rand.New(rand.NewPCG(7, 7))}
	send := dispatch(load)
	now := start
	// Five targets at full speed and one at a third carry this rate at full load.
	rate := share * (5 + 1.0/3) * compareSlots / 0.1
	for i := range compareCalls {
		now = now.Add(time.Duration(load.random.ExpFloat64() / rate * float64(time.Second)))
		work := time.Duration((0.5 + load.random.ExpFloat64()*0.5) * float64(100*time.Millisecond))
		load.after(now, 0, func(at time.Time) {
			send(at, i%2, work, func(now time.Time, ok bool) {
				switch {
				case i < compareWarmUp:
				case ok:
					load.times = append(load.times, now.Sub(at))
				default:
					load.refused++
				}
			})
		})
	}
	for load.agenda.Len() > 0 {
		next := heap.Pop(&load.agenda).(happening)
		next.run(next.at)
	}
	slices.Sort(load.times)
	return load
}

func (load *workload) quantile(share float64) time.Duration {
	return load.times[int(share*float64(len(load.times)-1))].Round(time.Millisecond)
}

// byChoice sends each call to the target that the function names.
func byChoice(choose func(random *rand.Rand, call int) int) func(load *workload) func(time.Time, int, time.Duration, func(time.Time, bool)) {
	return func(load *workload) func(time.Time, int, time.Duration, func(time.Time, bool)) {
		random, call := rand.New(rand.NewPCG(9, 9)), 0
		return func(now time.Time, _ int, work time.Duration, ended func(time.Time, bool)) {
			call++
			load.serve(now, choose(random, call), work, func(now time.Time) { ended(now, true) })
		}
	}
}

// byScheduler sends the calls through two schedulers that see each other by lagging reports only.
func byScheduler(t *testing.T) func(load *workload) func(time.Time, int, time.Duration, func(time.Time, bool)) {
	return func(load *workload) func(time.Time, int, time.Duration, func(time.Time, bool)) {
		intended := settings(t, 1000)
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
					ReportedLoad: load.busy[target] + len(load.waiting[target]),
					Endpoint:     celerylanding.Endpoint{Target: celerylanding.TargetID(fmt.Sprint(target)), Incarnation: 1}})
			}
			for from, scheduler := range schedulers {
				deliver(now, from, scheduler.Update(now, view(intended, routes...)))
			}
		}
		publish(start, 1)
		for i := range 1000 {
			load.after(start, time.Duration(i+1)*reportEvery, func(now time.Time) { publish(now, uint64(i)+2) })
		}
		return func(now time.Time, from int, work time.Duration, ended func(time.Time, bool)) {
			ticket, grant, err := schedulers[from].Admit(now, router.Request{Model: "m@v", Deadline: now.Add(callDeadline)})
			if err != nil {
				ended(now, false)
				return
			}
			run := func(now time.Time, grant router.Grant) {
				var target int
				_, _ = fmt.Sscan(string(grant.Endpoint.Target), &target)
				load.serve(now, target, work, func(now time.Time) {
					ended(now, true)
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

// TestChoiceAgainstRandomAndRoundRobin compares the choices on the same seeded calls, with one target three times slower.
func TestChoiceAgainstRandomAndRoundRobin(t *testing.T) {
	for _, share := range []float64{0.3, 0.5, 0.8} {
		rows := []struct {
			name string
			load *workload
		}{
			{"two choices", play(share, byScheduler(t))},
			{"random", play(share, byChoice(func(random *rand.Rand, _ int) int { return random.IntN(compareTargets) }))},
			{"round robin", play(share, byChoice(func(_ *rand.Rand, call int) int { return call % compareTargets }))},
		}
		for _, row := range rows {
			t.Logf("load %.0f %%, %-12s p50 %v, p99 %v, refused %.2f %%", share*100, row.name, row.load.quantile(0.5), row.load.quantile(0.99),
				100*float64(row.load.refused)/float64(compareCalls-compareWarmUp))
		}
		ours := rows[0].load
		for _, other := range rows[1:] {
			assert.Assert(t, ours.quantile(0.99) < other.load.quantile(0.99), "at load %.1f the p99 is better than with %s", share, other.name)
		}
	}
}
