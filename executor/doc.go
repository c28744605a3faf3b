// Package executor decides which fence, inventory, load, unload and role calls the lease holder of a failure domain makes to its targets.
// It does no I/O: the caller makes the calls and reports their outcomes.
package executor
