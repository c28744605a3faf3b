// Package quorum implements Raft for the replicated control log: leader election with pre-votes and leader leases, log replication,
// snapshots and single-step membership changes. The package does no I/O, reads no clock and starts no goroutines: its user passes in
// the time and the received messages, and carries out the returned Effects.
package quorum
