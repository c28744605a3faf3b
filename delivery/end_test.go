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
	at := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		end        delivery.ConnectionEnd
		isComplete bool
	}{
		"alive":                          {delivery.ConnectionEnd{Silence: time.Second}, true},
		"alive, leaving":                 {delivery.ConnectionEnd{Silence: time.Second, IsLeaving: true}, true},
		"alive when the notice ends":     {delivery.ConnectionEnd{IsLeaving: true, NoticeEnd: at}, true},
		"killed":                         {delivery.ConnectionEnd{IsGone: true}, false},
		"killed at work":                 {delivery.ConnectionEnd{IsGone: true, Silence: 19 * time.Millisecond}, false},
		"left after the last byte":       {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, Silence: time.Millisecond}, true},
		"leaving, killed at work":        {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, Silence: 19 * time.Millisecond}, false},
		"leaving, another answer broken": {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, HasOtherBreaks: true}, false},
		"left before its notice ended":   {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, NoticeEnd: at.Add(time.Second)}, true},
		"gone as its notice ended":       {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, NoticeEnd: at.Add(50 * time.Millisecond)}, false},
		"gone after its notice ended":    {delivery.ConnectionEnd{IsGone: true, IsLeaving: true, NoticeEnd: at.Add(-time.Second)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			tc.end.At = at
			assert.Equal(t, tc.end.IsComplete(), tc.isComplete)
		})
	}
}
