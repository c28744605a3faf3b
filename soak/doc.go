// Package soak runs the real processes on one VM, injects faults from outside and checks the guarantees that callers, targets and operators
// rely on.
package soak
