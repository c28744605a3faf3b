package quorum

import (
	"math/rand/v2"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Role is what a member does in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (role Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[role]
}

// The errors of a proposal.
var (
	// ErrNotLeader means that the proposal was not taken and nothing was appended.
	ErrNotLeader = celerylanding.Namespace.NewType("not_leader")
	// ErrMembershipPending means that an earlier membership change is not committed yet.
	ErrMembershipPending = celerylanding.Namespace.NewType("membership_pending")
	// ErrBadMessage means that a message was malformed and changed nothing.
	ErrBadMessage = celerylanding.Namespace.NewType("bad_message")
)

// Settings fix the timing of a member.
type Settings struct {
	ID MemberID
	// ElectionTimeout is the shortest silence after which a follower asks for votes; the longest is twice that.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two messages of a leader to a voter.
	HeartbeatInterval time.Duration
	// LearnerHeartbeatInterval is the time between two messages of a leader to a member without a vote.
	LearnerHeartbeatInterval time.Duration
	// MaxAppendEntries bounds the entries of one message.
	MaxAppendEntries int
	// Random supplies the spread of the election timeouts.
	Random *rand.Rand
}

// Position identifies an entry; the same index in another term is another entry.
type Position struct {
	Index uint64
	Term  uint64
}

// progress is what a leader knows of one other member.
type progress struct {
	next          uint64
	match         uint64
	applied       uint64
	contact       time.Time
	snapshotUntil time.Time
	// heartbeatDue is when a learner gets its next message if nothing happens.
	heartbeatDue time.Time
}

// Core is one member of the log.
type Core struct {
	settings Settings
	started  time.Time
	hard     HardState
	log      entryLog
	role     Role
	leader   MemberID
	commit   uint64
	applied  uint64

	members      []Member
	membersIndex uint64

	electionDue   time.Time
	heartbeatDue  time.Time
	quorumDue     time.Time
	leaderContact time.Time
	// released is set when the leader of the term has told that it leads no more.
	released bool
	votes    map[MemberID]bool
	peers    map[MemberID]*progress

	effects Effects
}

// New returns a member that goes on from what it had made durable.
func New(now time.Time, settings Settings, hard HardState, snapshot Snapshot, entries []Entry) *Core {
	core := &Core{
		settings: settings,
		started:  now,
		hard:     hard,
		log:      entryLog{snapshot: snapshot, entries: entries},
		commit:   snapshot.Index,
		applied:  snapshot.Index,
	}
	core.reloadMembers()
	core.resetElection(now)
	if core.returnsToLead(now) {
		core.electionDue = now
	}
	return core
}

// Bootstrap returns the first records of a new log with one voter.
func Bootstrap(member Member) []Record {
	hard := HardState{Term: 1, Vote: member.ID}
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: []Member{member}}
	return []Record{{HardState: &hard}, {Entry: &entry}}
}

// BootstrapVoters returns the first records of a new log with several voters. Every one of them starts with the same records, so
// that no second log can come into being; nobody has a vote left in the first term.
func BootstrapVoters(members []Member) []Record {
	hard := HardState{Term: 1, Vote: "bootstrap"}
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members}
	return []Record{{HardState: &hard}, {Entry: &entry}}
}

// Tick lets the member act on the passing of time.
func (core *Core) Tick(now time.Time) Effects {
	switch {
	case core.role == Leader:
		core.tickLeader(now)
	case !now.Before(core.electionDue):
		core.startPreVote(now)
	}
	return core.take()
}

// Receive takes a message of another member; a malformed one is an error and changes nothing.
func (core *Core) Receive(now time.Time, message Message) (Effects, error) {
	if err := core.check(message); err != nil {
		return Effects{}, err
	}
	if message.Term > core.hard.Term && message.Kind != MessagePreVote && message.Kind != MessagePreVoteReply {
		if message.Kind == MessageVote && core.owesSilence(now, message.From) {
			return Effects{}, nil
		}
		core.becomeFollower(now, message.Term, "")
	}
	switch message.Kind {
	case MessagePreVote:
		core.onPreVote(now, message)
	case MessagePreVoteReply:
		core.onPreVoteReply(now, message)
	case MessageVote:
		core.onVote(now, message)
	case MessageVoteReply:
		core.onVoteReply(now, message)
	case MessageAppend:
		core.onAppend(now, message)
	case MessageAppendReply:
		core.onAppendReply(now, message)
	case MessageSnapshot:
		core.onSnapshot(now, message)
	case MessageRelease:
		core.onRelease(now, message)
	}
	return core.take(), nil
}

// Propose appends a batch of commands; it returns the position of the first one, which holds if it is ever committed.
func (core *Core) Propose(now time.Time, commands [][]byte) (Position, Effects, error) {
	if core.role != Leader {
		return Position{}, Effects{}, ErrNotLeader.New("leader is %q", core.leader)
	}
	position := Position{Index: core.log.lastIndex() + 1, Term: core.hard.Term}
	for _, command := range commands {
		core.appendEntry(Entry{Kind: EntryCommand, Data: command})
	}
	core.replicate(now)
	return position, core.take(), nil
}

// ProposeMembers appends a change of the membership; at most one voter may differ from the present one.
func (core *Core) ProposeMembers(now time.Time, members []Member) (Effects, error) {
	if core.role != Leader {
		return Effects{}, ErrNotLeader.New("leader is %q", core.leader)
	}
	if core.membersIndex > core.commit || !core.HasCommittedInTerm() {
		return Effects{}, ErrMembershipPending.New("change at index %d is not committed", core.membersIndex)
	}
	if votersChanged(core.members, members) > 1 {
		return Effects{}, ErrBadMessage.New("more than one voter changes at once")
	}
	core.appendEntry(Entry{Kind: EntryMembers, Members: members})
	core.reloadMembers()
	core.syncPeers(now)
	core.replicate(now)
	return core.take(), nil
}

// Compact drops the log up to the index, whose applied state is the data.
func (core *Core) Compact(index uint64, data []byte) Effects {
	term, ok := core.log.term(index)
	if !ok || index <= core.log.snapshot.Index || index > core.applied {
		return Effects{}
	}
	snapshot := Snapshot{Index: index, Term: term, Members: core.membersAt(index), Data: data}
	core.log.compact(snapshot)
	core.effects.Records = append(core.effects.Records, Record{Snapshot: &snapshot})
	return core.take()
}

// HasLeaderLease reports whether no other leader can exist now: a quorum has answered a message sent so recently that it
// still refuses its votes to others.
func (core *Core) HasLeaderLease(now time.Time) bool {
	return core.HasCommittedInTerm() && core.hasContactQuorum(now, core.settings.ElectionTimeout*3/4)
}

// HasCommittedInTerm reports whether this leader has applied all that earlier terms may have committed.
func (core *Core) HasCommittedInTerm() bool {
	term, ok := core.log.term(core.commit)
	return core.role == Leader && ok && term == core.hard.Term
}

// Role returns the present role.
func (core *Core) Role() Role { return core.role }

// Term returns the present term.
func (core *Core) Term() uint64 { return core.hard.Term }

// Leader returns the leader of the present term, or "" while it is unknown.
func (core *Core) Leader() MemberID { return core.leader }

// Members returns the latest membership, committed or not.
func (core *Core) Members() []Member { return core.members }

// CommitIndex returns the last committed index that is known here.
func (core *Core) CommitIndex() uint64 { return core.commit }

// LastIndex returns the last index of the log.
func (core *Core) LastIndex() uint64 { return core.log.lastIndex() }

// LogLength returns how many entries follow the last snapshot.
func (core *Core) LogLength() int { return len(core.log.entries) }

// HardState returns what the member has voted for.
func (core *Core) HardState() HardState { return core.hard }

// LogTail returns the snapshot and the entries that follow it.
func (core *Core) LogTail() (Snapshot, []Entry) { return core.log.snapshot, core.log.entries }

// Progress returns, on a leader, the matching and applied index of a member and the time of its last answer.
func (core *Core) Progress(id MemberID) (match, applied uint64, contact time.Time) {
	if id == core.settings.ID {
		return core.log.lastIndex(), core.applied, time.Time{}
	}
	peer, ok := core.peers[id]
	if !ok {
		return 0, 0, time.Time{}
	}
	return peer.match, peer.applied, peer.contact
}

func (core *Core) take() Effects {
	effects := core.effects
	core.effects = Effects{}
	return effects
}

func (core *Core) check(message Message) error {
	if message.Kind == 0 || message.Kind >= messageKindEnd {
		return ErrBadMessage.New("unknown kind %d", message.Kind)
	}
	if message.To != core.settings.ID {
		return ErrBadMessage.New("message for %q reached %q", message.To, core.settings.ID)
	}
	if message.From == "" || message.From == core.settings.ID {
		return ErrBadMessage.New("message from %q", message.From)
	}
	if message.Kind == MessageSnapshot && message.Snapshot == nil {
		return ErrBadMessage.New("snapshot message without a snapshot")
	}
	for i, entry := range message.Entries {
		if entry.Index != message.LastIndex+uint64(i)+1 || entry.Term > message.Term {
			return ErrBadMessage.New("entry %d of the message has index %d and term %d", i, entry.Index, entry.Term)
		}
	}
	return nil
}

func (core *Core) send(message Message) {
	message.From = core.settings.ID
	if message.Term == 0 {
		message.Term = core.hard.Term
	}
	core.effects.Messages = append(core.effects.Messages, message)
}

func (core *Core) saveHardState() {
	hard := core.hard
	core.effects.Records = append(core.effects.Records, Record{HardState: &hard})
}

func (core *Core) saveEntry(entry Entry) {
	core.effects.Records = append(core.effects.Records, Record{Entry: &entry})
}

// advanceCommit hands out the entries up to the index.
func (core *Core) advanceCommit(index uint64) {
	if index <= core.commit {
		return
	}
	core.commit = index
	core.effects.Committed = append(core.effects.Committed, core.log.slice(core.applied+1, index)...)
	core.applied = index
}
