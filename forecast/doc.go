// Package forecast predicts how long a request of some size would take at each target. It does no I/O, and the time is an argument.
package forecast
