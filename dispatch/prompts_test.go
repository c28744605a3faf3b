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
	"celerylanding.example/celerylanding/promptcache"
	"celerylanding.example/celerylanding/routing"
)

// engineService returns a configuration whose engines have memory for a number of prompt tokens.
func engineService(tokens int) *routing.Configuration {
	return &routing.Configuration{Version: 1, Services: []routing.Service{{ID: "s", Engine: &routing.Engine{CacheTokens: tokens}}}}
}

// promptOf returns a long prompt with the head, whose last part no other request has.
func promptOf(head string) *promptcache.Prompt {
	parts := []celerylanding.PromptPart{{ID: head, Tokens: 2520}, {ID: "s", Tokens: 3780}, {ID: "own", Tokens: 2890}}
	prompt := promptcache.NewPrompt(feed.Unit{Model: "m"}, "", parts)
	return &prompt
}

func needsOf(prompt *promptcache.Prompt) dispatch.Requirements {
	return dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, Prompt: prompt, PromptTokens: prompt.Tokens(), PromptKey: "m/h", SharedTokens: 2520,
		Slack: 800 * time.Millisecond, MaxEventGap: 600 * time.Millisecond}
}

// promptPlay is a router with targets a, b, ... on machines of the same speed that read 20 tokens in a millisecond.
type promptPlay struct {
	picker *dispatch.Picker
	table  *dispatch.Table
	now    time.Time
}

func newPromptPlay(capacity int, domain celerylanding.FailureDomain, targets ...feed.Target) *promptPlay {
	snapshot := reply(1, 1, targets...)
	snapshot.Configuration = engineService(capacity)
	play := &promptPlay{picker: dispatch.NewPicker("n", domain), table: dispatch.NewRoster().Apply(start, snapshot), now: start}
	play.picker.PromptCache().Update(start, play.table.AllTargets())
	for number := range 300 {
		play.now = play.now.Add(time.Second)
		size := 200 + number*37%9000
		choice, _ := play.picker.Choose(play.now, play.table, dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, PromptTokens: size,
			Slack: time.Second, Chance: float64(number%10) / 10})
		took := 20*time.Millisecond + time.Duration(size)*50*time.Microsecond
		play.picker.RecordFirstByte(play.now.Add(took), choice.Target, took, choice.Outlook)
		play.picker.Done(play.now.Add(took), choice.Target, dispatch.ResultAnswered)
	}
	play.now = play.now.Add(10 * time.Second)
	return play
}

func (play *promptPlay) target(id celerylanding.TargetID) *feed.Target {
	for _, target := range play.table.AllTargets() {
		if target.ID == id {
			return target
		}
	}
	return nil
}

// read records that the target has answered a request with the prompt.
func (play *promptPlay) read(id celerylanding.TargetID, prompt *promptcache.Prompt) {
	cache := play.picker.PromptCache()
	cache.RecordAnswer(play.now, play.target(id), prompt, cache.RecordSent(play.now, play.target(id), prompt), promptcache.Answer{})
}

// choose returns the target of a request, and ends the request a second later.
func (play *promptPlay) choose(needs dispatch.Requirements) dispatch.Choice {
	choice, _ := play.picker.Choose(play.now, play.table, needs)
	play.now = play.now.Add(time.Second)
	play.picker.Done(play.now, choice.Target, dispatch.ResultCanceled)
	return choice
}

// report records the load of a target, whose routers have sent prompts that it has not read yet.
func (play *promptPlay) report(id celerylanding.TargetID, unread int) {
	play.picker.ApplyLoadReports(play.now, play.table, []feed.TargetReport{{Target: id, Incarnation: 1, Slots: 12, Unread: unread,
		Load: celerylanding.TargetLoad{Running: 2, Slowdown: 1}}})
}

// TestPromptFollowsItsPartsUnlessTheirTargetIsBusy sends a long prompt to the target that keeps its parts, whichever that is, and to a free one where
// reading the parts again takes less time than waiting for the others' prompts.
func TestPromptFollowsItsPartsUnlessTheirTargetIsBusy(t *testing.T) {
	for _, keeper := range []celerylanding.TargetID{"a", "b", "c"} {
		play := newPromptPlay(0, "d1", target("a", 1, "m"), target("b", 1, "m"), target("c", 1, "m"))
		prompt := promptOf("h")
		play.read(keeper, prompt)
		for _, other := range []celerylanding.TargetID{"a", "b", "c"} {
			play.report(other, 0)
		}
		choice := play.choose(needsOf(prompt))
		assert.Equal(t, choice.Target.ID, keeper)
		assert.Equal(t, choice.Outlook.Tokens, 2890, "the parts need not be read again")
		play.report(keeper, 2000)
		assert.Equal(t, play.choose(needsOf(prompt)).Target.ID, keeper, "a short wait costs less than reading the parts again")
		play.report(keeper, 30_000)
		choice = play.choose(needsOf(prompt))
		assert.Assert(t, choice.Target.ID != keeper)
		assert.Equal(t, choice.Outlook.Tokens, 9190)
	}
}

// TestPromptsOfOthersAreNotDisplaced sends a new prompt to the target in whose memory it takes the place of nothing that is used often.
func TestPromptsOfOthersAreNotDisplaced(t *testing.T) {
	play := newPromptPlay(60_000, "d1", target("a", 1, "m"), target("b", 1, "m"))
	for round := range 4 {
		for head := range 9 {
			play.now = play.now.Add(10 * time.Millisecond)
			play.read("a", promptOf(fmt.Sprint("often", head)))
			play.read("b", promptOf(fmt.Sprint("once", head, round)))
		}
	}
	for _, id := range []celerylanding.TargetID{"a", "b"} {
		play.report(id, 0)
	}
	for number := range 10 {
		needs := needsOf(promptOf(fmt.Sprint("new", number)))
		needs.PromptKey = ""
		assert.Equal(t, play.choose(needs).Target.ID, celerylanding.TargetID("b"))
	}
}

// TestKeeperAmongManyTargetsIsLookedAt guards against a choice among so many targets that the one with the parts is not looked at.
func TestKeeperAmongManyTargetsIsLookedAt(t *testing.T) {
	var targets []feed.Target
	for number := range 90 {
		targets = append(targets, target(fmt.Sprintf("t%02d", number), 1, "m"))
	}
	play := newPromptPlay(0, "d1", targets...)
	prompt := promptOf("h")
	play.read("t57", prompt)
	for number := range 20 {
		needs := needsOf(prompt)
		needs.Chance = float64(number) / 20
		assert.Equal(t, play.choose(needs).Target.ID, celerylanding.TargetID("t57"), "chance %v", needs.Chance)
	}
}

// TestOutlookTellsTheTimeOfReading checks the time that the picture learns retentions by.
func TestOutlookTellsTheTimeOfReading(t *testing.T) {
	play := newPromptPlay(0, "d1", target("a", 1, "m"))
	outlook := play.choose(needsOf(promptOf("h"))).Outlook
	reading := outlook.ReadingTime(1000)
	assert.Assert(t, reading > 40*time.Millisecond && reading < 60*time.Millisecond, "%v", reading)
	assert.Equal(t, (&forecast.Outlook{Work: 1}).ReadingTime(10), time.Duration(0))
}
