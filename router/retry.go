package router

import celerylanding "celerylanding.example/celerylanding"

const (
	// retriesPerRequest is the part of a retry that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxRetryTokens is the capacity of the budget in retries.
	maxRetryTokens = 20
)

// RetryBudget is a token bucket that limits retries to a share of the traffic.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxRetryTokens}
}

// Add credits the budget for one request.
func (budget *RetryBudget) Add() {
	budget.tokens = min(maxRetryTokens, budget.tokens+retriesPerRequest)
}

// Take spends one retry and reports whether one was left.
func (budget *RetryBudget) Take() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// MayRetry reports whether a failed request may be retried: if it has not run, or if it may have run and is idempotent, but never once a
// part of the response has reached the caller.
func MayRetry(verdict celerylanding.Verdict, idempotent, responseStarted bool) bool {
	if responseStarted {
		return false
	}
	return verdict == celerylanding.NotRun || (verdict == celerylanding.MayHaveRun && idempotent)
}
