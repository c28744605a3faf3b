// Command report fits slopes to the raw figures in docs/measures and prints a table and a plot.
package main
