package quorum

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// MemberID identifies one incarnation of a node's data folder, in the form "node/incarnation".
type MemberID string

// Member is one member of the Raft cluster.
type Member struct {
	ID      MemberID                    `cbor:"1,keyasint"`
	Node    celerylanding.NodeID        `cbor:"2,keyasint"`
	Domain  celerylanding.FailureDomain `cbor:"3,keyasint"`
	Address string                      `cbor:"4,keyasint"`
	// Durable is set for a member with a data folder; only durable members may vote.
	Durable bool `cbor:"5,keyasint"`
	// Learner is set for a non-voting member that only receives the log.
	Learner bool `cbor:"6,keyasint"`
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// The entry types: EntryNoop starts a term, EntryCommand carries application data, EntryMembers changes the membership.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembers
)

// Entry is one log entry.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// HardState is the term of a member with its vote and leader in that term; it must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint"`
	// Leader is the leader of the term whose messages the member has answered, or "" if it has answered none.
	Leader MemberID `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// MessageKind is the type of a message between members.
type MessageKind uint8

// The message types. MessageVote, MessageAppend and MessageSnapshot are Raft's RequestVote, AppendEntries and InstallSnapshot.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	// MessageStepDown notifies a voter that the sender is no longer the leader of its term, so that the voter need not wait for the
	// sender's lease to expire.
	MessageStepDown
	messageKindLimit
)

// Message is sent from one member to another; messages may be lost, delayed, duplicated or reordered.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From MemberID    `cbor:"2,keyasint"`
	To   MemberID    `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// LastIndex and LastTerm are the position of the candidate's last entry in a vote request, and of the entry before Entries in an
	// append (Raft's prevLogIndex and prevLogTerm).
	LastIndex uint64 `cbor:"5,keyasint,omitempty"`
	LastTerm  uint64 `cbor:"6,keyasint,omitempty"`
	Commit    uint64 `cbor:"7,keyasint,omitempty"`
	// Granted is the result in a vote reply; in an append reply it means that the entries match the leader's log.
	Granted  bool      `cbor:"8,keyasint,omitempty"`
	Entries  []Entry   `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	// Match is the last index that matches the leader's log, in an append reply; if Granted is not set, the leader retries with
	// the entry after it.
	Match uint64 `cbor:"11,keyasint,omitempty"`
	// Applied is the last index that the sender has applied, in an append reply.
	Applied uint64 `cbor:"12,keyasint,omitempty"`
	// Sent is the time at which the leader sent an append or snapshot, measured since the leader's start; the reply echoes it.
	Sent time.Duration `cbor:"13,keyasint,omitempty"`
}

// Record is one durable change; exactly one field is set. Records must be written in order.
type Record struct {
	HardState *HardState `cbor:"1,keyasint,omitempty"`
	Entry     *Entry     `cbor:"2,keyasint,omitempty"`
	Snapshot  *Snapshot  `cbor:"3,keyasint,omitempty"`
}

// Effects are the actions that the caller must carry out after a step: first make Records durable, then send Messages, install
// InstallSnapshot and apply Committed.
type Effects struct {
	Records         []Record
	Messages        []Message
	InstallSnapshot *Snapshot
	Committed       []Entry
}

// Merge appends the effects of a later step; a later snapshot replaces the committed entries before it.
func (effects *Effects) Merge(later Effects) {
	effects.Records = append(effects.Records, later.Records...)
	effects.Messages = append(effects.Messages, later.Messages...)
	if later.InstallSnapshot != nil {
		effects.InstallSnapshot = later.InstallSnapshot
		effects.Committed = nil
	}
	effects.Committed = append(effects.Committed, later.Committed...)
}

// IsEmpty reports whether there are no actions to carry out.
func (effects *Effects) IsEmpty() bool {
	return len(effects.Records) == 0 && len(effects.Messages) == 0 &&
		effects.InstallSnapshot == nil && len(effects.Committed) == 0
}
