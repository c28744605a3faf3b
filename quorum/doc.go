// Package quorum is the replicated control log: a Raft-family state machine without I/O, clocks or goroutines.
package quorum
