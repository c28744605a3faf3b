package watch_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/watch"
)

// simNode is a control node of a simulation.
type simNode struct {
	// delay is the time after which it answers; a dead node doesn't.
	delay  time.Duration
	isDead bool
	// knows is the leader that it names, of a term.
	knows string
	term  uint64
}

// simCall is a request that is answered or ends at a time.
type simCall struct {
	request watch.Request
	at      time.Time
	reply   *feed.WatchReply
	err     error
}

// sim plays the calls of a finder without a network.
type sim struct {
	now    time.Time
	nodes  map[string]*simNode
	seeds  []string
	leader string
	finder *watch.Finder
	relays []feed.RelayAddress
	calls  []simCall
	sent   int
	// watched counts the watch requests to each node.
	watched map[string]int
}

// answer returns what a node answers to a request.
func (sim *sim) answer(request watch.Request) simCall {
	node := sim.nodes[request.Address]
	call := simCall{request: request, at: sim.now.Add(request.Timeout), reply: &feed.WatchReply{}, err: errors.New("no answer")}
	if node == nil || node.isDead || node.delay > request.Timeout {
		return call
	}
	call.at, call.err = sim.now.Add(node.delay), nil
	call.reply = &feed.WatchReply{Leader: node.knows, Members: sim.seeds, Relays: sim.relays, Term: node.term, Leads: request.Address == sim.leader,
		Relayed: request.Address != sim.leader && len(sim.relays) > 0}
	return call
}

// runUntilState plays until the finder gets the leader's state, and returns the time that it took.
func (sim *sim) runUntilState(limit time.Duration) (took time.Duration, ok bool) {
	began := sim.now
	for sim.now.Sub(began) < limit {
		requests, wait := sim.finder.Next(sim.now, sim.seeds)
		sim.sent += len(requests)
		for _, request := range requests {
			if !request.IsSearch {
				sim.watched[request.Address]++
			}
			sim.calls = append(sim.calls, sim.answer(request))
		}
		next := -1
		for i, call := range sim.calls {
			if !call.at.After(sim.now.Add(wait)) && (next < 0 || call.at.Before(sim.calls[next].at)) {
				next = i
			}
		}
		if next < 0 {
			sim.now = sim.now.Add(max(wait, time.Millisecond))
			continue
		}
		call := sim.calls[next]
		sim.calls = append(sim.calls[:next], sim.calls[next+1:]...)
		if call.at.After(sim.now) {
			sim.now = call.at
		}
		if sim.finder.Handle(sim.now, call.request, call.reply, call.err).IsState {
			return sim.now.Sub(began), true
		}
	}
	return limit, false
}

// newSim returns a simulation with nodes n0 to n(count-1), of which the first leads and the others name it.
func newSim(count int) *sim {
	sim := &sim{now: time.Unix(1_700_000_000, 0), nodes: make(map[string]*simNode), watched: make(map[string]int), leader: "n0", finder: watch.NewFinder("r", "d", false)}
	for i := range count {
		address := fmt.Sprintf("n%d", i)
		sim.seeds = append(sim.seeds, address)
		sim.nodes[address] = &simNode{delay: 5 * time.Millisecond, knows: "n0", term: 1}
	}
	return sim
}

// TestAnotherLeaderIsFoundInTime guards against a router whose view is older than an acknowledgement allows while a leader can be reached, whatever the
// other nodes say, and however slow they are.
func TestAnotherLeaderIsFoundInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 7).Draw(t, "nodes")
		sim := newSim(count)
		_, ok := sim.runUntilState(time.Second)
		assert.Assert(t, ok)
		sim.leader = fmt.Sprintf("n%d", rapid.IntRange(1, count-1).Draw(t, "leader"))
		for _, address := range sim.seeds {
			node := sim.nodes[address]
			node.delay = time.Duration(rapid.IntRange(0, 400).Draw(t, "delay "+address)) * time.Millisecond
			node.isDead = address != sim.leader && rapid.Bool().Draw(t, "dead "+address)
			node.knows = rapid.SampledFrom([]string{"", "n0", sim.leader}).Draw(t, "known by "+address)
			if node.knows == sim.leader || address == sim.leader {
				node.term = 2
			}
		}
		if rapid.Bool().Draw(t, "only others name the leader") {
			sim.seeds = slices.DeleteFunc(slices.Clone(sim.seeds), func(address string) bool { return address == sim.leader })
			witness := sim.nodes[sim.seeds[rapid.IntRange(0, len(sim.seeds)-1).Draw(t, "witness")]]
			witness.isDead, witness.knows, witness.term = false, sim.leader, 2
		}
		took, ok := sim.runUntilState(viewBound)
		assert.Assert(t, ok && took < viewBound, "the state of the new leader after %v", took)
	})
}

// TestDeadSourceIsReplacedSoon guards against seconds without a leader to ask for loads: the source dies, and the other nodes answer at once.
func TestDeadSourceIsReplacedSoon(t *testing.T) {
	sim := newSim(4)
	_, ok := sim.runUntilState(time.Second)
	assert.Assert(t, ok)
	sim.leader, sim.nodes["n0"].isDead = "n3", true
	for _, node := range sim.nodes {
		node.knows, node.term = sim.leader, 2
	}
	took, ok := sim.runUntilState(viewBound)
	assert.Assert(t, ok && took < 750*time.Millisecond, "%v", took)
}

// TestSearchIsBounded guards against a router that floods control nodes while none of them leads.
func TestSearchIsBounded(t *testing.T) {
	sim := newSim(4)
	sim.leader = ""
	for _, node := range sim.nodes {
		node.knows = ""
	}
	_, ok := sim.runUntilState(10 * time.Second)
	assert.Assert(t, !ok)
	assert.Assert(t, sim.sent <= 20*10, "%d requests in 10 s", sim.sent)
}

// TestLateAnswerOfTheSourceCounts guards against a router that throws away the answer of a slow source while it searches for another one.
func TestLateAnswerOfTheSourceCounts(t *testing.T) {
	sim := newSim(2)
	_, ok := sim.runUntilState(time.Second)
	assert.Assert(t, ok)
	sim.nodes["n0"].delay = 800 * time.Millisecond
	sim.nodes["n1"].isDead = true
	took, ok := sim.runUntilState(viewBound)
	assert.Assert(t, ok)
	assert.Equal(t, took, 800*time.Millisecond)
}

// TestHungRelayIsAvoided guards against a router that goes back to a relay that hangs, and waits for it, after each reply of the leader.
func TestHungRelayIsAvoided(t *testing.T) {
	sim := newSim(2)
	sim.relays = []feed.RelayAddress{{Address: "n0", Domain: "d0"}, {Address: "n1", Domain: "d"}}
	_, ok := sim.runUntilState(time.Second)
	assert.Assert(t, ok)
	sim.nodes["n1"].isDead = true
	for began := sim.now; sim.now.Sub(began) < 10*time.Second; {
		_, ok := sim.runUntilState(viewBound)
		assert.Assert(t, ok)
	}
	assert.Assert(t, sim.watched["n1"] <= 5, "the hung relay was watched %d times in 10 s", sim.watched["n1"])
}

// TestDirectClientFollowsItsSeed guards against a control node that waits for the former leader although it knows the new one.
func TestDirectClientFollowsItsSeed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	finder := watch.NewFinder("n", "d", true)
	requests, _ := finder.Next(now, []string{"old"})
	assert.Equal(t, requests[0].Address, "old")
	requests, _ = finder.Next(now.Add(100*time.Millisecond), []string{"new"})
	assert.Equal(t, len(requests), 1)
	assert.Equal(t, requests[0].Address, "new")
}

// TestCallThatNeverEndsIsGivenUp guards against a client that waits for ever for a call that does not observe its timeout.
func TestCallThatNeverEndsIsGivenUp(t *testing.T) {
	for _, isDirect := range []bool{true, false} {
		now := time.Unix(1_700_000_000, 0)
		finder := watch.NewFinder("n", "d", isDirect)
		seeds := []string{"a"}
		requests, _ := finder.Next(now, seeds)
		if !isDirect {
			finder.Handle(now, requests[0], &feed.WatchReply{Leads: true, Leader: "a", Members: seeds}, nil)
			requests, _ = finder.Next(now, seeds)
		}
		assert.Assert(t, !requests[0].IsSearch)
		watched := 0
		for at := now; at.Sub(now) < 3*time.Second; at = at.Add(50 * time.Millisecond) {
			requests, _ = finder.Next(at, seeds)
			for _, request := range requests {
				if !request.IsSearch {
					watched++
				} else {
					finder.Handle(at, request, &feed.WatchReply{Leads: true, Leader: "a", Members: seeds}, nil)
				}
			}
		}
		assert.Assert(t, watched > 0, "direct %v", isDirect)
	}
}
