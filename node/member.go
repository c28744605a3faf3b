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
	joinInterval = 500 * time.Millisecond
	// leaderSilence is the time without a leader after which a member asks to join again, since it may have been dropped.
	leaderSilence = 3 * time.Second
	// memberSilence is the time after which a member that does not answer counts as silent.
	memberSilence = 5 * time.Second
	// learnerSilence is the time after which a learner that does not answer is dropped.
	learnerSilence = time.Minute
)

// receive takes messages of the control log; the first malformed one is the error, the others are still taken.
func (ctl *control) receive(now time.Time, args *DeliverArgs) error {
	var refused error
	for _, message := range args.Messages {
		effects, err := ctl.core.Receive(now, message)
		if err != nil {
			ctl.log.Warn().Err(err).Str("from", string(message.From)).Msg("message refused")
			refused = err
			continue
		}
		ctl.addresses[message.From] = args.Address
		ctl.effects.Merge(effects)
	}
	return refused
}

// join asks to be a member until the log says so.
func (ctl *control) join(now time.Time) {
	isMember := slices.ContainsFunc(ctl.core.Members(), func(member quorum.Member) bool {
		return member.ID == ctl.member.ID && member.Address == ctl.member.Address
	})
	isLost := ctl.core.Leader() == "" && now.Sub(ctl.leaderSeen) > leaderSilence
	if now.Before(ctl.joinDue) || (isMember && !isLost) {
		return
	}
	ctl.joinDue = now.Add(joinInterval)
	if ctl.core.Role() == quorum.Leader {
		ctl.admit(now, ctl.member)
		return
	}
	if len(ctl.options.Peers) == 0 {
		return
	}
	address := ctl.options.Peers[ctl.joinTurn%len(ctl.options.Peers)]
	ctl.joinTurn++
	args := &JoinArgs{Member: ctl.member}
	ctl.tasks.Go(func(ctx context.Context) { ctl.askToJoin(ctx, address, args) })
}

// askToJoin follows one hint to the leader; the result shows in the log.
func (ctl *control) askToJoin(ctx context.Context, address string, args *JoinArgs) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	var reply JoinReply
	err := ctl.peers.Call(ctx, address, "Peer.Join", args, &reply)
	if err == nil && !reply.Taken && reply.Leader != "" && reply.Leader != address {
		err = ctl.peers.Call(ctx, reply.Leader, "Peer.Join", args, &reply)
	}
	if err != nil {
		ctl.log.Debug().Err(err).Str("peer", address).Msg("join was not answered")
	}
}

// admit adds a learner if this node leads; it is true when the newcomer is a member.
func (ctl *control) admit(now time.Time, newcomer quorum.Member) bool {
	if ctl.core.Role() != quorum.Leader {
		return false
	}
	members, changed := membership.AddLearner(ctl.core.Members(), newcomer)
	if !changed {
		return true
	}
	return ctl.changeMembers(now, members, "member_joined", string(newcomer.ID))
}

func (ctl *control) changeMembers(now time.Time, members []quorum.Member, kind, detail string) bool {
	effects, err := ctl.core.ProposeMembers(now, members)
	if err != nil {
		if !errorx.IsOfType(err, quorum.ErrMembershipPending) {
			ctl.log.Warn().Err(err).Msg("membership change refused")
		}
		return false
	}
	ctl.effects.Merge(effects)
	ctl.recorder.Record(now, celerylanding.Event{Kind: kind, Detail: detail})
	return true
}

// reshape promotes, removes and drops members, one at a time.
func (ctl *control) reshape(now time.Time) {
	commit := ctl.core.CommitIndex()
	members, ok := membership.NextChange(ctl.core.Members(), ctl.options.MaxVoters, commit,
		func(id quorum.MemberID) membership.Progress { return ctl.standing(now, id) })
	if ok {
		ctl.changeMembers(now, members, "membership", describe(members))
	}
}

func (ctl *control) standing(now time.Time, id quorum.MemberID) membership.Progress {
	match, _, contact := ctl.core.Progress(id)
	if id == ctl.member.ID {
		return membership.Progress{Match: match}
	}
	silence := now.Sub(contact)
	return membership.Progress{Match: match, Silent: silence > memberSilence, Lost: silence > learnerSilence}
}

func describe(members []quorum.Member) string {
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
