package dispatch_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/throttle"
)

const (
	// brittleFrom is when targets begin to say that they are brittle; shrinkDelay later their waiting rooms shrink and too many rejections end them.
	brittleFrom = 3 * time.Second
	brittleTo   = 16 * time.Second
	shrinkDelay = 3 * time.Second
	siteEnd     = 18 * time.Second
	fallTime    = 4 * time.Second
	hopTime     = 2 * time.Millisecond
	maxTries    = 3
)

// brittleSite is a stand-in for the routers, the leader and the targets of one service, without I/O.
type brittleSite struct {
	routers, targets, slots, queue, shrunkQueue, tolerance int
	// demand is the number of requests a second before surgeAt, after which it is surge times as high.
	demand, surge float64
	surgeAt       time.Duration
	service       time.Duration
	// feedTime is the time between a router's reports, and the time that figures take through the leader.
	feedTime time.Duration
	// silentLoad makes targets omit their load.
	silentLoad bool

	now     time.Time
	random  *rand.Rand
	events  events
	order   int
	pickers []*dispatch.Picker
	budgets []*dispatch.RetryBudget
	rosters []*dispatch.Roster
	tables  []*dispatch.Table
	fleet   []*brittleTarget
	tally   *throttle.Tally
	loads   map[celerylanding.TargetID]feed.TargetReport
	loadsAt map[celerylanding.TargetID]time.Time

	sent, rejected, served, servedBrittle, refused, falls int
}

// brittleTarget is a target that runs slots requests, lets some wait and crashes when it turns too many away.
type brittleTarget struct {
	listed     feed.Target
	running    int
	waiting    []*siteRequest
	all        []*siteRequest
	rejections []time.Time
	downUntil  time.Time
	falls      int
}

type siteRequest struct {
	router      int
	arrived     time.Time
	sentAt      time.Time
	tries       int
	sends       int
	chosen      dispatch.Choice
	excluded    []celerylanding.TargetID
	wasRejected bool
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (list events) Len() int { return len(list) }
func (list events) Less(i, j int) bool {
	return list[i].at.Before(list[j].at) || (list[i].at.Equal(list[j].at) && list[i].order < list[j].order)
}
func (list events) Swap(i, j int) { list[i], list[j] = list[j], list[i] }
func (list *events) Push(x any)   { *list = append(*list, x.(event)) }
func (list *events) Pop() any {
	last := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	return last
}

func (site *brittleSite) after(delay time.Duration, run func()) {
	site.order++
	heap.Push(&site.events, event{site.now.Add(delay), site.order, run})
}

func (site *brittleSite) play(seed uint64) {
	site.random = rand.New(rand.NewPCG(seed, 1))
	site.now, site.tally = start, throttle.NewTally()
	site.loads, site.loadsAt = make(map[celerylanding.TargetID]feed.TargetReport), make(map[celerylanding.TargetID]time.Time)
	for number := range site.targets {
		listed := target(fmt.Sprintf("t%02d", number), 1)
		listed.Slots = site.slots
		site.fleet = append(site.fleet, &brittleTarget{listed: listed})
	}
	for number := range site.routers {
		site.pickers = append(site.pickers, dispatch.NewPicker(celerylanding.NodeID(fmt.Sprintf("r%d", number)), "d1"))
		site.budgets = append(site.budgets, dispatch.NewRetryBudget(dispatch.RetryBudgetSettings{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}))
		site.rosters = append(site.rosters, dispatch.NewRoster())
		site.tables = append(site.tables, nil)
		site.list(number)
		site.after(time.Duration(site.random.Float64()*float64(site.feedTime)), func() { site.report(number) })
	}
	site.after(0, site.arrive)
	for end := start.Add(siteEnd); len(site.events) > 0; {
		next := heap.Pop(&site.events).(event)
		if next.at.After(end) {
			return
		}
		site.now = next.at
		next.run()
	}
}

func (site *brittleSite) isBrittle(from time.Duration) bool {
	since := site.now.Sub(start)
	return since >= brittleFrom+from && since < brittleTo
}

// list gives a router the newest targets.
func (site *brittleSite) list(router int) {
	var targets []feed.Target
	for _, tgt := range site.fleet {
		targets = append(targets, tgt.listed)
	}
	site.order++
	message := reply(1, uint64(site.order), targets...)
	message.Routers = site.routers
	table := site.rosters[router].Apply(site.now, message)
	// The table's order differs from run to run.
	slices.SortFunc(table.Targets("s"), func(a, b *feed.Target) int { return cmp.Compare(a.ID, b.ID) })
	site.tables[router] = table
}

// report sends a router's reports to the leader, whose figures arrive later.
func (site *brittleSite) report(router int) {
	picker := site.pickers[router]
	brittle, loads, at := picker.BrittleReports(site.now), picker.LoadReports(site.now), site.now
	site.after(site.feedTime/2, func() {
		for _, report := range brittle {
			report.Age += site.now.Sub(at)
			site.tally.Add(site.now, report)
		}
		for _, report := range loads {
			if made := at.Add(-report.Age); report.Slots > 0 && made.After(site.loadsAt[report.Target]) {
				site.loads[report.Target], site.loadsAt[report.Target] = report, made
			}
		}
		list := site.tally.Brittle(site.now)
		var news []feed.TargetReport
		for _, id := range slices.Sorted(maps.Keys(site.loads)) {
			report := site.loads[id]
			report.Age = site.now.Sub(site.loadsAt[id])
			news = append(news, report)
		}
		answered := site.now
		site.after(site.feedTime/2, func() {
			site.list(router)
			picker.SetBrittle(site.now, list)
			for i := range news {
				news[i].Age += site.now.Sub(answered)
			}
			picker.ApplyLoadReports(site.now, site.tables[router], news)
		})
	})
	site.after(site.feedTime, func() { site.report(router) })
}

// arrive lets a request of a client arrive at one of the routers, which get uneven shares.
func (site *brittleSite) arrive() {
	demand := site.demand
	if site.now.Sub(start) >= site.surgeAt {
		demand *= site.surge
	}
	router := int(math.Pow(site.random.Float64(), 1.5) * float64(site.routers))
	site.serve(&siteRequest{router: router, arrived: site.now})
	site.after(time.Duration(site.random.ExpFloat64()/demand*float64(time.Second)), site.arrive)
}

// serve tries targets as a router does, until one takes the request.
func (site *brittleSite) serve(request *siteRequest) {
	picker, table := site.pickers[request.router], site.tables[request.router]
	needs := dispatch.Requirements{Service: "s", Slack: max(0, time.Second-site.now.Sub(request.arrived)), PromptTokens: 100, OutputTokens: 20,
		Chance: site.random.Float64(), Excluded: request.excluded, WasRejected: request.wasRejected}
	if request.sends >= 4 {
		site.refuse(request, 400*time.Millisecond)
		return
	}
	choice, _ := picker.Choose(site.now, table, needs)
	if choice.Target == nil {
		throttled := picker.Throttled(site.now, table, needs)
		switch {
		case len(throttled.Targets) == 0:
			site.refuse(request, 400*time.Millisecond)
		case site.now.Sub(request.arrived) <= 350*time.Millisecond:
			site.after(250*time.Millisecond, func() { site.serve(request) })
		default:
			site.refuse(request, throttled.RetryDelay+time.Duration(site.random.Float64()*float64(throttled.Spread)))
		}
		return
	}
	if request.sends > 0 && !site.budgets[request.router].TakeRetry(site.now, "s", site.routers) {
		picker.Done(site.now, choice.Target, dispatch.ResultCanceled)
		site.refuse(request, 400*time.Millisecond)
		return
	}
	site.budgets[request.router].CountRequest(site.now, "s")
	request.chosen, request.sentAt = choice, site.now
	site.after(hopTime, func() { site.deliver(request) })
}

// refuse lets the client return after a delay, at any router; one in five doesn't wait.
func (site *brittleSite) refuse(request *siteRequest, delay time.Duration) {
	site.refused++
	if request.tries+1 >= maxTries {
		return
	}
	if site.random.IntN(5) == 0 {
		delay = 50 * time.Millisecond
	}
	site.after(delay, func() {
		site.serve(&siteRequest{router: site.random.IntN(site.routers), arrived: site.now, tries: request.tries + 1})
	})
}

func (site *brittleSite) targetOf(request *siteRequest) *brittleTarget {
	for _, tgt := range site.fleet {
		if tgt.listed.ID == request.chosen.Target.ID && tgt.listed.Incarnation == request.chosen.Target.Incarnation && !site.now.Before(tgt.downUntil) {
			return tgt
		}
	}
	return nil
}

func (site *brittleSite) deliver(request *siteRequest) {
	tgt := site.targetOf(request)
	if tgt == nil {
		site.pickers[request.router].Done(site.now, request.chosen.Target, dispatch.ResultUnreachable)
		request.excluded = append(request.excluded, request.chosen.Target.ID)
		site.serve(request)
		return
	}
	site.sent++
	queue := site.queue
	if site.isBrittle(shrinkDelay) {
		queue = site.shrunkQueue
	}
	switch {
	case tgt.running < site.slots:
		tgt.all = append(tgt.all, request)
		site.begin(tgt, request)
	case len(tgt.waiting) < queue:
		tgt.waiting = append(tgt.waiting, request)
		tgt.all = append(tgt.all, request)
	default:
		site.reject(tgt, request)
	}
}

func (site *brittleSite) begin(tgt *brittleTarget, request *siteRequest) {
	tgt.running++
	incarnation := tgt.listed.Incarnation
	site.after(time.Duration((0.5+site.random.ExpFloat64()/2)*float64(site.service)), func() {
		if tgt.listed.Incarnation != incarnation {
			return
		}
		tgt.running--
		tgt.all = slices.DeleteFunc(tgt.all, func(other *siteRequest) bool { return other == request })
		if len(tgt.waiting) > 0 {
			next := tgt.waiting[0]
			tgt.waiting = tgt.waiting[1:]
			site.begin(tgt, next)
		}
		site.served++
		if site.isBrittle(shrinkDelay) {
			site.servedBrittle++
		}
		site.pickers[request.router].RecordFirstByte(site.now, request.chosen.Target, site.now.Sub(request.sentAt), request.chosen.Outlook)
		site.answer(tgt, request)
		site.pickers[request.router].Done(site.now, request.chosen.Target, dispatch.ResultAnswered)
	})
}

// answer records what each answer says.
func (site *brittleSite) answer(tgt *brittleTarget, request *siteRequest) {
	picker := site.pickers[request.router]
	if !site.silentLoad {
		picker.UpdateLoad(site.now, request.chosen.Target, celerylanding.TargetLoad{Running: tgt.running, Waiting: len(tgt.waiting)}, site.slots)
	}
	picker.RecordBrittle(site.now, request.chosen.Target, site.tolerance, site.isBrittle(0))
}

func (site *brittleSite) reject(tgt *brittleTarget, request *siteRequest) {
	site.rejected++
	picker := site.pickers[request.router]
	site.answer(tgt, request)
	request.wasRejected = picker.RecordRejection(site.now, request.chosen.Target, site.routers) || request.wasRejected
	picker.Done(site.now, request.chosen.Target, dispatch.ResultRefused)
	request.sends++
	request.excluded = append(request.excluded, request.chosen.Target.ID)
	site.after(hopTime, func() { site.serve(request) })
	tgt.rejections = append(tgt.rejections, site.now)
	for site.now.Sub(tgt.rejections[0]) > time.Second {
		tgt.rejections = tgt.rejections[1:]
	}
	if site.isBrittle(shrinkDelay) && len(tgt.rejections) > site.tolerance {
		site.fall(tgt)
	}
}

// fall ends a target with its requests; it is back as another incarnation.
func (site *brittleSite) fall(tgt *brittleTarget) {
	site.falls++
	tgt.falls++
	ended := tgt.all
	tgt.running, tgt.waiting, tgt.all, tgt.rejections = 0, nil, nil, nil
	for _, request := range ended {
		site.pickers[request.router].Done(site.now, request.chosen.Target, dispatch.ResultFailed)
	}
	tgt.downUntil = site.now.Add(fallTime)
	tgt.listed.Incarnation++
}

var brittleSeed = flag.Uint64("brittle.seed", 1, "seed of the stand-in for brittle targets")

// TestBrittleTargetsDontFallOneAfterTheOther guards against routers that together turn the rejections of brittle targets into more rejections.
func TestBrittleTargetsDontFallOneAfterTheOther(t *testing.T) {
	sites := map[string]brittleSite{
		"small": {routers: 5, targets: 4, slots: 6, queue: 24, shrunkQueue: 2, tolerance: 4,
			demand: 60, surge: 4, service: 100 * time.Millisecond, feedTime: 200 * time.Millisecond},
		"no waiting room": {routers: 5, targets: 4, slots: 6, queue: 24, tolerance: 4,
			demand: 200, surge: 2, service: 100 * time.Millisecond, feedTime: 200 * time.Millisecond},
		"fragile": {routers: 5, targets: 4, slots: 6, queue: 24, shrunkQueue: 1, tolerance: 2,
			demand: 150, surge: 3, service: 100 * time.Millisecond, feedTime: 200 * time.Millisecond},
		"engines": {routers: 5, targets: 12, slots: 64, queue: 192, shrunkQueue: 8, tolerance: 6,
			demand: 150, surge: 2, service: 4 * time.Second, feedTime: 200 * time.Millisecond},
		"few requests": {routers: 20, targets: 10, slots: 2, queue: 10, shrunkQueue: 0, tolerance: 3,
			demand: 10, surge: 4, service: time.Second, feedTime: 200 * time.Millisecond},
		"large": {routers: 118, targets: 15, slots: 8, queue: 32, shrunkQueue: 2, tolerance: 4,
			demand: 180, surge: 3, service: 450 * time.Millisecond, feedTime: 500 * time.Millisecond},
		"large engines": {routers: 118, targets: 30, slots: 16, queue: 48, shrunkQueue: 4, tolerance: 6,
			demand: 100, surge: 2, service: 4 * time.Second, feedTime: 500 * time.Millisecond},
	}
	for name, shape := range sites {
		for _, surgeAt := range []time.Duration{0, 4 * time.Second, 8 * time.Second} {
			for _, silentLoad := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/%v", name, surgeAt, silentLoad), func(t *testing.T) {
					t.Parallel()
					site := shape
					site.surgeAt, site.silentLoad = surgeAt, silentLoad
					site.play(*brittleSeed)
					length := (brittleTo - brittleFrom - shrinkDelay).Seconds()
					most := min(site.demand*site.surge, float64(site.targets*site.slots)/site.service.Seconds())
					t.Logf("%s %v %v: %d sent, %d rejected, %d falls, %.0f%% of what is possible served", name, surgeAt, silentLoad, site.sent, site.rejected, site.falls,
						100*float64(site.servedBrittle)/length/most)
					assert.Assert(t, float64(site.falls) <= 2+float64(site.targets)/10, "%d of %d targets fell", site.falls, site.targets)
				})
			}
		}
	}
}
