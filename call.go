package celerylanding

import (
	"net/http"
	"time"
)

// PromptPart is a piece of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallMetadata is what a caller says of one request beside its method, path and body.
type CallMetadata struct {
	// ID is unique for each try of a caller.
	ID string
	// MaxWait is how long the caller waits; zero means that it does not say.
	MaxWait time.Duration
	Model   ModelID
	// PromptTokens and OutputTokens are the size of a generation; the latter is its upper bound.
	PromptTokens int
	OutputTokens int
	// PromptParts are the pieces of the prompt, in order.
	PromptParts []PromptPart
	// ResumeAfter names the last event that the caller has, or "".
	ResumeAfter string
}

// Attempt says how a call is sent to one target.
type Attempt struct {
	Target  TargetID
	Timeout time.Duration
	// Urgency is 0 for the most urgent requests and 9 for the least.
	Urgency int
	// ResumeAfter names the last event that the caller has, or "".
	ResumeAfter string
}

// ResponseMetadata is what the header of a target's answer says.
type ResponseMetadata struct {
	// CallID names the call that the answer belongs to, or "" when it does not say.
	CallID string
	// HasServerStamp is set when the answer carries the target's mark of its own work.
	HasServerStamp bool
	// NotRun is set when the target says that it has not run the call and will not.
	NotRun bool
	// IsMisdirected is set when the address belongs to another target or the target does not hold what the call needs.
	IsMisdirected bool
	Load          TargetLoad
	// Slots is the number of calls that the target runs at once; zero means that the load is not known.
	Slots int
}

// Dialect translates between a wire interface and calls.
type Dialect interface {
	// ParseCall reads what a caller's header says; an error names the field that can't be read.
	ParseCall(header http.Header) (CallMetadata, error)
	// RequestHeader returns the header for a target from the caller's.
	RequestHeader(header http.Header, call CallMetadata, try Attempt) http.Header
	// ParseResponse reads the header of a target's answer.
	ParseResponse(status int, header http.Header) ResponseMetadata
	// IsForwarded reports whether a field of a target's header is passed on.
	IsForwarded(name string) bool
}
