// Package watch is the client of the leader's change feed: it finds the leader, polls it for changes, and finds the next one after a
// change of the leader.
package watch
