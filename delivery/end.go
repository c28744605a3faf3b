package delivery

import "time"

// maxEndSilence is the longest time between the last byte of a whole answer and the end of its connection.
const maxEndSilence = 10 * time.Millisecond

// ConnectionEnd is what is known of the end of an answer that has neither a length nor chunks.
type ConnectionEnd struct {
	// Silence is how long the target had sent nothing before the connection ended.
	Silence time.Duration
	// IsGone is set if the target has refused connections since.
	IsGone bool
	// IsLeaving is set if the leader has heard that the target shuts down, and HasNotice if it is then taken away whatever it is running.
	IsLeaving, HasNotice bool
	// HasOtherBreaks is set if the target broke off another answer at the same time.
	HasOtherBreaks bool
}

// InterruptsWork reports whether the target was still at work on the answer if it is gone.
func (end ConnectionEnd) InterruptsWork() bool { return end.Silence > maxEndSilence }

// IsComplete reports whether the answer counts as complete. A target that is killed ends its connections as one that has answered does. One that shuts
// down in order may be gone right after its last byte, but it breaks nothing off. Until its announcement has been heard, it may be one that is taken away,
// and with a late one, the end of a notice is not known.
func (end ConnectionEnd) IsComplete() bool {
	if !end.IsGone {
		return true
	}
	return end.IsLeaving && !end.HasNotice && !end.HasOtherBreaks && !end.InterruptsWork()
}
