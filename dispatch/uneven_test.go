package dispatch_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
)

// The play has engines of which a quarter are fast, and three holders of each model, on which requests arrive through many routers.
const (
	playEngines   = 32
	playModels    = 24
	playHolders   = 3
	playSlots     = 96
	playLength    = 20 * time.Second
	playPerSecond = 260
	playObjective = 800 * time.Millisecond
	playPerToken  = 52 * time.Microsecond
	playStep      = 10 * time.Millisecond
)

// playEvent is something that happens in the play.
type playEvent struct {
	at time.Duration
	do func()
}

type playQueue []playEvent

func (queue playQueue) Len() int           { return len(queue) }
func (queue playQueue) Less(i, j int) bool { return queue[i].at < queue[j].at }
func (queue playQueue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *playQueue) Push(event any)    { *queue = append(*queue, event.(playEvent)) }
func (queue *playQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// playEngine reads prompts one after the other, and says in its answers how many requests run and wait.
type playEngine struct {
	usual, spike    float64
	running         int
	waiting         int
	freeAt          time.Duration
	taken           int
	tellsLoad, lies bool
}

func (engine *playEngine) slowdown(now time.Duration) float64 {
	// One tenth of the time is slow, in turns of 0.3 s.
	if rand.New(rand.NewPCG(uint64(now/(300*time.Millisecond)), uint64(engine.usual*1000)+uint64(engine.spike))).Float64() < 0.1 {
		return engine.spike
	}
	return engine.usual
}

// playResult is the share of late requests, and what the busiest and the first engine got in relation to their shares.
type playResult struct {
	late           float64
	busiestToShare float64
	firstToShare   float64
}

// chooser chooses the target of a request at a router.
type chooser func(now time.Time, router int, needs dispatch.Requirements) (*feed.Target, forecast.Outlook)

// play is a play of the load with routers that exchange what they know at an interval, zero for never.
type play struct {
	queue   playQueue
	now     time.Duration
	engines []*playEngine
	table   *dispatch.Table
	pickers []*dispatch.Picker
	board   *forecast.Board
	random  *rand.Rand
	// wanted counts the requests of each model.
	wanted [playModels]int
	late   int
	all    int
}

func newPlay(seed uint64, routers int) *play {
	game := &play{board: forecast.NewBoard(), random: rand.New(rand.NewPCG(seed, 2))}
	targets := make([]feed.Target, playEngines)
	for i := range targets {
		targets[i] = feed.Target{ID: celerylanding.TargetID(fmt.Sprint(i)), Incarnation: 1, Service: "s", Domain: "d1", Slots: playSlots}
		engine := &playEngine{usual: 1.2, spike: 3, tellsLoad: true}
		if i%4 == 0 {
			engine.usual, engine.spike = 0.55, 1.37
		}
		game.engines = append(game.engines, engine)
	}
	for model := range playModels {
		for _, holder := range holdersOf(model) {
			at := &targets[holder]
			at.Loaded = append(at.Loaded, feed.LoadedModel{Model: celerylanding.ModelID(fmt.Sprint(model))})
		}
	}
	game.table = dispatch.NewRoster().Apply(start, &feed.WatchReply{Leads: true, Term: 1, Revision: 1, Routers: routers, Targets: feed.NewTargetList(targets)})
	for model := range playModels {
		// The table's order differs from run to run.
		slices.SortFunc(game.table.TargetsForUnit("s", feed.Unit{Model: celerylanding.ModelID(fmt.Sprint(model))}),
			func(a, b *feed.Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	for router := range routers {
		game.pickers = append(game.pickers, dispatch.NewPicker(celerylanding.NodeID(fmt.Sprint(router)), "d1"))
	}
	return game
}

func (game *play) after(wait time.Duration, do func()) {
	heap.Push(&game.queue, playEvent{game.now + wait, do})
}

// send runs a request on the chosen engine.
func (game *play) send(router int, target *feed.Target, tokens, output int, outlook forecast.Outlook) {
	var number int
	fmt.Sscan(string(target.ID), &number)
	engine, picker, sent := game.engines[number], game.pickers[router], game.now
	engine.taken++
	engine.waiting++
	picker.RecordSent(target, outlook)
	slowdown := engine.slowdown(max(game.now, engine.freeAt))
	engine.freeAt = max(game.now, engine.freeAt) + time.Duration(float64(tokens)*float64(playPerToken)*slowdown)
	game.after(engine.freeAt-game.now+10*time.Millisecond, func() {
		engine.waiting--
		engine.running++
		now := start.Add(game.now)
		if engine.tellsLoad {
			load := celerylanding.TargetLoad{Running: engine.running, Waiting: engine.waiting, Slowdown: engine.slowdown(game.now)}
			if engine.lies {
				load = celerylanding.TargetLoad{Slowdown: 0.2}
			}
			picker.UpdateLoad(now, target, load, playSlots)
		}
		picker.RecordRead(target, outlook)
		picker.RecordFirstByte(now, target, game.now-sent, outlook)
		game.all++
		if game.now-sent > playObjective {
			game.late++
		}
		length := time.Duration(float64(output) * float64(playStep) * engine.slowdown(game.now))
		game.after(length, func() {
			engine.running--
			picker.Done(start.Add(game.now), target, dispatch.ResultAnswered)
			picker.RecordStream(start.Add(game.now), target, 30*time.Millisecond, length, outlook)
		})
	})
}

// run plays the load. Popular models get most requests, and one request in fifty has a long prompt.
func (game *play) run(interval time.Duration, choose chooser) playResult {
	for router, picker := range game.pickers {
		var exchange func()
		exchange = func() {
			now := start.Add(game.now)
			for _, report := range picker.LoadReports(now) {
				game.board.Add(now, report)
			}
			picker.ApplyLoadReports(now, game.table, game.board.Next(now, celerylanding.NodeID(fmt.Sprint(router)), 1e9))
			game.after(interval, exchange)
		}
		if interval > 0 {
			game.after(time.Duration(game.random.Float64()*float64(interval)), exchange)
		}
	}
	var arrive func()
	arrive = func() {
		router := game.random.IntN(len(game.pickers))
		model := min(game.random.IntN(playModels), game.random.IntN(playModels), game.random.IntN(playModels))
		game.wanted[model]++
		tokens := 600
		if game.random.IntN(50) == 0 {
			tokens = 9000
		}
		output := 10 + game.random.IntN(100)
		needs := dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: celerylanding.ModelID(fmt.Sprint(model))}, PromptTokens: tokens, SharedTokens: tokens / 4,
			OutputTokens: output, PromptKey: fmt.Sprint(model), Slack: playObjective, MaxEventGap: 500 * time.Millisecond, Chance: game.random.Float64()}
		target, outlook := choose(start.Add(game.now), router, needs)
		game.send(router, target, tokens, output, outlook)
		game.after(time.Duration(game.random.ExpFloat64()*float64(time.Second)/playPerSecond), arrive)
	}
	game.after(0, arrive)
	for game.now < playLength {
		event := heap.Pop(&game.queue).(playEvent)
		game.now = event.at
		event.do()
	}
	result := playResult{late: float64(game.late) / float64(game.all), firstToShare: game.shareOf(0)}
	for i := range game.engines {
		result.busiestToShare = max(result.busiestToShare, game.shareOf(i))
	}
	return result
}

// shareOf returns the requests that an engine got in relation to its share: what it would get if each of its models' requests went to the model's holders
// in proportion to their speed.
func (game *play) shareOf(number int) float64 {
	share := 0.0
	for model := range playModels {
		holders, speeds := holdersOf(model), 0.0
		if !slices.Contains(holders, number) {
			continue
		}
		for _, holder := range holders {
			speeds += 1 / game.engines[holder].usual
		}
		share += float64(game.wanted[model]) / game.engines[number].usual / speeds
	}
	return float64(game.engines[number].taken) / share
}

// holdersOf returns the engines that hold a model.
func holdersOf(model int) []int {
	holders := make([]int, playHolders)
	for i := range holders {
		holders[i] = (model*playHolders + i*7) % playEngines
	}
	return holders
}

// byBenefit chooses as routers do.
func (game *play) byBenefit(now time.Time, router int, needs dispatch.Requirements) (*feed.Target, forecast.Outlook) {
	choice, _ := game.pickers[router].Choose(now, game.table, needs)
	return choice.Target, choice.Outlook
}

// evenly gives each target the same share.
func (game *play) evenly(now time.Time, router int, needs dispatch.Requirements) (*feed.Target, forecast.Outlook) {
	candidates := game.table.TargetsForUnit("s", needs.Unit)
	return game.only(now, router, needs, candidates[game.random.IntN(len(candidates))])
}

// byShareOfSlots chooses the least share of slots by this router's own requests, with a preference for one target of each prompt.
func (game *play) byShareOfSlots(now time.Time, router int, needs dispatch.Requirements) (*feed.Target, forecast.Outlook) {
	var best *feed.Target
	lowest := 0.0
	for i, target := range game.table.TargetsForUnit("s", needs.Unit) {
		cost := float64(game.pickers[router].InFlight(target)*len(game.pickers)) / playSlots
		if i != 0 {
			cost += 0.05
		}
		if best == nil || cost < lowest {
			best, lowest = target, cost
		}
	}
	return game.only(now, router, needs, best)
}

// only excludes all other targets.
func (game *play) only(now time.Time, router int, needs dispatch.Requirements, chosen *feed.Target) (*feed.Target, forecast.Outlook) {
	for _, target := range game.table.TargetsForUnit("s", needs.Unit) {
		if target != chosen {
			needs.Excluded = append(needs.Excluded, target.ID)
		}
	}
	return game.byBenefit(now, router, needs)
}

// maxShare is how much of its share the busiest engine may get.
const maxShare = 1.6

// checkPlays plays engines of uneven speed on which routers choose that exchange what they know at an interval: no engine gets too much, few requests are
// late, and these are at most a share of those that are late by the share of slots.
func checkPlays(t *testing.T, routers int, interval time.Duration, lateShare float64) {
	for _, seed := range []uint64{1, 2, 3} {
		game, bySlots := newPlay(seed, routers), newPlay(seed, routers)
		after, before := game.run(interval, game.byBenefit), bySlots.run(0, bySlots.byShareOfSlots)
		t.Logf("seed %d: late %.3f (by slots %.3f), busiest %.2f times its share (%.2f)", seed, after.late, before.late, after.busiestToShare, before.busiestToShare)
		assert.Check(t, after.late < 0.02)
		assert.Check(t, after.late <= lateShare*before.late)
		assert.Check(t, after.busiestToShare < maxShare)
	}
}

// TestUnevenTargetsAndManyRouters plays as many routers as see the load of a large deployment, where 500 of 1,873 late requests may remain.
func TestUnevenTargetsAndManyRouters(t *testing.T) {
	checkPlays(t, 63, 200*time.Millisecond, 500.0/1873)
	checkPlays(t, 63, time.Second, 500.0/1873)
}

// TestUnevenTargetsAndFewRouters plays few routers, where half of the late requests may remain.
func TestUnevenTargetsAndFewRouters(t *testing.T) { checkPlays(t, 8, 200*time.Millisecond, 0.5) }

// TestFewRoutersWithOldReports is like TestUnevenTargetsAndFewRouters with reports that are up to a second old.
func TestFewRoutersWithOldReports(t *testing.T) { checkPlays(t, 8, time.Second, 0.5) }

// checkFailingEngine checks that one engine that does not tell the truth does at most half of the harm that it does by the share of slots, and less than
// if all engines got equal shares.
func checkFailingEngine(t *testing.T, change func(engine *playEngine)) {
	for _, seed := range []uint64{1, 2, 3} {
		game, bySlots, even := newPlay(seed, 20), newPlay(seed, 20), newPlay(seed, 20)
		for _, play := range []*play{game, bySlots, even} {
			change(play.engines[0])
		}
		result := game.run(200*time.Millisecond, game.byBenefit)
		before, unaware := bySlots.run(0, bySlots.byShareOfSlots), even.run(0, even.evenly)
		t.Logf("seed %d: late %.3f, by slots %.3f, with equal shares %.3f; the engine gets %.2f times its share", seed, result.late, before.late,
			unaware.late, result.firstToShare)
		assert.Check(t, result.late < unaware.late)
		assert.Check(t, result.late <= before.late/2)
		assert.Check(t, result.firstToShare < maxShare)
	}
}

// TestTargetsThatLieOrTellNothing plays an engine that reports no load and a fast machine, and one that reports nothing.
func TestTargetsThatLieOrTellNothing(t *testing.T) {
	t.Run("lies", func(t *testing.T) { checkFailingEngine(t, func(engine *playEngine) { engine.lies = true }) })
	t.Run("is quiet", func(t *testing.T) { checkFailingEngine(t, func(engine *playEngine) { engine.tellsLoad = false }) })
}

// TestSlowTargetThatLies plays an engine that reports no load and a fast machine, and is slower than all others.
func TestSlowTargetThatLies(t *testing.T) {
	checkFailingEngine(t, func(engine *playEngine) { engine.lies, engine.usual, engine.spike = true, 2.5, 2.5 })
}
