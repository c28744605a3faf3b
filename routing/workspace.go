package routing

import celerylanding "celerylanding.example/celerylanding"

// AllowanceUnit is what an allowance counts.
type AllowanceUnit uint8

// The units of an allowance.
const (
	// AllowanceRequests counts each request as one.
	AllowanceRequests AllowanceUnit = iota
	// AllowanceTokens counts the tokens of a request's prompt and the most that it may generate.
	AllowanceTokens
)

// String returns the name of the unit.
func (unit AllowanceUnit) String() string {
	if unit == AllowanceTokens {
		return "tokens"
	}
	return "requests"
}

// Allowance is what a workspace may use over all routers together.
type Allowance struct {
	Unit AllowanceUnit `cbor:"1,keyasint,omitempty"`
	// Rate is the number of units per second, and Burst the number of units that may be used at once beyond it. A rate of 0 means no limit.
	Rate  float64 `cbor:"2,keyasint,omitempty"`
	Burst float64 `cbor:"3,keyasint,omitempty"`
	// DefaultTokens is the number of tokens of a request that states none.
	DefaultTokens int `cbor:"4,keyasint,omitempty"`
}

// IsLimited reports whether the allowance has a limit.
func (allowance Allowance) IsLimited() bool { return allowance.Rate > 0 }

// Cost returns the number of units that a request counts.
func (allowance Allowance) Cost(call celerylanding.CallMetadata) float64 {
	switch {
	case allowance.Unit == AllowanceRequests:
		return 1
	case call.PromptTokens+call.OutputTokens == 0:
		return float64(allowance.DefaultTokens)
	}
	return float64(call.PromptTokens + call.OutputTokens)
}

// Workspace is a group of callers with common keys, priority and allowance.
type Workspace struct {
	ID   celerylanding.WorkspaceID `cbor:"1,keyasint"`
	Keys []celerylanding.KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority goes before that of routes; 0 is the most urgent.
	Priority  int       `cbor:"3,keyasint,omitempty"`
	Allowance Allowance `cbor:"5,keyasint,omitempty"`
}
