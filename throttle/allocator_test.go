package throttle_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// TestMain fixes the seed, so that every run tests the same schedules; -rapid.seed and -rapid.checks on the command line override it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// hoarders are routers that report truly what they hold, but ask for more than they need and use it when it hurts most.
type hoarders struct {
	random *rand.Rand
	now    time.Time
	bounds throttle.QuotaBounds
	quota  routing.Quota
	// listed are the workspaces of the configuration.
	listed    []routing.Workspace
	allocator *throttle.Allocator
	// leader is the allocator of the last leader, which may be gone.
	leader *throttle.Allocator
	term   uint64
	mode   hoarderMode
	// faults is 2 if requests may be late, lost or not sent, otherwise 0.
	faults int
	// changes is the number of changes of the leader since one of them was settled, as the log shows them.
	changes int
	routers []*hoarder
	// silent is the position of a router that holds what it has without a word, from 1.
	silent int
	// used are the units that were used, and limits what may be used in a window, by step.
	used, limits []float64
}

type hoarder struct {
	process, sequence, term uint64
	lots                    []hoard
	// delayed are requests that the leader has not received yet, although the router has given up on them.
	delayed []*feed.QuotaArgs
}

// hoarderMode is what all routers do for a time: nothing, hold what they get, or use it at once.
type hoarderMode int

const (
	idle hoarderMode = iota
	holding
	spending
)

type hoard struct {
	units   float64
	expires time.Time
	term    uint64
}

const hoardStep = 50 * time.Millisecond

func (world *hoarders) elect() {
	world.term++
	world.changes++
	if world.leader != nil && world.leader.IsSettled(world.now) && world.random.IntN(4) > 0 {
		// The former leader has recorded its term.
		world.changes = 1
	}
	world.allocator = throttle.NewAllocator(world.now, world.term, world.bounds, world.changes)
	world.leader = world.allocator
	world.configure()
}

func (world *hoarders) configure() {
	if world.allocator != nil {
		for i := range world.listed {
			world.listed[i].Quota = world.quota
		}
		world.allocator.SetWorkspaces(world.now, world.listed)
	}
}

func (router *hoarder) request(now time.Time, number int, units, returned float64) *feed.QuotaArgs {
	router.sequence++
	request := feed.QuotaRequest{Workspace: "w", Wanted: units, Needed: units, Demand: units}
	for i := range router.lots {
		if lot := &router.lots[i]; lot.term == router.term && now.Before(lot.expires) {
			back := min(returned, lot.units)
			lot.units -= back
			returned -= back
			request.Returned += back
			request.Held += lot.units
		}
	}
	return &feed.QuotaArgs{Node: celerylanding.NodeID(fmt.Sprint(number)), Process: router.process, Sequence: router.sequence, Term: router.term,
		Requests: []feed.QuotaRequest{request}}
}

// ask lets a router ask for units; the reply may be lost, or the request late.
func (world *hoarders) ask(number int) {
	router := world.routers[number]
	returned := 0.0
	if world.random.IntN(10) == 0 {
		returned = world.random.Float64() * 2 * world.quota.Rate
	}
	units := world.random.Float64() * 4 * world.quota.Rate
	args := router.request(world.now, number, units, returned)
	fate := []string{"answered", "answered", "answered", "answered", "answered", "answered", "lost", "delayed"}[world.random.IntN(6+world.faults)]
	if fate == "delayed" {
		router.delayed = append(router.delayed, args)
	}
	if fate == "delayed" || world.allocator == nil {
		return
	}
	reply := world.allocator.Grant(world.now, args)
	if fate == "lost" {
		return
	}
	router.term = reply.Term
	for _, grant := range reply.Grants {
		router.lots = append(router.lots, hoard{grant.Units, world.now.Add(grant.TTL), reply.Term})
	}
}

// use lets a router use what it holds.
func (world *hoarders) use(router *hoarder) {
	for _, lot := range router.lots {
		if world.now.Before(lot.expires) {
			world.used[len(world.used)-1] += lot.units
		}
	}
	router.lots = nil
}

// disturb changes the leader or the limit, takes the leader away for a while, or starts a router anew.
func (world *hoarders) disturb(t *rapid.T) {
	switch rapid.SampledFrom([]string{"none", "none", "elect", "lose", "lower", "restart", "remove"}).Draw(t, "event") {
	case "elect":
		// Several leaders may follow each other while the grants of the first are in use.
		world.mode = holding
		for range 1 + world.random.IntN(8) {
			world.elect()
			world.play(1 + world.random.IntN(6))
		}
		world.spend()
	case "lose":
		world.allocator = nil
		world.play(world.random.IntN(30))
		world.elect()
	case "remove":
		world.mode = holding
		listed := world.listed
		for range 1 + world.random.IntN(4) {
			world.silent = 1 + world.random.IntN(len(world.routers))
			world.listed = nil
			world.configure()
			world.play(world.random.IntN(4))
			world.listed = listed
			world.configure()
			world.play(world.random.IntN(12))
		}
		world.silent = 0
		world.spend()
	case "lower":
		world.quota.Rate, world.quota.Burst = world.quota.Rate/2, world.quota.Burst/2
		world.configure()
	case "restart":
		// A new process holds nothing.
		router := world.routers[world.random.IntN(len(world.routers))]
		*router = hoarder{process: router.process + 1, delayed: router.delayed}
	}
}

// spend lets all routers use what they get for longer than a window.
func (world *hoarders) spend() {
	world.mode = spending
	world.play(int(world.bounds.Window/hoardStep) + 10)
}

func (world *hoarders) play(steps int) {
	for range steps {
		world.step()
	}
}

// step plays one step.
func (world *hoarders) step() {
	world.now = world.now.Add(hoardStep)
	world.used = append(world.used, 0)
	world.limits = append(world.limits, (world.quota.Rate*world.bounds.Window.Seconds()+world.quota.Burst)*(1+world.bounds.Overage)+world.bounds.Slack)
	for number, router := range world.routers {
		if at := len(router.delayed) - 1; at >= 0 && world.allocator != nil && world.random.IntN(4) == 0 {
			world.allocator.Grant(world.now, router.delayed[at])
			router.delayed = router.delayed[:at]
		}
		if world.mode != idle && number+1 != world.silent && world.random.IntN(4) >= world.faults/2 {
			world.ask(number)
		}
		if world.mode == spending {
			world.use(router)
		}
	}
}

// TestGrantsStayWithinAnQuota guards against grants that add up to more than a quota, for routers that hold as much as they get: through
// any number of changes of the leader, lost replies, late requests, restarts, lowered limits and removed workspaces.
func TestGrantsStayWithinAnQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := &hoarders{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5)), now: start, listed: []routing.Workspace{{ID: "w"}},
			faults: rapid.SampledFrom([]int{0, 2}).Draw(t, "faults"),
			quota:  routing.Quota{Rate: 1000, Burst: rapid.SampledFrom([]float64{0, 300, 3000}).Draw(t, "burst")},
			bounds: throttle.QuotaBounds{Window: 4 * time.Second, Overage: 0.1, Slack: rapid.SampledFrom([]float64{0, 500, 2000}).Draw(t, "slack")}}
		for range rapid.IntRange(1, 3).Draw(t, "routers") {
			world.routers = append(world.routers, &hoarder{})
		}
		world.elect()
		for len(world.used) < 1000 {
			world.disturb(t)
			world.mode = hoarderMode(world.random.IntN(3))
			world.play(5 + world.random.IntN(120))
		}
		ticks, lowered := int(world.bounds.Window/hoardStep), int(loweredTime/hoardStep)
		sum := 0.0
		for i, units := range world.used {
			sum += units
			if i >= ticks {
				sum -= world.used[i-ticks]
			}
			limit := world.limits[max(0, i-ticks-lowered)]
			assert.Assert(t, sum <= limit, "%.0f units in the window that ends at step %d, allowed %.0f", sum, i, limit)
		}
	})
}

// TestLateReplyGrantsNothing guards against units that a router uses after its grant has expired, because its VM stood still or the reply was slow.
func TestLateReplyGrantsNothing(t *testing.T) {
	workspace := &routing.Workspace{ID: "w", Quota: routing.Quota{Rate: 1000, Burst: 1000}}
	reserve := throttle.NewReserve("r", 1)
	charge := reserve.Begin(start, workspace, 1, time.Hour)
	args, isDue := reserve.Ask(start)
	assert.Assert(t, isDue)
	reply := &feed.QuotaReply{Term: 1, Grants: []feed.QuotaGrant{{Workspace: "w", Units: 100, TTL: time.Second}}}
	assert.Equal(t, len(reserve.HandleReply(start.Add(1100*time.Millisecond), start, args, reply)), 0)
	assert.Equal(t, charge.State(), throttle.ChargeWaiting)

	args, isDue = reserve.Ask(start.Add(1200 * time.Millisecond))
	assert.Assert(t, isDue)
	admitted := reserve.HandleReply(start.Add(1300*time.Millisecond), start.Add(1200*time.Millisecond), args, reply)
	assert.Equal(t, len(admitted), 1)
	late := reserve.Begin(start.Add(2300*time.Millisecond), workspace, 1, time.Hour)
	assert.Equal(t, late.State(), throttle.ChargeWaiting, "the grant expires a second after the router has sent its request")
}

// TestReportCountsWhatMayStillBeUsed guards against a report that lacks units of requests that were not sent yet, which the leader would grant again.
func TestReportCountsWhatMayStillBeUsed(t *testing.T) {
	workspace := &routing.Workspace{ID: "w", Quota: routing.Quota{Rate: 1000, Burst: 1000}}
	reserve := throttle.NewReserve("r", 1)
	now := start
	exchange := func(units float64) feed.QuotaRequest {
		now = now.Add(200 * time.Millisecond)
		args, isDue := reserve.Ask(now)
		assert.Assert(t, isDue)
		reserve.HandleReply(now, now, args, &feed.QuotaReply{Term: 1,
			Grants: []feed.QuotaGrant{{Workspace: "w", Units: units, TTL: 2 * time.Second}}})
		return args.Requests[0]
	}
	first, second, third := reserve.Begin(now, workspace, 40, time.Hour), reserve.Begin(now, workspace, 40, time.Hour), reserve.Begin(now, workspace, 40, time.Hour)
	assert.Equal(t, exchange(100).Held, 0.0)
	assert.Equal(t, first.State(), throttle.ChargeAdmitted)
	assert.Equal(t, second.State(), throttle.ChargeAdmitted)
	assert.Equal(t, third.State(), throttle.ChargeWaiting)
	reserve.Use(first)
	request := exchange(0)
	assert.Equal(t, request.Held, 60.0, "20 are held, and 40 are charged to a request that was not sent")
	assert.Equal(t, request.Least, 20.0)

	assert.Equal(t, len(reserve.Return(now, second)), 1, "the third request uses what the second returns")
	assert.Equal(t, len(reserve.Return(now, second)), 0)
	reserve.Use(third)
	assert.Equal(t, len(reserve.Return(now, third)), 0)
	reserve.Begin(now, workspace, 1000, time.Hour)
	assert.Equal(t, exchange(0).Held, 20.0, "a returned charge counts once, and a sent one not at all")
}

// TestLoweredQuotaBindsRouters guards against a router that goes on with what it was granted of a higher quota.
func TestLoweredQuotaBindsRouters(t *testing.T) {
	workspace := &routing.Workspace{ID: "w", Quota: routing.Quota{Rate: 1000, Burst: 1000}}
	reserve := throttle.NewReserve("r", 1)
	reserve.Begin(start, workspace, 100, time.Hour)
	args, _ := reserve.Ask(start)
	reserve.HandleReply(start, start, args, &feed.QuotaReply{Term: 1, Grants: []feed.QuotaGrant{{Workspace: "w", Units: 1100, TTL: time.Second}}})
	lowered := &routing.Workspace{ID: "w", Quota: routing.Quota{Rate: 100, Burst: 100}}
	assert.Equal(t, reserve.Begin(start, lowered, 90, time.Hour).State(), throttle.ChargeAdmitted)
	assert.Equal(t, reserve.Begin(start, lowered, 20, time.Hour).State(), throttle.ChargeWaiting)
	requests := &routing.Workspace{ID: "w", Quota: routing.Quota{Unit: routing.QuotaTokens, Rate: 1000, Burst: 1000}}
	assert.Equal(t, reserve.Begin(start, requests, 1, time.Hour).State(), throttle.ChargeWaiting, "units of another kind are dropped")
}
