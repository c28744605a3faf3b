package dispatch

import (
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// budgetBuckets divide the window in which repeats are counted.
	budgetBuckets = 10
	// budgetMargin is the part of the common budget that routers use; the rest covers their uneven shares of the traffic.
	budgetMargin = 0.6
)

// RetryBudgetSettings bound the requests that are sent to a second target.
type RetryBudgetSettings struct {
	// Ratio is the number of repeats for each request of a service, over all routers.
	Ratio float64
	// Slack is the number of repeats in a window that are allowed beyond that, over all routers.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// RetryBudget counts one router's requests and repeats for each service; it is safe for concurrent use.
type RetryBudget struct {
	settings RetryBudgetSettings
	mutex    sync.Mutex
	services map[celerylanding.ServiceID]*window
}

type bucket struct {
	number   int64
	requests int
	repeats  int
}

type window struct{ buckets [budgetBuckets]bucket }

// NewRetryBudget returns a budget that nothing was taken from.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: settings, services: make(map[celerylanding.ServiceID]*window)}
}

// CountRequest counts a request for the service.
func (budget *RetryBudget) CountRequest(now time.Time, service celerylanding.ServiceID) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.bucket(now, service).requests++
}

// TakeRetry takes one repeat from this router's part of the budget; it is false when nothing is left.
func (budget *RetryBudget) TakeRetry(now time.Time, service celerylanding.ServiceID, routers int) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	current := budget.bucket(now, service)
	requests, repeats := 0, 0
	for _, bucket := range budget.services[service].buckets {
		if bucket.number > current.number-budgetBuckets {
			requests += bucket.requests
			repeats += bucket.repeats
		}
	}
	allowed := budgetMargin * (budget.settings.Ratio*float64(requests) + budget.settings.Slack/float64(max(1, routers)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

func (budget *RetryBudget) bucket(now time.Time, service celerylanding.ServiceID) *bucket {
	counts := budget.services[service]
	if counts == nil {
		counts = &window{}
		budget.services[service] = counts
	}
	number := now.UnixNano() / int64(budget.settings.Window/budgetBuckets)
	current := &counts.buckets[number%budgetBuckets]
	if current.number != number {
		*current = bucket{number: number}
	}
	return current
}
