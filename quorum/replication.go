package quorum

import (
	"slices"
	"time"
)

// snapshotRetryInterval is the time after which an unacknowledged snapshot is sent again.
const snapshotRetryInterval = 5 * time.Second

func (core *Core) tickLeader(now time.Time) {
	if !now.Before(core.nextQuorumCheck) {
		core.nextQuorumCheck = now.Add(core.settings.ElectionTimeout)
		if !core.hasContactQuorum(now, 2*core.settings.ElectionTimeout) {
			core.becomeFollower(now, core.hard.Term, "")
			return
		}
	}
	if !now.Before(core.nextHeartbeat) {
		core.sendHeartbeats(now)
	}
}

// sendHeartbeats sends an append to every voter, and to the learners whose longer heartbeat interval has elapsed.
func (core *Core) sendHeartbeats(now time.Time) {
	core.nextHeartbeat = now.Add(core.settings.HeartbeatInterval)
	for _, member := range core.members {
		if member.ID == core.settings.ID {
			continue
		}
		if !member.Learner || !now.Before(core.progress[member.ID].nextHeartbeat) {
			core.sendAppend(now, member.ID)
		}
	}
}

// hasContactQuorum reports whether a quorum of voters has answered a message sent within the window; the leader counts as one of them.
func (core *Core) hasContactQuorum(now time.Time, window time.Duration) bool {
	reachable, voters := 0, 0
	for _, member := range core.members {
		if member.Learner {
			continue
		}
		voters++
		peer := core.progress[member.ID]
		isSelf := member.ID == core.settings.ID
		if isSelf || (peer != nil && now.Sub(peer.contact) <= window) {
			reachable++
		}
	}
	return reachable > voters/2
}

// appendEntry appends the entry at the next index; broadcastAndCommit must follow in the same step.
func (core *Core) appendEntry(entry Entry) {
	entry.Index = core.log.lastIndex() + 1
	entry.Term = core.hard.Term
	core.log.append(entry)
	core.saveEntry(entry)
}

func (core *Core) broadcastAndCommit(now time.Time) {
	core.broadcast(now)
	core.commitReplicated(now)
}

func (core *Core) broadcast(now time.Time) {
	core.nextHeartbeat = now.Add(core.settings.HeartbeatInterval)
	for _, member := range core.members {
		if member.ID != core.settings.ID {
			core.sendAppend(now, member.ID)
		}
	}
}

func (core *Core) sendAppend(now time.Time, to MemberID) {
	peer := core.progress[to]
	peer.nextHeartbeat = now.Add(core.settings.LearnerHeartbeatInterval)
	previous := peer.next - 1
	term, ok := core.log.term(previous)
	if !ok {
		core.sendSnapshot(now, to, peer)
		return
	}
	last := min(core.log.lastIndex(), previous+uint64(core.settings.MaxAppendEntries))
	entries := core.withinAppendBytes(core.log.slice(peer.next, last))
	core.send(Message{Kind: MessageAppend, To: to, LastIndex: previous, LastTerm: term,
		Entries: entries, Commit: core.commit, Sent: now.Sub(core.started)})
	peer.next += uint64(len(entries))
}

// withinAppendBytes returns the first entries that together have at most MaxAppendBytes of data, or the first one.
func (core *Core) withinAppendBytes(entries []Entry) []Entry {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if i > 0 && core.settings.MaxAppendBytes > 0 && size > core.settings.MaxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

func (core *Core) sendSnapshot(now time.Time, to MemberID, peer *progress) {
	if now.Before(peer.snapshotRetryAt) {
		// An empty append resets the election timeout of the member while the snapshot is in transit.
		core.send(Message{Kind: MessageAppend, To: to, LastIndex: core.log.snapshot.Index,
			LastTerm: core.log.snapshot.Term, Commit: core.commit, Sent: now.Sub(core.started)})
		return
	}
	peer.snapshotRetryAt = now.Add(snapshotRetryInterval)
	snapshot := core.log.snapshot
	core.send(Message{Kind: MessageSnapshot, To: to, Snapshot: &snapshot, Commit: core.commit,
		Sent: now.Sub(core.started)})
}

func (core *Core) onAppend(now time.Time, message Message) {
	if message.Term < core.hard.Term {
		core.send(Message{Kind: MessageAppendReply, To: message.From})
		return
	}
	core.followLeader(now, message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, Sent: message.Sent}
	if message.LastIndex < core.commit {
		// The append starts before this member's commit index; committed entries never change.
		reply.Granted = true
		reply.Match = core.commit
		reply.Applied = core.applied
		core.send(reply)
		return
	}
	term, ok := core.log.term(message.LastIndex)
	if !ok || term != message.LastTerm {
		reply.Match = core.conflictHint(message.LastIndex)
		core.send(reply)
		return
	}
	core.storeEntries(message.Entries)
	last := message.LastIndex + uint64(len(message.Entries))
	core.advanceCommit(min(message.Commit, last))
	reply.Granted = true
	reply.Match = last
	reply.Applied = core.applied
	core.send(reply)
}

func (core *Core) followLeader(now time.Time, leader MemberID) {
	if core.role != Follower || core.leader != leader {
		core.becomeFollower(now, core.hard.Term, leader)
	}
	if core.hard.Leader != leader {
		core.hard.Leader = leader
		core.saveHardState()
	}
	core.leaderContact = now
	core.resetElectionTimer(now)
}

// conflictHint returns the index after which the leader should retry when the logs do not match at the given index. The hint skips all
// entries of the conflicting term, so that one round trip is needed per term instead of one per entry.
func (core *Core) conflictHint(index uint64) uint64 {
	if index > core.log.lastIndex() {
		return core.log.lastIndex()
	}
	conflict, _ := core.log.term(index)
	for index > core.commit+1 {
		if term, ok := core.log.term(index - 1); !ok || term != conflict {
			break
		}
		index--
	}
	return max(index-1, core.commit)
}

func (core *Core) storeEntries(entries []Entry) {
	changed := false
	for _, entry := range entries {
		if term, ok := core.log.term(entry.Index); ok && term == entry.Term {
			continue
		}
		core.log.truncateAndAppend(entry)
		core.saveEntry(entry)
		changed = true
	}
	if changed {
		core.reloadMembers()
	}
}

func (core *Core) onAppendReply(now time.Time, message Message) {
	peer, ok := core.progress[message.From]
	if core.role != Leader || !ok || message.Term < core.hard.Term {
		return
	}
	if sent := core.started.Add(message.Sent); sent.After(peer.contact) && !sent.After(now) {
		peer.contact = sent
	}
	if !message.Granted {
		peer.next = max(peer.match, min(message.Match, core.log.lastIndex())) + 1
		if !now.Before(peer.snapshotRetryAt) {
			core.sendAppend(now, message.From)
		}
		return
	}
	peer.applied = max(peer.applied, message.Applied)
	if message.Match > peer.match {
		peer.match = message.Match
		peer.snapshotRetryAt = time.Time{}
		core.commitReplicated(now)
	}
	peer.next = max(peer.next, peer.match+1)
	if core.role == Leader && peer.next <= core.log.lastIndex() {
		core.sendAppend(now, message.From)
	}
}

// commitReplicated advances the commit index to the highest index stored by a quorum of voters, if that entry is of the current term.
// Entries of earlier terms are committed only along with it (Raft, section 5.4.2). A leader that is no longer a voter steps down once that
// change is committed.
func (core *Core) commitReplicated(now time.Time) {
	var matched []uint64
	for _, member := range core.members {
		switch {
		case member.Learner:
		case member.ID == core.settings.ID:
			matched = append(matched, core.log.lastIndex())
		default:
			matched = append(matched, core.progress[member.ID].match)
		}
	}
	if len(matched) == 0 {
		return
	}
	slices.Sort(matched)
	index := matched[(len(matched)-1)/2]
	term, ok := core.log.term(index)
	if !ok || term != core.hard.Term || index <= core.commit {
		return
	}
	core.advanceCommit(index)
	if !core.isVoter(core.settings.ID) && core.membersIndex <= core.commit {
		core.becomeFollower(now, core.hard.Term, "")
		return
	}
	core.broadcast(now)
}

func (core *Core) onSnapshot(now time.Time, message Message) {
	if message.Term < core.hard.Term {
		core.send(Message{Kind: MessageAppendReply, To: message.From})
		return
	}
	core.followLeader(now, message.From)
	if message.Snapshot.Index > core.commit {
		core.log.installSnapshot(*message.Snapshot)
		core.commit = message.Snapshot.Index
		core.applied = message.Snapshot.Index
		core.effects.InstallSnapshot = message.Snapshot
		core.effects.Committed = nil
		core.effects.Records = append(core.effects.Records, Record{Snapshot: message.Snapshot})
		core.reloadMembers()
	}
	core.send(Message{Kind: MessageAppendReply, To: message.From, Granted: true,
		Match: core.commit, Applied: core.applied, Sent: message.Sent})
}
