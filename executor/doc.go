// Package executor decides which orders the holder of a failure domain's lease gives to its targets; it does no I/O.
package executor
