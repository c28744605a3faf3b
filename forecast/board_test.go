package forecast_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/forecast"
)

// TestReportsAreBoundedAndFair guards against reports that grow with the product of readers and targets, and against targets of which a reader never
// hears: 1,000 targets change ten times a second, and a reader may get 250 reports a second.
func TestReportsAreBoundedAndFair(t *testing.T) {
	const (
		targets = 1000
		rate    = 250
		length  = 10
	)
	board := forecast.NewBoard()
	now := time.Unix(1_700_000_000, 0)
	received := make(map[celerylanding.TargetID]int)
	count := 0
	for range length * 10 {
		for target := range targets {
			board.Add(now, feed.TargetReport{Target: celerylanding.TargetID(fmt.Sprint(target)), Incarnation: 1, Sent: 10})
		}
		assert.Assert(t, !board.HasNews(now, "r", rate), "no early reply with a part of the news")
		for _, report := range board.Next(now, "r", rate) {
			received[report.Target]++
			count++
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, count <= rate*(length+1) && count >= rate*(length-1), "%d reports in %d s", count, length)
	assert.Equal(t, len(received), targets, "targets of which the reader has heard")
	for target, times := range received {
		assert.Assert(t, times <= 4, "%d reports of %s", times, target)
	}
}
