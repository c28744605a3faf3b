package membership

import (
	"slices"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
)

// VoterPolicy is the desired set of voters.
type VoterPolicy struct {
	// Voters is the desired number of voters; odd.
	Voters int
	// Leader is the current leader, which is neither replaced nor demoted.
	Leader quorum.MemberID
}

// maxPerDomain returns the largest number of voters in one failure domain whose joint loss leaves a quorum, at least 1.
func (policy VoterPolicy) maxPerDomain() int {
	return max(1, (policy.Voters-1)/2)
}

// NextBalancedChange returns the membership after the next single change that it needs; it is false if none is needed. A change removes a
// voter that was replaced, adjusts the number of voters, replaces a voter that is silent or in a failure domain with too many voters, or
// removes a lost learner.
func NextBalancedChange(members []quorum.Member, policy VoterPolicy, commit uint64,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	if changed, ok := removeReplaced(members); ok {
		return changed, true
	}
	voters := votersOf(members)
	switch {
	case len(voters) < policy.Voters:
		if changed, ok := promoteBalanced(members, policy, commit, progress, ""); ok {
			return changed, true
		}
	case len(voters) > policy.Voters:
		if changed, ok := removeSurplus(members, policy, progress); ok {
			return changed, true
		}
	default:
		if changed, ok := promoteReplacement(members, policy, commit, progress); ok {
			return changed, true
		}
	}
	return removeLostLearner(members, progress)
}

func votersOf(members []quorum.Member) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member quorum.Member) bool { return member.Learner })
}

// countDomains counts the voters of each failure domain, except for the given member.
func countDomains(members []quorum.Member, without quorum.MemberID) map[celerylanding.FailureDomain]int {
	counts := make(map[celerylanding.FailureDomain]int)
	for _, member := range members {
		if !member.Learner && member.ID != without {
			counts[member.Domain]++
		}
	}
	return counts
}

// promoteBalanced promotes the caught-up learner whose failure domain has the fewest voters, not counting the voter that it replaces.
func promoteBalanced(members []quorum.Member, policy VoterPolicy, commit uint64, progress func(quorum.MemberID) Progress,
	replaced quorum.MemberID) ([]quorum.Member, bool) {
	counts := countDomains(members, replaced)
	best := -1
	for i, member := range members {
		state := progress(member.ID)
		if !member.Learner || !member.Durable || state.Silent || state.Match < commit {
			continue
		}
		if counts[member.Domain] < policy.maxPerDomain() && (best < 0 || counts[member.Domain] < counts[members[best].Domain]) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	// The promoted member moves to the end of the list, which marks it as the latest voter of its node.
	promoted := members[best]
	promoted.Learner = false
	return append(slices.Delete(slices.Clone(members), best, best+1), promoted), true
}

// promoteReplacement promotes a learner to take the place of a voter that needs replacement, or of one in a failure domain with too many
// voters.
func promoteReplacement(members []quorum.Member, policy VoterPolicy, commit uint64,
	progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	counts := countDomains(members, "")
	for _, member := range members {
		exceedsLimit := counts[member.Domain] > policy.maxPerDomain() && member.Domain != ""
		if member.Learner || member.ID == policy.Leader || !(exceedsLimit || needsReplacement(members, member, progress)) {
			continue
		}
		if changed, ok := promoteBalanced(members, policy, commit, progress, member.ID); ok {
			return changed, true
		}
	}
	return nil, false
}

// needsReplacement reports whether a voter is silent, or its node has lost its log and rejoined as a learner under a new incarnation.
func needsReplacement(members []quorum.Member, voter quorum.Member, progress func(quorum.MemberID) Progress) bool {
	return progress(voter.ID).Silent || slices.ContainsFunc(members, func(member quorum.Member) bool {
		return member.Learner && member.Node == voter.Node
	})
}

// removeSurplus removes a voter that needs replacement, or else demotes one in the failure domain with the most voters.
func removeSurplus(members []quorum.Member, policy VoterPolicy, progress func(quorum.MemberID) Progress) ([]quorum.Member, bool) {
	counts := countDomains(members, "")
	worst := -1
	for i, member := range members {
		if member.Learner || member.ID == policy.Leader {
			continue
		}
		if needsReplacement(members, member, progress) {
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
	if needsReplacement(members, members[worst], progress) {
		return slices.Delete(changed, worst, worst+1), true
	}
	changed[worst].Learner = true
	return changed, true
}
