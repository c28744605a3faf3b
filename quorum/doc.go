// Package quorum implements Raft for the replicated control log: leader election with pre-votes and leader leases, log replication,
// snapshots and single-step membership changes. It does no I/O, reads no clock and starts no goroutines: callers pass in the time
// and the messages received, and carry out the returned Effects.
package quorum
