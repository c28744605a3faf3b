package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/preview"
)

// TestExplainedChoiceIsTheNextOne plays random observations of targets, and checks that the next request goes to a target with a share, without chance
// to the one with the largest, that every excluded target has a named reason, and that a router that is never asked chooses the same.
func TestExplainedChoiceIsTheNextOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		roster := dispatch.NewRoster()
		var targets []feed.Target
		for i := range rapid.IntRange(1, 6).Draw(t, "targets") {
			listed := target(fmt.Sprintf("t%d", i), 1)
			listed.Domain = rapid.SampledFrom([]celerylanding.FailureDomain{"d1", "d2"}).Draw(t, "domain")
			listed.Software = rapid.SampledFrom([]celerylanding.SoftwareVersion{"v1", "v1", "v2"}).Draw(t, "software")
			listed.Silent = rapid.IntRange(0, 9).Draw(t, "silent") == 0
			listed.Outlier = rapid.IntRange(0, 5).Draw(t, "outlier") == 0
			listed.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 3).Draw(t, "loaded") > 0 {
				listed.Loaded = []feed.LoadedModel{{Model: "m", Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0}}
			}
			targets = append(targets, listed)
		}
		table := roster.Apply(start, reply(1, 1, targets...))
		asked, unasked := dispatch.NewPicker("n", "d1"), dispatch.NewPicker("n", "d1")
		both := func(act func(picker *dispatch.Picker)) {
			act(asked)
			act(unasked)
		}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			some := &targets[rapid.IntRange(0, len(targets)-1).Draw(t, "of")]
			count := rapid.IntRange(0, 12).Draw(t, "count")
			switch rapid.IntRange(0, 6).Draw(t, "observation") {
			case 0:
				both(func(picker *dispatch.Picker) { picker.Done(now, some, dispatch.Result(count%5)) })
			case 1:
				both(func(picker *dispatch.Picker) {
					picker.UpdateLoad(now, some, celerylanding.TargetLoad{Running: count, Waiting: count / 2}, 10)
				})
			case 2:
				both(func(picker *dispatch.Picker) { picker.RecordLimit(now, some, float64(count)/4, count%3 > 0) })
			case 3:
				both(func(picker *dispatch.Picker) {
					picker.RecordAvailability(now, some, dispatch.Availability{IsLeaving: count == 12, Pause: time.Duration(count) * 100 * time.Millisecond})
				})
			case 4:
				both(func(picker *dispatch.Picker) {
					picker.RecordFirstByte(now, some, time.Duration(count)*100*time.Millisecond, forecast.Outlook{First: 0.4})
				})
			}
			needs := dispatch.Requirements{Service: "s", Slack: 400 * time.Millisecond, PromptTokens: 500 * count, PromptKey: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prompt"),
				Software: rapid.SampledFrom([]celerylanding.SoftwareVersion{"", "", "v1"}).Draw(t, "needed")}
			if rapid.Bool().Draw(t, "model") {
				needs.Unit = feed.Unit{Model: "m"}
			}
			explained := asked.Explain(now, table, needs)
			assert.DeepEqual(t, asked.Explain(now, table, needs), explained)
			assert.Equal(t, len(explained), len(targets))
			shares := make(map[celerylanding.TargetID]float64)
			sum := 0.0
			for i, entry := range explained {
				shares[entry.ID] = entry.Share
				sum += entry.Share
				assert.Assert(t, (entry.Rank > 0) == (entry.Excluded == "") && entry.Excluded != preview.ExcludedOther, "%+v", entry)
				assert.Assert(t, entry.Rank == 0 || entry.Rank == i+1)
				assert.Assert(t, entry.Rank > 0 || entry.Share == 0)
			}
			assert.Assert(t, sum == 0 || math.Abs(sum-1) < 1e-9)
			needs.Chance = rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.9}).Draw(t, "chance")
			for _, picker := range []*dispatch.Picker{asked, unasked} {
				choice, _ := picker.Choose(now, table, needs)
				if choice.Target == nil {
					assert.Equal(t, sum, 0.0)
					continue
				}
				assert.Assert(t, shares[choice.Target.ID] > 0, "%s: %+v", choice.Target.ID, explained)
				assert.Assert(t, needs.Chance > 0 || choice.Target.ID == explained[0].ID, "%s: %+v", choice.Target.ID, explained)
			}
		}
		assert.DeepEqual(t, sorted(asked.LimitReports(now)), sorted(unasked.LimitReports(now)))
	})
}

// TestSharesAreThoseOfChance compares the shares with choices by evenly spread chances, with few targets and with more than a choice looks at.
func TestSharesAreThoseOfChance(t *testing.T) {
	const chances = 4000
	for _, count := range []int{3, 30} {
		var targets []feed.Target
		for i := range count {
			targets = append(targets, target(fmt.Sprintf("t%02d", i), 1, "m"))
		}
		table := dispatch.NewRoster().Apply(start, reply(1, 1, targets...))
		picker := dispatch.NewPicker("n", "d1")
		for i := range targets {
			picker.UpdateLoad(start, &targets[i], celerylanding.TargetLoad{Running: i % 4}, 10)
		}
		needs := dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, Slack: 400 * time.Millisecond, PromptTokens: 800, SharedTokens: 300, PromptKey: "p"}
		chosen := make(map[celerylanding.TargetID]float64)
		for i := range chances {
			needs.Chance = (float64(i) + 0.5) / chances
			// Each choice is counted as sent, so each has a copy of its own.
			choice, _ := picker.Snapshot(table, "s").Choose(start, table, needs)
			chosen[choice.Target.ID]++
		}
		needs.Chance = 0
		isSpread := false
		for _, entry := range picker.Explain(start, table, needs) {
			assert.Assert(t, math.Abs(chosen[entry.ID]/chances-entry.Share) < 0.005, "%d targets, %s: %v of %+v", count, entry.ID, chosen[entry.ID]/chances, entry)
			isSpread = isSpread || (entry.Share > 0.01 && entry.Share < 0.99)
		}
		assert.Assert(t, isSpread)
	}
}

// sorted returns the reports by target.
func sorted(reports []feed.LimitReport) map[celerylanding.TargetID]feed.LimitReport {
	byTarget := make(map[celerylanding.TargetID]feed.LimitReport)
	for _, report := range reports {
		byTarget[report.Target] = report
	}
	return byTarget
}

// TestExclusionsAreNamed checks the reason for each kind of excluded target, and the time until it ends.
func TestExclusionsAreNamed(t *testing.T) {
	for name, tc := range map[string]struct {
		change  func(listed *feed.Target)
		observe func(picker *dispatch.Picker, listed *feed.Target)
		needs   dispatch.Requirements
		want    preview.Exclusion
		seconds float64
	}{
		"listed as leaving":   {change: func(listed *feed.Target) { listed.Leaving = true }, want: preview.ExcludedLeaving},
		"silent":              {change: func(listed *feed.Target) { listed.Silent = true }, want: preview.ExcludedSilent},
		"outlier":             {change: func(listed *feed.Target) { listed.Outlier = true }, want: preview.ExcludedOutlier},
		"other software":      {needs: dispatch.Requirements{Software: "v9"}, want: preview.ExcludedSoftware},
		"model not loaded":    {needs: dispatch.Requirements{Unit: feed.Unit{Model: "x"}}, want: preview.ExcludedLacksUnit},
		"adapter not loaded":  {needs: dispatch.Requirements{Unit: feed.Unit{Model: "m", Adapter: "a"}}, want: preview.ExcludedLacksUnit},
		"model being removed": {change: func(listed *feed.Target) { listed.Loaded[0].Draining = true }, want: preview.ExcludedUnloading},
		"says that it leaves": {observe: func(picker *dispatch.Picker, listed *feed.Target) {
			picker.RecordAvailability(start, listed, dispatch.Availability{IsLeaving: true})
		}, want: preview.ExcludedLeaving},
		"paused": {observe: func(picker *dispatch.Picker, listed *feed.Target) {
			picker.RecordAvailability(start, listed, dispatch.Availability{Pause: 2 * time.Second})
		}, want: preview.ExcludedPaused, seconds: 2},
		"lacks the model by its own answer": {observe: func(picker *dispatch.Picker, listed *feed.Target) {
			picker.RecordMisdirected(start, listed, feed.Unit{Model: "m"})
		}, want: preview.ExcludedMisdirected, seconds: 0.3},
		"not reached": {observe: func(picker *dispatch.Picker, listed *feed.Target) {
			picker.Done(start, listed, dispatch.ResultUnreachable)
		},
			want: preview.ExcludedBackoff, seconds: 0.15},
		"limit": {observe: func(picker *dispatch.Picker, listed *feed.Target) { picker.RecordLimit(start, listed, 0, true) }, want: preview.ExcludedLimit},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := target("a", 1, "m"), target("b", 1, "m")
			if tc.change != nil {
				tc.change(&first)
			}
			table := dispatch.NewRoster().Apply(start, reply(1, 1, first, second))
			picker := dispatch.NewPicker("n", "d1")
			if tc.observe != nil {
				tc.observe(picker, &first)
			}
			needs := tc.needs
			needs.Service = "s"
			if needs.Unit.Model == "" {
				needs.Unit.Model = "m"
			}
			// The other target is busy, so that the first one would be chosen.
			picker.UpdateLoad(start, &second, celerylanding.TargetLoad{Running: 30}, 10)
			for _, entry := range picker.Explain(start, table, needs) {
				if entry.ID == "a" {
					assert.Equal(t, entry.Excluded, tc.want)
					assert.Equal(t, entry.ExcludedSeconds, tc.seconds)
					assert.Equal(t, entry.Rank, 0)
				}
			}
		})
	}
}
