package delivery

import (
	"errors"
	"net/http"
)

var (
	// ErrUnstamped means that an answer bears no target's stamp, so that its bytes may belong to no request.
	ErrUnstamped = errors.New("answer lacks the target's server stamp")
	// ErrFalsePromise means that the status says that the request has not run although the target does not say so.
	ErrFalsePromise = errors.New("status promises that the request has not run, and the target does not")
	// ErrNoContinuation means that an answer can't continue the stream that the caller is receiving.
	ErrNoContinuation = errors.New("answer does not continue the stream that has begun")
	// ErrEndUnknown means that the connection of an answer without length and chunks has ended, which can't be passed on as a complete body.
	ErrEndUnknown = errors.New("answer ended with its connection, which does not show that it is complete")
	// ErrRepeatedEvent means that a target resumes a stream at or before the last event that the caller has received.
	ErrRepeatedEvent = errors.New("resumed stream repeats an event")
)

// Answer is the head of a target's answer.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// IsStream is set if the body consists of server-sent events.
	IsStream bool
	// HasServerStamp is set if the answer is marked as one of a target.
	HasServerStamp bool
	// IsUnframed is set if the body has neither a length nor chunks, so that only the end of the connection ends it. A target that is killed ends it
	// in the same way.
	IsUnframed bool
}

// Delivery is what the caller of a request has received of the answer, over all attempts. It is not safe for concurrent use.
type Delivery struct {
	begun *Answer
	// isUnframed is set if the body that the caller gets ends with its connection.
	isUnframed bool
	// position is the ID of the event after which the stream can be resumed, and hasData is set once an event with data was sent.
	position string
	hasData  bool
	// isResuming is set until the first event with an ID of an attempt that resumes the stream.
	isResuming bool
}

// New returns the delivery of a request that resumes a stream after the event with the given ID, or "" for a new stream or another request.
func New(resumeAfter string) *Delivery { return &Delivery{position: resumeAfter} }

// HasBegun reports whether the caller has received the head of an answer.
func (delivery *Delivery) HasBegun() bool { return delivery.begun != nil }

// Status returns the HTTP status that the caller has received, or zero.
func (delivery *Delivery) Status() int {
	if delivery.begun == nil {
		return 0
	}
	return delivery.begun.Status
}

// Position returns the ID of the event after which the next attempt resumes the stream, or "" if it begins the stream.
func (delivery *Delivery) Position() string { return delivery.position }

// CanContinue reports whether the answer of another attempt can complete what the caller has received.
func (delivery *Delivery) CanContinue() bool {
	return delivery.begun == nil || delivery.position != "" || !delivery.hasData
}

// Admit decides by its head whether the answer of a new attempt may be passed on to the caller, whatever its length and framing. The target has not
// said that the request has not run. The error is ErrUnstamped, ErrFalsePromise or ErrNoContinuation.
func (delivery *Delivery) Admit(answer Answer) error {
	switch {
	case !answer.HasServerStamp:
		return ErrUnstamped
	case promisesNotRun(answer.Status):
		return ErrFalsePromise
	case delivery.begun != nil && !(answer.Status == http.StatusOK && answer.IsStream):
		return ErrNoContinuation
	}
	delivery.isResuming = delivery.position != ""
	return nil
}

// promisesNotRun reports whether callers take the status as a promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// Begin records that the head of an admitted answer is sent to the caller; isUnframed says that the end of the caller's connection ends the body.
func (delivery *Delivery) Begin(answer Answer, isUnframed bool) {
	delivery.begun, delivery.isUnframed = &answer, isUnframed
}

// CheckEnd returns nil if the body of the caller may end as the answer has ended, without an error. It returns ErrEndUnknown if the caller would take
// the body for complete, and the target's answer does not show that it is.
func (delivery *Delivery) CheckEnd(answer Answer) error {
	if answer.IsUnframed && !delivery.isUnframed {
		return ErrEndUnknown
	}
	return nil
}
