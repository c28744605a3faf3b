//go:build review

// Command rig plays the script cases of the third review: it starts the project's own programs and stand-ins for callers, servers and the platform, and
// judges by what callers and servers see. It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main
