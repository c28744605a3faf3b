package soak

import (
	"fmt"
	"sync"
	"time"
)

// kind is what a caller asks for.
type kind int

const (
	kindOnce kind = iota
	kindIdempotent
	kindStream
)

// attempt is what is known of one request.
type attempt struct {
	kind   kind
	runs   int
	status int
	isEnd  bool
	ended  time.Time
}

// ledger collects what callers and targets see and finds broken promises.
type ledger struct {
	mutex    sync.Mutex
	attempts map[string]*attempt
	broken   []string
	acked    uint64
	// ackedAt holds when each version was acknowledged, for reads that follow.
	ackedAt map[uint64]time.Time
}

func newLedger() *ledger {
	return &ledger{attempts: make(map[string]*attempt), ackedAt: make(map[uint64]time.Time)}
}

// maxBroken bounds the broken promises that are told.
const maxBroken = 50

// note keeps a broken promise; the caller holds the lock.
func (book *ledger) note(format string, args ...any) {
	if len(book.broken) < maxBroken {
		book.broken = append(book.broken, fmt.Sprintf(format, args...))
	}
}

func (book *ledger) report(text string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.note("%s", text)
}

func (book *ledger) sent(id string, kind kind) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.attempts[id] = &attempt{kind: kind}
}

// ran notes that a target has begun to run a request.
func (book *ledger) ran(id string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	found := book.attempts[id]
	if found == nil {
		book.note("a target ran %q, which no caller has sent", id)
		return
	}
	found.runs++
	if found.kind != kindIdempotent && found.runs > 1 {
		book.note("%s ran %d times", id, found.runs)
	}
	if found.isEnd && isPromise(found.status) && found.kind != kindIdempotent {
		book.note("%s ran after its caller was told that it had not (%d)", id, found.status)
	}
}

func isPromise(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// answered notes what a caller has got.
func (book *ledger) answered(id string, status int, body, want string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	found := book.attempts[id]
	found.status, found.isEnd, found.ended = status, true, time.Now()
	switch {
	case status == 200 && body != want:
		book.note("%s got %q as a whole answer", id, body)
	case isPromise(status) && found.runs > 0 && found.kind != kindIdempotent:
		book.note("%s was told that it had not run (%d), and had", id, status)
	case status == 404 || status == 400:
		book.note("%s was refused with %d", id, status)
	}
}

// served returns the share of the requests that ended after the time and were served, and their number.
func (book *ledger) served(after time.Time) (share float64, count int) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	good := 0
	for _, found := range book.attempts {
		if found.isEnd && found.ended.After(after) {
			count++
			if found.status == 200 {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, count)), count
}

func (book *ledger) ack(version uint64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.acked = max(book.acked, version)
	book.ackedAt[version] = time.Now()
}

// inForceWithin is the time after its acknowledgement from which a version is read everywhere.
const inForceWithin = 2 * time.Second

// read checks a version that was read by a question sent at the time.
func (book *ledger) read(version uint64, sent time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for acked, at := range book.ackedAt {
		if acked > version && sent.Sub(at) > inForceWithin {
			book.note("version %d was read %v after version %d had been acknowledged", version, sent.Sub(at), acked)
			return
		}
	}
}
