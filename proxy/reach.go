package proxy

import (
	"context"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// HandleReach makes requests try all targets again, since this router reaches them in another way than before, or no longer.
func (handler *Handler) HandleReach() {
	handler.picker.ForgetBackoffs()
	handler.state.announce()
}

// HasTargetAt reports whether a target has the address.
func (handler *Handler) HasTargetAt(address string) bool {
	return handler.state.table().HasTargetAt(address)
}

// confirmRefusal records that a target refuses connections, for an attempt that began at a time, unless that is so because this router reaches no
// target.
func (handler *Handler) confirmRefusal(now, began time.Time, endpoint celerylanding.Endpoint) {
	pool := handler.options.Pool
	if !pool.IsSuspected(now) {
		if !pool.IsCut() || !pool.HasChangedSince(began) {
			handler.confirmCrash(now, endpoint)
		}
		return
	}
	handler.probes.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, crashWindow)
		defer cancel()
		if handler.options.Pool.Settle(ctx) && ctx.Err() == nil {
			handler.confirmCrash(handler.options.Clock(), endpoint)
		}
	})
}

// refuseStranded refuses a request while no target is reached, neither directly nor through another router. Its caller finds another router sooner than
// this one finds a target.
func (handler *Handler) refuseStranded(now time.Time, call *call) *refusal {
	if !handler.options.Pool.IsStranded(now) {
		return nil
	}
	return unavailableOrFailed(call, celerylanding.ReasonNoTarget, busyRetryDelay, "this router reaches no target")
}
