package quorum

import "time"

// DurableIndex returns the last index up to which the member's disk holds its log while the effects are not durable yet. It returns false if
// they change more than the end of the log, so that nothing may be said before they are durable.
func (core *Core) DurableIndex(effects ...Effects) (index uint64, ok bool) {
	index = core.log.lastIndex()
	for i := range effects {
		if effects[i].InstallSnapshot != nil {
			return 0, false
		}
		for _, record := range effects[i].Records {
			switch {
			case record.HardState != nil:
				return 0, false
			case record.Entry != nil:
				index = min(index, record.Entry.Index-1)
			}
		}
	}
	return index, true
}

// Early returns what may be said of the messages while the sender's records are not durable: that a leader has stepped down, and the replies to a leader, cut
// down to what is durable and applied. They keep the leader's lease while a disk is slow, and confirm nothing that a crash can still undo.
func Early(messages []Message, durable, applied uint64) []Message {
	var early []Message
	for _, message := range messages {
		switch {
		case message.Kind == MessageAppendReply && message.Granted:
			message.Match = min(message.Match, durable)
			message.Applied = min(message.Applied, applied)
		case message.Kind == MessageStepDown:
		default:
			continue
		}
		early = append(early, message)
	}
	return early
}

// KeepAlives returns messages of a leader to the other voters that may be sent while its own log is not durable: they carry neither entries nor a commit
// index, since the leader counts its own log for the commit index, and for the next change of the membership. There are none if the member does not lead.
func (core *Core) KeepAlives(now time.Time) []Message {
	if core.role != Leader {
		return nil
	}
	var messages []Message
	for _, member := range core.members {
		if member.Learner || member.ID == core.settings.ID {
			continue
		}
		index := core.progress[member.ID].match
		term, ok := core.log.term(index)
		if !ok {
			index, term = core.log.snapshot.Index, core.log.snapshot.Term
		}
		messages = append(messages, Message{Kind: MessageAppend, From: core.settings.ID, To: member.ID, Term: core.hard.Term,
			LastIndex: index, LastTerm: term, Sent: now.Sub(core.started)})
	}
	return messages
}
