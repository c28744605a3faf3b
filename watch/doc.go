// Package watch is the client of the leader's change feed: it finds the leader, polls it for changes, and finds the new leader after a
// leader change.
package watch
