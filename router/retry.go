package router

import celerylanding "celerylanding.example/celerylanding"

const (
	// retryShare is the number of retries that each request adds to the budget.
	retryShare = 0.1
	// retryReserve is the largest number of retries that the budget holds.
	retryReserve = 20
)

// RetryBudget bounds the retries to a share of the traffic.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryReserve}
}

// Add counts a request.
func (budget *RetryBudget) Add() {
	budget.tokens = min(retryReserve, budget.tokens+retryShare)
}

// Take uses up one retry, if there is one.
func (budget *RetryBudget) Take() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// MayRetry reports whether a failed request may be tried again: always when it has not run, otherwise only when running it
// twice does no harm and nothing of the first answer has reached the caller.
func MayRetry(verdict celerylanding.Verdict, idempotent, answerBegun bool) bool {
	if answerBegun {
		return false
	}
	return verdict == celerylanding.NotRun || (verdict == celerylanding.MayHaveRun && idempotent)
}
