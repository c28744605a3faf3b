package promptcache_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

// candidate is a target with the time that a request would wait there.
type candidate struct {
	target *feed.Target
	wait   time.Duration
	room   promptcache.Room
}

// choose returns the candidate that would answer first, with what the answer costs others.
func choose(picture *promptcache.Picture, now time.Time, prompt *promptcache.Prompt, candidates ...candidate) *feed.Target {
	var best *feed.Target
	var lowest time.Duration
	for _, candidate := range candidates {
		terms := picture.Weigh(now, candidate.target.Endpoint(), prompt, speed, candidate.room)
		total := candidate.wait + time.Duration(prompt.Tokens())*time.Duration(speed) - terms.Gain()
		if best == nil || total < lowest {
			best, lowest = candidate.target, total
		}
	}
	return best
}

// TestSavingIsWeighedAgainstTheWait plays a busy target that keeps a shared beginning of 6,300 tokens, which it need not read for 315 ms, against a
// free one that keeps nothing.
func TestSavingIsWeighedAgainstTheWait(t *testing.T) {
	picture := promptcache.New()
	busy, free := target("busy", 1, "m"), target("free", 1, "m")
	picture.Update(start, []*feed.Target{busy, free})
	prompt := promptOf(unit, dossier("h", "s", "x"))
	serve(picture, start, busy, prompt, promptcache.Answer{Took: 460 * time.Millisecond})
	now := start.Add(time.Second)
	for _, check := range []struct {
		wait time.Duration
		want *feed.Target
	}{{0, busy}, {300 * time.Millisecond, busy}, {330 * time.Millisecond, free}, {time.Second, free}} {
		chosen := choose(picture, now, prompt, candidate{target: busy, wait: check.wait}, candidate{target: free})
		assert.Equal(t, chosen.ID, check.want.ID, "with a wait of %v", check.wait)
	}
	short := promptOf(unit, []celerylanding.PromptPart{{ID: "h", Tokens: 93}, {ID: "y", Tokens: 491}})
	assert.Equal(t, choose(picture, now, short, candidate{target: busy, wait: time.Millisecond}, candidate{target: free}).ID, free.ID)
}

// TestPartsOfOthersAreWorthTheirUses plays two targets with little memory of which neither keeps the prompt's parts: one is full of parts that are
// used again and again, the other of parts that were used once.
func TestPartsOfOthersAreWorthTheirUses(t *testing.T) {
	picture := promptcache.New()
	wanted, unwanted := target("wanted", 1, "m"), target("unwanted", 1, "m")
	picture.Update(start, []*feed.Target{wanted, unwanted})
	now := start
	for number := range 20 {
		now = now.Add(500 * time.Millisecond)
		serve(picture, now, wanted, promptOf(unit, dossier(fmt.Sprint("w", number%4), "s", "x")), promptcache.Answer{})
		if number < 4 {
			serve(picture, now, unwanted, promptOf(unit, dossier(fmt.Sprint("u", number), "s", "x")), promptcache.Answer{})
		}
	}
	prompt := promptOf(unit, dossier("new", "s", "x"))
	scarce := promptcache.Room{Capacity: 30_000}
	weigh := func(target *feed.Target, room promptcache.Room) promptcache.Terms {
		return picture.Weigh(now, target.Endpoint(), prompt, speed, room)
	}
	assert.Assert(t, weigh(wanted, scarce).Displaced > 50*time.Millisecond, "%v", weigh(wanted, scarce).Displaced)
	assert.Equal(t, weigh(unwanted, scarce).Displaced, time.Duration(0))
	assert.Equal(t, weigh(wanted, promptcache.Room{Capacity: 200_000}).Displaced, time.Duration(0), "there is room for all")
	assert.Assert(t, weigh(wanted, promptcache.Room{Capacity: 200_000, Running: 20}).Displaced > 0, "running requests take the room")
	chosen := choose(picture, now, prompt, candidate{target: wanted, room: scarce}, candidate{target: unwanted, wait: 40 * time.Millisecond, room: scarce})
	assert.Equal(t, chosen.ID, unwanted.ID)
	assert.Equal(t, weigh(wanted, promptcache.Room{}).Displaced, time.Duration(0), "the capacity is not known")
}

// TestHeadsGatherWhereTheyAreKept plays a stream of long prompts with three heads over four targets. Each request takes the lead of its target's
// wait; routers learn of each other's sends after a while, and lose a fifth of these reports.
func TestHeadsGatherWhereTheyAreKept(t *testing.T) {
	const routers, requests = 4, 200
	var targets []*feed.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, target(id, 1, "m"))
	}
	read := func(shares bool) int {
		var pictures []*promptcache.Picture
		var seen [routers]uint64
		for range routers {
			picture := promptcache.New()
			picture.Update(start, targets)
			pictures = append(pictures, picture)
		}
		board := promptcache.NewBoard()
		kept := make(map[string]bool)
		tokens := 0
		for number := range requests {
			now := start.Add(time.Duration(number) * 250 * time.Millisecond)
			picture := pictures[number*7%routers]
			prompt := promptOf(unit, dossier(fmt.Sprint("h", number*5%3), "s", "x"))
			var list []candidate
			for place := range targets {
				list = append(list, candidate{target: targets[(place+number)%len(targets)], wait: time.Duration(place) * 20 * time.Millisecond})
			}
			chosen := choose(picture, now, prompt, list...)
			if key := fmt.Sprint(chosen.ID, number*5%3); !kept[key] {
				kept[key] = true
				tokens += prompt.SharedTokens()
			}
			serve(picture, now, chosen, prompt, promptcache.Answer{Took: 200 * time.Millisecond})
			if !shares {
				continue
			}
			for router, picture := range pictures {
				if report := picture.TakeReport(now.Add(200 * time.Millisecond)); number%5 != 0 {
					board.Add(now, report)
				}
				var parts []feed.KeptPart
				parts, seen[router] = board.Since(now, seen[router])
				picture.Merge(now, parts)
			}
		}
		return tokens
	}
	assert.Assert(t, read(true) <= 5*6300, "%d tokens read", read(true))
	assert.Assert(t, read(false) > read(true), "%d tokens read without reports", read(false))
}

// BenchmarkWeigh measures the terms of one choice among the targets that have a model loaded, with a full picture of 90 targets.
func BenchmarkWeigh(b *testing.B) {
	for _, holders := range []int{5, 24} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			picture := promptcache.New()
			var targets []*feed.Target
			for number := range 90 {
				targets = append(targets, target(fmt.Sprintf("i-%08x", number), 1, "m"))
			}
			picture.Update(start, targets)
			for _, target := range targets {
				for number := range 32 {
					serve(picture, start, target, promptOf(unit, dossier(fmt.Sprint(number), "s", "x")), promptcache.Answer{})
				}
			}
			parts := dossier("7", "s", "x")
			now := start.Add(time.Second)
			for b.Loop() {
				prompt := promptcache.NewPrompt(unit, "", parts)
				for _, target := range targets[:holders] {
					picture.Weigh(now, target.Endpoint(), &prompt, speed, promptcache.Room{Capacity: 1_000_000, Running: 10})
				}
			}
		})
	}
}
