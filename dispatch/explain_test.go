package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/preview"
)

// TestExplainedChoiceIsTheNextOne plays random observations of targets, and checks that the best target that Explain names is the one that the next
// request gets, that every excluded target has a named reason, and that a router that is never asked chooses the same.
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
					picker.RecordFirstByte(now, some, time.Duration(count)*100*time.Millisecond, 400*time.Millisecond)
				})
			}
			needs := dispatch.Requirements{Service: "s", PromptTokens: 500 * count, PromptKey: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prompt"),
				Software: rapid.SampledFrom([]celerylanding.SoftwareVersion{"", "", "v1"}).Draw(t, "needed")}
			if rapid.Bool().Draw(t, "model") {
				needs.Unit = feed.Unit{Model: "m"}
			}
			explained := asked.Explain(now, table, needs)
			assert.DeepEqual(t, asked.Explain(now, table, needs), explained)
			assert.Equal(t, len(explained), len(targets))
			best := celerylanding.TargetID("")
			for i, entry := range explained {
				if entry.Rank > 0 {
					assert.Equal(t, entry.Rank, i+1)
				}
				if entry.Rank == 1 {
					best = entry.ID
				}
				assert.Assert(t, (entry.Rank > 0) == (entry.Excluded == "") && entry.Excluded != preview.ExcludedOther, "%+v", entry)
			}
			for _, picker := range []*dispatch.Picker{asked, unasked} {
				picked, _ := picker.Pick(now, table, needs)
				if picked == nil {
					assert.Equal(t, best, celerylanding.TargetID(""))
					continue
				}
				assert.Equal(t, picked.ID, best, "%+v", explained)
			}
		}
		assert.DeepEqual(t, sorted(asked.LimitReports(now)), sorted(unasked.LimitReports(now)))
	})
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
		"not reached": {observe: func(picker *dispatch.Picker, listed *feed.Target) { picker.Done(start, listed, dispatch.ResultUnreachable) },
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
