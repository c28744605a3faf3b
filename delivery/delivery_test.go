package delivery_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/delivery"
)

// stream is the head of a sound stream.
var stream = delivery.Answer{Status: http.StatusOK, IsStream: true, HasServerStamp: true}

// TestOnlyAStreamContinuesAStream guards against an answer that is appended to a stream that has begun.
func TestOnlyAStreamContinuesAStream(t *testing.T) {
	for name, tc := range map[string]struct {
		answer     delivery.Answer
		isAdmitted bool
	}{
		"stream":                 {stream, true},
		"stream without stamp":   {delivery.Answer{Status: http.StatusOK, IsStream: true}, false},
		"other content":          {delivery.Answer{Status: http.StatusOK, HasServerStamp: true}, false},
		"error":                  {delivery.Answer{Status: http.StatusInternalServerError, HasServerStamp: true}, false},
		"error that is a stream": {delivery.Answer{Status: http.StatusInternalServerError, IsStream: true, HasServerStamp: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			begun := delivery.New("")
			assert.NilError(t, begun.Admit(stream))
			begun.Begin(stream, false)
			assert.NilError(t, begun.RecordEvents([]byte("id: 1\ndata: x\n\n")))
			assert.Assert(t, begun.CanContinue())
			assert.Equal(t, begun.Position(), "1")
			err := begun.Admit(tc.answer)
			assert.Equal(t, err == nil, tc.isAdmitted, "%v", err)
		})
	}
}

// TestStreamWithoutPositionCanNotContinue guards against resuming a stream of which the caller has received events without an ID.
func TestStreamWithoutPositionCanNotContinue(t *testing.T) {
	begun := delivery.New("")
	assert.Assert(t, begun.CanContinue())
	begun.Begin(stream, false)
	assert.NilError(t, begun.RecordEvents([]byte("data: x\n\n")))
	assert.Assert(t, !begun.CanContinue())
}

// TestEndOfAConnectionIsNotVouchedFor guards against a body that looks complete to its caller, although its target's answer does not show that it is.
func TestEndOfAConnectionIsNotVouchedFor(t *testing.T) {
	unframed := delivery.Answer{Status: http.StatusOK, IsStream: true, HasServerStamp: true, IsUnframed: true}
	for name, tc := range map[string]struct {
		answer     delivery.Answer
		isUnframed bool
		isKnown    bool
	}{
		"both framed":              {stream, false, true},
		"only the caller's body":   {unframed, false, false},
		"neither":                  {unframed, true, true},
		"only the target's answer": {stream, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			sent := delivery.New("")
			sent.Begin(tc.answer, tc.isUnframed)
			err := sent.CheckEnd(tc.answer)
			assert.Equal(t, err == nil, tc.isKnown, "%v", err)
		})
	}
}
