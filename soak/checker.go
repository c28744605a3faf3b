package soak

import (
	"fmt"
	"sync"
	"time"
)

// requestKind is the delivery guarantee of a request: at most once, idempotent, or a stream, which also runs at most once.
type requestKind int

const (
	kindOnce requestKind = iota
	kindIdempotent
	kindStream
)

// requestRecord is what callers and targets have seen of one request.
type requestRecord struct {
	kind requestKind
	// isEntitled is set for a request that counts in the share of served ones.
	isEntitled bool
	executions int
	status     int
	isFinished bool
	finishedAt time.Time
}

// checker records what callers, targets and operators see and detects violated guarantees. It is safe for concurrent use.
type checker struct {
	mutex            sync.Mutex
	requests         map[string]*requestRecord
	violations       []string
	lastAcknowledged uint64
	// acknowledgedAt maps each acknowledged version to the time of its acknowledgement, to detect stale reads.
	acknowledgedAt map[uint64]time.Time
	// submitted holds the versions that were sent, acknowledged or not, and probes counts the requests that checked the view of a router.
	submitted map[uint64]bool
	probes    int
}

func newChecker() *checker {
	return &checker{requests: make(map[string]*requestRecord), acknowledgedAt: make(map[uint64]time.Time),
		submitted: make(map[uint64]bool)}
}

// maxViolations is the maximum number of violations that are recorded.
const maxViolations = 50

// addViolation records a violation; the mutex must be held.
func (check *checker) addViolation(format string, args ...any) {
	if len(check.violations) < maxViolations {
		check.violations = append(check.violations, fmt.Sprintf(format, args...))
	}
}

func (check *checker) reportViolation(text string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.addViolation("%s", text)
}

func (check *checker) recordSent(id string, kind requestKind, isEntitled bool) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.requests[id] = &requestRecord{kind: kind, isEntitled: isEntitled}
}

// recordExecution records that a target has begun to run a request.
func (check *checker) recordExecution(id string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	record := check.requests[id]
	if record == nil {
		check.addViolation("a target ran %q, which no caller has sent", id)
		return
	}
	record.executions++
	if record.kind != kindIdempotent && record.executions > 1 {
		check.addViolation("%s ran %d times", id, record.executions)
	}
	if record.isFinished && guaranteesNotRun(record.status) && record.kind != kindIdempotent {
		check.addViolation("%s ran after it was reported as not executed (%d)", id, record.status)
	}
}

// guaranteesNotRun reports whether a status guarantees that the request has not run and will not run.
func guaranteesNotRun(status int) bool {
	return status == 503 || status == 401 || status == 429 || status == 408 || status == 421
}

// recordAnswer records the answer that a caller got; status 0 stands for a failed call.
func (check *checker) recordAnswer(id string, status int, body, want string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	record := check.requests[id]
	record.status, record.isFinished, record.finishedAt = status, true, time.Now()
	switch {
	case status == 200 && body != want:
		check.addViolation("%s got %q as a complete answer", id, body)
	case guaranteesNotRun(status) && record.executions > 0 && record.kind != kindIdempotent:
		check.addViolation("%s was reported as not executed (%d) but had run", id, status)
	case status == 404 || status == 400:
		check.addViolation("%s was refused with %d", id, status)
	}
}

// servedShare returns the number of requests with a valid key that finished after the given time, and the share of them with status 200.
func (check *checker) servedShare(after time.Time) (share float64, count int) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	served := 0
	for _, record := range check.requests {
		if record.isFinished && record.isEntitled && record.finishedAt.After(after) {
			count++
			if record.status == 200 {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, count)), count
}

func (check *checker) recordAcknowledged(version uint64) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.lastAcknowledged = max(check.lastAcknowledged, version)
	if _, isKnown := check.acknowledgedAt[version]; !isKnown {
		check.acknowledgedAt[version] = time.Now()
	}
}

// maxPropagationTime is the time after an acknowledgement by which reads at any controller must return that version or a later one.
const maxPropagationTime = 2 * time.Second

// checkRead records a violation if a read, sent at the given time, returned a stale version.
func (check *checker) checkRead(version uint64, sent time.Time) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	for acked, at := range check.acknowledgedAt {
		if acked > version && sent.Sub(at) > maxPropagationTime {
			check.addViolation("version %d was read %v after version %d had been acknowledged", version, sent.Sub(at), acked)
			return
		}
	}
}
