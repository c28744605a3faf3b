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
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// lookback is the time before the arrival of a request from which the history also includes lines about its model, targets and router,
	// and about changes of the leader.
	lookback = 5 * time.Second
)

// ErrNotFound means that no log line contains the request's ID.
var ErrNotFound = celerylanding.ErrorNamespace.NewType("request_not_found")

// Line is one structured log line of a process.
type Line struct {
	time    time.Time
	node    string
	message string
	fields  map[string]any
}

// Time returns the time at which the line was written, by the clock of its process.
func (line *Line) Time() time.Time { return line.time }

// String formats the line as time, node, message and the other fields sorted by name.
func (line *Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-20s %s", line.time.Format("15:04:05.000"), line.node, line.message)
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

// Read parses the log of one process and returns its lines and the number of lines skipped because they aren't valid JSON log lines.
// Text before the first brace of a line is ignored.
func Read(reader io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			skipped++
			continue
		}
		line := Line{}
		if json.Unmarshal(scanner.Bytes()[start:], &line.fields) != nil {
			skipped++
			continue
		}
		line.time, err = time.Parse(time.RFC3339Nano, line.text("time"))
		if err != nil {
			skipped++
			continue
		}
		line.node, line.message = line.text("node"), line.text("message")
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// History holds the log lines that concern one request.
type History struct {
	lines []Line
	cause string
}

// Lines returns the lines sorted by time.
func (history *History) Lines() []Line { return history.lines }

// Cause returns the outcome, status and cause that the router logged when the request ended.
func (history *History) Cause() string { return history.cause }

// NewHistory collects the lines of a request and, from lookback before its arrival until its end, the lines about its model, its targets,
// its router and changes of the leader. Earlier lines are those about targets that its router did not choose, since they wanted no requests.
func NewHistory(request string, lines []Line) (*History, error) {
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return line.text("request") != request })
	if len(requestLines) == 0 {
		return nil, ErrNotFound.New("no log line names request %q", request)
	}
	slices.SortStableFunc(requestLines, func(a, b Line) int { return a.time.Compare(b.time) })
	last := requestLines[len(requestLines)-1]
	took, _ := last.fields["took"].(float64)
	from, to := last.time.Add(-time.Duration(took*float64(time.Millisecond))-lookback), last.time
	model, _, _ := strings.Cut(last.text("unit"), "/")
	targets := make(map[string]bool)
	for i := range requestLines {
		if target := requestLines[i].text("target"); target != "" {
			targets[target] = true
		}
	}
	history := &History{cause: fmt.Sprintf("%s (status %v): %s", last.message, statusOf(last), last.text("cause"))}
	for _, line := range lines {
		isRequestLine := line.text("request") == request
		isInWindow := !line.time.Before(from) && !line.time.After(to) && line.text("request") == ""
		if isRequestLine || (isInWindow && isRelevant(&line, model, targets, last.node)) || (line.node == last.node && line.ruledOut(from, to)) {
			history.lines = append(history.lines, line)
		}
	}
	slices.SortStableFunc(history.lines, func(a, b Line) int { return a.time.Compare(b.time) })
	return history, nil
}

// ruledOut reports whether the line says that a target wants no requests, and still holds at some time after from; a target that leaves wants none
// for the rest of its incarnation.
func (line *Line) ruledOut(from, to time.Time) bool {
	if line.message != "target wants no more requests" || line.time.After(to) {
		return false
	}
	isLeaving, _ := line.fields["leaving"].(bool)
	pause, _ := line.fields["pause"].(float64)
	return isLeaving || line.time.Add(time.Duration(pause*float64(time.Millisecond))).After(from)
}

// statusOf returns the status that the router logged for a refused request, or else the status of the answer.
func statusOf(line Line) any {
	if status, ok := line.fields["status"]; ok {
		return status
	}
	return line.fields["answered"]
}

// isRelevant reports whether a line that names no request concerns the request's model, its targets, its router or a leader change.
func isRelevant(line *Line, model string, targets map[string]bool, router string) bool {
	unit, _, _ := strings.Cut(line.text("unit"), "/")
	switch line.message {
	case "role changed", "orders taken over", "leader lost", "leader found", "configuration committed":
		return true
	}
	return (model != "" && unit == model) || targets[line.text("target")] || line.node == router
}
