// Package state implements the replicated state machine of the control log: configuration, targets, replicas, executor leases and claims on
// idempotency keys.
package state
