package delivery

import "time"

const (
	// maxEndSilence is the longest time between the last byte of a whole answer and the end of its connection.
	maxEndSilence = 10 * time.Millisecond
	// noticeSlack is how much earlier than announced a target may be taken away, since its notice takes time to arrive.
	noticeSlack = 250 * time.Millisecond
)

// ConnectionEnd is what is known of the end of an answer that has neither a length nor chunks.
type ConnectionEnd struct {
	// At is when the connection ended, and Silence how long the target had sent nothing before.
	At      time.Time
	Silence time.Duration
	// IsGone is set if the target has refused connections since.
	IsGone bool
	// IsLeaving is set if the target has said that it shuts down, and NoticeEnd is when it is taken away, whatever it is running; zero for no such time.
	IsLeaving bool
	NoticeEnd time.Time
	// HasOtherBreaks is set if the target broke off another answer at the same time.
	HasOtherBreaks bool
}

// InterruptsWork reports whether the target was still at work on the answer if it is gone.
func (end ConnectionEnd) InterruptsWork() bool { return end.Silence > maxEndSilence }

// IsComplete reports whether the answer counts as complete. A target that is killed ends its connections as one that has answered does. One that shuts
// down in order may be gone right after its last byte, but it breaks nothing off.
func (end ConnectionEnd) IsComplete() bool {
	switch {
	case !end.IsGone:
		return true
	case !end.IsLeaving, end.HasOtherBreaks, end.InterruptsWork():
		return false
	}
	return end.NoticeEnd.IsZero() || end.At.Before(end.NoticeEnd.Add(-noticeSlack))
}
