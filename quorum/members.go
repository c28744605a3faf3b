package quorum

import (
	"slices"
	"time"
)

func (core *Core) reloadMembers() {
	core.members, core.membersIndex = core.log.members()
}

// membersAt returns the membership in force at the index.
func (core *Core) membersAt(index uint64) []Member {
	members := core.log.snapshot.Members
	for _, entry := range core.log.slice(core.log.snapshot.Index+1, index) {
		if entry.Kind == EntryMembers {
			members = entry.Members
		}
	}
	return members
}

func (core *Core) isVoter(id MemberID) bool {
	return slices.ContainsFunc(core.members, func(member Member) bool {
		return member.ID == id && !member.Learner
	})
}

// syncProgress adds a progress for each new member and removes those of former members. A new member counts as having answered one
// election timeout ago: it has time to answer before the next quorum check, but does not count towards the leader lease.
func (core *Core) syncProgress(now time.Time) {
	peers := make(map[MemberID]*progress, len(core.members))
	for _, member := range core.members {
		if member.ID == core.settings.ID {
			continue
		}
		peer, ok := core.progress[member.ID]
		if !ok {
			peer = &progress{next: core.log.lastIndex() + 1, contact: now.Add(-core.settings.ElectionTimeout)}
		}
		peers[member.ID] = peer
	}
	core.progress = peers
}

// countChangedVoters returns the number of voters that are in only one of the two memberships.
func countChangedVoters(before, after []Member) int {
	return countMissingVoters(before, after) + countMissingVoters(after, before)
}

// countMissingVoters returns the number of voters of the first membership that are not voters in the second one.
func countMissingVoters(from, in []Member) int {
	missing := 0
	for _, voter := range from {
		found := slices.ContainsFunc(in, func(member Member) bool {
			return member.ID == voter.ID && !member.Learner
		})
		if !voter.Learner && !found {
			missing++
		}
	}
	return missing
}
