package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
)

var start = time.Unix(1_700_000_000, 0)

func target(id string, incarnation celerylanding.Incarnation, models ...celerylanding.ModelID) feed.Target {
	result := feed.Target{ID: celerylanding.TargetID(id), Incarnation: incarnation, Service: "s", Address: "10.0.0.1:1", Domain: "d1", Slots: 10}
	for _, model := range models {
		result.Loaded = append(result.Loaded, feed.LoadedModel{Model: model})
	}
	return result
}

func reply(term, revision uint64, targets ...feed.Target) *feed.WatchReply {
	return &feed.WatchReply{Leads: true, Term: term, Revision: revision, Targets: feed.NewTargetList(targets), Routers: 1}
}

func targetIDs(targets []*feed.Target) map[celerylanding.TargetID]bool {
	set := make(map[celerylanding.TargetID]bool)
	for _, target := range targets {
		set[target.ID] = true
	}
	return set
}

func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	roster := dispatch.NewRoster()
	leaving := target("t", 1)
	leaving.Leaving = true
	assert.Equal(t, len(roster.Apply(start, reply(1, 1, target("t", 1))).Targets("s")), 1)
	assert.Equal(t, len(roster.Apply(start, reply(1, 2, leaving)).Targets("s")), 0)
	assert.Equal(t, len(roster.Apply(start, reply(2, 1, target("t", 1))).Targets("s")), 0, "a new leader does not know that it is leaving")
	assert.Equal(t, len(roster.Apply(start, reply(2, 2, target("t", 2))).Targets("s")), 1, "a later incarnation is a new target")
	assert.Equal(t, roster.Apply(start, reply(2, 3, target("t", 1))).Targets("s")[0].Incarnation, celerylanding.Incarnation(2))
}

func TestRepliesOfEarlierTermsAreIgnored(t *testing.T) {
	roster := dispatch.NewRoster()
	roster.Apply(start, reply(5, 1, target("t", 1)))
	assert.Assert(t, roster.Apply(start, reply(4, 9, target("u", 1))) == nil)
}

// TestTargetsOutlastAChangeOfTheLeader guards against losing targets at a leader change: a target that the new leader does not list yet must
// stay usable, but only for a limited time.
func TestTargetsOutlastAChangeOfTheLeader(t *testing.T) {
	roster := dispatch.NewRoster()
	roster.Apply(start, reply(1, 1, target("t", 1), target("u", 1)))
	table := roster.Apply(start, reply(2, 1, target("t", 1)))
	assert.DeepEqual(t, targetIDs(table.Targets("s")), map[celerylanding.TargetID]bool{"t": true, "u": true})
	table = roster.Apply(start.Add(10*time.Second), reply(2, 2))
	assert.DeepEqual(t, targetIDs(table.Targets("s")), map[celerylanding.TargetID]bool{"t": true})
}

func TestDrainingModelsGetNoNewWork(t *testing.T) {
	roster := dispatch.NewRoster()
	draining := target("t", 1, "m")
	draining.Loaded[0].Draining = true
	unit := feed.Unit{Model: "m"}
	assert.Equal(t, len(roster.Apply(start, reply(1, 1, target("t", 1, "m"))).TargetsForUnit("s", unit)), 1)
	assert.Equal(t, len(roster.Apply(start, reply(1, 2, draining)).TargetsForUnit("s", unit)), 0)
}

// TestLoadIsSpread guards against uneven load: concurrent requests that share a few prompts must be balanced over all targets.
func TestLoadIsSpread(t *testing.T) {
	roster := dispatch.NewRoster()
	table := roster.Apply(start, reply(1, 1, target("a", 1, "m"), target("b", 1, "m"), target("c", 1, "m")))
	picker := dispatch.NewPicker("n", "d1")
	counts := make(map[celerylanding.TargetID]int)
	for i := range 30 {
		picked, _ := picker.Pick(start, table, dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, PromptKey: fmt.Sprint(i % 5)})
		counts[picked.ID]++
	}
	for _, id := range []celerylanding.TargetID{"a", "b", "c"} {
		assert.Assert(t, counts[id] >= 8, "%v", counts)
	}
}

func TestRequestsWithTheSamePromptShareATarget(t *testing.T) {
	roster := dispatch.NewRoster()
	table := roster.Apply(start, reply(1, 1, target("a", 1, "m"), target("b", 1, "m"), target("c", 1, "m")))
	needs := dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, PromptKey: "p", PromptTokens: 6000}
	first, _ := dispatch.NewPicker("n", "d1").Pick(start, table, needs)
	second, _ := dispatch.NewPicker("n", "d1").Pick(start, table, needs)
	assert.Equal(t, first.ID, second.ID, "two routers choose the same target without communicating")
}

// TestLateTargetLosesItsAffinity guards against a hot model whose first replica answers late while a second one is idle: routers preferred
// the target that has the prompts cached, whatever its answers took (terasarhiiv-tln, inc-a242).
func TestLateTargetLosesItsAffinity(t *testing.T) {
	table := dispatch.NewRoster().Apply(start, reply(1, 1, target("t", 1, "m"), target("u", 1, "m")))
	needs := dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, PromptKey: "p", PromptTokens: 9000, Slack: 800 * time.Millisecond}
	picker := dispatch.NewPicker("n", "d1")
	now := start
	pick := func() *feed.Target {
		chosen, _ := picker.Pick(now, table, needs)
		picker.Done(now, chosen, dispatch.ResultAnswered)
		return chosen
	}
	preferred := pick()
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		picker.RecordFirstByte(now, preferred, 1600*time.Millisecond, forecast.Outlook{First: 0.8})
	}
	assert.Assert(t, pick().ID != preferred.ID)
	now = now.Add(10 * time.Second)
	assert.Equal(t, pick().ID, preferred.ID)
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		picker.RecordFirstByte(now, preferred, 300*time.Millisecond, forecast.Outlook{First: 0.8})
	}
	assert.Equal(t, pick().ID, preferred.ID, "answers within the objective cost nothing")
}

func TestUnreachableTargetsBackOff(t *testing.T) {
	roster := dispatch.NewRoster()
	table := roster.Apply(start, reply(1, 1, target("a", 1)))
	picker := dispatch.NewPicker("n", "d1")
	picked, _ := picker.Pick(start, table, dispatch.Requirements{Service: "s"})
	picker.Done(start, picked, dispatch.ResultUnreachable)
	picked, unreachable := picker.Pick(start.Add(10*time.Millisecond), table, dispatch.Requirements{Service: "s"})
	assert.Assert(t, picked == nil)
	assert.Equal(t, len(unreachable), 1)
	picked, _ = picker.Pick(start.Add(time.Second), table, dispatch.Requirements{Service: "s"})
	assert.Assert(t, picked != nil)
	restarted := roster.Apply(start, reply(1, 2, target("a", 2)))
	picker.Done(start.Add(time.Second), picked, dispatch.ResultUnreachable)
	picked, _ = picker.Pick(start.Add(time.Second), restarted, dispatch.Requirements{Service: "s"})
	assert.Assert(t, picked != nil, "a new incarnation starts without the failures of the last one")
}

func TestFailingTargetsAreAvoided(t *testing.T) {
	roster := dispatch.NewRoster()
	table := roster.Apply(start, reply(1, 1, target("a", 1), target("b", 1)))
	picker := dispatch.NewPicker("n", "d1")
	counts := make(map[celerylanding.TargetID]int)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		picked, _ := picker.Pick(now, table, dispatch.Requirements{Service: "s"})
		counts[picked.ID]++
		result := dispatch.ResultAnswered
		if picked.ID == "a" {
			result = dispatch.ResultFailed
		}
		picker.Done(now, picked, result)
	}
	assert.Assert(t, counts["a"] <= 8, "%v", counts)
}

// TestRetriesStayWithinTheCommonBudget guards against retry storms: four routers use every retry that they are allowed, under light and heavy
// traffic, and together must stay within the budget.
func TestRetriesStayWithinTheCommonBudget(t *testing.T) {
	const routers = 4
	settings := dispatch.RetryBudgetSettings{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	for _, perRouter := range []int{3, 2000} {
		retries, requests := 0, 0
		for range routers {
			budget := dispatch.NewRetryBudget(settings)
			for i := range perRouter {
				now := start.Add(time.Duration(i) * 5 * time.Millisecond)
				budget.CountRequest(now, "s")
				requests++
				for budget.TakeRetry(now, "s", routers) {
					retries++
				}
			}
		}
		assert.Assert(t, retries > 0)
		assert.Assert(t, float64(retries) <= settings.Ratio*float64(requests)+settings.Slack, "%d retries of %d requests", retries, requests)
	}
}

// TestOutlierTargets guards against requests to a target that several routers report as failing. Exceptions are a router that has received
// an answer since its last failure, and a plain service that has no other target.
func TestOutlierTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	table := func(others ...feed.Target) *dispatch.Table {
		targets := append([]feed.Target{{ID: "outlier", Incarnation: 1, Service: "s", Slots: 4, Outlier: true,
			Loaded: []feed.LoadedModel{{Model: "m"}}}}, others...)
		return dispatch.NewRoster().Apply(now, &feed.WatchReply{Leads: true, Term: 1, Revision: 1, Routers: 2, Targets: feed.NewTargetList(targets)})
	}
	healthy := feed.Target{ID: "healthy", Incarnation: 1, Service: "s", Slots: 4, Loaded: []feed.LoadedModel{{Model: "m"}}}
	unit := dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}}

	picker := dispatch.NewPicker("n", "d")
	for range 8 {
		target, _ := picker.Pick(now, table(healthy), unit)
		assert.Equal(t, target.ID, healthy.ID)
	}
	target, unreachable := picker.Pick(now, table(), unit)
	assert.Assert(t, target == nil, "an outlier gets no requests for a model that another engine can load")
	assert.Equal(t, len(unreachable), 1)
	target, _ = picker.Pick(now, table(), dispatch.Requirements{Service: "s"})
	assert.Assert(t, target != nil, "a plain service has no other target")

	picker.Done(now, target, dispatch.ResultAnswered)
	target, _ = picker.Pick(now, table(), unit)
	assert.Assert(t, target != nil, "this router has received an answer since")
	picker.Done(now.Add(time.Second), target, dispatch.ResultFailed)
	assert.DeepEqual(t, picker.Outcomes(now.Add(time.Second)), []feed.Outcome{{Target: "outlier", Incarnation: 1, Answered: 1, Failed: 1}})
	assert.Equal(t, len(picker.Outcomes(now.Add(time.Second))), 0)
}
