package promptcache_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

// newRouters returns pictures that know the target.
func newRouters(count int, target *feed.Target) []*promptcache.Picture {
	var pictures []*promptcache.Picture
	for range count {
		picture := promptcache.New()
		picture.Update(start, []*feed.Target{target})
		pictures = append(pictures, picture)
	}
	return pictures
}

func TestRoutersLearnFromEachOther(t *testing.T) {
	a := target("a", 1, "m")
	routers := newRouters(2, a)
	prompt := promptOf(unit, dossier("h", "s", "x"))
	serve(routers[0], start, a, prompt, promptcache.Answer{Took: 200 * time.Millisecond})
	board, relay := promptcache.NewBoard(), promptcache.NewBoard()
	now := start.Add(time.Second)
	report := routers[0].TakeReport(now)
	assert.Equal(t, len(report), 2)
	assert.Equal(t, report[0].Age, 800*time.Millisecond)
	board.Add(now, report)
	parts, next := board.Since(now.Add(100*time.Millisecond), relay.Next())
	relay.Relay(now.Add(150*time.Millisecond), parts, next)
	parts, _ = relay.Since(now.Add(200*time.Millisecond), 0)
	routers[1].Merge(now.Add(250*time.Millisecond), parts)
	tokens, age := routers[1].Kept(now.Add(250*time.Millisecond), a.Endpoint(), prompt)
	assert.Equal(t, tokens, 6300)
	assert.Equal(t, age, 950*time.Millisecond, "but for the time on the way")
	assert.Equal(t, len(routers[0].TakeReport(now)), 0, "each part is reported once")
	serve(routers[1], now.Add(time.Second), a, prompt, promptcache.Answer{})
	assert.Equal(t, len(routers[1].TakeReport(now.Add(time.Second))), 0, "the others know of it")
	serve(routers[1], now.Add(6*time.Second), a, prompt, promptcache.Answer{})
	assert.Equal(t, len(routers[1].TakeReport(now.Add(6*time.Second))), 2)
}

// TestReportsOfOtherIncarnationsAreIgnored guards against reports that arrive after the target has restarted.
func TestReportsOfOtherIncarnationsAreIgnored(t *testing.T) {
	before, after := target("a", 1, "m"), target("a", 2, "m")
	routers := newRouters(2, before)
	prompt := promptOf(unit, dossier("h", "s", "x"))
	serve(routers[0], start, before, prompt, promptcache.Answer{})
	routers[1].Update(start, []*feed.Target{after})
	routers[1].Merge(start.Add(time.Second), routers[0].TakeReport(start))
	assert.Equal(t, keptTokens(routers[1], start.Add(time.Second), after, prompt), 0)
}

// TestReportBeforeAnUnloadIsOld guards against a late report of what a target has dropped with its model.
func TestReportBeforeAnUnloadIsOld(t *testing.T) {
	a := target("a", 1, "m")
	routers := newRouters(2, a)
	prompt := promptOf(unit, dossier("h", "s", "x"))
	serve(routers[0], start, a, prompt, promptcache.Answer{})
	routers[1].Update(start.Add(time.Second), []*feed.Target{target("a", 1, "n")})
	routers[1].Update(start.Add(2*time.Second), []*feed.Target{a})
	now := start.Add(3 * time.Second)
	routers[1].Merge(now, routers[0].TakeReport(now))
	assert.Equal(t, keptTokens(routers[1], now, a, prompt), 0)
	serve(routers[0], now, a, prompt, promptcache.Answer{})
	now = now.Add(5 * time.Second)
	serve(routers[0], now, a, prompt, promptcache.Answer{})
	routers[1].Merge(now, routers[0].TakeReport(now))
	assert.Equal(t, keptTokens(routers[1], now, a, prompt), 6300)
}

// TestBoardHoldsTheNewestParts checks the bounds of the board and of its replies, and that a router that asks a new leader or another relay gets what
// there is.
func TestBoardHoldsTheNewestParts(t *testing.T) {
	board := promptcache.NewBoard()
	for number := range 1000 {
		board.Add(start, []feed.KeptPart{{Target: 1, Chain: uint64(number), Tokens: 1000}})
	}
	board.Add(start.Add(time.Second), []feed.KeptPart{{Target: 1, Chain: 999, Tokens: 1000}})
	assert.Equal(t, board.Next(), uint64(1000), "a part that was just published is not published again")
	var received []feed.KeptPart
	number := uint64(0)
	for {
		parts, next := board.Since(start, number)
		assert.Assert(t, len(parts) <= 64)
		received, number = append(received, parts...), next
		if len(parts) == 0 {
			break
		}
	}
	assert.Equal(t, len(received), 512)
	assert.Equal(t, received[0].Chain, uint64(488))
	fresh := promptcache.NewBoard()
	fresh.Add(start, received[:3])
	parts, next := fresh.Since(start, number)
	assert.Equal(t, fmt.Sprint(len(parts), next), "3 3", "the number is of another leader")
}

// TestRelayFollowsTheLeadersNumbers plays a relay that has missed parts, and one whose leader changes.
func TestRelayFollowsTheLeadersNumbers(t *testing.T) {
	relay := promptcache.NewBoard()
	part := func(chain uint64) feed.KeptPart { return feed.KeptPart{Target: 1, Chain: chain, Tokens: 1000} }
	relay.Relay(start, []feed.KeptPart{part(1), part(2)}, 2)
	relay.Relay(start, []feed.KeptPart{part(3)}, 3)
	parts, next := relay.Since(start, 1)
	assert.Equal(t, fmt.Sprint(len(parts), next), "2 3")
	relay.Relay(start, []feed.KeptPart{part(9)}, 9)
	parts, next = relay.Since(start, 3)
	assert.Equal(t, fmt.Sprint(len(parts), next), "1 9")
	relay.Relay(start, nil, 0)
	parts, next = relay.Since(start, 9)
	assert.Equal(t, fmt.Sprint(len(parts), next), "0 0")
}
