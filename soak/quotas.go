package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// limitedWorkspace is the workspace with a limit of limitedRate requests a second and a burst, far below what its callers send.
	limitedWorkspace = "w0"
	limitedRate      = 20.0
	limitedBurst     = 20.0
	// quotaWindow and quotaOverage are the bounds in the platform's default settings.
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
)

// quotaChecker detects a workspace that gets more than its quota over all routers. It is safe for concurrent use.
type quotaChecker struct {
	mutex sync.Mutex
	seen  map[string]bool
	// begun are the times at which requests of the limited workspace reached their first target, within the window.
	begun []time.Time
	count int
	most  int
}

func newQuotaChecker() *quotaChecker { return &quotaChecker{seen: make(map[string]bool)} }

// recordArrival records the arrival of a request at a target, and returns the violation that it is, or "".
func (checker *quotaChecker) recordArrival(now time.Time, request *http.Request) string {
	id := fake.AttemptID(request)
	if fake.Workspace(request) != limitedWorkspace {
		return ""
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if checker.seen[id] {
		return ""
	}
	checker.seen[id] = true
	checker.count++
	for len(checker.begun) > 0 && now.Sub(checker.begun[0]) > quotaWindow {
		checker.begun = checker.begun[1:]
	}
	checker.begun = append(checker.begun, now)
	checker.most = max(checker.most, len(checker.begun))
	if most := (limitedRate*quotaWindow.Seconds() + limitedBurst) * (1 + quotaOverage); float64(len(checker.begun)) > most {
		return fmt.Sprintf("%d requests of %s ran in %v, allowed %.0f", len(checker.begun), limitedWorkspace, quotaWindow, most)
	}
	return ""
}

// summary returns how many requests of the limited workspace have run, and the most in a window.
func (checker *quotaChecker) summary() (count, most int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.count, checker.most
}
