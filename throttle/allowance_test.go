package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

const (
	tick        = 5 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	// loweredTime is the time after which a lowered limit binds.
	loweredTime = 3 * time.Second
)

// office plays the requests of one workspace at many routers, with calls to leaders that may be late, lost or unanswered.
type office struct {
	random    *rand.Rand
	now       time.Time
	bounds    throttle.AllowanceBounds
	workspace routing.Workspace
	routers   []*officeRouter
	// allocator is nil while there is no leader.
	allocator  *throttle.Allocator
	succession *throttle.Succession
	term       uint64
	// delay is the longest time of a message, and loss the part of the calls whose request or reply is lost.
	delay    time.Duration
	loss     float64
	patience time.Duration
	// unsent is the part of the admitted requests that end without being sent.
	unsent float64
	late   []lateCall
	// uses are the units that were used, and limits what may be used in a window, by tick.
	uses, limits              []float64
	wanted, used              float64
	requests, refused, cutOff int
	// waited counts the requests that could not be sent at once.
	waited int
	// bucket is the level of a bucket that all requests would share, and beyond counts those for which it has too little.
	bucket                     float64
	beyond                     int
	largeRequests, largeServed int
}

type officeRouter struct {
	reserve *throttle.Reserve
	// isCut is set while no message passes, frozenUntil while the VM stands still.
	isCut       bool
	frozenUntil time.Time
	call        *officeCall
	waiting     []officeCharge
	unsent      []officeCharge
	backlog     float64
	restarts    uint64
}

// officeCharge is a request that waits, or that has not been sent yet, until a time.
type officeCharge struct {
	*throttle.Charge
	until time.Time
}

type officeCall struct {
	args               *feed.AllowanceArgs
	sent, due, replyAt time.Time
	reply              *feed.AllowanceReply
}

// lateCall is a request that reaches the leader of that time after its router has given up.
type lateCall struct {
	due  time.Time
	args feed.AllowanceArgs
}

func newOffice(seed uint64, routers int, rate, burst float64, bounds throttle.AllowanceBounds) *office {
	office := &office{random: rand.New(rand.NewPCG(seed, 3)), now: start, bounds: bounds, succession: settled(), delay: 4 * time.Millisecond, patience: 400 * time.Millisecond,
		workspace: routing.Workspace{ID: "w", Allowance: routing.Allowance{Unit: routing.AllowanceTokens, Rate: rate, Burst: burst}}}
	for i := range routers {
		office.routers = append(office.routers, &officeRouter{reserve: throttle.NewReserve(celerylanding.NodeID(fmt.Sprintf("r%d", i)), 0)})
	}
	office.elect()
	return office
}

func (office *office) elect() {
	office.term++
	office.succession.Observe(office.now, office.term, 1)
	office.allocator = throttle.NewAllocator(office.term, office.bounds, office.succession)
	office.configure()
}

func (office *office) configure() {
	if office.allocator != nil {
		office.allocator.SetWorkspaces(office.now, []routing.Workspace{office.workspace})
	}
}

func (office *office) latency() time.Duration {
	return time.Duration(office.random.Int64N(int64(office.delay))) + time.Millisecond
}

// play sends requests of a number of units a second, to the first routers only, for a time.
func (office *office) play(length time.Duration, perSecond float64, routers int) {
	for end := office.now.Add(length); office.now.Before(end); office.now = office.now.Add(tick) {
		office.uses, office.limits = append(office.uses, 0), append(office.limits, office.limit())
		office.bucket = min(office.bucket+office.workspace.Allowance.Rate*tick.Seconds(), office.workspace.Allowance.Burst)
		office.deliverLate()
		for i, router := range office.routers {
			if office.now.Before(router.frozenUntil) {
				continue
			}
			office.exchange(router)
			office.giveUp(router)
			if i < routers {
				// Requests come in clumps: rarely, but then several at once.
				if office.random.Float64() < 0.05 {
					router.backlog += perSecond / float64(routers) * tick.Seconds() / 0.05 * 2 * office.random.Float64()
				}
				office.send(router)
			}
			office.ask(router)
		}
	}
}

// send lets the callers of a router send what has accumulated.
func (office *office) send(router *officeRouter) {
	for {
		cost := 200 + float64(office.random.IntN(900))
		if office.random.Float64() < 0.03 {
			cost = 4000 + float64(office.random.IntN(6000))
		}
		// The last request is sent with a probability, so that routers with few requests have some.
		if router.backlog < cost && office.random.Float64() >= router.backlog/cost {
			router.backlog = 0
			return
		}
		router.backlog -= cost
		office.wanted += cost
		office.requests++
		if office.bucket >= cost {
			office.bucket -= cost
		} else {
			office.beyond++
		}
		charge := router.reserve.Begin(office.now, &office.workspace, cost, office.patience)
		if charge.State() == throttle.ChargeWaiting {
			office.waited++
		}
		if cost >= 4000 {
			office.largeRequests++
		}
		router.waiting = append(router.waiting, officeCharge{charge, office.now.Add(office.patience)})
		office.settle(router)
		if router.backlog <= 0 {
			router.backlog = 0
			return
		}
	}
}

// settle records what has become of the charges of a router.
func (office *office) settle(router *officeRouter) {
	kept := router.waiting[:0]
	for _, charge := range router.waiting {
		switch charge.State() {
		case throttle.ChargeWaiting:
			kept = append(kept, charge)
		case throttle.ChargeRefused:
			office.refused++
			if charge.IsCutOff() {
				office.cutOff++
			}
		case throttle.ChargeAdmitted:
			if office.random.Float64() < office.unsent {
				charge.until = office.now.Add(time.Duration(office.random.Int64N(int64(4 * time.Second))))
				router.unsent = append(router.unsent, charge)
				continue
			}
			router.reserve.Use(charge.Charge)
			office.uses[len(office.uses)-1] += charge.Units()
			office.used += charge.Units()
			if charge.Units() >= 4000 {
				office.largeServed++
			}
		}
	}
	router.waiting = kept
}

func (office *office) giveUp(router *officeRouter) {
	for _, charge := range router.waiting {
		if office.now.After(charge.until) {
			router.reserve.GiveUp(office.now, charge.Charge)
		}
	}
	kept := router.unsent[:0]
	for _, charge := range router.unsent {
		if office.now.After(charge.until) {
			router.reserve.Return(office.now, charge.Charge)
		} else {
			kept = append(kept, charge)
		}
	}
	router.unsent = kept
	office.settle(router)
}

// ask sends a router's next call.
func (office *office) ask(router *officeRouter) {
	if router.call != nil {
		return
	}
	args, isDue := router.reserve.Ask(office.now)
	if !isDue {
		return
	}
	router.call = &officeCall{args: args, sent: office.now, due: office.now.Add(office.latency())}
	if router.isCut || office.random.Float64() < office.loss {
		// The request is lost, or reaches a leader only after the router has given up.
		router.call.due = time.Time{}
		if office.random.Float64() < 0.5 {
			office.late = append(office.late, lateCall{office.now.Add(callTimeout + time.Duration(office.random.Int64N(int64(4*time.Second)))), *args})
		}
	}
}

// exchange moves a router's call on.
func (office *office) exchange(router *officeRouter) {
	call := router.call
	if call == nil {
		return
	}
	if !call.due.IsZero() && call.reply == nil && !office.now.Before(call.due) && office.allocator != nil {
		reply := office.allocator.Grant(office.now, call.args)
		call.reply, call.replyAt = &reply, office.now.Add(office.latency())
		if office.random.Float64() < office.loss {
			call.replyAt = office.now.Add(time.Hour)
		}
	}
	switch {
	case call.reply != nil && !office.now.Before(call.replyAt):
		// A VM that stood still may take over a reply from long ago.
		router.call = nil
		router.reserve.HandleReply(office.now, call.sent, call.args, call.reply)
		office.settle(router)
	case office.now.Sub(call.sent) >= callTimeout:
		router.call = nil
		router.reserve.HandleFailure(office.now)
	}
}

func (office *office) deliverLate() {
	kept := office.late[:0]
	for _, call := range office.late {
		switch {
		case office.now.Before(call.due):
			kept = append(kept, call)
		case office.allocator != nil:
			office.allocator.Grant(office.now, &call.args)
		}
	}
	office.late = kept
}

// check checks each window against the limit at loweredTime before its begin, since limits only fall.
func (office *office) check(t assert.TestingT) {
	ticks, lowered := int(office.bounds.Window/tick), int(loweredTime/tick)
	sum := 0.0
	for i, units := range office.uses {
		sum += units
		if i >= ticks {
			sum -= office.uses[i-ticks]
		}
		limit := office.limits[max(0, i-ticks-lowered)]
		assert.Assert(t, sum <= limit, "%.0f units in the window that ends at tick %d, allowed %.0f", sum, i, limit)
	}
}

func (office *office) limit() float64 {
	allowance := office.workspace.Allowance
	return (allowance.Rate*office.bounds.Window.Seconds()+allowance.Burst)*(1+office.bounds.Overage) + office.bounds.Slack
}

func defaultBounds() throttle.AllowanceBounds {
	return throttle.AllowanceBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 72_000}
}

// TestAllowanceHoldsInEveryWindow guards against a workspace that gets more than its allowance over all routers, whatever is delayed, lost, cut off or
// stands still, and however often the leader changes.
func TestAllowanceHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{1, 2, 5, 27, 63, 118}).Draw(t, "routers")
		rate := rapid.SampledFrom([]float64{8_000, 29_000, 157_000}).Draw(t, "rate")
		bounds := defaultBounds()
		bounds.Slack = rapid.SampledFrom([]float64{0, 72_000, 110_000}).Draw(t, "slack")
		office := newOffice(rapid.Uint64().Draw(t, "seed"), routers, rate, rate, bounds)
		office.loss = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss")
		office.unsent = rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(t, "unsent")
		office.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 50 * time.Millisecond, 290 * time.Millisecond}).Draw(t, "delay")
		office.patience = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}).Draw(t, "patience")
		for range rapid.IntRange(2, 14).Draw(t, "phases") {
			office.disturb(t)
			if rapid.IntRange(0, 9).Draw(t, "lower") == 0 {
				office.workspace.Allowance.Rate /= 2
				office.workspace.Allowance.Burst /= 2
				office.configure()
			}
			length := time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond
			demand := rapid.SampledFrom([]float64{0, 0.3, 0.9, 3, 8}).Draw(t, "demand")
			office.play(length, demand*rate, rapid.IntRange(1, routers).Draw(t, "busy"))
		}
		office.check(t)
	})
}

// disturb changes the leader, cuts routers off or joins them, or lets some stand still.
func (office *office) disturb(t *rapid.T) {
	part := rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "part")
	switch rapid.SampledFrom([]string{"none", "elect", "lose", "cut", "join", "freeze", "restart"}).Draw(t, "fault") {
	case "elect":
		office.elect()
	case "lose":
		office.allocator = nil
	case "cut":
		for _, router := range office.routers {
			router.isCut = router.isCut || office.random.Float64() < part
		}
	case "join":
		for _, router := range office.routers {
			router.isCut = false
		}
	case "restart":
		for i, router := range office.routers {
			if office.random.Float64() < part {
				router.restarts++
				router.reserve = throttle.NewReserve(celerylanding.NodeID(fmt.Sprintf("r%d", i)), router.restarts)
				router.call, router.waiting, router.unsent = nil, nil, nil
			}
		}
	case "freeze":
		until := office.now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "frozen")) * time.Millisecond)
		for _, router := range office.routers {
			if office.random.Float64() < part {
				router.frozenUntil = until
			}
		}
	}
}

// TestUseWithinAnAllowanceIsNotRefused guards against refusals of a workspace that sends nine tenths of its rate in clumps, through few routers or
// through all.
func TestUseWithinAnAllowanceIsNotRefused(t *testing.T) {
	for _, routers := range []int{1, 7, 27, 63} {
		for _, rate := range []float64{29_000, 157_000} {
			for _, wave := range []float64{0, 0.35} {
				refused, requests, beyond := 0, 0, 0
				for seed := range uint64(8) {
					office := newOffice(seed, 63, rate, rate, defaultBounds())
					office.play(3*time.Second, 0, routers)
					for range 4 {
						office.play(2*time.Second, (0.9+wave)*rate, routers)
						office.play(2*time.Second, (0.9-wave)*rate, routers)
					}
					refused, requests, beyond = refused+office.refused, requests+office.requests, beyond+office.beyond
				}
				lost := float64(refused-beyond) / float64(requests)
				assert.Check(t, lost < 0.01, "%d routers, rate %.0f, waves of %.2f: %d of %d refused, %d beyond the allowance", routers, rate, wave,
					refused, requests, beyond)
			}
		}
	}
}

// TestSteadyWorkspaceSeldomWaits guards against routers that ask the leader for each request, and against a workspace that is refused as soon as the
// leader is lost.
func TestSteadyWorkspaceSeldomWaits(t *testing.T) {
	for _, routers := range []int{7, 27} {
		// Each router has two requests a second or more.
		for _, rate := range []float64{29_000 * float64(routers) / 7, 157_000} {
			waited, requests, cutOff, lost := 0, 0, 0, 0
			for seed := range uint64(8) {
				office := newOffice(seed, 27, rate, rate, defaultBounds())
				office.play(6*time.Second, 0.6*rate, routers)
				office.waited, office.requests = 0, 0
				office.play(6*time.Second, 0.6*rate, routers)
				waited, requests = waited+office.waited, requests+office.requests
				office.allocator, office.requests = nil, 0
				office.play(1200*time.Millisecond, 0.6*rate, routers)
				office.elect()
				office.play(600*time.Millisecond, 0.6*rate, routers)
				cutOff, lost = cutOff+office.cutOff, lost+office.requests
			}
			assert.Check(t, waited*20 < requests, "%d routers, rate %.0f: %d of %d wait", routers, rate, waited, requests)
			assert.Check(t, cutOff*10 < lost, "%d routers, rate %.0f: %d of %d refused without leader", routers, rate, cutOff, lost)
		}
	}
}

// TestHotWorkspaceGetsItsWholeAllowance guards against a workspace that sends far more than its rate, at few routers or at all, and gets less than the
// rate; and against its large requests starving.
func TestHotWorkspaceGetsItsWholeAllowance(t *testing.T) {
	for _, routers := range []int{1, 2, 27, 63} {
		for _, rate := range []float64{29_000, 157_000} {
			used, wanted, large, largeServed := 0.0, 0.0, 0, 0
			const seeds, length = 8, 12
			for seed := range uint64(seeds) {
				office := newOffice(seed, 63, rate, rate, defaultBounds())
				office.play(3*time.Second, 0.9*rate, 63)
				office.used, office.wanted, office.largeRequests, office.largeServed = 0, 0, 0, 0
				office.play(length*time.Second, 8*rate, routers)
				used, wanted = used+office.used, wanted+office.wanted
				large, largeServed = large+office.largeRequests, largeServed+office.largeServed
			}
			part, all := used/(seeds*length*rate), used/wanted
			assert.Check(t, part >= 0.9, "%d routers, rate %.0f: %.3f of the allowance is used", routers, rate, part)
			assert.Check(t, float64(largeServed) >= 0.5*all*float64(large), "%d routers, rate %.0f: %d of %d large requests are served, %.3f of all units",
				routers, rate, largeServed, large, all)
		}
	}
}

// BenchmarkCharge measures the charge of a request that finds enough units, with 16 workspaces.
func BenchmarkCharge(b *testing.B) {
	now := start
	reserve := throttle.NewReserve("r", 1)
	var workspaces []routing.Workspace
	for i := range 16 {
		workspaces = append(workspaces, routing.Workspace{ID: celerylanding.WorkspaceID(fmt.Sprintf("w%d", i)),
			Allowance: routing.Allowance{Unit: routing.AllowanceTokens, Rate: 1e9, Burst: 1e9}})
		reserve.Begin(now, &workspaces[i], 600, time.Second)
	}
	args, isDue := reserve.Ask(now)
	assert.Assert(b, isDue)
	reply := feed.AllowanceReply{Term: 1}
	for range 8 {
		for _, request := range args.Requests {
			reply.Grants = append(reply.Grants, feed.AllowanceGrant{Workspace: request.Workspace, Units: 1e12, TTL: time.Second})
		}
	}
	reserve.HandleReply(now, now, args, &reply)
	turn := 0
	for b.Loop() {
		turn++
		charge := reserve.Begin(now, &workspaces[turn%16], 600, time.Second)
		reserve.NeedsCall(now, charge)
		reserve.Use(charge)
	}
}

// BenchmarkGrant measures one call of a router for 16 workspaces at a leader that serves 63 routers.
func BenchmarkGrant(b *testing.B) {
	now := start
	allocator := throttle.NewAllocator(1, defaultBounds(), settled())
	var workspaces []routing.Workspace
	args := make([]feed.AllowanceArgs, 63)
	for i := range 16 {
		id := celerylanding.WorkspaceID(fmt.Sprintf("w%d", i))
		workspaces = append(workspaces, routing.Workspace{ID: id, Allowance: routing.Allowance{Rate: 29_000, Burst: 29_000}})
		for router := range args {
			args[router].Node, args[router].Term = celerylanding.NodeID(fmt.Sprintf("r%d", router)), 1
			args[router].Requests = append(args[router].Requests, feed.AllowanceRequest{Workspace: id, Wanted: 900, Needed: 600, Least: 600, Demand: 700})
		}
	}
	allocator.SetWorkspaces(now, workspaces)
	turn := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		router := turn % len(args)
		turn++
		args[router].Sequence++
		allocator.Grant(now, &args[router])
	}
}
