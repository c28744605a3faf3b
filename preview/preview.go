package preview

import (
	celerylanding "celerylanding.example/celerylanding"
)

// Request describes a request that is not sent.
type Request struct {
	// ID is the ID of the request, which decides between the services of a route with several shares; it may be "".
	ID     string `json:"id,omitempty"`
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path of the request, with its query.
	Path string `json:"path"`
	// Workspace is the name of the caller's workspace; "" stands for a caller without a key.
	Workspace celerylanding.WorkspaceID `json:"workspace,omitempty"`
	// Model is the model, with its adapter, as callers name it.
	Model        celerylanding.ModelID `json:"model,omitempty"`
	PromptTokens int                   `json:"prompt_tokens,omitempty"`
	OutputTokens int                   `json:"output_tokens,omitempty"`
	// ExpectedOutput is the caller's estimate of the tokens of the answer; zero if there is none.
	ExpectedOutput int                        `json:"expected_output,omitempty"`
	PromptParts    []celerylanding.PromptPart `json:"prompt_parts,omitempty"`
	// MaxWaitSeconds is how long the caller waits; zero means that it sets no limit.
	MaxWaitSeconds float64 `json:"max_wait_seconds,omitempty"`
	// Resumes is the ID of the call that brought the first event of the stream that the request takes up, or "".
	Resumes string `json:"resumes,omitempty"`
	// Body is the body of the request, if it is known. Without it, a quarantine of the whole request is not seen.
	Body []byte `json:"body,omitempty"`
}

// Outcome is what would become of the request.
type Outcome string

// The outcomes.
const (
	// OutcomeSent means that the request would be sent, most probably to Answer.Target: chance spreads requests over targets that are about as good,
	// as the shares of the targets say.
	OutcomeSent Outcome = "sent"
	// OutcomeWaits means that it would wait for Answer.WaitsFor; what it then gets is not known without asking the leader.
	OutcomeWaits Outcome = "waits"
	// OutcomeRefused means that it would be refused as Answer.Refusal says.
	OutcomeRefused Outcome = "refused"
)

// WaitFor is what a request would wait for.
type WaitFor string

// What requests wait for.
const (
	WaitForConfiguration WaitFor = "configuration"
	WaitForProof         WaitFor = "proof"
	WaitForQuota         WaitFor = "quota"
	WaitForOrigin        WaitFor = "origin"
	WaitForTrial         WaitFor = "trial"
	WaitForLimit         WaitFor = "limit"
	WaitForLoad          WaitFor = "load"
)

// Answer says where a request would go and why.
type Answer struct {
	Node   celerylanding.NodeID        `json:"node"`
	Domain celerylanding.FailureDomain `json:"domain"`
	// Version is the version of the configuration in force, zero for none, and ViewAgeSeconds the time since the leader's last answer.
	Version        uint64  `json:"version"`
	ViewAgeSeconds float64 `json:"view_age_seconds"`
	// Routers is the number of routers that share limits.
	Routers    int  `json:"routers"`
	IsDraining bool `json:"is_draining,omitempty"`

	Outcome  Outcome                `json:"outcome"`
	Target   celerylanding.TargetID `json:"target,omitempty"`
	WaitsFor WaitFor                `json:"waits_for,omitempty"`
	Refusal  *Refusal               `json:"refusal,omitempty"`

	Route *Route `json:"route,omitempty"`
	// Service and Unit are what the request needs; Unit is "" for a plain service.
	Service celerylanding.ServiceID `json:"service,omitempty"`
	Unit    string                  `json:"unit,omitempty"`
	// IsUnknownModel is set if the configuration in force has no such model.
	IsUnknownModel bool       `json:"is_unknown_model,omitempty"`
	Workspace      *Workspace `json:"workspace,omitempty"`
	// Load is what the router knows of the load that the request would wait for, or that others wait for.
	Load    *Load    `json:"load,omitempty"`
	Targets []Target `json:"targets,omitempty"`
}

// Refusal is the response that the caller would get.
type Refusal struct {
	Status int                  `json:"status"`
	Reason celerylanding.Reason `json:"reason"`
	Cause  string               `json:"cause"`
	// RetryAfterSeconds is the shortest delay after which the caller is told to return, and RetrySpreadSeconds what chance may add to it; zero
	// for none.
	RetryAfterSeconds  float64 `json:"retry_after_seconds,omitempty"`
	RetrySpreadSeconds float64 `json:"retry_spread_seconds,omitempty"`
}

// Route is the route of the request.
type Route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	IsPublic bool    `json:"is_public,omitempty"`
	Shares   []Share `json:"shares"`
	// ObjectiveSeconds is the latency objective, and TimeoutSeconds the time that this request has.
	ObjectiveSeconds float64 `json:"objective_seconds,omitempty"`
	TimeoutSeconds   float64 `json:"timeout_seconds,omitempty"`
}

// Share is one service of a route.
type Share struct {
	Service celerylanding.ServiceID `json:"service"`
	Weight  int                     `json:"weight"`
}

// Workspace is what the router knows of the caller's workspace.
type Workspace struct {
	// Name is "" for a caller without a key.
	Name celerylanding.WorkspaceID `json:"name"`
	// IsKnown is set if the configuration in force has the workspace, and HasKeys if it has a key.
	IsKnown bool `json:"is_known"`
	HasKeys bool `json:"has_keys"`
	// Rank is the place of the request among Classes classes of urgency, 0 the most urgent.
	Rank    int `json:"rank"`
	Classes int `json:"classes"`
	// HasProof is set if the keys are proven to have been current ProofAgeSeconds ago. A known key is accepted up to the age MaxProofAgeSeconds,
	// or without a proof if that is zero.
	HasProof           bool    `json:"has_proof"`
	ProofAgeSeconds    float64 `json:"proof_age_seconds,omitempty"`
	MaxProofAgeSeconds float64 `json:"max_proof_age_seconds,omitempty"`
	Quota              *Quota  `json:"quota,omitempty"`
}

// Quota is what is left of a workspace's quota at this router.
type Quota struct {
	// Unit is requests or tokens; Rate units per second and Burst more at once are those of all routers together.
	Unit  string  `json:"unit"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Cost is the number of units of the request.
	Cost float64 `json:"cost"`
	// Held is the number of units that this router may use at once, and Queued the number that requests wait for.
	Held   float64 `json:"held"`
	Queued float64 `json:"queued"`
	// GrantedRate is the number of units per second that the leader grants this router while there is too little, zero if it has named none
	// lately, and ReadySeconds the time until it expects to grant more.
	GrantedRate  float64 `json:"granted_rate,omitempty"`
	ReadySeconds float64 `json:"ready_seconds,omitempty"`
	// FailedCalls is the number of calls to the leader that have failed since its last answer.
	FailedCalls int `json:"failed_calls,omitempty"`
}

// Load is what the router knows of the load of a unit.
type Load struct {
	// Waiting is the number of requests that wait at this router.
	Waiting int `json:"waiting"`
	// HasAnswer is set if the leader has answered for the unit, AnswerAgeSeconds ago.
	HasAnswer        bool    `json:"has_answer"`
	AnswerAgeSeconds float64 `json:"answer_age_seconds,omitempty"`
	// ExpectedSeconds is the time until the load ends, as of that answer. IsInfeasible is set if the leader said that it would end too late for
	// the request that was asked for, with the cause.
	ExpectedSeconds float64 `json:"expected_seconds,omitempty"`
	IsInfeasible    bool    `json:"is_infeasible,omitempty"`
	Cause           string  `json:"cause,omitempty"`
	// FailedCalls is the number of calls to the leader that have failed since its last answer.
	FailedCalls int `json:"failed_calls,omitempty"`
}
