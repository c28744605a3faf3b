package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

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

// BenchmarkPickWithPrompts measures the choice for a long prompt among 90 engines that all keep parts of prompts, of which 24 have the model loaded.
func BenchmarkPickWithPrompts(b *testing.B) {
	const engines, holders, parts = 90, 24, 30
	now := time.Unix(1000, 0)
	var targets []feed.Target
	for number := range engines {
		models := []celerylanding.ModelID{"other"}
		if number < holders {
			models = append(models, "m")
		}
		targets = append(targets, target(fmt.Sprintf("i-%08x", number), 1, models...))
	}
	table := dispatch.NewRoster().Apply(now, reply(1, 1, targets...))
	picker := dispatch.NewPicker("n", "d")
	picker.PromptCache().Update(now, table.AllTargets())
	prompt := func(unit feed.Unit, head string) *promptcache.Prompt {
		list := []celerylanding.PromptPart{{ID: head, Tokens: 2520}, {ID: "s", Tokens: 3780}, {ID: "own", Tokens: 2890}}
		result := promptcache.NewPrompt(unit, "", list)
		return &result
	}
	for _, target := range table.AllTargets() {
		for number := range parts {
			kept := prompt(feed.Unit{Model: target.Loaded[len(target.Loaded)-1].Model}, fmt.Sprint(number))
			sent := picker.PromptCache().RecordSent(now, target, kept)
			picker.PromptCache().RecordAnswer(now, target, kept, sent, promptcache.Answer{})
		}
	}
	unit := feed.Unit{Model: "m"}
	for b.Loop() {
		picked, _ := picker.Pick(now, table, dispatch.Requirements{Service: "s", Unit: unit, PromptKey: "m/7", PromptTokens: 9190,
			Prompt: prompt(unit, "7")})
		picker.Done(now, picked, dispatch.ResultAnswered)
	}
}
