package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/quorum"
)

var (
	startTime = time.Unix(1000, 0)
	members   = []quorum.Member{
		{ID: "a/1", Node: "a", Durable: true},
		{ID: "b/1", Node: "b", Durable: true},
		{ID: "c/1", Node: "c", Durable: true},
	}
)

// newMember returns a member in the given term whose log holds the membership at index 1 and then one command for each of the terms.
func newMember(id quorum.MemberID, term uint64, terms ...uint64) *quorum.Core {
	entries := []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: members}}
	for i, entryTerm := range terms {
		entries = append(entries, quorum.Entry{Index: uint64(i) + 2, Term: entryTerm, Kind: quorum.EntryCommand})
	}
	return quorum.New(startTime, quorum.Settings{ID: id, ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 10, LearnerHeartbeatInterval: electionTimeout / 2,
		MaxAppendEntries: 1, Random: rand.New(rand.NewPCG(1, 1))}, quorum.HardState{Term: term}, quorum.Snapshot{}, entries)
}

func receive(t *testing.T, core *quorum.Core, now time.Time, message quorum.Message) quorum.Effects {
	t.Helper()
	effects, err := core.Receive(now, message)
	assert.NilError(t, err)
	return effects
}

func hasGrant(effects quorum.Effects) bool {
	for _, message := range effects.Messages {
		if message.Granted {
			return true
		}
	}
	return false
}

// elect makes member a the leader with the votes of b and returns the time of the election.
func elect(t *testing.T, core *quorum.Core, now time.Time) time.Time {
	t.Helper()
	now = now.Add(2 * electionTimeout)
	core.Tick(now)
	receive(t, core, now, quorum.Message{Kind: quorum.MessagePreVoteReply, From: "b/1", To: "a/1", Term: core.Term() + 1, Granted: true})
	receive(t, core, now, quorum.Message{Kind: quorum.MessageVoteReply, From: "b/1", To: "a/1", Term: core.Term(), Granted: true})
	assert.Equal(t, core.Role(), quorum.Leader)
	return now
}

// Guards against two votes in one term: a vote that is not persisted is forgotten at a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	now := startTime.Add(2 * electionTimeout)
	core := newMember("a/1", 1)
	vote := quorum.Message{Kind: quorum.MessageVote, From: "b/1", To: "a/1", Term: 2, LastIndex: 1, LastTerm: 1}
	effects := receive(t, core, now, vote)
	assert.Assert(t, hasGrant(effects))

	state := quorum.PersistentState{}
	for _, record := range effects.Records {
		assert.NilError(t, state.Replay(record))
	}
	restarted := quorum.New(now, quorum.Settings{ID: "a/1", ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 10, LearnerHeartbeatInterval: electionTimeout / 2,
		MaxAppendEntries: 1, Random: rand.New(rand.NewPCG(1, 1))}, state.HardState, quorum.Snapshot{Index: 1, Term: 1, Members: members}, nil)
	vote.From = "c/1"
	assert.Assert(t, !hasGrant(receive(t, restarted, now.Add(2*electionTimeout), vote)), "second vote in term 2")
}

func TestVoteNeedsUpToDateLog(t *testing.T) {
	for _, row := range []struct {
		name                string
		lastIndex, lastTerm uint64
		granted             bool
	}{
		{"same log", 3, 2, true},
		{"longer log", 4, 2, true},
		{"later term, shorter log", 2, 3, true},
		{"shorter log", 2, 2, false},
		{"earlier term, longer log", 9, 1, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			core := newMember("a/1", 2, 2, 2)
			vote := quorum.Message{Kind: quorum.MessageVote, From: "b/1", To: "a/1", Term: 3, LastIndex: row.lastIndex, LastTerm: row.lastTerm}
			assert.Equal(t, hasGrant(receive(t, core, startTime.Add(2*electionTimeout), vote)), row.granted)
		})
	}
}

// Guards against a second leader while the lease of the first is in force: a restarted voter does not know when it last answered a leader.
func TestNoVoteRightAfterStart(t *testing.T) {
	core := newMember("a/1", 1)
	vote := quorum.Message{Kind: quorum.MessageVote, From: "b/1", To: "a/1", Term: 2, LastIndex: 1, LastTerm: 1}
	assert.Assert(t, !hasGrant(receive(t, core, startTime.Add(electionTimeout/2), vote)),
		"a member that has just started may be bound by a leader lease")
	assert.Assert(t, hasGrant(receive(t, core, startTime.Add(electionTimeout), vote)))
}

// Guards against the disruption of a working leader by a member that returns from a partition with a higher term.
func TestNoVoteWhileLeaderIsAlive(t *testing.T) {
	core := newMember("a/1", 2)
	now := startTime.Add(3 * electionTimeout)
	receive(t, core, now, quorum.Message{Kind: quorum.MessageAppend, From: "c/1", To: "a/1", Term: 2, LastIndex: 1, LastTerm: 1})
	vote := quorum.Message{Kind: quorum.MessageVote, From: "b/1", To: "a/1", Term: 7, LastIndex: 9, LastTerm: 2}
	assert.Assert(t, !hasGrant(receive(t, core, now.Add(electionTimeout/2), vote)))
	assert.Equal(t, core.Term(), uint64(2), "a member that returns from a partition must not raise the term")
	pre := vote
	pre.Kind = quorum.MessagePreVote
	assert.Assert(t, !hasGrant(receive(t, core, now.Add(electionTimeout/2), pre)))
}

// Guards against committing an entry of an older term by counting replicas: a later leader could still overwrite it (Raft, section 5.4.2).
func TestEntryOfOlderTermIsNotCommittedAlone(t *testing.T) {
	core := newMember("a/1", 3, 2)
	now := elect(t, core, startTime)
	term := core.Term()
	reply := quorum.Message{Kind: quorum.MessageAppendReply, From: "b/1", To: "a/1", Term: term, Granted: true, Match: 2}
	assert.Equal(t, len(receive(t, core, now, reply).Committed), 0, "index 2 is of term 2")
	reply.Match = 3
	assert.Equal(t, len(receive(t, core, now, reply).Committed), 3, "an entry of the current term commits those before it")
}

// Guards against a leader lease that outlasts the time for which voters refuse other candidates. Voters count that time from the
// receipt of a message, so the leader counts the lease from the sending of the message and not from the arrival of a late reply.
func TestLeaderLeaseCountsFromSending(t *testing.T) {
	core := newMember("a/1", 1)
	now := elect(t, core, startTime)
	var sent quorum.Message
	for _, message := range core.Tick(now.Add(electionTimeout / 10)).Messages {
		if message.To == "b/1" {
			sent = message
		}
	}
	answered := now.Add(electionTimeout)
	receive(t, core, answered, quorum.Message{Kind: quorum.MessageAppendReply, From: "b/1", To: "a/1", Term: core.Term(),
		Granted: true, Match: core.LastIndex(), Sent: sent.Sent})
	assert.Assert(t, core.HasCommittedInTerm())
	assert.Assert(t, !core.HasLeaderLease(answered), "the answered message was sent a full election timeout ago")
}

func TestOneMembershipChangeAtATime(t *testing.T) {
	core := newMember("a/1", 1)
	now := elect(t, core, startTime)
	_, err := core.ProposeMembers(now, members[:2])
	assert.Assert(t, errorx.IsOfType(err, quorum.ErrMembershipPending), "before the first commit of the term: %v", err)
	reply := quorum.Message{Kind: quorum.MessageAppendReply, From: "b/1", To: "a/1", Term: core.Term(), Granted: true, Match: core.LastIndex()}
	receive(t, core, now, reply)
	_, err = core.ProposeMembers(now, members[:1])
	assert.Assert(t, errorx.IsOfType(err, quorum.ErrBadMessage), "two voters at once: %v", err)
	_, err = core.ProposeMembers(now, members[:2])
	assert.NilError(t, err)
	_, err = core.ProposeMembers(now, members[:1])
	assert.Assert(t, errorx.IsOfType(err, quorum.ErrMembershipPending), "%v", err)
}

func TestMalformedMessagesChangeNothing(t *testing.T) {
	good := quorum.Message{Kind: quorum.MessageAppend, From: "b/1", To: "a/1", Term: 5, LastIndex: 1, LastTerm: 1,
		Entries: []quorum.Entry{{Index: 2, Term: 5}}}
	for _, row := range []struct {
		name    string
		corrupt func(*quorum.Message)
	}{
		{"no kind", func(message *quorum.Message) { message.Kind = 0 }},
		{"unknown kind", func(message *quorum.Message) { message.Kind = 99 }},
		{"for another member", func(message *quorum.Message) { message.To = "a/2" }},
		{"without a sender", func(message *quorum.Message) { message.From = "" }},
		{"from itself", func(message *quorum.Message) { message.From = "a/1" }},
		{"gap in the entries", func(message *quorum.Message) { message.Entries[0].Index = 4 }},
		{"entry of a later term", func(message *quorum.Message) { message.Entries[0].Term = 6 }},
		{"snapshot without content", func(message *quorum.Message) { message.Kind = quorum.MessageSnapshot }},
	} {
		t.Run(row.name, func(t *testing.T) {
			core := newMember("a/1", 1)
			message := good
			message.Entries = []quorum.Entry{good.Entries[0]}
			row.corrupt(&message)
			effects, err := core.Receive(startTime, message)
			assert.Assert(t, errorx.IsOfType(err, quorum.ErrBadMessage), "%v", err)
			assert.Assert(t, effects.IsEmpty())
			assert.Equal(t, core.Term(), uint64(1))
			assert.Equal(t, core.LastIndex(), uint64(1))
		})
	}
}

func TestOldTermChangesNothing(t *testing.T) {
	for _, kind := range []quorum.MessageKind{quorum.MessageAppend, quorum.MessageVote, quorum.MessageAppendReply, quorum.MessageVoteReply} {
		core := newMember("a/1", 5, 5)
		effects := receive(t, core, startTime.Add(3*electionTimeout), quorum.Message{Kind: kind, From: "b/1", To: "a/1", Term: 4,
			LastIndex: 1, LastTerm: 1, Entries: []quorum.Entry{{Index: 2, Term: 4}}, Granted: true})
		assert.Assert(t, !hasGrant(effects))
		assert.Equal(t, len(effects.Records), 0)
		assert.Equal(t, core.LastIndex(), uint64(2))
	}
}

// restart returns the member restored from the membership at index 1 and the given records.
func restart(t *testing.T, now time.Time, id quorum.MemberID, records []quorum.Record) *quorum.Core {
	t.Helper()
	state := quorum.PersistentState{}
	assert.NilError(t, state.Replay(quorum.Record{Entry: &quorum.Entry{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: members}}))
	for _, record := range records {
		assert.NilError(t, state.Replay(record))
	}
	return quorum.New(now, quorum.Settings{ID: id, ElectionTimeout: electionTimeout, HeartbeatInterval: electionTimeout / 10,
		LearnerHeartbeatInterval: electionTimeout / 2, MaxAppendEntries: 1, Random: rand.New(rand.NewPCG(1, 1))},
		state.HardState, state.Snapshot, state.Entries)
}

// recordsOfFollower returns the records that the member persists when it answers a leader of term 2.
func recordsOfFollower(t *testing.T, id, leader quorum.MemberID) []quorum.Record {
	t.Helper()
	return receive(t, newMember(id, 2), startTime, quorum.Message{Kind: quorum.MessageAppend, From: leader, To: id, Term: 2,
		LastIndex: 1, LastTerm: 1}).Records
}

// Guards against a needless wait of an election timeout when all members restart together: the voters know from their hard state that
// the candidate was the only leader that they answered in the term.
func TestRestartedLeaderIsElectedAtOnce(t *testing.T) {
	core := newMember("a/1", 1)
	now := startTime.Add(2 * electionTimeout)
	records := core.Tick(now).Records
	records = append(records, receive(t, core, now,
		quorum.Message{Kind: quorum.MessagePreVoteReply, From: "b/1", To: "a/1", Term: 2, Granted: true}).Records...)
	records = append(records, receive(t, core, now,
		quorum.Message{Kind: quorum.MessageVoteReply, From: "b/1", To: "a/1", Term: 2, Granted: true}).Records...)
	assert.Equal(t, core.Role(), quorum.Leader)

	now = now.Add(electionTimeout)
	leader := restart(t, now, "a/1", records)
	voter := restart(t, now, "b/1", append(recordsOfFollower(t, "b/1", "a/1"), *lastEntryRecord(records)))
	requests := leader.Tick(now).Messages
	assert.Assert(t, len(requests) > 0, "the former leader requests votes at once")
	reply := receive(t, voter, now, messageTo(t, requests, "b/1"))
	assert.Assert(t, hasGrant(reply), "a pre-vote for the leader that the voter followed")
	vote := receive(t, leader, now, messageTo(t, reply.Messages, "a/1"))
	elected := receive(t, voter, now, messageTo(t, vote.Messages, "b/1"))
	assert.Assert(t, hasGrant(elected), "a vote for it")
	receive(t, leader, now, messageTo(t, elected.Messages, "a/1"))
	assert.Equal(t, leader.Role(), quorum.Leader)
}

// lastEntryRecord returns the last record that holds an entry.
func lastEntryRecord(records []quorum.Record) *quorum.Record {
	var last *quorum.Record
	for i := range records {
		if records[i].Entry != nil {
			last = &records[i]
		}
	}
	return last
}

// messageTo returns the first message to the member.
func messageTo(t *testing.T, messages []quorum.Message, to quorum.MemberID) quorum.Message {
	t.Helper()
	for _, message := range messages {
		if message.To == to {
			return message
		}
	}
	t.Fatalf("no message to %s", to)
	return quorum.Message{}
}

func TestRestartedLeaderRequestsVotesUntilOthersStart(t *testing.T) {
	records := []quorum.Record{{HardState: &quorum.HardState{Term: 2, Vote: "a/1", Leader: "a/1"}}}
	core := restart(t, startTime, "a/1", records)
	rounds := 0
	for now := startTime; now.Sub(startTime) < electionTimeout; now = now.Add(electionTimeout / 50) {
		if len(core.Tick(now).Messages) > 0 {
			rounds++
		}
	}
	assert.Assert(t, rounds >= 8, "%d rounds of vote requests within an election timeout", rounds)
}

func TestNoVoteRightAfterStartExceptForLastLeader(t *testing.T) {
	vote := quorum.Message{Kind: quorum.MessageVote, From: "b/1", To: "a/1", Term: 3, LastIndex: 9, LastTerm: 2}
	now := startTime.Add(electionTimeout / 2)
	for _, kind := range []quorum.MessageKind{quorum.MessagePreVote, quorum.MessageVote} {
		vote.Kind = kind
		core := restart(t, startTime, "a/1", recordsOfFollower(t, "a/1", "c/1"))
		assert.Assert(t, !hasGrant(receive(t, core, now, vote)), "c may hold a leader lease")
		votedForB := restart(t, startTime, "a/1", []quorum.Record{{HardState: &quorum.HardState{Term: 2, Vote: "b/1"}}})
		assert.Assert(t, !hasGrant(receive(t, votedForB, now, vote)), "a vote for b does not prove that b was the leader of the term")
	}
}

func TestVotersElectAtOnceAfterStepDown(t *testing.T) {
	core := newMember("a/1", 1)
	now := elect(t, core, startTime)
	voter, other := newMember("b/1", core.Term()), newMember("c/1", core.Term())
	for _, follower := range []*quorum.Core{voter, other} {
		id := quorum.MemberID("b/1")
		if follower == other {
			id = "c/1"
		}
		receive(t, follower, now, quorum.Message{Kind: quorum.MessageAppend, From: "a/1", To: id, Term: core.Term(), LastIndex: 1, LastTerm: 1})
	}
	stepDowns := core.StepDown(now).Messages
	assert.Assert(t, core.Role() != quorum.Leader && !core.HasLeaderLease(now))
	receive(t, voter, now, messageTo(t, stepDowns, "b/1"))
	requests := voter.Tick(now.Add(electionTimeout / 10)).Messages
	assert.Assert(t, !hasGrant(receive(t, other, now.Add(electionTimeout/10), messageTo(t, requests, "c/1"))), "c has not received the step-down yet")
	receive(t, other, now, messageTo(t, stepDowns, "c/1"))
	assert.Assert(t, hasGrant(receive(t, other, now.Add(electionTimeout/10), messageTo(t, requests, "c/1"))))
}

func TestOnlyTheLeaderOfTheTermStepsDown(t *testing.T) {
	voter := newMember("b/1", 2)
	now := startTime.Add(3 * electionTimeout)
	receive(t, voter, now, quorum.Message{Kind: quorum.MessageAppend, From: "a/1", To: "b/1", Term: 2, LastIndex: 1, LastTerm: 1})
	for _, stepDown := range []quorum.Message{
		{Kind: quorum.MessageStepDown, From: "c/1", To: "b/1", Term: 2},
		{Kind: quorum.MessageStepDown, From: "a/1", To: "b/1", Term: 1},
	} {
		receive(t, voter, now, stepDown)
		vote := quorum.Message{Kind: quorum.MessageVote, From: "c/1", To: "b/1", Term: 3, LastIndex: 9, LastTerm: 2}
		assert.Assert(t, !hasGrant(receive(t, voter, now.Add(electionTimeout/2), vote)), "%+v", stepDown)
	}
}

// TestTermsAfterCountsEachTermOnce guards against changes of the leader that a member misses when it gets the entries of several terms at once.
func TestTermsAfterCountsEachTermOnce(t *testing.T) {
	core := newMember("a/1", 9, 2, 2, 5, 5, 7)
	for after, expected := range map[uint64]int{0: 4, 1: 3, 2: 2, 4: 2, 5: 1, 6: 1, 7: 0, 8: 0} {
		newest, count := core.TermsAfter(after)
		assert.Equal(t, newest, uint64(7))
		assert.Equal(t, count, expected, "after %d", after)
	}
	elect(t, core, startTime)
	newest, count := core.TermsAfter(7)
	assert.Equal(t, newest, core.Term())
	assert.Equal(t, count, 1)
}
