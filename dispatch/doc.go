// Package dispatch decides which target gets a request, from what the leader has published and what this router has seen itself.
package dispatch
