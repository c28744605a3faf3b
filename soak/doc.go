// Package soak runs the real programs as processes on one machine, injects faults from outside and checks what callers, targets and
// operators see.
package soak
