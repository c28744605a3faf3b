package control

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
)

const (
	// joinRetryInterval is the time between two attempts of a node to join the log.
	joinRetryInterval = 250 * time.Millisecond
	// voterTimeout is the silence after which a voter is replaced by a reachable member; short enough that the replacement finishes before a
	// second voter is likely to fail.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is the silence after which a learner is removed.
	learnerTimeout = 30 * time.Second
)

// maintainMembership reconciles the membership while this node leads; otherwise it requests to join if this node is no member or knows no
// leader.
func (ctl *Control) maintainMembership(now time.Time) {
	if ctl.core.Role() == quorum.Leader {
		ctl.addMember(now, ctl.member)
		ctl.reconcileMembers(now)
		return
	}
	if ctl.isMember() && ctl.core.Leader() != "" || now.Before(ctl.joinDue) {
		return
	}
	ctl.joinDue = now.Add(joinRetryInterval)
	seeds := ctl.otherSeeds()
	if len(seeds) == 0 {
		return
	}
	address := seeds[ctl.joinAttempts%len(seeds)]
	ctl.joinAttempts++
	args := &JoinArgs{Member: ctl.member}
	ctl.tasks.Go(func(ctx context.Context) { ctl.requestJoin(ctx, address, args) })
}

func (ctl *Control) isMember() bool {
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.member.ID {
			// The initial voters do not know each other's failure domains; each reports its own by joining again.
			return member.Domain == ctl.member.Domain
		}
	}
	return false
}

// otherSeeds returns the addresses of seeds and members other than this node; they may know the leader.
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

// requestJoin asks a node to add this one to the log, or else the leader that the node names. The result shows in the log's membership.
func (ctl *Control) requestJoin(ctx context.Context, address string, args *JoinArgs) {
	ctx, cancel := context.WithTimeout(ctx, 2*joinRetryInterval)
	defer cancel()
	var reply JoinReply
	err := ctl.peers.Call(ctx, address, "Peer.Join", args, &reply)
	if err == nil && !reply.Accepted && reply.Leader != "" && reply.Leader != address {
		err = ctl.peers.Call(ctx, reply.Leader, "Peer.Join", args, &reply)
	}
	if err != nil {
		ctl.options.Log.Debug().Err(err).Str("peer", address).Msg("join request failed")
	}
}

// addMember adds a learner if this node leads; it returns true when the newcomer is a member or the change is proposed.
func (ctl *Control) addMember(now time.Time, newcomer quorum.Member) bool {
	if ctl.core.Role() != quorum.Leader {
		return false
	}
	members, changed := membership.AddLearner(ctl.core.Members(), newcomer)
	return !changed || ctl.changeMembers(now, members, "member joined")
}

func (ctl *Control) changeMembers(now time.Time, members []quorum.Member, why string) bool {
	if ctl.hasUnwrittenChange() {
		// After a crash, the voters before that change and those after the next one could elect a leader each.
		return false
	}
	effects, err := ctl.core.ProposeMembers(now, members)
	if err != nil {
		if !errorx.IsOfType(err, quorum.ErrMembershipPending) {
			ctl.options.Log.Warn().Err(err).Msg("membership change rejected")
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

// hasUnwrittenChange reports whether this node's disk lacks a membership change, which may be committed all the same.
func (ctl *Control) hasUnwrittenChange() bool {
	isChange := func(record quorum.Record) bool {
		return record.Entry != nil && record.Entry.Kind == quorum.EntryMembers
	}
	return slices.ContainsFunc(ctl.effects.Records, isChange) || ctl.write != nil && slices.ContainsFunc(ctl.write.effects.Records, isChange)
}

// reconcileMembers proposes the next single change of the membership, if one is needed.
func (ctl *Control) reconcileMembers(now time.Time) {
	policy := membership.VoterPolicy{Voters: ctl.options.MaxVoters, Leader: ctl.member.ID}
	members, ok := membership.NextBalancedChange(ctl.core.Members(), policy, ctl.core.CommitIndex(),
		func(id quorum.MemberID) membership.Progress { return ctl.memberProgress(now, id) })
	if ok {
		ctl.changeMembers(now, members, "membership changed")
	}
}

func (ctl *Control) memberProgress(now time.Time, id quorum.MemberID) membership.Progress {
	match, _, contact := ctl.core.Progress(id)
	if id == ctl.member.ID {
		return membership.Progress{Match: match}
	}
	silence := now.Sub(contact)
	return membership.Progress{Match: match, Silent: silence > voterTimeout, Lost: silence > learnerTimeout}
}
