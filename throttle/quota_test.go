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
	bounds    throttle.QuotaBounds
	workspace routing.Workspace
	routers   []*officeRouter
	// allocator is nil while there is no leader.
	allocator *throttle.Allocator
	// leader is the allocator of the last leader, which may be gone, and changes the number of changes of the leader since one of them was settled.
	leader  *throttle.Allocator
	changes int
	term    uint64
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
	args               *feed.QuotaArgs
	sent, due, replyAt time.Time
	reply              *feed.QuotaReply
}

// lateCall is a request that reaches the leader of that time after its router has given up.
type lateCall struct {
	due  time.Time
	args feed.QuotaArgs
}

func newOffice(seed uint64, routers int, rate, burst float64, bounds throttle.QuotaBounds) *office {
	office := &office{random: rand.New(rand.NewPCG(seed, 3)), now: start, bounds: bounds, delay: 4 * time.Millisecond, patience: 400 * time.Millisecond,
		workspace: routing.Workspace{ID: "w", Quota: routing.Quota{Unit: routing.QuotaTokens, Rate: rate, Burst: burst}}}
	for i := range routers {
		office.routers = append(office.routers, &officeRouter{reserve: throttle.NewReserve(celerylanding.NodeID(fmt.Sprintf("r%d", i)), 0)})
	}
	office.elect()
	return office
}

func (office *office) elect() {
	office.term++
	office.changes++
	if office.leader != nil && office.leader.IsSettled(office.now) {
		office.changes = 1
	}
	office.allocator = throttle.NewAllocator(office.now, office.term, office.bounds, office.changes)
	office.leader = office.allocator
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
		office.bucket = min(office.bucket+office.workspace.Quota.Rate*tick.Seconds(), office.workspace.Quota.Burst)
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
	quota := office.workspace.Quota
	return (quota.Rate*office.bounds.Window.Seconds()+quota.Burst)*(1+office.bounds.Overage) + office.bounds.Slack
}

func defaultBounds() throttle.QuotaBounds {
	return throttle.QuotaBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 72_000}
}

// TestQuotaHoldsInEveryWindow guards against a workspace that gets more than its quota over all routers, whatever is delayed, lost, cut off or
// stands still, and however often the leader changes.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
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
				office.workspace.Quota.Rate /= 2
				office.workspace.Quota.Burst /= 2
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
