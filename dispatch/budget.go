package dispatch

import (
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// windowBuckets is the number of buckets of the sliding window.
	windowBuckets = 10
	// budgetMargin is the share of the common budget that the routers use; the rest allows for an uneven distribution of the traffic.
	budgetMargin = 0.6
)

// RetryBudgetSettings limit the retries of each service.
type RetryBudgetSettings struct {
	// Ratio is the number of retries allowed per request of a service, over all routers.
	Ratio float64
	// Slack is the number of additional retries allowed in a window, over all routers.
	Slack float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
}

// RetryBudget counts one router's requests and retries for each service; it is safe for concurrent use.
type RetryBudget struct {
	settings RetryBudgetSettings
	mutex    sync.Mutex
	services map[celerylanding.ServiceID]*window
}

type bucket struct {
	number   int64
	requests int
	retries  int
}

type window struct{ buckets [windowBuckets]bucket }

// NewRetryBudget returns an unused budget.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: settings, services: make(map[celerylanding.ServiceID]*window)}
}

// CountRequest counts a request for the service.
func (budget *RetryBudget) CountRequest(now time.Time, service celerylanding.ServiceID) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.currentBucket(now, service).requests++
}

// TakeRetry consumes one retry of this router's share of the budget; it returns false if none is left.
func (budget *RetryBudget) TakeRetry(now time.Time, service celerylanding.ServiceID, routers int) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	current := budget.currentBucket(now, service)
	requests, retries := 0, 0
	for _, bucket := range budget.services[service].buckets {
		if bucket.number > current.number-windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	allowed := budgetMargin * (budget.settings.Ratio*float64(requests) + budget.settings.Slack/float64(max(1, routers)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

func (budget *RetryBudget) currentBucket(now time.Time, service celerylanding.ServiceID) *bucket {
	counts := budget.services[service]
	if counts == nil {
		counts = &window{}
		budget.services[service] = counts
	}
	number := now.UnixNano() / int64(budget.settings.Window/windowBuckets)
	current := &counts.buckets[number%windowBuckets]
	if current.number != number {
		*current = bucket{number: number}
	}
	return current
}
