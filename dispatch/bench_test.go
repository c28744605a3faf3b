package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

// BenchmarkChooseAmongManyHolders measures the choice of a target among 90 engines that all have the model loaded and report their load.
func BenchmarkChooseAmongManyHolders(b *testing.B) {
	now := time.Unix(1000, 0)
	var targets []feed.Target
	var reports []feed.TargetReport
	for number := range 90 {
		targets = append(targets, target(fmt.Sprintf("e%d", number), 1, "m"))
		reports = append(reports, feed.TargetReport{Target: targets[number].ID, Incarnation: 1, Slots: 10, Unread: 100 * number,
			Load: celerylanding.TargetLoad{Running: number % 10, Slowdown: 0.5 + float64(number)/90}})
	}
	table := dispatch.NewRoster().Apply(now, reply(1, 1, targets...))
	picker := dispatch.NewPicker("n", "d")
	picker.ApplyLoadReports(now, table, reports)
	chance := 0.0
	for b.Loop() {
		chance = math.Mod(chance+0.618, 1)
		choice, _ := picker.Choose(now, table, dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, PromptKey: "p", PromptTokens: 600,
			SharedTokens: 100, Slack: time.Second, MaxEventGap: time.Second, Chance: chance})
		picker.Done(now, choice.Target, dispatch.ResultAnswered)
	}
}

// BenchmarkPick measures the choice of a target among 256 engines, of which 24 have the model loaded.
func BenchmarkPick(b *testing.B) {
	const engines, holders = 256, 24
	now := time.Unix(1000, 0)
	var targets []feed.Target
	for number := range engines {
		model := celerylanding.ModelID("other")
		if number < holders {
			model = "m"
		}
		targets = append(targets, target(fmt.Sprintf("e%d", number), 1, model))
	}
	table := dispatch.NewRoster().Apply(now, reply(1, 1, targets...))
	picker := dispatch.NewPicker("n", "d")
	for b.Loop() {
		picked, _ := picker.Pick(now, table, dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}})
		picker.Done(now, picked, dispatch.ResultAnswered)
	}
}

// BenchmarkChooseForKeptPrompts measures the choice for a long prompt among 90 engines that all have the model loaded and keep parts of prompts, a
// third of them that of the request, with room for what they keep and without.
func BenchmarkChooseForKeptPrompts(b *testing.B) {
	for name, capacity := range map[string]int{"room": 300_000, "short": 150_000} {
		b.Run(name, func(b *testing.B) {
			const engines, parts = 90, 30
			now := time.Unix(1000, 0)
			var targets []feed.Target
			for number := range engines {
				targets = append(targets, target(fmt.Sprintf("i-%08x", number), 1, "m"))
			}
			snapshot := reply(1, 1, targets...)
			snapshot.Configuration = engineService(capacity)
			table := dispatch.NewRoster().Apply(now, snapshot)
			picker := dispatch.NewPicker("n", "d")
			cache := picker.PromptCache()
			cache.Update(now, table.AllTargets())
			for index, target := range table.AllTargets() {
				for number := range 2 * parts {
					prompt := promptOf(fmt.Sprint(number%parts + index%3*parts))
					cache.RecordAnswer(now, target, prompt, cache.RecordSent(now, target, prompt), promptcache.Answer{})
				}
			}
			now = now.Add(time.Second)
			needs := needsOf(promptOf("7"))
			for b.Loop() {
				needs.Chance = math.Mod(needs.Chance+0.618, 1)
				choice, _ := picker.Choose(now, table, needs)
				picker.Done(now, choice.Target, dispatch.ResultAnswered)
			}
		})
	}
}
