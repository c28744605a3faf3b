package simulation

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// ClassResult counts the requests of one class by outcome and sums the value of their answers.
type ClassResult struct {
	Requests, OnTime, Late, Refused, Failed int
	// MaxValue is the value if every request were answered on time, and EarnedValue the value of the actual answers.
	MaxValue, EarnedValue float64
}

// Result holds the outcome of one simulation.
type Result struct {
	Name    string
	Classes map[string]*ClassResult
	// Orders counts accepted orders, Loads the load orders among them, StoreLoads the loads from the store, and MemoryOverruns the orders
	// that left an engine with more models than fit.
	Orders, Loads, StoreLoads, MemoryOverruns int
}

func (result *Result) class(name string) *ClassResult {
	if result.Classes[name] == nil {
		result.Classes[name] = &ClassResult{}
	}
	return result.Classes[name]
}

// ValueShare returns EarnedValue divided by MaxValue for one class, or for all classes together if the name is empty.
func (result *Result) ValueShare(name string) float64 {
	maxValue, earned := 0.0, 0.0
	for class, counts := range result.Classes {
		if name == "" || class == name {
			maxValue += counts.MaxValue
			earned += counts.EarnedValue
		}
	}
	if maxValue == 0 {
		return 0
	}
	return earned / maxValue
}

// Write prints the result as a table.
func (result *Result) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	rows := []string{fmt.Sprintf("%s\tasked\tin aim\tlate\trefused\tfailed\tworth\t", result.Name)}
	for _, name := range slices.Sorted(maps.Keys(result.Classes)) {
		class := result.Classes[name]
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t", name, class.Requests, class.OnTime, class.Late, class.Refused,
			class.Failed, result.ValueShare(name)))
	}
	rows = append(rows, fmt.Sprintf("all\t\t\t\t\t\t%.3f\t", result.ValueShare("")))
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d orders, %d loads, %d of them from the store, %d beyond an engine's memory\n", result.Orders, result.Loads,
		result.StoreLoads, result.MemoryOverruns)
	return err
}
