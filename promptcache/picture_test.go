package promptcache_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

var (
	start = time.Unix(1_700_000_000, 0)
	unit  = feed.Unit{Model: "m"}
)

const speed = promptcache.Speed(50 * time.Microsecond)

func target(id string, incarnation celerylanding.Incarnation, models ...celerylanding.ModelID) *feed.Target {
	result := &feed.Target{ID: celerylanding.TargetID(id), Incarnation: incarnation, Slots: 12}
	for _, model := range models {
		result.Loaded = append(result.Loaded, feed.LoadedModel{Model: model})
	}
	return result
}

// dossier returns the parts of a long prompt: a head and a section that other requests share, and a part of its own.
func dossier(head, section, own string) []celerylanding.PromptPart {
	return []celerylanding.PromptPart{{ID: head, Tokens: 2520}, {ID: section, Tokens: 3780}, {ID: own, Tokens: 2890}}
}

func promptOf(unit feed.Unit, parts []celerylanding.PromptPart) *promptcache.Prompt {
	prompt := promptcache.NewPrompt(unit, "", parts)
	return &prompt
}

// serve records a request whose answer begins after a time.
func serve(picture *promptcache.Picture, now time.Time, target *feed.Target, prompt *promptcache.Prompt, answer promptcache.Answer) {
	sent := picture.RecordSent(now, target, prompt)
	picture.RecordAnswer(now.Add(answer.Took), target, prompt, sent, answer)
}

func keptTokens(picture *promptcache.Picture, now time.Time, target *feed.Target, prompt *promptcache.Prompt) int {
	tokens, _ := picture.Kept(now, target.Endpoint(), prompt)
	return tokens
}

func TestPartsAreKeptInOrder(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m")
	picture.Update(start, []*feed.Target{a})
	serve(picture, start, a, promptOf(unit, dossier("h", "s", "x")), promptcache.Answer{Took: 200 * time.Millisecond})
	now := start.Add(time.Second)
	for _, check := range []struct {
		parts []celerylanding.PromptPart
		want  int
	}{
		{dossier("h", "s", "y"), 6300},
		{dossier("h", "other", "y"), 2520},
		{dossier("other", "s", "y"), 0},
		{[]celerylanding.PromptPart{{ID: "s", Tokens: 3780}, {ID: "y", Tokens: 10}}, 0},
		{[]celerylanding.PromptPart{{ID: "h", Tokens: 2520}}, 0},
	} {
		assert.Equal(t, keptTokens(picture, now, a, promptOf(unit, check.parts)), check.want, "%v", check.parts)
	}
}

// TestWallsAndUnitsShareNothing guards against a picture that shows the parts of one workspace, model or adapter to another.
func TestWallsAndUnitsShareNothing(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m", "n")
	picture.Update(start, []*feed.Target{a})
	prompt := promptcache.NewPrompt(unit, "school-1", dossier("h", "s", "x"))
	serve(picture, start, a, &prompt, promptcache.Answer{Took: time.Second})
	now := start.Add(2 * time.Second)
	assert.Equal(t, keptTokens(picture, now, a, &prompt), 6300)
	for _, other := range []promptcache.Prompt{
		promptcache.NewPrompt(unit, "school-2", dossier("h", "s", "x")),
		promptcache.NewPrompt(unit, "", dossier("h", "s", "x")),
		promptcache.NewPrompt(feed.Unit{Model: "n"}, "school-1", dossier("h", "s", "x")),
		promptcache.NewPrompt(feed.Unit{Model: "m", Adapter: "a1"}, "school-1", dossier("h", "s", "x")),
	} {
		assert.Equal(t, keptTokens(picture, now, a, &other), 0)
	}
	for _, part := range picture.TakeReport(now) {
		assert.Assert(t, part.Chain != 0 && part.Target != 0, "only hashes are reported")
	}
}

func TestShortPartsAreLeftOut(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m")
	picture.Update(start, []*feed.Target{a})
	short := promptOf(unit, []celerylanding.PromptPart{{ID: "h", Tokens: 93}, {ID: "s", Tokens: 62}, {ID: "x", Tokens: 2491}})
	serve(picture, start, a, short, promptcache.Answer{Took: 50 * time.Millisecond})
	assert.Equal(t, keptTokens(picture, start.Add(time.Second), a, short), 0)
	assert.Equal(t, len(picture.TakeReport(start.Add(time.Second))), 0)
}

// TestRestartsAndUnloadsForget guards against parts that are believed to be kept by a target that has lost them.
func TestRestartsAndUnloadsForget(t *testing.T) {
	prompt := promptOf(unit, dossier("h", "s", "x"))
	for _, check := range []struct {
		name  string
		after func(picture *promptcache.Picture, now time.Time) *feed.Target
		want  int
	}{
		{"no change", func(picture *promptcache.Picture, now time.Time) *feed.Target {
			picture.Update(now, []*feed.Target{target("a", 1, "m", "n")})
			return target("a", 1, "m", "n")
		}, 6300},
		{"restart", func(picture *promptcache.Picture, now time.Time) *feed.Target {
			picture.Update(now, []*feed.Target{target("a", 2, "m")})
			return target("a", 2, "m")
		}, 0},
		{"former incarnation", func(picture *promptcache.Picture, now time.Time) *feed.Target {
			picture.Update(now, []*feed.Target{target("a", 2, "m")})
			return target("a", 1, "m")
		}, 0},
		{"unload and load", func(picture *promptcache.Picture, now time.Time) *feed.Target {
			picture.Update(now, []*feed.Target{target("a", 1, "n")})
			picture.Update(now, []*feed.Target{target("a", 1, "n", "m")})
			return target("a", 1, "n", "m")
		}, 0},
		{"gone and back", func(picture *promptcache.Picture, now time.Time) *feed.Target {
			picture.Update(now, nil)
			picture.Update(now, []*feed.Target{target("a", 1, "m")})
			return target("a", 1, "m")
		}, 0},
	} {
		t.Run(check.name, func(t *testing.T) {
			picture := promptcache.New()
			a := target("a", 1, "m")
			picture.Update(start, []*feed.Target{a})
			serve(picture, start, a, prompt, promptcache.Answer{Took: 200 * time.Millisecond})
			now := start.Add(time.Second)
			assert.Equal(t, keptTokens(picture, now, check.after(picture, now), prompt), check.want)
		})
	}
}

// TestSentPartsCountUntilTheyFail plays requests that follow each other closely: the second goes where the first one's parts are being read.
func TestSentPartsCountUntilTheyFail(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m")
	picture.Update(start, []*feed.Target{a})
	prompt := promptOf(unit, dossier("h", "s", "x"))
	picture.RecordSent(start, a, prompt)
	assert.Equal(t, keptTokens(picture, start.Add(10*time.Millisecond), a, prompt), 6300)
	assert.Equal(t, keptTokens(picture, start.Add(6*time.Second), a, prompt), 0, "no answer has come")
	picture.RecordSent(start, a, prompt)
	picture.RecordFailed(a.Endpoint(), prompt)
	assert.Equal(t, keptTokens(picture, start.Add(10*time.Millisecond), a, prompt), 0)
	serve(picture, start, a, prompt, promptcache.Answer{Took: 200 * time.Millisecond})
	picture.RecordSent(start.Add(time.Second), a, prompt)
	picture.RecordFailed(a.Endpoint(), prompt)
	assert.Equal(t, keptTokens(picture, start.Add(time.Second), a, prompt), 6300, "an earlier answer has shown them")
}

// TestRetentionIsLearned plays a target whose memory is short: it drops parts that no request has used for 2 s, and later keeps them for longer.
func TestRetentionIsLearned(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m")
	picture.Update(start, []*feed.Target{a})
	whole := promptcache.Answer{Took: 460 * time.Millisecond, Whole: 460 * time.Millisecond, Speed: speed}
	quick := promptcache.Answer{Took: 145 * time.Millisecond, Whole: 460 * time.Millisecond, Speed: speed}
	prompt := promptOf(unit, dossier("h", "s", "x"))
	now := start
	for range 3 {
		assert.Equal(t, keptTokens(picture, now.Add(-time.Millisecond), a, prompt) > 0, now.After(start), "still believed in")
		serve(picture, now, a, prompt, whole)
		now = now.Add(2 * time.Second)
	}
	assert.Equal(t, keptTokens(picture, now, a, prompt), 0, "two late answers in a row have shown that 2 s are too long")
	serve(picture, now, a, prompt, whole)
	assert.Equal(t, keptTokens(picture, now.Add(time.Second), a, prompt), 6300)
	now = now.Add(8 * time.Second)
	assert.Equal(t, keptTokens(picture, now, a, prompt), 0)
	serve(picture, now, a, prompt, quick)
	assert.Equal(t, keptTokens(picture, now.Add(7*time.Second), a, prompt), 6300, "a quick answer has proved that parts are kept for longer")
}

// TestOneLateAnswerProvesNothing guards against a picture that is lost with each answer that had to wait.
func TestOneLateAnswerProvesNothing(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m")
	picture.Update(start, []*feed.Target{a})
	prompt := promptOf(unit, dossier("h", "s", "x"))
	now := start
	for number := range 10 {
		answer := promptcache.Answer{Took: 145 * time.Millisecond, Whole: 460 * time.Millisecond, Speed: speed}
		if number%2 == 1 {
			answer.Took = 2 * time.Second
		}
		serve(picture, now, a, prompt, answer)
		now = now.Add(10 * time.Second)
	}
	assert.Equal(t, keptTokens(picture, now, a, prompt), 6300)
}

// TestPictureIsBounded checks that the picture of a target stays bounded and that the least recently used parts leave it first.
func TestPictureIsBounded(t *testing.T) {
	picture := promptcache.New()
	a := target("a", 1, "m")
	picture.Update(start, []*feed.Target{a})
	used := promptOf(unit, dossier("used", "s", "x"))
	for number := range 500 {
		now := start.Add(time.Duration(number) * 10 * time.Millisecond)
		serve(picture, now, a, used, promptcache.Answer{})
		serve(picture, now, a, promptOf(unit, dossier(fmt.Sprint(number), "s", "x")), promptcache.Answer{})
	}
	now := start.Add(5 * time.Second)
	assert.Equal(t, keptTokens(picture, now, a, used), 6300)
	assert.Equal(t, keptTokens(picture, now, a, promptOf(unit, dossier("499", "s", "x"))), 6300)
	assert.Equal(t, keptTokens(picture, now, a, promptOf(unit, dossier("100", "s", "x"))), 0)
	assert.Equal(t, picture.Size(), 64)
}

// TestPictureNeverExceedsWhatWasRead checks by random events that nothing is believed to be kept that this incarnation has not been sent since its
// model was loaded.
func TestPictureNeverExceedsWhatWasRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picture := promptcache.New()
		now := start
		incarnations := map[string]celerylanding.Incarnation{"a": 1, "b": 1}
		loaded := map[string]bool{"a": true, "b": true}
		read := make(map[string]bool)
		update := func() {
			var targets []*feed.Target
			for id, incarnation := range incarnations {
				models := []celerylanding.ModelID{"other"}
				if loaded[id] {
					models = append(models, "m")
				}
				targets = append(targets, target(id, incarnation, models...))
			}
			picture.Update(now, targets)
		}
		update()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")
			forget := func() {
				for _, head := range []string{"h", "i"} {
					delete(read, id+head)
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				incarnations[id]++
				forget()
				update()
			case 1:
				loaded[id] = !loaded[id]
				forget()
				update()
			default:
				head := rapid.SampledFrom([]string{"h", "i"}).Draw(t, "head")
				if loaded[id] {
					serve(picture, now, target(id, incarnations[id], "m"), promptOf(unit, dossier(head, "s", "x")), promptcache.Answer{})
					read[id+head] = true
				}
			}
			for id, incarnation := range incarnations {
				for _, head := range []string{"h", "i"} {
					tokens := keptTokens(picture, now, target(id, incarnation, "m"), promptOf(unit, dossier(head, "s", "x")))
					assert.Assert(t, tokens == 0 || read[id+head], "%s keeps %s", id, head)
				}
			}
		}
	})
}
