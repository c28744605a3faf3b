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
)

// Board keeps what all routers know together of the targets' load, for the nodes that read it. It is not safe for concurrent use.
type Board struct {
	entries map[celerylanding.TargetID]*boardEntry
	// revision counts the changes, and readers holds the revision up to which each reader has them.
	revision uint64
	readers  map[celerylanding.NodeID]uint64
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
	return &Board{entries: make(map[celerylanding.TargetID]*boardEntry), readers: make(map[celerylanding.NodeID]uint64)}
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

// Next returns the targets of which there is news since the reader's last call, sorted.
func (board *Board) Next(now time.Time, reader celerylanding.NodeID) []feed.TargetReport {
	var list []feed.TargetReport
	known := board.readers[reader]
	for id, entry := range board.entries {
		if now.Sub(entry.changedAt) > boardLifetime {
			delete(board.entries, id)
			continue
		}
		if entry.revision <= known {
			continue
		}
		report := entry.report
		report.Unread = int(math.Round(entry.unreadAt(now)))
		if report.Slots > 0 {
			report.Age = now.Sub(entry.reportedAt)
		}
		list = append(list, report)
	}
	board.readers[reader] = board.revision
	slices.SortFunc(list, func(a, b feed.TargetReport) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Load returns the newest load of a target and the number of its unread prompt tokens.
func (board *Board) Load(now time.Time, id celerylanding.TargetID) (load celerylanding.TargetLoad, unread int) {
	entry := board.entries[id]
	if entry == nil {
		return celerylanding.TargetLoad{}, 0
	}
	return entry.report.Load, int(math.Round(entry.unreadAt(now)))
}

// HasNews reports whether something has changed since the reader's last call of Next.
func (board *Board) HasNews(reader celerylanding.NodeID) bool {
	return board.readers[reader] < board.revision
}

// Forget forgets a reader; if it comes back, it gets all reports.
func (board *Board) Forget(reader celerylanding.NodeID) { delete(board.readers, reader) }
