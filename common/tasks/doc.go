// Package tasks keeps track of short-lived goroutines, so that their owner can wait for all of them.
package tasks
