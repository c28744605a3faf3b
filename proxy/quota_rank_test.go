package proxy_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUrgentRequestsOfAWorkspaceGoFirst guards against requests with a long latency objective that wait longer for a part of the quota of a
// workspace that asks for twice its limit, and so use up what more urgent ones would get; and against a quota that is left unused.
func TestUrgentRequestsOfAWorkspaceGoFirst(t *testing.T) {
	const (
		rate     = 20_000
		length   = 4 * time.Second
		interval = 30 * time.Millisecond
		units    = int(rate * float64(interval) / float64(time.Second))
	)
	workspace := limitedWorkspace(rate)
	handler, _ := newCharging(t, workspace, 10*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	var admitted [2]atomic.Int64
	var callers sync.WaitGroup
	for class, objective := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		callers.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				// Each class asks for the limit.
				callers.Go(func() {
					if charged, _, _ := handler.ChargeRanked(ctx, workspace, class, units, objective); charged != nil {
						charged.Use()
						admitted[class].Add(int64(units))
					}
				})
			}
		})
	}
	callers.Wait()
	urgent, other := float64(admitted[0].Load()), float64(admitted[1].Load())
	assert.Assert(t, urgent >= 0.85*rate*length.Seconds(), "%.0f units of urgent requests admitted, %.0f of others", urgent, other)
	assert.Assert(t, urgent+other >= 0.9*rate*length.Seconds(), "%.0f units of urgent requests admitted, %.0f of others", urgent, other)
}
