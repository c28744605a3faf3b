package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
	// before is how long before a request's arrival a decision may lie that still bears on it.
	before = 5 * time.Second
)

// ErrNotFound means that no log line names the request.
var ErrNotFound = celerylanding.ErrorNamespace.NewType("request_not_found")

// Line is one log line.
type Line struct {
	at      time.Time
	node    string
	message string
	fields  map[string]any
}

// At returns when the line was written, by its process's own clock.
func (line *Line) At() time.Time { return line.at }

// String returns the line as one row of text.
func (line *Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-20s %s", line.at.Format("15:04:05.000"), line.node, line.message)
	for _, name := range slices.Sorted(maps.Keys(line.fields)) {
		switch name {
		case "time", "level", "node", "message", "role":
		default:
			fmt.Fprintf(&text, " %s=%v", name, line.fields[name])
		}
	}
	return text.String()
}

func (line *Line) text(name string) string {
	value, _ := line.fields[name].(string)
	return value
}

// Read returns the log lines of one process and the number of lines that are none; text before the first brace is left out.
func Read(from io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			skipped++
			continue
		}
		line := Line{}
		if json.Unmarshal(scanner.Bytes()[at:], &line.fields) != nil {
			skipped++
			continue
		}
		line.at, err = time.Parse(time.RFC3339Nano, line.text("time"))
		if err != nil {
			skipped++
			continue
		}
		line.node, line.message = line.text("node"), line.text("message")
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// Story is what bears on one request.
type Story struct {
	lines []Line
	cause string
}

// Lines returns the lines in the order of their times.
func (story *Story) Lines() []Line { return story.lines }

// Cause returns the outcome and the cause that the router gave at the request's end.
func (story *Story) Cause() string { return story.cause }

// Of collects what bears on a request: its own lines, and what was decided for its model, its targets and the leader meanwhile.
func Of(request string, lines []Line) (*Story, error) {
	own := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return line.text("request") != request })
	if len(own) == 0 {
		return nil, ErrNotFound.New("no log line names request %q", request)
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.at.Compare(b.at) })
	last := own[len(own)-1]
	took, _ := last.fields["took"].(float64)
	from, to := last.at.Add(-time.Duration(took*float64(time.Millisecond))-before), last.at
	model, _, _ := strings.Cut(last.text("unit"), "/")
	targets := make(map[string]bool)
	for i := range own {
		if target := own[i].text("target"); target != "" {
			targets[target] = true
		}
	}
	story := &Story{cause: fmt.Sprintf("%s (status %v): %s", last.message, statusOf(last), last.text("cause"))}
	for _, line := range lines {
		isOwn := line.text("request") == request
		isNear := !line.at.Before(from) && !line.at.After(to) && line.text("request") == ""
		if isOwn || (isNear && bears(&line, model, targets, last.node)) {
			story.lines = append(story.lines, line)
		}
	}
	slices.SortStableFunc(story.lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return story, nil
}

func statusOf(line Line) any {
	if status, ok := line.fields["status"]; ok {
		return status
	}
	return line.fields["answered"]
}

// bears reports whether a decision of any process concerns the request's model, its targets, its router or the leader.
func bears(line *Line, model string, targets map[string]bool, router string) bool {
	unit, _, _ := strings.Cut(line.text("unit"), "/")
	switch line.message {
	case "role changed", "orders taken over", "leader lost", "leader found", "configuration committed":
		return true
	}
	return (model != "" && unit == model) || targets[line.text("target")] || line.node == router
}
