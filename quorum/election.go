package quorum

import "time"

func (core *Core) resetElection(now time.Time) {
	if core.returnsToLead(now) {
		core.electionDue = now.Add(core.settings.HeartbeatInterval)
		return
	}
	spread := time.Duration(core.settings.Random.Int64N(int64(core.settings.ElectionTimeout)))
	core.electionDue = now.Add(core.settings.ElectionTimeout + spread)
}

// returnsToLead reports whether the member led its term before it started again. It then asks for votes at once, and again as the
// others come up, since the members that followed it need not wait for another leader's lease to lapse.
func (core *Core) returnsToLead(now time.Time) bool {
	return core.role != Leader && core.hard.Leader == core.settings.ID && now.Sub(core.started) < core.settings.ElectionTimeout
}

// owesSilence keeps a member that returns from a partition from disturbing a working leader. A member that has just
// started can't know whether it promised a leader to wait, so it waits. A leader that asks for votes leads no more, and nobody
// else can hold a lease on the word of a member that is still in that leader's term.
func (core *Core) owesSilence(now time.Time, candidate MemberID) bool {
	if core.role == Leader {
		return true
	}
	if core.hard.Leader == candidate || core.released {
		return false
	}
	if now.Sub(core.started) < core.settings.ElectionTimeout {
		return true
	}
	return core.leader != "" && now.Sub(core.leaderContact) < core.settings.ElectionTimeout
}

func (core *Core) becomeFollower(now time.Time, term uint64, leader MemberID) {
	if term > core.hard.Term {
		core.hard = HardState{Term: term}
		core.saveHardState()
	}
	core.role = Follower
	core.leader = leader
	core.released = false
	core.peers = nil
	core.votes = nil
	core.resetElection(now)
}

// StepDown makes a leader lead no more, so that another voter is elected without waiting for its lease to lapse; it is for a member
// that is about to stop.
func (core *Core) StepDown(now time.Time) Effects {
	if core.role != Leader {
		return Effects{}
	}
	for _, member := range core.members {
		if !member.Learner && member.ID != core.settings.ID {
			core.send(Message{Kind: MessageRelease, To: member.ID})
		}
	}
	core.becomeFollower(now, core.hard.Term, "")
	return core.take()
}

// onRelease asks for votes soon, if the sender is the only leader that this member has answered in its term.
func (core *Core) onRelease(now time.Time, message Message) {
	if message.Term != core.hard.Term || message.From != core.hard.Leader || core.role == Leader {
		return
	}
	core.leader = ""
	core.released = true
	core.electionDue = now.Add(time.Duration(core.settings.Random.Int64N(int64(core.settings.HeartbeatInterval))))
}

func (core *Core) startPreVote(now time.Time) {
	core.resetElection(now)
	if !core.isVoter(core.settings.ID) {
		core.leader = ""
		return
	}
	core.role = PreCandidate
	core.leader = ""
	core.votes = map[MemberID]bool{core.settings.ID: true}
	if core.hasVoteQuorum() {
		core.startElection(now)
		return
	}
	core.askVotes(MessagePreVote, core.hard.Term+1)
}

func (core *Core) startElection(now time.Time) {
	core.resetElection(now)
	core.role = Candidate
	core.hard = HardState{Term: core.hard.Term + 1, Vote: core.settings.ID}
	core.saveHardState()
	core.votes = map[MemberID]bool{core.settings.ID: true}
	if core.hasVoteQuorum() {
		core.becomeLeader(now)
		return
	}
	core.askVotes(MessageVote, core.hard.Term)
}

func (core *Core) askVotes(kind MessageKind, term uint64) {
	for _, member := range core.members {
		if member.Learner || member.ID == core.settings.ID {
			continue
		}
		core.send(Message{Kind: kind, To: member.ID, Term: term,
			LastIndex: core.log.lastIndex(), LastTerm: core.log.lastTerm()})
	}
}

func (core *Core) onPreVote(now time.Time, message Message) {
	granted := message.Term > core.hard.Term &&
		!core.owesSilence(now, message.From) &&
		core.log.isUpToDate(message.LastIndex, message.LastTerm)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Granted: granted}
	if granted {
		reply.Term = message.Term
	}
	core.send(reply)
}

func (core *Core) onPreVoteReply(now time.Time, message Message) {
	if !message.Granted {
		if message.Term > core.hard.Term {
			core.becomeFollower(now, message.Term, "")
		}
		return
	}
	if core.role != PreCandidate || message.Term != core.hard.Term+1 {
		return
	}
	core.votes[message.From] = true
	if core.hasVoteQuorum() {
		core.startElection(now)
	}
}

func (core *Core) onVote(now time.Time, message Message) {
	granted := message.Term == core.hard.Term &&
		(core.hard.Vote == "" || core.hard.Vote == message.From) &&
		core.role != Leader &&
		core.log.isUpToDate(message.LastIndex, message.LastTerm)
	if granted {
		core.hard.Vote = message.From
		core.saveHardState()
		core.resetElection(now)
	}
	core.send(Message{Kind: MessageVoteReply, To: message.From, Granted: granted})
}

func (core *Core) onVoteReply(now time.Time, message Message) {
	if core.role != Candidate || message.Term != core.hard.Term || !message.Granted {
		return
	}
	core.votes[message.From] = true
	if core.hasVoteQuorum() {
		core.becomeLeader(now)
	}
}

func (core *Core) hasVoteQuorum() bool {
	granted, voters := 0, 0
	for _, member := range core.members {
		if member.Learner {
			continue
		}
		voters++
		if core.votes[member.ID] {
			granted++
		}
	}
	return granted > voters/2
}

func (core *Core) becomeLeader(now time.Time) {
	core.role = Leader
	core.leader = core.settings.ID
	core.hard.Leader = core.settings.ID
	core.saveHardState()
	core.votes = nil
	core.peers = make(map[MemberID]*progress)
	core.syncPeers(now)
	core.quorumDue = now.Add(core.settings.ElectionTimeout)
	core.appendEntry(Entry{Kind: EntryNoop})
	core.replicate(now)
}
