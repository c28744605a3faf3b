package throttle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

// TestPreviewIsTheNextCharge plays random requests and replies on two reserves, of which one is asked before each request. Its answer is what becomes
// of the request, and both reserves do the same.
func TestPreviewIsTheNextCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workspace := &routing.Workspace{ID: "w", Quota: routing.Quota{Rate: 5, Burst: 10}}
		reserves := []*throttle.Reserve{throttle.NewReserve("n", 1), throttle.NewReserve("n", 1)}
		now := time.Unix(1_700_000_000, 0)
		var charges [2][]*throttle.Charge
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			units := float64(rapid.IntRange(1, 4).Draw(t, "units"))
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			number := rapid.IntRange(0, 1<<20).Draw(t, "charge")
			grant := feed.QuotaGrant{Workspace: "w", Units: float64(rapid.IntRange(0, 6).Draw(t, "granted")), TTL: time.Second,
				Wait: time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond, Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))}
			var expected throttle.Preview
			if kind <= 2 {
				expected = reserves[0].Preview(now, workspace, 0, units, 200*time.Millisecond)
				again := reserves[0].Preview(now, workspace, 0, units, 200*time.Millisecond)
				assert.Assert(t, again == expected)
			}
			for i, reserve := range reserves {
				switch {
				case kind <= 2:
					charge := reserve.Begin(now, workspace, units, 200*time.Millisecond)
					charges[i] = append(charges[i], charge)
					assert.Equal(t, charge.State(), expected.Charge.State())
					assert.Equal(t, charge.RetryAfter(), expected.Charge.RetryAfter())
					assert.Equal(t, charge.IsCutOff(), expected.Charge.IsCutOff())
				case kind == 3:
					args, isDue := reserve.Ask(now)
					if isDue && grant.Units == 0 {
						reserve.HandleFailure(now)
					} else if isDue {
						reserve.HandleReply(now, now, args, &feed.QuotaReply{Leads: true, Term: 1, Grants: []feed.QuotaGrant{grant}})
					}
				case len(charges[i]) > 0 && kind == 4:
					reserve.GiveUp(now, charges[i][number%len(charges[i])])
				case len(charges[i]) > 0:
					reserve.Return(now, charges[i][number%len(charges[i])])
				}
			}
			for j := range charges[0] {
				assert.Equal(t, charges[0][j].State(), charges[1][j].State())
			}
		}
	})
}

// TestPreviewOfAnUnknownWorkspace checks that a workspace without a request holds nothing, and is not remembered for the question.
func TestPreviewOfAnUnknownWorkspace(t *testing.T) {
	reserve := throttle.NewReserve("n", 1)
	now := time.Unix(1_700_000_000, 0)
	preview := reserve.Preview(now, &routing.Workspace{ID: "w", Quota: routing.Quota{Rate: 5}}, 0, 1, time.Second)
	assert.Equal(t, preview.Charge.State(), throttle.ChargeWaiting)
	assert.Equal(t, preview.Charge.Workspace(), celerylanding.WorkspaceID("w"))
	assert.Equal(t, preview.Held+preview.Queued+preview.Rate, 0.0)
	_, isDue := reserve.Ask(now)
	assert.Assert(t, !isDue, "the leader is not asked for the question")
}
