package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"text/template"
)

// measurement is one row of benchmark output: the sizes in the benchmark's name and its metrics by unit.
type measurement struct {
	sizes   map[string]float64
	metrics map[string]float64
}

// line is a straight line fitted by least squares.
type line struct {
	intercept, slope float64
}

// valueAt returns the value of the line at x.
func (line line) valueAt(x float64) float64 { return line.intercept + line.slope*x }

var sizePattern = regexp.MustCompile(`([a-z]+)=([0-9]+)`)

// readBenchmark returns the rows of one benchmark from a file with the output of `go test -bench`.
func readBenchmark(folder, name, benchmark string) ([]measurement, error) {
	file, err := os.Open(filepath.Join(folder, name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var rows []measurement
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmark+"/") {
			continue
		}
		row := measurement{sizes: make(map[string]float64), metrics: make(map[string]float64)}
		for _, match := range sizePattern.FindAllStringSubmatch(strings.Split(fields[0], "-")[0], -1) {
			row.sizes[match[1]], _ = strconv.ParseFloat(match[2], 64)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			row.metrics[fields[i+1]], _ = strconv.ParseFloat(fields[i], 64)
		}
		rows = append(rows, row)
	}
	return rows, scanner.Err()
}

// fitLine fits a metric as a linear function of a size over the rows that the filter selects.
func fitLine(rows []measurement, size, metric string, filter func(measurement) bool) line {
	var count, sumX, sumY, sumXX, sumXY float64
	for _, row := range rows {
		if !filter(row) {
			continue
		}
		x, y := row.sizes[size], row.metrics[metric]
		count, sumX, sumY = count+1, sumX+x, sumY+y
		sumXX, sumXY = sumXX+x*x, sumXY+x*y
	}
	slope := (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	return line{intercept: (sumY - slope*sumX) / count, slope: slope}
}

func allRows(measurement) bool { return true }

// resultRow is one row of the table: a fitted figure and the size for which it is extrapolated.
type resultRow struct {
	name, unit, sizeName string
	fit                  line
	size                 float64
}

func main() {
	if err := report("docs/measures"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func report(folder string) error {
	control, err := readBenchmark(folder, "control.txt", "BenchmarkControlTraffic")
	if err != nil {
		return err
	}
	decisions, err := readBenchmark(folder, "decisions.txt", "BenchmarkDecide")
	if err != nil {
		return err
	}
	stateSize, err := readBenchmark(folder, "decisions.txt", "BenchmarkState")
	if err != nil {
		return err
	}
	noTargets := func(row measurement) bool { return row.sizes["targets"] == 0 }
	// Below about 20 nodes, the voters' traffic masks the cost of a non-voting member.
	manyNodes := func(row measurement) bool { return row.sizes["targets"] == 0 && row.sizes["nodes"] >= 20 }
	// A node starts to send with its first target, so only the rows with targets show the cost of an additional one.
	twentyNodes := func(row measurement) bool { return row.sizes["nodes"] == 20 && row.sizes["targets"] > 0 }
	rows := []resultRow{
		{"leader, sent", "B/s", "nodes", fitLine(control, "nodes", "leader-B/s", noTargets), 400},
		{"node without targets, sent", "B/s", "nodes", fitLine(control, "nodes", "B/s/node", manyNodes), 100},
		{"node, sent, for targets' announcements", "B/s", "targets", fitLine(control, "targets", "B/s/node", twentyNodes), 600},
		{"node, processor, for targets' announcements", "% of a core", "targets", fitLine(control, "targets", "%core/node", twentyNodes), 600},
		{"leader, one round of placement", "ns", "models", fitLine(decisions, "models", "ns/op", allRows), 32500},
		{"state in memory", "MiB", "models", fitLine(stateSize, "models", "heap-MiB", allRows), 32500},
		{"snapshot", "MiB", "models", fitLine(stateSize, "models", "snapshot-MiB", allRows), 32500},
	}
	fmt.Println("| figure | unit | over | at 0 | slope | at | value |\n|---|---|---|---|---|---|---|")
	for _, row := range rows {
		fmt.Printf("| %s | %s | %s | %.4g | %.4g | %.0f | %.4g |\n", row.name, row.unit, row.sizeName,
			row.fit.intercept, row.fit.slope, row.size, row.fit.valueAt(row.size))
	}
	return writePlot(filepath.Join(folder, "leader.svg"), control, rows[0].fit)
}

// plotPoint is a measurement with its position in the user units of the SVG.
type plotPoint struct{ X, Y, Nodes, Bytes float64 }

const (
	plotWidth    = 600.0
	plotHeight   = 300.0
	plotMaxNodes = 110.0
)

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="-80 -30 860 400" font-family="sans-serif" font-size="12">
<rect x="-80" y="-30" width="860" height="400" fill="white"/>
<path d="M0 0V300H600" fill="none" stroke="black"/>
<line x1="{{.From.X}}" y1="{{.From.Y}}" x2="{{.To.X}}" y2="{{.To.Y}}" stroke="gray"/>
{{range .Points}}<circle cx="{{.X}}" cy="{{.Y}}" r="4"/><text x="{{.X}}" y="{{.Y}}" dx="8" dy="14">{{.Nodes}} nodes, {{printf "%.0f" .Bytes}} B/s</text>
{{end}}<text x="250" y="340">nodes, no targets</text><text x="-70" y="-10">bytes a second sent by the leader</text>
</svg>
`))

func writePlot(path string, rows []measurement, fitted line) error {
	maxBytes := fitted.valueAt(plotMaxNodes)
	plotted := func(nodes, bytes float64) plotPoint {
		return plotPoint{nodes / plotMaxNodes * plotWidth, plotHeight - bytes/maxBytes*plotHeight, nodes, bytes}
	}
	picture := struct {
		From, To plotPoint
		Points   []plotPoint
	}{From: plotted(0, fitted.valueAt(0)), To: plotted(plotMaxNodes, maxBytes)}
	for _, row := range rows {
		if row.sizes["targets"] == 0 {
			picture.Points = append(picture.Points, plotted(row.sizes["nodes"], row.metrics["leader-B/s"]))
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := plotTemplate.Execute(file, picture); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
