//go:build review

// Lab runs the scripts of the review: it starts routers and controllers as separate processes, with the commands of the deploy file, and plays
// callers, servers and the operator around them, on loopback addresses.
//
// The build tag keeps it out of the project's own build, lint and test run.
package main
