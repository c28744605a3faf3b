package reach_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/reach"
)

func detours(domain celerylanding.FailureDomain, count int) []feed.Detour {
	var list []feed.Detour
	for number := range count {
		list = append(list, feed.Detour{Address: fmt.Sprintf("%s-%d", domain, number), Domain: domain})
	}
	return list
}

// TestHandOversSpread guards against one router that takes on what all the cut ones hand over: no router gets more than twice its share, and those of
// the own domain come first while they have few.
func TestHandOversSpread(t *testing.T) {
	random := rand.New(rand.NewSource(20261206))
	peers := reach.NewPeers("d")
	peers.Set(append(detours("d", 3), detours("e", 5)...), "")
	chosen := map[string]int{}
	for number := range 80 {
		address := peers.Choose(start, random.Intn)
		if number < 6 {
			assert.Equal(t, address[0], byte('d'))
		}
		chosen[address]++
	}
	assert.Equal(t, len(chosen), 8)
	for address, count := range chosen {
		assert.Assert(t, count <= 20, "%s has %d of 80", address, count)
	}
	for address := range chosen {
		for range chosen[address] {
			peers.Release(address)
		}
	}
	assert.Equal(t, peers.Choose(start, random.Intn)[0], byte('d'), "the counts are not released")
}

// TestAvoidedRoutersGetNothing guards against requests that wait for a router which has just failed or refused.
func TestAvoidedRoutersGetNothing(t *testing.T) {
	random := rand.New(rand.NewSource(20261206))
	peers := reach.NewPeers("d")
	assert.Assert(t, !peers.HasUsable(start))
	assert.Equal(t, peers.Choose(start, random.Intn), "")
	peers.Set(detours("d", 3), "d-2")
	peers.Avoid("d-0", start.Add(reach.AvoidTime))
	for range 20 {
		assert.Equal(t, peers.Choose(start, random.Intn), "d-1", "neither the avoided one nor this router itself")
	}
	peers.Avoid("d-1", start.Add(reach.AvoidTime))
	assert.Assert(t, !peers.HasUsable(start))
	assert.Equal(t, peers.Choose(start, random.Intn), "")
	assert.Assert(t, peers.HasUsable(start.Add(reach.AvoidTime)))
}

// TestDirectoryIsBoundedAndSpread guards against lists that grow with the number of routers, and against routers that all get the same ones.
func TestDirectoryIsBoundedAndSpread(t *testing.T) {
	directory := reach.NewDirectory()
	for _, domain := range []celerylanding.FailureDomain{"d", "e", "f", "g"} {
		for _, detour := range detours(domain, 100) {
			directory.Report(start, celerylanding.NodeID(detour.Address), detour)
		}
	}
	directory.Refresh(start)
	used := map[string]int{}
	for number := range 60 {
		reply := directory.For(celerylanding.NodeID(fmt.Sprint("r", number)), "d", 0)
		list := reply.Detours
		assert.Assert(t, len(list) <= 16)
		near := 0
		for _, detour := range list {
			used[detour.Address]++
			if detour.Domain == "d" {
				near++
			}
		}
		assert.Equal(t, near, 8)
		again := directory.For(celerylanding.NodeID(fmt.Sprint("r", number)), "d", reply.Digest)
		assert.Assert(t, again == nil, "an unchanged list is sent again")
	}
	assert.Assert(t, len(used) > 200, "only %d routers are named", len(used))
	for address, count := range used {
		assert.Assert(t, count <= 15, "%s is named to %d of 60", address, count)
	}
}

// TestDirectoryForgetsWhoDoesNotReport guards against hand-overs to routers that are gone or cut off themselves.
func TestDirectoryForgetsWhoDoesNotReport(t *testing.T) {
	directory := reach.NewDirectory()
	list := detours("d", 3)
	directory.Report(start, "gone", list[0])
	directory.Report(start, "cut", list[1])
	directory.Report(start, "relay", list[2])
	directory.Refresh(start)
	before := directory.Digest()
	now := start.Add(600 * time.Millisecond)
	directory.Report(now, "cut")
	directory.Report(now, "relay", list[2])
	now = now.Add(600 * time.Millisecond)
	directory.Refresh(now)
	assert.Assert(t, directory.Digest() != before)
	known := directory.All(before)
	assert.Assert(t, slices.Equal(known.Detours, list[2:]), "%v", known)
	adopted := reach.NewDirectory()
	adopted.Adopt(known)
	adopted.Adopt(directory.All(known.Digest))
	relayed := adopted.For("r", "d", 0)
	assert.Assert(t, slices.Equal(relayed.Detours, known.Detours), "%v", relayed)
	assert.Equal(t, relayed.Digest, directory.Digest())
	assert.Assert(t, slices.Equal(directory.Gather(now), known.Detours))
}
