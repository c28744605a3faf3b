package proxy_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLessUrgentRequestsTakeNoMoreOfAnAllowance guards against requests with a long latency objective that wait longer for a part of the allowance of
// a workspace that asks for three times its limit, and so use up what more urgent ones would get.
func TestLessUrgentRequestsTakeNoMoreOfAnAllowance(t *testing.T) {
	const (
		rate     = 20_000
		length   = 4 * time.Second
		interval = 30 * time.Millisecond
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
				// Each class asks for one and a half times the limit.
				callers.Go(func() {
					if charged, _, _ := handler.Charge(ctx, workspace, int(1.5*rate*interval.Seconds()), objective); charged != nil {
						charged.Use()
						admitted[class].Add(1)
					}
				})
			}
		})
	}
	callers.Wait()
	urgent, other := admitted[0].Load(), admitted[1].Load()
	assert.Assert(t, float64(urgent) >= 0.85*float64(other), "%d urgent requests admitted, %d others", urgent, other)
	assert.Assert(t, other > 0)
}
