package membership

import (
	"slices"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
)

// Shape is what the set of voters should look like.
type Shape struct {
	// Voters is the wanted number of voters, odd.
	Voters int
	// Self is the leader, which is not removed.
	Self quorum.MemberID
}

// perDomain returns the most voters of one failure domain that may be lost with it.
func (shape Shape) perDomain() int {
	return max(1, (shape.Voters-1)/2)
}

// NextSpread returns the next single change that the membership needs: remove a voter that was replaced, fill the number of
// voters, replace voters that are silent or too many in one failure domain, drop members that have been silent for long.
func NextSpread(members []quorum.Member, shape Shape, commit uint64, progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	if changed, ok := removeReplaced(members); ok {
		return changed, true
	}
	voters := votersOf(members)
	switch {
	case len(voters) < shape.Voters:
		if changed, ok := promoteSpread(members, shape, commit, progress, ""); ok {
			return changed, true
		}
	case len(voters) > shape.Voters:
		if changed, ok := removeSurplus(members, shape, progress); ok {
			return changed, true
		}
	default:
		if changed, ok := promoteSubstitute(members, shape, commit, progress); ok {
			return changed, true
		}
	}
	return dropSilentLearner(members, progress)
}

func votersOf(members []quorum.Member) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member quorum.Member) bool { return member.Learner })
}

// countDomains counts the voters of each failure domain, without the one given.
func countDomains(members []quorum.Member, without quorum.MemberID) map[celerylanding.FailureDomain]int {
	counts := make(map[celerylanding.FailureDomain]int)
	for _, member := range members {
		if !member.Learner && member.ID != without {
			counts[member.Domain]++
		}
	}
	return counts
}

// promoteSpread gives a vote to the member that has caught up whose failure domain has the fewest voters, not counting the voter
// that it is to replace.
func promoteSpread(members []quorum.Member, shape Shape, commit uint64, progress func(quorum.MemberID) Progress,
	replaced quorum.MemberID) ([]quorum.Member, bool) {
	counts := countDomains(members, replaced)
	best := -1
	for i, member := range members {
		standing := progress(member.ID)
		if !member.Learner || !member.Durable || standing.Silent || standing.Match < commit {
			continue
		}
		if counts[member.Domain] < shape.perDomain() && (best < 0 || counts[member.Domain] < counts[members[best].Domain]) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	// The promoted member moves to the end, so that it counts as the latest of its node.
	promoted := members[best]
	promoted.Learner = false
	return append(slices.Delete(slices.Clone(members), best, best+1), promoted), true
}

// promoteSubstitute gives a vote to a member that can take the place of a silent voter, or of one in a crowded failure domain.
func promoteSubstitute(members []quorum.Member, shape Shape, commit uint64,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	counts := countDomains(members, "")
	for _, member := range members {
		isCrowded := counts[member.Domain] > shape.perDomain() && member.Domain != ""
		if member.Learner || member.ID == shape.Self || !(isCrowded || isLost(members, member, progress)) {
			continue
		}
		if changed, ok := promoteSpread(members, shape, commit, progress, member.ID); ok {
			return changed, true
		}
	}
	return nil, false
}

// isLost reports whether a voter is silent or its node has come back under another incarnation, without its log.
func isLost(members []quorum.Member, voter quorum.Member, progress func(quorum.MemberID) Progress) bool {
	return progress(voter.ID).Silent || slices.ContainsFunc(members, func(member quorum.Member) bool {
		return member.Learner && member.Node == voter.Node
	})
}

// removeSurplus takes the vote of a silent voter, or else of one in the most crowded failure domain.
func removeSurplus(members []quorum.Member, shape Shape, progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	counts := countDomains(members, "")
	worst := -1
	for i, member := range members {
		if member.Learner || member.ID == shape.Self {
			continue
		}
		if isLost(members, member, progress) {
			worst = i
			break
		}
		if worst < 0 || counts[member.Domain] > counts[members[worst].Domain] {
			worst = i
		}
	}
	if worst < 0 {
		return nil, false
	}
	changed := slices.Clone(members)
	if isLost(members, members[worst], progress) {
		return slices.Delete(changed, worst, worst+1), true
	}
	changed[worst].Learner = true
	return changed, true
}
