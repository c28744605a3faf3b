// Package dispatch chooses the target of each request and limits retries, from the leader's published state and the router's own
// observations.
package dispatch
