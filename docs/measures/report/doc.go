// Command report fits lines to the benchmark results in docs/measures, prints a table of extrapolated figures and writes a plot.
package main
