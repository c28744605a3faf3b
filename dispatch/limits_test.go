package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
)

// TestEndedLimitIsFoundOut guards against a target whose limit has ended and that gets no request to say so, since another one can serve all.
func TestEndedLimitIsFoundOut(t *testing.T) {
	table := dispatch.NewRoster().Apply(start, reply(1, 1, target("limited", 1, "m"), target("free", 1, "m")))
	picker := dispatch.NewPicker("n", "d1")
	needs := dispatch.Requirements{Service: "s", Unit: feed.Unit{Model: "m"}, Slack: time.Second, PromptTokens: 100}
	now, end := start, start.Add(10*time.Second)
	beside, after := 0, 0
	for ; now.Before(start.Add(14 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if second := now.Truncate(time.Second); second.Equal(now) {
			// The leader lists what the last answer has named.
			var limits []feed.TargetLimit
			if now.Before(end) {
				limits = []feed.TargetLimit{{Target: "limited", Incarnation: 1, Limit: 2, Age: now.Sub(start)}}
			}
			picker.SetLimits(now, limits)
		}
		needs.Chance = float64(now.UnixMilli()%97) / 97
		picked, _ := picker.Pick(now, table, needs)
		assert.Assert(t, picked != nil)
		if picked.ID == "limited" {
			picker.RecordLimit(now, picked, 2, now.Before(end))
			if now.Before(end) {
				beside++
			} else {
				after++
			}
		}
		picker.Done(now, picked, dispatch.ResultAnswered)
	}
	assert.Assert(t, beside > 0 && beside <= 20, "%d requests within the limit of 2 a second", beside)
	assert.Assert(t, after >= 10, "%d of 80 requests after the end of the limit", after)
}
