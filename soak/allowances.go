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
	// allowanceWindow and allowanceOverage are the bounds in the platform's default settings.
	allowanceWindow  = 8 * time.Second
	allowanceOverage = 0.1
)

// allowanceChecker detects a workspace that gets more than its allowance over all routers. It is safe for concurrent use.
type allowanceChecker struct {
	mutex sync.Mutex
	seen  map[string]bool
	// begun are the times at which requests of the limited workspace reached their first target, within the window.
	begun []time.Time
	count int
	most  int
}

func newAllowanceChecker() *allowanceChecker { return &allowanceChecker{seen: make(map[string]bool)} }

// recordArrival records the arrival of a request at a target, and returns the violation that it is, or "".
func (checker *allowanceChecker) recordArrival(now time.Time, request *http.Request) string {
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
	for len(checker.begun) > 0 && now.Sub(checker.begun[0]) > allowanceWindow {
		checker.begun = checker.begun[1:]
	}
	checker.begun = append(checker.begun, now)
	checker.most = max(checker.most, len(checker.begun))
	if most := (limitedRate*allowanceWindow.Seconds() + limitedBurst) * (1 + allowanceOverage); float64(len(checker.begun)) > most {
		return fmt.Sprintf("%d requests of %s ran in %v, allowed %.0f", len(checker.begun), limitedWorkspace, allowanceWindow, most)
	}
	return ""
}

// summary returns how many requests of the limited workspace have run, and the most in a window.
func (checker *allowanceChecker) summary() (count, most int) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	return checker.count, checker.most
}
