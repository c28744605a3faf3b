package celerylanding

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Verdict says whether a request may have run on a target.
type Verdict int

// The verdicts; the zero value is the conservative one.
const (
	// MayHaveRun means that a target may have acted on the request.
	MayHaveRun Verdict = iota
	// NotRun means that no target has acted on the request and none will.
	NotRun
	// Ran means that a target acted on the request and answered.
	Ran
)

// String returns the name that is used in headers and bodies.
func (verdict Verdict) String() string {
	switch verdict {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	}
	return "may_have_run"
}

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons that are returned to callers.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonWaitTooLong      Reason = "wait_exceeds_deadline"
	ReasonNoTarget         Reason = "no_target"
	ReasonNoQuorum         Reason = "no_quorum"
	ReasonQuarantined      Reason = "request_quarantined"
	ReasonCopyOnTrial      Reason = "copy_on_trial"
	ReasonUnknownOrigin    Reason = "unknown_origin"
	ReasonTargetsLimited   Reason = "targets_limited"
	ReasonDraining         Reason = "draining"
	ReasonTargetFailed     Reason = "target_failed"
	ReasonTargetRefused    Reason = "target_refused"
	ReasonAnswerIncomplete Reason = "answer_incomplete"
	ReasonKeyInProgress    Reason = "idempotency_key_in_progress"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonUnknownKey       Reason = "unknown_key"
	ReasonKeysNotFresh     Reason = "keys_not_fresh"
	ReasonQuotaUsed        Reason = "quota_used"
)

// Status returns the HTTP status code for the reason.
func (reason Reason) Status() int {
	switch reason {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonUnknownKey:
		return http.StatusUnauthorized
	case ReasonUnknownModel, ReasonUnknownService:
		return http.StatusNotFound
	case ReasonQueueFull, ReasonQuotaUsed:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonQuarantined, ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonKeyInProgress:
		return http.StatusConflict
	case ReasonTargetFailed, ReasonAnswerIncomplete:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// RetryAfter returns how long a caller should wait before it retries; zero means that a retry does not help.
func (reason Reason) RetryAfter() time.Duration {
	switch reason {
	case ReasonQueueFull, ReasonWaitTooLong, ReasonNoTarget, ReasonNoQuorum, ReasonTargetRefused, ReasonTargetsLimited, ReasonKeysNotFresh,
		ReasonQuotaUsed:
		return 2 * time.Second
	case ReasonDraining, ReasonKeyInProgress, ReasonCopyOnTrial:
		return time.Second
	}
	return 0
}

// ErrorNamespace is the root of the error types of this module.
var ErrorNamespace = errorx.NewNamespace("celerylanding")

// ErrCallFailed is the type of every error that ends a caller's request.
var ErrCallFailed = ErrorNamespace.NewType("call_failed")

var (
	verdictProperty = errorx.RegisterProperty("verdict")
	reasonProperty  = errorx.RegisterProperty("reason")
)

// NewCallError returns an error that ends a request with a verdict and a reason.
func NewCallError(verdict Verdict, reason Reason, format string, args ...any) error {
	return ErrCallFailed.New("%s", fmt.Sprintf(format, args...)).
		WithProperty(verdictProperty, verdict).
		WithProperty(reasonProperty, reason)
}

// VerdictOf returns the verdict that an error carries, or MayHaveRun if it carries none.
func VerdictOf(err error) Verdict {
	if value, ok := errorx.ExtractProperty(err, verdictProperty); ok {
		return value.(Verdict)
	}
	return MayHaveRun
}

// WithVerdict returns the error with a different verdict, for a request with more than one attempt.
func WithVerdict(err error, verdict Verdict) error {
	if typed := errorx.Cast(err); typed != nil {
		return typed.WithProperty(verdictProperty, verdict)
	}
	return err
}

// ReasonOf returns the reason that an error carries, or ReasonTargetFailed if it carries none.
func ReasonOf(err error) Reason {
	if value, ok := errorx.ExtractProperty(err, reasonProperty); ok {
		return value.(Reason)
	}
	return ReasonTargetFailed
}

// MessageOf returns the text of an error without the name of its errorx type.
func MessageOf(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return strings.TrimPrefix(typed.Error(), typed.Type().FullName()+": ")
	}
	return err.Error()
}

// ErrBadField is the type of errors about an invalid field of a message; the text names the field.
var ErrBadField = ErrorNamespace.NewType("bad_field")

// NewFieldError returns an ErrBadField that names the field.
func NewFieldError(field, format string, args ...any) error {
	return ErrBadField.New("%s: %s", field, fmt.Sprintf(format, args...))
}
