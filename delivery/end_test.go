package delivery_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/delivery"
)

// TestEndOfALeavingTargetsAnswer guards against a part of an answer that counts as complete because its target leaves, and against a whole one that does
// not because its target is gone right after the last byte.
func TestEndOfALeavingTargetsAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		end        delivery.ConnectionEnd
		isComplete bool
	}{
		"alive":                          {delivery.ConnectionEnd{Silence: time.Second}, true},
		"alive, leaving":                 {delivery.ConnectionEnd{Silence: time.Second, IsLeaving: true}, true},
		"alive at a notice":              {delivery.ConnectionEnd{IsLeaving: true, HasNotice: true}, true},
		"killed":                         {delivery.ConnectionEnd{IsGone: true}, false},
		"killed at work":                 {delivery.ConnectionEnd{IsGone: true, Silence: 19 * time.Millisecond}, false},
		"left after the last byte":       {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, Silence: time.Millisecond}, true},
		"leaving, killed at work":        {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, Silence: 19 * time.Millisecond}, false},
		"leaving, another answer broken": {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, HasOtherBreaks: true}, false},
		"gone at a notice":               {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, HasNotice: true}, false},
		"gone, a notice but not leaving": {delivery.ConnectionEnd{IsGone: true, HasNotice: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.end.IsComplete(), tc.isComplete)
		})
	}
}
