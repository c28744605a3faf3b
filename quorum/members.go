package quorum

import (
	"slices"
	"time"
)

func (core *Core) reloadMembers() {
	core.members, core.membersIndex = core.log.members()
}

// membersAt returns the membership as of the index.
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

// syncPeers keeps one progress for each other member.
func (core *Core) syncPeers(now time.Time) {
	peers := make(map[MemberID]*progress, len(core.members))
	for _, member := range core.members {
		if member.ID == core.settings.ID {
			continue
		}
		peer, ok := core.peers[member.ID]
		if !ok {
			peer = &progress{next: core.log.lastIndex() + 1, contact: now.Add(-core.settings.ElectionTimeout)}
		}
		peers[member.ID] = peer
	}
	core.peers = peers
}

// votersChanged counts the voters that are in one membership only.
func votersChanged(before, after []Member) int {
	return votersMissing(before, after) + votersMissing(after, before)
}

func votersMissing(from, in []Member) int {
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
