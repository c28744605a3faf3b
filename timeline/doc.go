// Package timeline records the events of one process and merges the records of many.
package timeline
