package membership

import (
	"slices"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
)

// Progress is the state of a member's replica of the log, as known to the leader.
type Progress struct {
	// Match is the last index that the member has stored durably.
	Match uint64
	// Silent is set when the member has not replied recently.
	Silent bool
	// Lost is set when the member has not replied for so long that it may be removed as a learner.
	Lost bool
}

// AddLearner returns the membership with the newcomer as a learner, and whether it changed. A known member only has its address and
// failure domain updated.
func AddLearner(members []quorum.Member, newcomer quorum.Member) ([]quorum.Member, bool) {
	for i, member := range members {
		if member.ID != newcomer.ID {
			continue
		}
		if member.Address == newcomer.Address && member.Domain == newcomer.Domain {
			return members, false
		}
		changed := slices.Clone(members)
		changed[i].Address = newcomer.Address
		changed[i].Domain = newcomer.Domain
		return changed, true
	}
	newcomer.Learner = true
	joined := slices.Clone(members)
	// An earlier learner of the same node is removed; an earlier voter stays until it is replaced.
	joined = slices.DeleteFunc(joined, func(member quorum.Member) bool {
		return member.Node == newcomer.Node && member.Learner
	})
	return append(joined, newcomer), true
}

// NextChange returns the membership after the next single change that it needs; it is false if none is needed. A change removes a voter that
// was replaced, promotes a caught-up learner or removes a lost learner.
func NextChange(members []quorum.Member, maxVoters int, commit uint64,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	if changed, ok := removeReplaced(members); ok {
		return changed, true
	}
	if changed, ok := promote(members, maxVoters, commit, progress); ok {
		return changed, true
	}
	return removeLostLearner(members, progress)
}

// removeReplaced removes a voter whose node has a later voter in the list.
func removeReplaced(members []quorum.Member) ([]quorum.Member, bool) {
	latest := make(map[celerylanding.NodeID]int)
	for i, member := range members {
		if !member.Learner {
			latest[member.Node] = i
		}
	}
	for i, member := range members {
		if !member.Learner && latest[member.Node] != i {
			return slices.Delete(slices.Clone(members), i, i+1), true
		}
	}
	return nil, false
}

func promote(members []quorum.Member, maxVoters int, commit uint64,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	voters := make(map[celerylanding.NodeID]bool)
	for _, member := range members {
		if !member.Learner {
			voters[member.Node] = true
		}
	}
	for i, member := range members {
		if !member.Learner || !member.Durable {
			continue
		}
		if !voters[member.Node] && len(voters) >= maxVoters {
			continue
		}
		if state := progress(member.ID); state.Silent || state.Match < commit {
			continue
		}
		// The promoted member moves to the end of the list, which marks it as the latest voter of its node.
		promoted := member
		promoted.Learner = false
		return append(slices.Delete(slices.Clone(members), i, i+1), promoted), true
	}
	return nil, false
}

func removeLostLearner(members []quorum.Member,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	for i, member := range members {
		if member.Learner && progress(member.ID).Lost {
			return slices.Delete(slices.Clone(members), i, i+1), true
		}
	}
	return nil, false
}
