package quorum

import (
	"math/rand/v2"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// Role is the Raft role of a member in its current term.
type Role uint8

// The Raft roles; a PreCandidate asks for pre-votes and has not yet raised its term.
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

// Errors of proposals and received messages.
var (
	// ErrNotLeader means that the member is not the leader; nothing was appended.
	ErrNotLeader = celerylanding.ErrorNamespace.NewType("not_leader")
	// ErrMembershipPending means that an earlier membership change, or the first entry of the leader's term, is not committed yet.
	ErrMembershipPending = celerylanding.ErrorNamespace.NewType("membership_pending")
	// ErrBadMessage means that a message or a proposed membership was invalid; nothing was changed.
	ErrBadMessage = celerylanding.ErrorNamespace.NewType("bad_message")
)

// Settings configure the identity and timing of a member.
type Settings struct {
	ID MemberID
	// ElectionTimeout is the minimum time without a leader message before a follower starts an election; the timeout is drawn
	// between this and twice this value.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two messages from the leader to a voter.
	HeartbeatInterval time.Duration
	// LearnerHeartbeatInterval is the time between two messages from the leader to a learner.
	LearnerHeartbeatInterval time.Duration
	// MaxAppendEntries is the maximum number of entries in one append message.
	MaxAppendEntries int
	// MaxAppendBytes bounds the data of the entries in one append message, which has one entry at least; 0 means no bound.
	MaxAppendBytes int
	// Random supplies the jitter of the election timeouts.
	Random *rand.Rand
}

// Position identifies a log entry: the same index in another term is a different entry.
type Position struct {
	Index uint64
	Term  uint64
}

// progress is the leader's replication state for one other member.
type progress struct {
	// next is the index of the next entry to send.
	next uint64
	// match is the highest index known to be replicated to the member.
	match uint64
	// applied is the highest index that the member has reported as applied.
	applied uint64
	// contact is the send time of the latest message that the member has answered.
	contact time.Time
	// snapshotRetryAt is when an unacknowledged snapshot is sent again; zero when none is in flight.
	snapshotRetryAt time.Time
	// nextHeartbeat is when a learner gets its next heartbeat unless an append is sent to it earlier.
	nextHeartbeat time.Time
}

// Core is the Raft state machine of one member; it is not safe for concurrent use.
type Core struct {
	settings Settings
	// started is when the member was created; Message.Sent counts from it.
	started time.Time
	hard    HardState
	log     entryLog
	role    Role
	leader  MemberID
	commit  uint64
	applied uint64

	members      []Member
	membersIndex uint64

	electionDeadline time.Time
	nextHeartbeat    time.Time
	nextQuorumCheck  time.Time
	// leaderContact is when the last message from the current leader arrived.
	leaderContact time.Time
	// leaderSteppedDown is set when the leader of the current term has announced that it has stepped down.
	leaderSteppedDown bool
	// abstains is set while the member must not lead.
	abstains bool
	votes    map[MemberID]bool
	progress map[MemberID]*progress

	effects Effects
}

// New returns a member restored from its persistent state: hard state, snapshot and the entries after the snapshot.
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
	core.resetElectionTimer(now)
	if core.isRestartedLeader(now) {
		core.electionDeadline = now
	}
	return core
}

// Bootstrap returns the initial records of a new log with one voter.
func Bootstrap(member Member) []Record {
	hard := HardState{Term: 1, Vote: member.ID}
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: []Member{member}}
	return []Record{{HardState: &hard}, {Entry: &entry}}
}

// BootstrapTerm is the term of the bootstrap entry, in which there is no leader.
const BootstrapTerm = 1

// BootstrapVoters returns the initial records of a new log with several voters. All voters must start from the same records, so that
// two different logs can't be created. The vote of term 1 is recorded as cast, so that no member can be elected in the term of
// the bootstrap entry.
func BootstrapVoters(members []Member) []Record {
	hard := HardState{Term: BootstrapTerm, Vote: "bootstrap"}
	entry := Entry{Index: 1, Term: BootstrapTerm, Kind: EntryMembers, Members: members}
	return []Record{{HardState: &hard}, {Entry: &entry}}
}

// Tick runs the timers that are due: heartbeats and the quorum check of a leader, the election timeout of any other member.
func (core *Core) Tick(now time.Time) Effects {
	switch {
	case core.role == Leader:
		core.tickLeader(now)
	case !now.Before(core.electionDeadline):
		core.startPreVote(now)
	}
	return core.takeEffects()
}

// Receive handles a message from another member; an invalid message returns ErrBadMessage and changes nothing.
func (core *Core) Receive(now time.Time, message Message) (Effects, error) {
	if err := core.validate(message); err != nil {
		return Effects{}, err
	}
	if message.Term > core.hard.Term && message.Kind != MessagePreVote && message.Kind != MessagePreVoteReply {
		if message.Kind == MessageVote && core.isBoundByLeaderLease(now, message.From) {
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
	case MessageStepDown:
		core.onStepDown(now, message)
	}
	return core.takeEffects(), nil
}

// Propose appends a batch of commands and returns the position of the first one. The commands are committed only if the entry
// committed at that index has the same term; ErrNotLeader means that nothing was appended.
func (core *Core) Propose(now time.Time, commands [][]byte) (Position, Effects, error) {
	if core.role != Leader {
		return Position{}, Effects{}, ErrNotLeader.New("this member is not the leader; the leader it knows is %q", core.leader)
	}
	position := Position{Index: core.log.lastIndex() + 1, Term: core.hard.Term}
	for _, command := range commands {
		core.appendEntry(Entry{Kind: EntryCommand, Data: command})
	}
	core.broadcastAndCommit(now)
	return position, core.takeEffects(), nil
}

// ProposeMembers appends a membership change that adds or removes at most one voter. It returns ErrNotLeader, ErrMembershipPending
// while an earlier change or the first entry of the term is uncommitted, or ErrBadMessage if more than one voter changes.
func (core *Core) ProposeMembers(now time.Time, members []Member) (Effects, error) {
	if core.role != Leader {
		return Effects{}, ErrNotLeader.New("this member is not the leader; the leader it knows is %q", core.leader)
	}
	if !core.HasCommittedInTerm() {
		return Effects{}, ErrMembershipPending.New("no entry of term %d is committed yet", core.hard.Term)
	}
	if core.membersIndex > core.commit {
		return Effects{}, ErrMembershipPending.New("change at index %d is not committed", core.membersIndex)
	}
	if countChangedVoters(core.members, members) > 1 {
		return Effects{}, ErrBadMessage.New("membership change adds or removes more than one voter")
	}
	core.appendEntry(Entry{Kind: EntryMembers, Members: members})
	core.reloadMembers()
	core.syncProgress(now)
	core.broadcastAndCommit(now)
	return core.takeEffects(), nil
}

// Compact replaces the log up to and including the index by a snapshot; data is the application state at that index. It does
// nothing if the index is not applied yet or already compacted.
func (core *Core) Compact(index uint64, data []byte) Effects {
	term, ok := core.log.term(index)
	if !ok || index <= core.log.snapshot.Index || index > core.applied {
		return Effects{}
	}
	snapshot := Snapshot{Index: index, Term: term, Members: core.membersAt(index), Data: data}
	core.log.installSnapshot(snapshot)
	core.effects.Records = append(core.effects.Records, Record{Snapshot: &snapshot})
	return core.takeEffects()
}

// HasLeaderLease reports whether this member is the leader and no other leader can exist now: a quorum has answered messages sent
// within the last 3/4 of an election timeout, and refuses votes to other candidates for a full election timeout.
func (core *Core) HasLeaderLease(now time.Time) bool {
	return core.HasCommittedInTerm() && core.hasContactQuorum(now, core.settings.ElectionTimeout*3/4)
}

// HasCommittedInTerm reports whether this member is the leader and has committed an entry of its own term, and thereby every entry
// that earlier terms may have committed.
func (core *Core) HasCommittedInTerm() bool {
	term, ok := core.log.term(core.commit)
	return core.role == Leader && ok && term == core.hard.Term
}

// Role returns the current role.
func (core *Core) Role() Role { return core.role }

// Term returns the current term.
func (core *Core) Term() uint64 { return core.hard.Term }

// Leader returns the leader of the current term, or "" while it is unknown.
func (core *Core) Leader() MemberID { return core.leader }

// Members returns the latest membership, committed or not.
func (core *Core) Members() []Member { return core.members }

// CommitIndex returns the highest index that this member knows to be committed.
func (core *Core) CommitIndex() uint64 { return core.commit }

// LastIndex returns the last index of the log.
func (core *Core) LastIndex() uint64 { return core.log.lastIndex() }

// LogLength returns the number of entries after the last snapshot.
func (core *Core) LogLength() int { return len(core.log.entries) }

// HardState returns the current term, and in it the vote and the leader that the member has answered.
func (core *Core) HardState() HardState { return core.hard }

// TermsAfter returns the newest term of the log, and the number of later terms than the given one that have entries in it. All terms up to that of
// the snapshot count.
func (core *Core) TermsAfter(term uint64) (newest uint64, count int) {
	newest, last := core.log.lastTerm(), term
	if snapshot := core.log.snapshot.Term; snapshot > last {
		count, last = int(snapshot-last), snapshot
	}
	for i := len(core.log.entries) - 1; i >= 0 && core.log.entries[i].Term > last; i-- {
		if i == len(core.log.entries)-1 || core.log.entries[i].Term != core.log.entries[i+1].Term {
			count++
		}
	}
	return newest, count
}

// LogTail returns the last snapshot and the entries after it.
func (core *Core) LogTail() (Snapshot, []Entry) { return core.log.snapshot, core.log.entries }

// Progress returns the match index and applied index of a member, and the send time of the latest message that it has
// answered. The values of other members are known only on the leader and otherwise zero; for this member the match index is
// the last index of its log and the send time is zero.
func (core *Core) Progress(id MemberID) (match, applied uint64, contact time.Time) {
	if id == core.settings.ID {
		return core.log.lastIndex(), core.applied, time.Time{}
	}
	peer, ok := core.progress[id]
	if !ok {
		return 0, 0, time.Time{}
	}
	return peer.match, peer.applied, peer.contact
}

func (core *Core) takeEffects() Effects {
	effects := core.effects
	core.effects = Effects{}
	return effects
}

func (core *Core) validate(message Message) error {
	if message.Kind == 0 || message.Kind >= messageKindLimit {
		return ErrBadMessage.New("unknown message kind %d", message.Kind)
	}
	if message.To != core.settings.ID {
		return ErrBadMessage.New("message for %q was delivered to %q", message.To, core.settings.ID)
	}
	if message.From == "" || message.From == core.settings.ID {
		return ErrBadMessage.New("invalid sender %q", message.From)
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

// advanceCommit raises the commit index and adds the newly committed entries to the effects.
func (core *Core) advanceCommit(index uint64) {
	if index <= core.commit {
		return
	}
	core.commit = index
	core.effects.Committed = append(core.effects.Committed, core.log.slice(core.applied+1, index)...)
	core.applied = index
}
