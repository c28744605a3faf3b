//go:build review

// Command stand plays the cases of the second review: it starts the project's programs as separate processes beside stand-ins of the platform's servers,
// callers and operators, causes one disruption and checks one rule. "stand server" is one stand-in of a server.
package main
