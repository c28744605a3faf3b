package control

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

// limitsInterval is the time between two lists of the targets with limits; the replies of one round share a list.
const limitsInterval = 20 * time.Millisecond

// recordLimit records a report about a target that announces a limit on requests.
func (ctl *Control) recordLimit(now time.Time, report feed.LimitReport) {
	isChanged := ctl.limits.Add(now, report)
	if report.HasLimit || isChanged {
		// Also without a change, since the planner of a new leader may not have known the engine before.
		ctl.planner.SetLimit(report.Target, report.Limit, report.HasLimit)
	}
	if !isChanged {
		return
	}
	ctl.options.Log.Info().Str("target", string(report.Target)).Bool("limited", report.HasLimit).Float64("per_second", report.Limit).
		Msg("target changed its limit on requests")
	ctl.feed.limitsAt = time.Time{}
	ctl.feed.advance()
}

// publishedLimits returns the limits and the demand for their targets, on the leader.
func (ctl *Control) publishedLimits(now time.Time) []feed.TargetLimit {
	if now.Sub(ctl.feed.limitsAt) >= limitsInterval {
		ctl.feed.limits, ctl.feed.limitsAt = ctl.limits.Limits(now), now
	}
	return ctl.feed.limits
}
