// Package hlc is a hybrid logical clock: wall time that never runs behind an event that was heard of.
package hlc
