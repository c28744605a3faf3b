package proxy

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// recordBrittle records whether an answer says that its target is brittle, and a request that such a target has turned away.
func (handler *Handler) recordBrittle(call *call, target *feed.Target, reply celerylanding.ResponseMetadata) {
	now := handler.options.Clock()
	if handler.picker.RecordBrittle(now, target, reply.Tolerance, reply.IsBrittle) {
		handler.options.Log.Info().Str("target", string(target.ID)).Bool("brittle", reply.IsBrittle).Int("tolerance", reply.Tolerance).
			Msg("target changed whether it is brittle")
		handler.options.Metrics.Counter("target_brittle_changes").Inc(1)
	}
	if reply.IsFull && handler.picker.RecordRejection(now, target, handler.state.table().Routers()) {
		call.wasRejected = true
		handler.options.Metrics.Counter("brittle_rejections").Inc(1)
	}
}

// BrittleReports returns what brittle targets say, and the demand and the rejections there since the last call.
func (handler *Handler) BrittleReports(now time.Time) []feed.BrittleReport {
	return handler.picker.BrittleReports(now)
}

// SetBrittle records the leader's list of brittle targets, as of a time.
func (handler *Handler) SetBrittle(at time.Time, list []feed.BrittleTarget) {
	handler.picker.SetBrittle(at, list)
}
