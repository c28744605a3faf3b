package promptcache

import (
	"time"

	"celerylanding.example/celerylanding/feed"
)

const (
	// maxBoardParts bounds the parts that a board holds; the oldest ones are dropped first.
	maxBoardParts = 512
	// maxReplyParts bounds the parts of one reply.
	maxReplyParts = 64
	// boardInterval is how long a part of a target is not published again.
	boardInterval = 2 * time.Second
)

// TakeReport returns the parts to report to the leader, at most once each.
func (picture *Picture) TakeReport(now time.Time) []feed.KeptPart {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	var list []feed.KeptPart
	for _, pending := range picture.pending {
		pending.part.Age = now.Sub(pending.readAt)
		list = append(list, pending.part)
	}
	picture.pending = picture.pending[:0]
	return list
}

// Merge takes over the parts that other routers have reported. Parts of targets that are not known are ignored.
func (picture *Picture) Merge(now time.Time, parts []feed.KeptPart) {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	for _, report := range parts {
		memory := picture.byHash[report.Target]
		if memory == nil {
			continue
		}
		usedAt := now.Add(-report.Age)
		part, ok := memory.parts[report.Chain]
		if !ok {
			memory.makeRoom()
			part = keptPart{addedAt: usedAt, uses: 1}
		}
		part.tokens, part.isRead, part.reportedAt = report.Tokens, true, now
		if usedAt.After(part.usedAt) {
			part.usedAt = usedAt
		}
		memory.put(report.Chain, part)
	}
}

// boardPart is a part on a board.
type boardPart struct {
	part   feed.KeptPart
	readAt time.Time
}

// boardKey identifies a part of a target.
type boardKey struct{ target, chain uint64 }

// Board is the leader's or a relay's list of the parts that routers have reported last; it is not safe for concurrent use. The leader numbers the
// parts, so that a router may go on at another relay.
type Board struct {
	parts []boardPart
	// next is the number of the next part; the parts on the board have the numbers before it.
	next      uint64
	published map[boardKey]time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{published: make(map[boardKey]time.Time)} }

// Add adds the parts that a router reports, but for those that have just been published.
func (board *Board) Add(now time.Time, parts []feed.KeptPart) {
	for _, part := range parts {
		key := boardKey{part.Target, part.Chain}
		if at, ok := board.published[key]; ok && now.Sub(at) < boardInterval {
			continue
		}
		board.published[key] = now
		board.append(boardPart{part, now.Add(-part.Age)})
	}
}

func (board *Board) append(part boardPart) {
	if len(board.parts) == maxBoardParts {
		delete(board.published, boardKey{board.parts[0].part.Target, board.parts[0].part.Chain})
		board.parts = append(board.parts[:0], board.parts[1:]...)
	}
	board.parts = append(board.parts, part)
	board.next++
}

// Relay takes over a reply of the leader: the parts before the number next.
func (board *Board) Relay(now time.Time, parts []feed.KeptPart, next uint64) {
	first := next - uint64(len(parts))
	if first != board.next {
		// The leader is another one, or parts were dropped before this relay has got them.
		board.parts, board.next = board.parts[:0], first
	}
	for _, part := range parts {
		board.append(boardPart{part, now.Add(-part.Age)})
	}
}

// Next returns the number of the next part, from which a relay asks for more.
func (board *Board) Next() uint64 { return board.next }

// Since returns the parts from a number on, with their ages, and the number from which to ask next. A number that the board has not reached asks
// for all, since it is of another leader.
func (board *Board) Since(now time.Time, number uint64) (parts []feed.KeptPart, next uint64) {
	first := board.next - uint64(len(board.parts))
	if number < first || number > board.next {
		number = first
	}
	for _, entry := range board.parts[number-first:] {
		if len(parts) == maxReplyParts {
			break
		}
		entry.part.Age = now.Sub(entry.readAt)
		parts = append(parts, entry.part)
	}
	return parts, number + uint64(len(parts))
}
