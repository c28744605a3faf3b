package celerylanding

import (
	"net/http"
	"time"
)

// PromptPart is a segment of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallMetadata holds the attributes of a request that its header carries, beside its method, path and body.
type CallMetadata struct {
	// ID is unique for each call, including each retry by the caller.
	ID string
	// MaxWait is how long the caller waits for the response; zero means that it sets no limit.
	MaxWait time.Duration
	Model   ModelID
	// PromptTokens is the number of tokens in the prompt; OutputTokens is the upper bound of the generated ones.
	PromptTokens int
	OutputTokens int
	// ExpectedOutput is the caller's estimate of the number of tokens that the call will produce; zero if there is none.
	ExpectedOutput int
	// PromptParts are the segments of the prompt, in order.
	PromptParts []PromptPart
	// ResumeAfter names the last event that the caller has, or "".
	ResumeAfter string
	// Resumes is the ID of the call that brought the first event of a stream that this call takes up, or "".
	Resumes string
	// Key is the key that the caller sent, or "" if it sent none that can be read.
	Key Key
}

// Attempt holds the parameters with which a call is sent to one target.
type Attempt struct {
	Target TargetID
	// Timeout is the time that remains until the call's deadline.
	Timeout time.Duration
	// Urgency is 0 for the most urgent requests and 9 for the least.
	Urgency int
	// ResumeAfter names the last event that the caller has, or "".
	ResumeAfter string
	// SetsWorkspace is set if the configuration has workspaces: then the caller's key and the workspace that it names are not forwarded, and
	// Workspace is sent unless it is "".
	SetsWorkspace bool
	Workspace     WorkspaceID
}

// ResponseMetadata holds the attributes of a target's response that its status and header carry.
type ResponseMetadata struct {
	// CallID names the call that the response belongs to, or "" if the header does not name one.
	CallID string
	// HasServerStamp is set when the response carries the stamp that a target adds to the responses that it produces itself.
	HasServerStamp bool
	// NotRun is set when the target states that it has not run the call and will not.
	NotRun bool
	// IsMisdirected is set when the address belongs to another target or the target has not loaded what the call needs.
	IsMisdirected bool
	Load          TargetLoad
	// Slots is the number of calls that the target runs concurrently; zero means that Load is not known.
	Slots int
	// Limit is the number of requests per second that the target takes from all nodes together, if HasLimit is set.
	Limit    float64
	HasLimit bool
	// IsBrittle is set when the target says that it crashes if it has to turn more than Tolerance calls away in a second for want of room.
	IsBrittle bool
	Tolerance int
	// IsFull is set when the target has turned the call away, be it for want of room.
	IsFull bool
	// IsLeaving is set when the target says that it is about to shut down.
	IsLeaving bool
	// Pause is the time for which a target that turned the call away wants no calls from this node; zero for none.
	Pause time.Duration
	// InvalidFields names the fields that are malformed or out of bounds, and are ignored.
	InvalidFields []string
}

// HeaderCodec translates between the header fields of one HTTP API and the metadata of calls.
type HeaderCodec interface {
	// ParseCall reads a caller's request header; an error names the field that can't be parsed.
	ParseCall(header http.Header) (CallMetadata, error)
	// RequestHeader returns the header that is sent to the target for one attempt, derived from the caller's header.
	RequestHeader(header http.Header, call CallMetadata, attempt Attempt) http.Header
	// ParseResponse reads the status and header of a target's response.
	ParseResponse(status int, header http.Header) ResponseMetadata
	// IsForwarded reports whether a header field of a target's response is forwarded to the caller.
	IsForwarded(name string) bool
}
