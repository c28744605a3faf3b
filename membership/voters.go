package membership

import (
	"slices"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
)

// Progress is what a leader knows of a member's copy of the log.
type Progress struct {
	// Match is the last index that the member holds durably.
	Match uint64
	// Silent is set when the member does not answer now.
	Silent bool
	// Lost is set when the member has not answered for long.
	Lost bool
}

// AddLearner returns the membership with the newcomer as a learner; a newcomer that is known already changes nothing.
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
	// An earlier incarnation without a vote is of no further use; one with a vote stays until it is replaced.
	joined = slices.DeleteFunc(joined, func(member quorum.Member) bool {
		return member.Node == newcomer.Node && member.Learner
	})
	return append(joined, newcomer), true
}

// NextChange returns the next single change that the membership needs: promote a learner that has caught up, then remove
// the voter that it replaces, then drop learners that have been silent for long.
func NextChange(members []quorum.Member, maxVoters int, commit uint64,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	if changed, ok := removeReplaced(members); ok {
		return changed, true
	}
	if changed, ok := promote(members, maxVoters, commit, progress); ok {
		return changed, true
	}
	return dropSilentLearner(members, progress)
}

// removeReplaced drops a voter whose node votes under a later incarnation.
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
		if standing := progress(member.ID); standing.Silent || standing.Match < commit {
			continue
		}
		// The promoted member moves to the end, so that it counts as the latest of its node.
		promoted := member
		promoted.Learner = false
		return append(slices.Delete(slices.Clone(members), i, i+1), promoted), true
	}
	return nil, false
}

func dropSilentLearner(members []quorum.Member,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	for i, member := range members {
		if member.Learner && progress(member.ID).Lost {
			return slices.Delete(slices.Clone(members), i, i+1), true
		}
	}
	return nil, false
}
