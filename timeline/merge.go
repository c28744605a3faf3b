package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
)

// maxLine bounds one line of a time line in bytes.
const maxLine = 1 << 20

// ErrUnreadable means that a file is not a time line.
var ErrUnreadable = celerylanding.ErrorNamespace.NewType("unreadable_time_line")

// Entry is one event of one process.
type Entry struct {
	Process string `json:"process"`
	Wall    int64  `json:"wall"`
	Counter uint32 `json:"counter"`
	Event   string `json:"event"`
	Request string `json:"request,omitempty"`
	Model   string `json:"model,omitempty"`
	Target  string `json:"target,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

func (entry Entry) stamp() hlc.Timestamp {
	return hlc.Timestamp{Wall: entry.Wall, Counter: entry.Counter}
}

// Read returns the events of a file and skips its other log lines; a last line that was cut short is skipped as well.
func Read(name string, reader io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var entries []Entry
	var broken error
	for number := 1; scanner.Scan(); number++ {
		if broken != nil {
			return nil, broken
		}
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			broken = ErrUnreadable.Wrap(err, "%s:%d", name, number)
			continue
		}
		if entry.Event != "" {
			entries = append(entries, entry)
		}
	}
	return entries, scanner.Err()
}

// Filter selects events; an empty field selects all.
type Filter struct {
	Request string
	Model   string
	Target  string
}

// Apply returns the events that match every field.
func (filter Filter) Apply(entries []Entry) []Entry {
	var kept []Entry
	for _, entry := range entries {
		if matches(filter.Request, entry.Request) && matches(filter.Model, entry.Model) && matches(filter.Target, entry.Target) {
			kept = append(kept, entry)
		}
	}
	return kept
}

func matches(wanted, found string) bool { return wanted == "" || wanted == found }

// Sort orders events so that an effect never stands before its cause.
func Sort(entries []Entry) {
	sort.SliceStable(entries, func(i, j int) bool {
		left, right := entries[i], entries[j]
		if left.stamp() != right.stamp() {
			return left.stamp().Before(right.stamp())
		}
		return left.Process < right.Process
	})
}

// WriteText prints one line an event.
func WriteText(out io.Writer, entries []Entry) error {
	for _, entry := range entries {
		at := time.Unix(0, entry.Wall).UTC().Format("15:04:05.000000")
		fields := []string{entry.Request, entry.Model, entry.Target, entry.Detail}
		var texts []string
		for _, field := range fields {
			if field != "" {
				texts = append(texts, field)
			}
		}
		if _, err := fmt.Fprintf(out, "%s.%d  %-10s %-18s %s\n", at, entry.Counter, entry.Process, entry.Event,
			strings.Join(texts, "  ")); err != nil {
			return err
		}
	}
	return nil
}
