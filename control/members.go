package control

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
)

const (
	// joinInterval is the time between two tries of a node that is no member to become one.
	joinInterval = 250 * time.Millisecond
	// voterSilence is the silence after which a voter's place goes to a member that answers; shorter than the time in which a
	// second loss may follow a first one.
	voterSilence = 2500 * time.Millisecond
	// learnerSilence is the silence after which a member without a vote is dropped.
	learnerSilence = 30 * time.Second
)

// tendMembership joins the log when this node is no member, and keeps its shape while it leads.
func (ctl *Control) tendMembership(now time.Time) {
	if ctl.core.Role() == quorum.Leader {
		ctl.admit(now, ctl.member)
		ctl.reshape(now)
		return
	}
	if ctl.isMember() && ctl.core.Leader() != "" || now.Before(ctl.joinDue) {
		return
	}
	ctl.joinDue = now.Add(joinInterval)
	seeds := ctl.otherSeeds()
	if len(seeds) == 0 {
		return
	}
	address := seeds[ctl.joinTurn%len(seeds)]
	ctl.joinTurn++
	args := &JoinArgs{Member: ctl.member}
	ctl.tasks.Go(func(ctx context.Context) { ctl.askToJoin(ctx, address, args) })
}

func (ctl *Control) isMember() bool {
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.member.ID {
			// The first voters do not know each other's failure domains and report them by joining again.
			return member.Domain == ctl.member.Domain
		}
	}
	return false
}

// otherSeeds returns the addresses of nodes that may know the leader.
func (ctl *Control) otherSeeds() []string {
	var addresses []string
	seen := map[string]bool{ctl.member.Address: true}
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, seed := range ctl.options.Seeds() {
		add(seed)
	}
	for _, member := range ctl.core.Members() {
		add(member.Address)
	}
	return addresses
}

// askToJoin follows one hint to the leader; the result shows in the log.
func (ctl *Control) askToJoin(ctx context.Context, address string, args *JoinArgs) {
	ctx, cancel := context.WithTimeout(ctx, 2*joinInterval)
	defer cancel()
	var reply JoinReply
	err := ctl.peers.Call(ctx, address, "Peer.Join", args, &reply)
	if err == nil && !reply.Taken && reply.Leader != "" && reply.Leader != address {
		err = ctl.peers.Call(ctx, reply.Leader, "Peer.Join", args, &reply)
	}
	if err != nil {
		ctl.options.Log.Debug().Err(err).Str("peer", address).Msg("join was not answered")
	}
}

// admit adds a member without a vote if this node leads; it is true when the newcomer is a member.
func (ctl *Control) admit(now time.Time, newcomer quorum.Member) bool {
	if ctl.core.Role() != quorum.Leader {
		return false
	}
	members, changed := membership.AddLearner(ctl.core.Members(), newcomer)
	return !changed || ctl.changeMembers(now, members, "member joined")
}

func (ctl *Control) changeMembers(now time.Time, members []quorum.Member, why string) bool {
	effects, err := ctl.core.ProposeMembers(now, members)
	if err != nil {
		if !errorx.IsOfType(err, quorum.ErrMembershipPending) {
			ctl.options.Log.Warn().Err(err).Msg("membership change refused")
		}
		return false
	}
	ctl.effects.Merge(effects)
	event := ctl.options.Log.Info()
	for _, member := range members {
		event = event.Bool(string(member.ID), !member.Learner)
	}
	event.Msg(why)
	return true
}

// reshape promotes, removes and drops members, one at a time.
func (ctl *Control) reshape(now time.Time) {
	shape := membership.Shape{Voters: ctl.options.MaxVoters, Self: ctl.member.ID}
	members, ok := membership.NextSpread(ctl.core.Members(), shape, ctl.core.CommitIndex(),
		func(id quorum.MemberID) membership.Progress { return ctl.standing(now, id) })
	if ok {
		ctl.changeMembers(now, members, "membership changed")
	}
}

func (ctl *Control) standing(now time.Time, id quorum.MemberID) membership.Progress {
	match, _, contact := ctl.core.Progress(id)
	if id == ctl.member.ID {
		return membership.Progress{Match: match}
	}
	silence := now.Sub(contact)
	return membership.Progress{Match: match, Silent: silence > voterSilence, Lost: silence > learnerSilence}
}
