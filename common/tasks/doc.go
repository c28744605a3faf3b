// Package tasks manages groups of short-lived goroutines, so that their owner can wait for all of them to end.
package tasks
