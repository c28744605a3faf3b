package routing

import celerylanding "celerylanding.example/celerylanding"

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// The units of a quota.
const (
	// QuotaRequests counts each request as one.
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts the tokens of a request's prompt and the most that it may generate.
	QuotaTokens
)

// String returns the name of the unit.
func (unit QuotaUnit) String() string {
	if unit == QuotaTokens {
		return "tokens"
	}
	return "requests"
}

// Quota is what a workspace may use over all routers together.
type Quota struct {
	Unit QuotaUnit `cbor:"1,keyasint,omitempty"`
	// Rate is the number of units per second, and Burst the number of units that may be used at once beyond it. A rate of 0 means no limit.
	Rate  float64 `cbor:"2,keyasint,omitempty"`
	Burst float64 `cbor:"3,keyasint,omitempty"`
	// DefaultTokens is the number of tokens of a request that states none.
	DefaultTokens int `cbor:"4,keyasint,omitempty"`
}

// IsLimited reports whether the quota has a limit.
func (quota Quota) IsLimited() bool { return quota.Rate > 0 }

// Cost returns the number of units that a request counts.
func (quota Quota) Cost(call celerylanding.CallMetadata) float64 {
	switch {
	case quota.Unit == QuotaRequests:
		return 1
	case call.PromptTokens+call.OutputTokens == 0:
		return float64(quota.DefaultTokens)
	}
	return float64(call.PromptTokens + call.OutputTokens)
}

// Workspace is a group of callers with common keys, priority and quota.
type Workspace struct {
	ID   celerylanding.WorkspaceID `cbor:"1,keyasint"`
	Keys []celerylanding.KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority goes before that of routes; 0 is the most urgent.
	Priority int   `cbor:"3,keyasint,omitempty"`
	Quota    Quota `cbor:"5,keyasint,omitempty"`
}
