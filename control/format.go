package control

import "time"

// logFormat is the newest format of the log that this build applies; builds that state none count as format zero. A kind of entry that earlier builds
// must not skip names the format that it needs, and is first written when membersFormat has reached that; see docs/design/versions.md.
const logFormat = 1

// membersFormat returns the format that all members apply, by what they have reported to this leader. One that is silent counts as a build that states
// none.
func (ctl *Control) membersFormat(now time.Time) uint64 {
	formats := make(map[string]uint64)
	for _, relay := range ctl.feed.relays {
		if now.Sub(relay.seen) <= relayContactTimeout {
			formats[relay.address] = relay.format
		}
	}
	lowest := uint64(logFormat)
	for _, member := range ctl.core.Members() {
		if member.ID != ctl.member.ID {
			lowest = min(lowest, formats[member.Address])
		}
	}
	return lowest
}

// reportFormat tells operators when the format that all members apply changes, as at the end of an upgrade.
func (ctl *Control) reportFormat(now time.Time) {
	lowest := ctl.membersFormat(now)
	ctl.options.Metrics.Gauge("log_format_of_members").Update(float64(lowest))
	if lowest != ctl.lowestFormat {
		ctl.options.Log.Info().Uint64("format", lowest).Uint64("before", ctl.lowestFormat).Msg("log format of all members changed")
		ctl.lowestFormat = lowest
	}
}
