// Package hlc implements a hybrid logical clock: its timestamps follow the wall clock and are always later than every observed timestamp.
package hlc
