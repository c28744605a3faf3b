package forecast

import (
	"cmp"
	"math"
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// boardLifetime is the time without news after which a target is forgotten.
	boardLifetime = 5 * time.Second
	// unreadTime is the time in which unread tokens are forgotten whose end no router reports, since the router has crashed or a report is lost.
	unreadTime = 3 * time.Second
	// creditTime is the time for which a reader that has not asked gathers reports.
	creditTime = time.Second
)

// Board keeps what all routers know together of the targets' load, for the nodes that read it. It is not safe for concurrent use.
type Board struct {
	entries map[celerylanding.TargetID]*boardEntry
	// revision counts the changes.
	revision uint64
	readers  map[celerylanding.NodeID]*boardReader
}

// boardReader is a node that reads the board.
type boardReader struct {
	// revision is the one up to which the reader has the changes.
	revision uint64
	// A reader that may not get all news at once gets it target by target: cursor is the last target of this turn, and turnRevision the revision up to
	// which the reader has the changes when the turn ends.
	cursor       celerylanding.TargetID
	turnRevision uint64
	// credit is the number of reports that the reader may get, as of creditedAt.
	credit     float64
	creditedAt time.Time
}

type boardEntry struct {
	// report is the target's newest report, made at reportedAt.
	report     feed.TargetReport
	reportedAt time.Time
	// unread is the number of prompt tokens that routers have sent and the target has not answered yet, as of changedAt.
	unread    float64
	changedAt time.Time
	revision  uint64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{entries: make(map[celerylanding.TargetID]*boardEntry), readers: make(map[celerylanding.NodeID]*boardReader)}
}

// Add adds what a router, or the routers of a relay, report of a target.
func (board *Board) Add(now time.Time, report feed.TargetReport) {
	entry := board.entryOf(now, report)
	if entry == nil {
		return
	}
	entry.unread = max(0, entry.unreadAt(now)+float64(report.Sent-report.Read))
	board.apply(now, entry, report)
}

// Adopt replaces the state of a target by that of another board.
func (board *Board) Adopt(now time.Time, report feed.TargetReport) {
	entry := board.entryOf(now, report)
	if entry == nil {
		return
	}
	entry.unread = float64(report.Unread)
	board.apply(now, entry, report)
}

// entryOf returns the entry of the report's target, or nil if a later incarnation is known.
func (board *Board) entryOf(now time.Time, report feed.TargetReport) *boardEntry {
	entry := board.entries[report.Target]
	if entry != nil && entry.report.Incarnation > report.Incarnation {
		return nil
	}
	if entry == nil || entry.report.Incarnation < report.Incarnation {
		entry = &boardEntry{report: feed.TargetReport{Target: report.Target, Incarnation: report.Incarnation}, changedAt: now}
		board.entries[report.Target] = entry
	}
	return entry
}

// apply takes over the load of a report unless a newer one is known.
func (board *Board) apply(now time.Time, entry *boardEntry, report feed.TargetReport) {
	board.revision++
	entry.changedAt, entry.revision = now, board.revision
	if at := now.Add(-max(0, report.Age)); report.Slots > 0 && at.After(entry.reportedAt) {
		entry.report.Load, entry.report.Slots, entry.reportedAt = report.Load, report.Slots, at
	}
}

func (entry *boardEntry) unreadAt(now time.Time) float64 {
	return entry.unread * decay(now.Sub(entry.changedAt), unreadTime)
}

// Next returns the targets of which there is news since the reader's last call, sorted; a part of them if they are more than rate reports a second
// allow, and the others with the next calls.
func (board *Board) Next(now time.Time, id celerylanding.NodeID, rate float64) []feed.TargetReport {
	reader := board.readerOf(now, id, rate)
	if reader.cursor == "" {
		reader.turnRevision = board.revision
	}
	var list []feed.TargetReport
	for target, entry := range board.entries {
		if now.Sub(entry.changedAt) > boardLifetime {
			delete(board.entries, target)
			continue
		}
		if entry.revision <= reader.revision || target <= reader.cursor {
			continue
		}
		report := entry.report
		report.Unread = int(math.Round(entry.unreadAt(now)))
		if report.Slots > 0 {
			report.Age = now.Sub(entry.reportedAt)
		}
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b feed.TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	if most := int(reader.credit); len(list) > most {
		list = list[:most]
		if most > 0 {
			reader.cursor = list[most-1].Target
		}
	} else {
		reader.revision, reader.cursor = reader.turnRevision, ""
	}
	reader.credit -= float64(len(list))
	return list
}

// readerOf returns the state of a reader with its credit as of now. A new reader may get the reports of a second at once.
func (board *Board) readerOf(now time.Time, id celerylanding.NodeID, rate float64) *boardReader {
	reader := board.readers[id]
	if reader == nil {
		reader = &boardReader{credit: rate * creditTime.Seconds(), creditedAt: now}
		board.readers[id] = reader
	}
	reader.credit = min(reader.credit+rate*max(0, now.Sub(reader.creditedAt).Seconds()), rate*creditTime.Seconds())
	reader.creditedAt = now
	return reader
}

// Load returns the newest load of a target and the number of its unread prompt tokens.
func (board *Board) Load(now time.Time, id celerylanding.TargetID) (load celerylanding.TargetLoad, unread int) {
	entry := board.entries[id]
	if entry == nil {
		return celerylanding.TargetLoad{}, 0
	}
	return entry.report.Load, int(math.Round(entry.unreadAt(now)))
}

// HasNews reports whether something has changed since the reader's last call of Next, and the reader may get all of it at rate reports a second.
func (board *Board) HasNews(now time.Time, id celerylanding.NodeID, rate float64) bool {
	reader := board.readerOf(now, id, rate)
	changes := min(board.revision-reader.revision, uint64(len(board.entries)))
	return changes > 0 && float64(changes) <= reader.credit
}

// Forget forgets a reader; if it comes back, it gets all reports.
func (board *Board) Forget(reader celerylanding.NodeID) { delete(board.readers, reader) }
