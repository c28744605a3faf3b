package control

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/resume"
)

const (
	// versionInterval is the time between two looks at the software versions of the targets.
	versionInterval = 200 * time.Millisecond
	// versionRetryInterval is the time after which a history that is not committed is proposed again.
	versionRetryInterval = time.Second
)

// versionHistory is the replicated list of the software versions that services have had lately, as far as the leader of the term knows. Without it, a
// leader that has just started would take the only version that it has seen for the one that began each stream.
type versionHistory struct {
	Term uint64                  `cbor:"1,keyasint"`
	List []resume.ServiceVersion `cbor:"2,keyasint,omitempty"`
}

func (history *versionHistory) isSame(other *versionHistory) bool {
	return history.Term == other.Term && slices.Equal(history.List, other.List)
}

// versionState is the replicated history and when it is next compared with the targets.
type versionState struct {
	history versionHistory
	due     time.Time
	// proposed was proposed by this leader at proposedAt.
	proposed   versionHistory
	proposedAt time.Time
}

// restore replaces the history by that of a snapshot; one of an earlier build has none.
func (state *versionState) restore(history *versionHistory) {
	state.history = versionHistory{}
	if history != nil {
		state.history = *history
	}
}

// leadOrigins begins this node's work on the origins of streams as the leader. The history is complete if the leader before this one has recorded it;
// leaders of earlier builds don't, and one that ends at once may not have.
func (ctl *Control) leadOrigins(now time.Time) {
	_, terms := ctl.core.TermsAfter(max(ctl.versions.history.Term, quorum.BootstrapTerm))
	// Without a configuration no stream can have begun.
	hasHistory := terms <= 1 || ctl.configuration == nil
	ctl.origins.Lead(now, ctl.versions.history.List, hasHistory)
	ctl.versions.due = time.Time{}
	ctl.options.Log.Info().Bool("complete", hasHistory).Int("versions", len(ctl.versions.history.List)).Uint64("of_term", ctl.versions.history.Term).
		Msg("history of software versions taken over")
}

// observeVersion records that a target has a software version. A leader replicates one that is new at once.
func (ctl *Control) observeVersion(now time.Time, announcement *celerylanding.Announcement) {
	if ctl.origins.ObserveVersion(now, celerylanding.ServiceID(announcement.Group), announcement.Software) {
		ctl.versions.due = time.Time{}
	}
}

// maintainVersions records the software versions of the targets, and replicates the history if this node leads and it has changed. A target that leaves
// begins no streams any more.
func (ctl *Control) maintainVersions(now time.Time) {
	if now.Before(ctl.versions.due) {
		return
	}
	ctl.versions.due = now.Add(versionInterval)
	for _, target := range ctl.directory.Targets() {
		if announcement := target.Announcement(); !announcement.Leaving {
			ctl.origins.ObserveVersion(now, celerylanding.ServiceID(announcement.Group), announcement.Software)
		}
	}
	if ctl.leads(now) && ctl.origins.HasHistory(now) {
		ctl.proposeHistory(now)
	}
}

func (ctl *Control) hasService(id celerylanding.ServiceID) bool {
	if ctl.configuration == nil {
		return false
	}
	_, exists := ctl.configuration.Service(id)
	return exists
}

// proposeHistory proposes the history of software versions, unless the log has it or may soon.
func (ctl *Control) proposeHistory(now time.Time) {
	next := versionHistory{Term: ctl.core.Term(), List: slices.DeleteFunc(ctl.origins.Versions(now), func(entry resume.ServiceVersion) bool {
		// Anyone may announce a target of a service that does not exist.
		return !ctl.hasService(entry.Service)
	})}
	isPending := next.isSame(&ctl.versions.proposed) && now.Sub(ctl.versions.proposedAt) < versionRetryInterval
	if next.isSame(&ctl.versions.history) || isPending {
		return
	}
	data, err := encodeCommand(&replicated{Versions: &next})
	if err != nil {
		ctl.options.Log.Error().Err(err).Msg("history of software versions can't be encoded")
		return
	}
	ctl.versions.proposed, ctl.versions.proposedAt = next, now
	ctl.batch = append(ctl.batch, queuedCommand{data, make(chan ProposeReply, 1)})
}
