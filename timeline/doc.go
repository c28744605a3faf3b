// Package timeline records the events of a process with hybrid logical clock timestamps and merges the records of several processes.
package timeline
