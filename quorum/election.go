package quorum

import "time"

func (core *Core) resetElectionTimer(now time.Time) {
	if core.isRestartedLeader(now) {
		core.electionDeadline = now.Add(core.settings.HeartbeatInterval)
		return
	}
	jitter := time.Duration(core.settings.Random.Int64N(int64(core.settings.ElectionTimeout)))
	core.electionDeadline = now.Add(core.settings.ElectionTimeout + jitter)
}

// resetCampaignTimer sets when a campaign without result is repeated, shortest later at the earliest and twice that later at the latest. No leader's lease
// is to be waited for, as it binds those that vote.
func (core *Core) resetCampaignTimer(now time.Time, shortest time.Duration) {
	if core.isRestartedLeader(now) {
		core.electionDeadline = now.Add(core.settings.HeartbeatInterval)
		return
	}
	core.electionDeadline = now.Add(shortest + time.Duration(core.settings.Random.Int64N(int64(shortest))))
}

// isRestartedLeader reports whether the member was the leader of its term before a restart and has been up for less than an election
// timeout. Such a member requests votes at once and repeats the request at every heartbeat interval while the other members start: no other
// leader's lease can be in force, so its followers may vote for it without waiting.
func (core *Core) isRestartedLeader(now time.Time) bool {
	return core.role != Leader && core.hard.Leader == core.settings.ID && now.Sub(core.started) < core.settings.ElectionTimeout
}

// isBoundByLeaderLease reports whether the member must not vote for the candidate, because a leader may still hold a lease that depends
// on this member's answers. The rule also keeps a member that returns from a partition from disrupting a working leader. A member that has
// just started does not know how recently it answered a leader, so it waits for one election timeout. The lease does not bind it if
// the candidate is the leader that the member answered in this term, since a leader that requests votes no longer leads, or if that
// leader has stepped down: no other member can hold a lease based on the answers of a member that is still in that leader's term.
func (core *Core) isBoundByLeaderLease(now time.Time, candidate MemberID) bool {
	if core.role == Leader {
		return true
	}
	if core.hard.Leader == candidate || core.leaderSteppedDown {
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
	core.leaderSteppedDown = false
	core.progress = nil
	core.votes = nil
	core.resetElectionTimer(now)
}

// StepDown makes a leader a follower and notifies the voters, so that they elect another leader without waiting for the lease to expire.
// It is called before a planned shutdown.
func (core *Core) StepDown(now time.Time) Effects {
	if core.role != Leader {
		return Effects{}
	}
	for _, member := range core.members {
		if !member.Learner && member.ID != core.settings.ID {
			core.send(Message{Kind: MessageStepDown, To: member.ID})
		}
	}
	core.becomeFollower(now, core.hard.Term, "")
	return core.takeEffects()
}

// SetElectable sets whether the member may lead; it may by default. A leader that may not steps down. A member that may not lead still replicates the
// log and votes.
func (core *Core) SetElectable(now time.Time, isElectable bool) Effects {
	core.abstains = !isElectable
	if core.abstains && (core.role == PreCandidate || core.role == Candidate) {
		core.becomeFollower(now, core.hard.Term, "")
	}
	if core.abstains {
		return core.StepDown(now)
	}
	return Effects{}
}

// onStepDown shortens the election timeout to at most one heartbeat interval. Only the leader that this member has answered in the
// current term can release it from the leader lease.
func (core *Core) onStepDown(now time.Time, message Message) {
	if message.Term != core.hard.Term || message.From != core.hard.Leader || core.role == Leader {
		return
	}
	core.leader = ""
	core.leaderSteppedDown = true
	core.electionDeadline = now.Add(time.Duration(core.settings.Random.Int64N(int64(core.settings.HeartbeatInterval))))
}

func (core *Core) startPreVote(now time.Time) {
	core.resetCampaignTimer(now, core.settings.ElectionTimeout/3)
	if core.abstains || !core.isVoter(core.settings.ID) {
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
	core.requestVotes(MessagePreVote, core.hard.Term+1)
}

func (core *Core) startElection(now time.Time) {
	// Late votes are lost with a new term, those before it are not.
	core.resetCampaignTimer(now, core.settings.ElectionTimeout*2/3)
	core.role = Candidate
	core.hard = HardState{Term: core.hard.Term + 1, Vote: core.settings.ID}
	core.saveHardState()
	core.votes = map[MemberID]bool{core.settings.ID: true}
	if core.hasVoteQuorum() {
		core.becomeLeader(now)
		return
	}
	core.requestVotes(MessageVote, core.hard.Term)
}

func (core *Core) requestVotes(kind MessageKind, term uint64) {
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
		!core.isBoundByLeaderLease(now, message.From) &&
		core.log.isUpToDate(message.LastIndex, message.LastTerm)
	if granted && core.role == PreCandidate {
		granted = core.yieldTo(now, message)
	}
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Granted: granted}
	if granted {
		reply.Term = message.Term
	}
	core.send(reply)
}

// yieldTo ends this member's campaign in favor of another one, or reports that the other one has to yield. Of two members with equal logs that campaign at
// the same time, the one with the lower ID goes on, so that they don't split the votes, unless the other one has refused to vote for it.
func (core *Core) yieldTo(now time.Time, message Message) bool {
	hasEqualLog := message.LastIndex == core.log.lastIndex() && message.LastTerm == core.log.lastTerm()
	hasGranted, hasAnswered := core.votes[message.From]
	if hasEqualLog && core.settings.ID < message.From && (hasGranted || !hasAnswered) {
		return false
	}
	core.role = Follower
	core.resetCampaignTimer(now, core.settings.ElectionTimeout/3)
	return true
}

func (core *Core) onPreVoteReply(now time.Time, message Message) {
	if !message.Granted {
		switch {
		case message.Term > core.hard.Term:
			core.becomeFollower(now, message.Term, "")
		case core.role == PreCandidate:
			core.votes[message.From] = false
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
		core.resetElectionTimer(now)
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
	core.progress = make(map[MemberID]*progress)
	core.syncProgress(now)
	core.nextQuorumCheck = now.Add(core.settings.ElectionTimeout)
	core.appendEntry(Entry{Kind: EntryNoop})
	core.broadcastAndCommit(now)
}
