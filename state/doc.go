// Package state is the replicated state machine: configuration, targets, replicas, executor leases and claims.
package state
