package quorum_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
)

const (
	electionTimeout = time.Second
	maxVoters       = 3
)

// TestMain fixes the seed, so that every run tries the same histories; -rapid.seed and -rapid.checks on the command line win.
func TestMain(main *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.steps": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(main.Run())
}

// replica is one incarnation of a node with its disk.
type replica struct {
	member  quorum.Member
	core    *quorum.Core
	durable quorum.PersistentState
	up      bool
	gone    bool
	drift   float64
	applied []quorum.Entry
}

// cluster is a set of members with a network that loses, repeats, delays and reorders.
type cluster struct {
	now       time.Time
	seed      uint64
	replicas  []*replica
	network   []quorum.Message
	committed map[uint64]quorum.Entry
	leaders   map[uint64]quorum.MemberID
	proposed  int
	wipes     int
	random    *rand.Rand
	// cut holds the directed links that carry nothing.
	cut map[link]bool
}

// link is one direction between two nodes.
type link struct {
	from, to celerylanding.NodeID
}

func newCluster(seed uint64, size int) *cluster {
	world := &cluster{
		now:       time.Unix(1_000_000, 0),
		seed:      seed,
		committed: make(map[uint64]quorum.Entry),
		leaders:   make(map[uint64]quorum.MemberID),
		random:    rand.New(rand.NewPCG(seed, 7)),
		cut:       make(map[link]bool),
	}
	first := world.add(0)
	for _, record := range quorum.Bootstrap(first.member) {
		first.persist(record)
	}
	for i := 1; i < size; i++ {
		world.add(i)
	}
	for _, replica := range world.replicas {
		world.start(replica)
	}
	return world
}

func (world *cluster) add(node int) *replica {
	name := fmt.Sprintf("n%d", node)
	added := &replica{
		member: quorum.Member{
			ID:      quorum.MemberID(fmt.Sprintf("%s/%d", name, len(world.replicas))),
			Node:    celerylanding.NodeID(name),
			Address: name,
			Durable: true,
		},
		drift: float64(node%3-1) * 0.05,
	}
	world.replicas = append(world.replicas, added)
	return added
}

func (replica *replica) persist(record quorum.Record) {
	if err := replica.durable.Replay(record); err != nil {
		panic(err)
	}
}

func (world *cluster) start(replica *replica) {
	world.seed++
	replica.up = true
	replica.applied = nil
	replica.core = quorum.New(world.clock(replica), quorum.Settings{
		ID:                       replica.member.ID,
		ElectionTimeout:          electionTimeout,
		HeartbeatInterval:        electionTimeout / 10,
		LearnerHeartbeatInterval: electionTimeout / 2,
		MaxAppendEntries:         4,
		Random:                   rand.New(rand.NewPCG(world.seed, 0)),
	}, replica.durable.HardState, replica.durable.Snapshot, slices.Clone(replica.durable.Entries))
}

// clock returns a member's own time, which runs up to a twentieth fast or slow.
func (world *cluster) clock(replica *replica) time.Time {
	elapsed := world.now.Sub(time.Unix(1_000_000, 0))
	return time.Unix(1_000_000, 0).Add(elapsed + time.Duration(float64(elapsed)*replica.drift))
}

// carry does what the effects ask for; with a crash the messages are lost, or the records as well.
func (world *cluster) carry(replica *replica, effects quorum.Effects, crash string) {
	if crash != "before records" {
		for _, record := range effects.Records {
			replica.persist(record)
		}
	}
	if crash != "" {
		replica.up = false
		return
	}
	world.network = append(world.network, effects.Messages...)
	if effects.InstallSnapshot != nil {
		replica.applied = nil
	}
	for _, entry := range effects.Committed {
		replica.applied = append(replica.applied, entry)
		world.checkCommitted(entry)
	}
}

func (world *cluster) checkCommitted(entry quorum.Entry) {
	known, ok := world.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		panic(fmt.Sprintf("index %d was committed as term %d and as term %d", entry.Index, known.Term, entry.Term))
	}
	world.committed[entry.Index] = entry
}

func (world *cluster) live() []*replica {
	var live []*replica
	for _, replica := range world.replicas {
		if replica.up {
			live = append(live, replica)
		}
	}
	return live
}

func (world *cluster) find(id quorum.MemberID) *replica {
	for _, replica := range world.replicas {
		if replica.member.ID == id {
			return replica
		}
	}
	return nil
}

func (world *cluster) deliver(message quorum.Message, crash string) {
	receiver := world.find(message.To)
	if receiver == nil || !receiver.up {
		return
	}
	effects, err := receiver.core.Receive(world.clock(receiver), message)
	if err != nil {
		panic(err)
	}
	world.carry(receiver, effects, crash)
}

// lead does what a leader's node does beside the log: take newcomers in and change the membership.
func (world *cluster) lead(replica *replica) {
	now := world.clock(replica)
	if !replica.core.HasCommittedInTerm() {
		return
	}
	for _, newcomer := range world.replicas {
		if newcomer.gone {
			continue
		}
		if members, changed := membership.AddLearner(replica.core.Members(), newcomer.member); changed {
			if effects, err := replica.core.ProposeMembers(now, members); err == nil {
				world.carry(replica, effects, "")
			}
			return
		}
	}
	members, ok := membership.NextChange(replica.core.Members(), maxVoters, replica.core.CommitIndex(),
		func(id quorum.MemberID) membership.Progress {
			match, _, _ := replica.core.Progress(id)
			return membership.Progress{Match: match}
		})
	if ok {
		if effects, err := replica.core.ProposeMembers(now, members); err == nil {
			world.carry(replica, effects, "")
		}
	}
}

func (world *cluster) tick(replica *replica) {
	world.carry(replica, replica.core.Tick(world.clock(replica)), "")
	world.lead(replica)
}

// check holds the promises of the log after every step.
func (world *cluster) check(t *rapid.T) {
	holders := 0
	for _, replica := range world.live() {
		if replica.core.Role() == quorum.Leader {
			term := replica.core.Term()
			if other, ok := world.leaders[term]; ok && other != replica.member.ID {
				t.Fatalf("two leaders in term %d: %s and %s", term, other, replica.member.ID)
			}
			world.leaders[term] = replica.member.ID
		}
		if replica.core.HasLeaderLease(world.clock(replica)) {
			holders++
		}
		for i, entry := range replica.applied {
			if i > 0 && entry.Index != replica.applied[i-1].Index+1 {
				t.Fatalf("%s applied %d after %d", replica.member.ID, entry.Index, replica.applied[i-1].Index)
			}
		}
	}
	if holders > 1 {
		t.Fatalf("%d leaders are sure of their leadership at once", holders)
	}
}

func pickOne[T any](t *rapid.T, name string, list []T) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(t, name)]
}

// settle heals everything and lets time pass until a command proposed now is committed everywhere.
func (world *cluster) settle(t *rapid.T) {
	world.restartAll()
	clear(world.cut)
	before := len(world.committed)
	for range 4000 {
		world.now = world.now.Add(20 * time.Millisecond)
		for _, replica := range world.live() {
			world.tick(replica)
		}
		messages := world.network
		world.network = nil
		for _, message := range messages {
			world.deliver(message, "")
		}
		world.check(t)
		if world.proposeAnywhere("settle") && len(world.committed) > before+20 {
			return
		}
	}
	t.Fatalf("no progress after everything was healed; wipes %d", world.wipes)
}

func (world *cluster) proposeAnywhere(text string) bool {
	for _, replica := range world.live() {
		if replica.core.Role() != quorum.Leader {
			continue
		}
		world.proposed++
		_, effects, err := replica.core.Propose(world.clock(replica), [][]byte{fmt.Appendf(nil, "%s %d", text, world.proposed)})
		if err == nil {
			world.carry(replica, effects, "")
			return true
		}
	}
	return false
}

// faults are the shares of messages and steps, in a thousand, that go wrong.
type faults struct {
	lose, delay, repeat, crash int
}

func (world *cluster) happens(perMille int) bool { return world.random.IntN(1000) < perMille }

// step lets a little time pass under the faults.
func (world *cluster) step(faults faults) {
	world.now = world.now.Add(time.Duration(10+world.random.IntN(90)) * time.Millisecond)
	for _, replica := range world.live() {
		if !world.happens(faults.delay) {
			world.tick(replica)
		}
	}
	if world.happens(400) {
		world.proposeAnywhere("command")
	}
	messages := world.network
	world.network = nil
	world.random.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, message := range messages {
		world.pass(message, faults)
	}
}

func (world *cluster) pass(message quorum.Message, faults faults) {
	from, to := world.find(message.From), world.find(message.To)
	if world.happens(faults.lose) || to == nil || world.cut[link{from.member.Node, to.member.Node}] {
		return
	}
	if world.happens(faults.delay) {
		world.network = append(world.network, message)
		return
	}
	if world.happens(faults.repeat) {
		world.network = append(world.network, message)
	}
	crash := ""
	if world.happens(faults.crash) {
		crash = []string{"before records", "after records"}[world.random.IntN(2)]
	}
	world.deliver(message, crash)
}

func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCluster(rapid.Uint64().Draw(t, "seed"), 3)
		world.settle(t)
		t.Repeat(map[string]func(*rapid.T){
			"": world.check,
			"run": func(t *rapid.T) {
				faults := faults{
					lose:   rapid.IntRange(0, 300).Draw(t, "lose"),
					delay:  rapid.IntRange(0, 500).Draw(t, "delay"),
					repeat: rapid.IntRange(0, 200).Draw(t, "repeat"),
					crash:  rapid.IntRange(0, 10).Draw(t, "crash"),
				}
				for range rapid.IntRange(1, 40).Draw(t, "steps") {
					world.step(faults)
					world.check(t)
				}
			},
			"cut": func(t *rapid.T) {
				isOneWay := rapid.Bool().Draw(t, "one way")
				lonely := celerylanding.NodeID(fmt.Sprintf("n%d", rapid.IntRange(0, 2).Draw(t, "node")))
				for i := range 3 {
					other := celerylanding.NodeID(fmt.Sprintf("n%d", i))
					world.cut[link{lonely, other}] = other != lonely
					world.cut[link{other, lonely}] = other != lonely && !isOneWay
				}
			},
			"heal": func(*rapid.T) { clear(world.cut) },
			"crash": func(t *rapid.T) {
				if live := world.live(); len(live) > 0 {
					pickOne(t, "crashed", live).up = false
				}
			},
			"restart": func(*rapid.T) { world.restartAll() },
			"release": func(*rapid.T) {
				for _, replica := range world.live() {
					world.carry(replica, replica.core.StepDown(world.clock(replica)), "")
				}
			},
			"compact": func(*rapid.T) {
				for _, replica := range world.live() {
					world.carry(replica, replica.core.Compact(replica.core.CommitIndex(), []byte("state")), "")
				}
			},
			"lose disk": world.loseDisk,
		})
		world.settle(t)
	})
}

func (world *cluster) restartAll() {
	for _, replica := range world.replicas {
		if !replica.up && !replica.gone {
			world.start(replica)
		}
	}
}

// loseDisk replaces one node by a new incarnation, if the earlier loss has been repaired.
func (world *cluster) loseDisk(t *rapid.T) {
	voters := world.repairedVoters()
	if len(voters) < maxVoters {
		return
	}
	lost := world.find(pickOne(t, "lost", voters).ID)
	lost.up = false
	lost.gone = true
	world.wipes++
	var node int
	if _, err := fmt.Sscanf(string(lost.member.Node), "n%d", &node); err != nil {
		panic(err)
	}
	world.start(world.add(node))
}

// repairedVoters returns the voters if the whole membership is committed and alive on disk.
func (world *cluster) repairedVoters() []quorum.Member {
	for _, replica := range world.live() {
		if replica.core.Role() != quorum.Leader || !replica.core.HasCommittedInTerm() || replica.core.CommitIndex() < replica.core.LastIndex() {
			continue
		}
		var voters []quorum.Member
		for _, member := range replica.core.Members() {
			if member.Learner || world.find(member.ID).gone {
				return nil
			}
			voters = append(voters, member)
		}
		return voters
	}
	return nil
}
