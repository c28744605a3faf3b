package quorum

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// MemberID names one incarnation of a data folder: "node/incarnation".
type MemberID string

// Member is one participant of the log.
type Member struct {
	ID      MemberID                    `cbor:"1,keyasint"`
	Node    celerylanding.NodeID        `cbor:"2,keyasint"`
	Domain  celerylanding.FailureDomain `cbor:"3,keyasint"`
	Address string                      `cbor:"4,keyasint"`
	// Durable is set for a member with a data folder; only such a member may vote.
	Durable bool `cbor:"5,keyasint"`
	// Learner is set for a member that receives the log and does not vote.
	Learner bool `cbor:"6,keyasint"`
}

// EntryKind tells the entries of the log apart.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembers
)

// Entry is one position of the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// HardState must be durable before any message that depends on it leaves.
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

// MessageKind tells the messages between members apart.
type MessageKind uint8

// The kinds of message.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	// MessageRelease tells a voter that the sender leads its term no more, so that it need not wait for the sender's lease to lapse.
	MessageRelease
	messageKindEnd
)

// Message is sent from one member to another; it may be lost, delayed, repeated or reordered.
type Message struct {
	Kind      MessageKind `cbor:"1,keyasint"`
	From      MemberID    `cbor:"2,keyasint"`
	To        MemberID    `cbor:"3,keyasint"`
	Term      uint64      `cbor:"4,keyasint"`
	LastIndex uint64      `cbor:"5,keyasint,omitempty"`
	LastTerm  uint64      `cbor:"6,keyasint,omitempty"`
	Commit    uint64      `cbor:"7,keyasint,omitempty"`
	// Granted answers a vote; for an append it means that the entries match.
	Granted  bool      `cbor:"8,keyasint,omitempty"`
	Entries  []Entry   `cbor:"9,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	// Match is the last index known to agree with the leader, in an append reply.
	Match uint64 `cbor:"11,keyasint,omitempty"`
	// Applied is the last index that the sender has applied, in an append reply.
	Applied uint64 `cbor:"12,keyasint,omitempty"`
	// Sent is the leader's own reading of the time at which it sent an append; the reply returns it.
	Sent time.Duration `cbor:"13,keyasint,omitempty"`
}

// Record is one durable change, in the order in which it must be written.
type Record struct {
	HardState *HardState `cbor:"1,keyasint,omitempty"`
	Entry     *Entry     `cbor:"2,keyasint,omitempty"`
	Snapshot  *Snapshot  `cbor:"3,keyasint,omitempty"`
}

// Effects are what the caller has to do after a step: first make Records durable, then send Messages and apply Install and Committed.
type Effects struct {
	Records         []Record
	Messages        []Message
	InstallSnapshot *Snapshot
	Committed       []Entry
}

// Merge appends the later effects to these.
func (effects *Effects) Merge(later Effects) {
	effects.Records = append(effects.Records, later.Records...)
	effects.Messages = append(effects.Messages, later.Messages...)
	if later.InstallSnapshot != nil {
		effects.InstallSnapshot = later.InstallSnapshot
		effects.Committed = nil
	}
	effects.Committed = append(effects.Committed, later.Committed...)
}

// IsEmpty reports whether there is nothing to do.
func (effects *Effects) IsEmpty() bool {
	return len(effects.Records) == 0 && len(effects.Messages) == 0 &&
		effects.InstallSnapshot == nil && len(effects.Committed) == 0
}
