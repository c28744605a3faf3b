package node

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
)

const (
	// joinInterval is the time between two requests to join.
	joinInterval = 500 * time.Millisecond
	// leaderTimeout is the time without a leader after which a member requests to join again, since it may have been removed.
	leaderTimeout = 3 * time.Second
	// memberTimeout is the time without an answer after which a member counts as silent.
	memberTimeout = 5 * time.Second
	// learnerTimeout is the time without an answer after which a learner is removed.
	learnerTimeout = time.Minute
)

// receiveMessages passes messages to the control log. It returns the error of the last malformed one; the others still count.
func (ctl *control) receiveMessages(now time.Time, args *DeliverArgs) error {
	var lastErr error
	for _, message := range args.Messages {
		effects, err := ctl.core.Receive(now, message)
		if err != nil {
			ctl.log.Warn().Err(err).Str("from", string(message.From)).Msg("malformed message of the control log dropped")
			lastErr = err
			continue
		}
		ctl.addresses[message.From] = args.Address
		ctl.effects.Merge(effects)
	}
	return lastErr
}

// ensureMembership sends requests to join until the membership contains this node at its present address.
func (ctl *control) ensureMembership(now time.Time) {
	isMember := slices.ContainsFunc(ctl.core.Members(), func(member quorum.Member) bool {
		return member.ID == ctl.member.ID && member.Address == ctl.member.Address
	})
	leaderLost := ctl.core.Leader() == "" && now.Sub(ctl.leaderLastSeen) > leaderTimeout
	if now.Before(ctl.joinDue) || (isMember && !leaderLost) {
		return
	}
	ctl.joinDue = now.Add(joinInterval)
	if ctl.core.Role() == quorum.Leader {
		ctl.addLearner(now, ctl.member)
		return
	}
	if len(ctl.options.Peers) == 0 {
		return
	}
	address := ctl.options.Peers[ctl.joinAttempts%len(ctl.options.Peers)]
	ctl.joinAttempts++
	args := &JoinArgs{Member: ctl.member}
	ctl.tasks.Go(func(ctx context.Context) { ctl.requestJoin(ctx, address, args) })
}

// requestJoin follows at most one redirect to the leader; the committed membership shows the result.
func (ctl *control) requestJoin(ctx context.Context, address string, args *JoinArgs) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	var reply JoinReply
	err := ctl.peers.Call(ctx, address, "Peer.Join", args, &reply)
	if err == nil && !reply.Accepted && reply.Leader != "" && reply.Leader != address {
		err = ctl.peers.Call(ctx, reply.Leader, "Peer.Join", args, &reply)
	}
	if err != nil {
		ctl.log.Debug().Err(err).Str("peer", address).Msg("join request failed")
	}
}

// addLearner proposes a joining node as a learner if this node leads; it returns true if the node is a member or the change is
// proposed.
func (ctl *control) addLearner(now time.Time, joining quorum.Member) bool {
	if ctl.core.Role() != quorum.Leader {
		return false
	}
	members, changed := membership.AddLearner(ctl.core.Members(), joining)
	if !changed {
		return true
	}
	return ctl.proposeMembers(now, members, "member_joined", string(joining.ID))
}

func (ctl *control) proposeMembers(now time.Time, members []quorum.Member, kind, detail string) bool {
	effects, err := ctl.core.ProposeMembers(now, members)
	if err != nil {
		if !errorx.IsOfType(err, quorum.ErrMembershipPending) {
			ctl.log.Warn().Err(err).Msg("membership change rejected")
		}
		return false
	}
	ctl.effects.Merge(effects)
	ctl.recorder.Record(now, celerylanding.Event{Kind: kind, Detail: detail})
	return true
}

// reconcileMembership promotes learners and removes replaced voters and silent learners, one change at a time.
func (ctl *control) reconcileMembership(now time.Time) {
	commit := ctl.core.CommitIndex()
	members, ok := membership.NextChange(ctl.core.Members(), ctl.options.MaxVoters, commit,
		func(id quorum.MemberID) membership.Progress { return ctl.memberProgress(now, id) })
	if ok {
		ctl.proposeMembers(now, members, "membership", formatMembers(members))
	}
}

func (ctl *control) memberProgress(now time.Time, id quorum.MemberID) membership.Progress {
	match, _, contact := ctl.core.Progress(id)
	if id == ctl.member.ID {
		return membership.Progress{Match: match}
	}
	silence := now.Sub(contact)
	return membership.Progress{Match: match, Silent: silence > memberTimeout, Lost: silence > learnerTimeout}
}

func formatMembers(members []quorum.Member) string {
	text := ""
	for _, member := range members {
		if text != "" {
			text += " "
		}
		text += string(member.ID)
		if member.Learner {
			text += "(learner)"
		}
	}
	return text
}
