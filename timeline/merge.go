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

// maxLineBytes is the maximum length of a timeline line.
const maxLineBytes = 1 << 20

// ErrUnreadable means that a line other than the last one of a file isn't valid JSON.
var ErrUnreadable = celerylanding.ErrorNamespace.NewType("unreadable_time_line")

// Entry is one recorded event: its process, timestamp, kind and the request, model and target that it concerns. Wall is in nanoseconds
// since the Unix epoch.
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

func (entry Entry) timestamp() hlc.Timestamp {
	return hlc.Timestamp{Wall: entry.Wall, Counter: entry.Counter}
}

// Read returns the events of a file. It skips JSON lines that aren't events, and a last line that isn't valid JSON, since a process that
// dies can leave it incomplete.
func Read(name string, reader io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var entries []Entry
	// invalid is the error of the previous line; it is returned only if another line follows.
	var invalid error
	for number := 1; scanner.Scan(); number++ {
		if invalid != nil {
			return nil, invalid
		}
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			invalid = ErrUnreadable.Wrap(err, "%s:%d", name, number)
			continue
		}
		if entry.Event != "" {
			entries = append(entries, entry)
		}
	}
	return entries, scanner.Err()
}

// Filter selects events by exact match; an empty field matches every event.
type Filter struct {
	Request string
	Model   string
	Target  string
}

// Apply returns the events that match all fields.
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

// Sort sorts events by timestamp, then by process. Timestamps are causally consistent, so a cause always precedes its effects.
func Sort(entries []Entry) {
	sort.SliceStable(entries, func(i, j int) bool {
		left, right := entries[i], entries[j]
		if left.timestamp() != right.timestamp() {
			return left.timestamp().Before(right.timestamp())
		}
		return left.Process < right.Process
	})
}

// WriteText writes one line per event.
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
