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

// checker records what callers and targets see and detects violated guarantees. It is safe for concurrent use.
type checker struct {
	mutex      sync.Mutex
	requests   map[string]*requestRecord
	violations []string
}

func newChecker() *checker {
	return &checker{requests: make(map[string]*requestRecord)}
}

const (
	// maxViolations is the maximum number of violations that are recorded.
	maxViolations = 50
	// violationTime is the format of their times, as in the logs of the processes.
	violationTime = "15:04:05.000"
)

// addViolation records a violation; the mutex must be held.
func (check *checker) addViolation(format string, args ...any) {
	if len(check.violations) < maxViolations {
		check.violations = append(check.violations, time.Now().UTC().Format(violationTime)+" "+fmt.Sprintf(format, args...))
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
