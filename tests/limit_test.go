package tests_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// announcedLimit is the number of requests a second that engines announce.
	announcedLimit = 3.0
	// limitWindow is the length of the windows in which arrivals are counted; limitFactor and limitSlack are what they may exceed the limit by.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedFleet is a fleet whose engines record their arrivals; the first ones announce a limit once isLimited is set.
type limitedFleet struct {
	*fleet
	isLimited atomic.Bool
	mutex     sync.Mutex
	arrivals  map[int][]time.Time
	// answers counts the answers by status, since the last call of takeAnswers; slowest is the longest time until a refusal.
	answers map[int]int
	slowest time.Duration
}

func newLimitedFleet(t *testing.T, engines, limited int) *limitedFleet {
	limits := &limitedFleet{arrivals: make(map[int][]time.Time), answers: make(map[int]int)}
	limits.fleet = newFleet(t, engines, func(number int) fake.Options {
		return fake.Options{HasAllLoaded: true, OnArrival: func(*http.Request) { limits.arrive(number) }, Limit: func() float64 {
			if number < limited && limits.isLimited.Load() {
				return announcedLimit
			}
			return 0
		}}
	})
	return limits
}

func (limits *limitedFleet) arrive(number int) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	limits.arrivals[number] = append(limits.arrivals[number], time.Now())
}

// send sends requests from some callers for a time.
func (limits *limitedFleet) send(length time.Duration) {
	ctx, cancel := context.WithTimeout(limits.t.Context(), length)
	defer cancel()
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				sent := time.Now()
				status, _ := limits.request(limits.t.Context(), fmt.Sprintf("%d-%d-%d", caller, number, sent.UnixNano()), sharedPart, fmt.Sprint(number))
				limits.mutex.Lock()
				limits.answers[status]++
				if status == http.StatusServiceUnavailable {
					limits.slowest = max(limits.slowest, time.Since(sent))
				}
				limits.mutex.Unlock()
				pause(ctx, 40*time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// takeAnswers returns the answers since the last call, by status.
func (limits *limitedFleet) takeAnswers() (answers map[int]int, total int) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	answers, limits.answers = limits.answers, make(map[int]int)
	for _, count := range answers {
		total += count
	}
	return answers, total
}

// most returns the largest number of arrivals at one limited engine in a window after the given time.
func (limits *limitedFleet) most(after time.Time, limited int) int {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	most := 0
	for number := range limited {
		times := limits.arrivals[number]
		for first, begin := range times {
			count := 0
			for _, at := range times[first:] {
				if at.Sub(begin) <= limitWindow {
					count++
				}
			}
			if begin.After(after) {
				most = max(most, count)
			}
		}
	}
	return most
}

func allowedArrivals() int {
	return int(math.Floor(limitFactor*announcedLimit*limitWindow.Seconds())) + limitSlack
}

// TestEnginesGetNoMoreThanTheLimitTheyAnnounce guards against engines that get more requests from all routers together than they take; the
// others must serve the rest, and all share the load again once the limit is gone.
func TestEnginesGetNoMoreThanTheLimitTheyAnnounce(t *testing.T) {
	const engines, limited = 4, 3
	limits := newLimitedFleet(t, engines, limited)
	limits.send(3 * time.Second)
	_, before := limits.takeAnswers()
	limits.isLimited.Store(true)
	since := time.Now()
	limits.send(12 * time.Second)
	answers, total := limits.takeAnswers()
	most := limits.most(since.Add(stabilityWindow), limited)
	t.Logf("%d answers in 3 s before; %v beside the limit; at most %d arrivals in a window, allowed %d", before, answers, most, allowedArrivals())
	assert.Check(t, most <= allowedArrivals(), "%d arrivals in %v", most, limitWindow)
	assert.Check(t, answers[http.StatusOK]*10 >= total*9, "one engine without a limit can serve all: %v", answers)

	limits.isLimited.Store(false)
	limits.send(4 * time.Second)
	ended := time.Now()
	limits.send(4 * time.Second)
	assert.Check(t, limits.most(ended, limited) > allowedArrivals(), "engines without a limit get their share again")
}

// TestExcessOverAllLimitsIsRefusedAtOnce guards against requests that are held although no engine can take them, and against engines that
// get too many when all announce a limit.
func TestExcessOverAllLimitsIsRefusedAtOnce(t *testing.T) {
	const engines = 4
	limits := newLimitedFleet(t, engines, engines)
	limits.send(3 * time.Second)
	limits.takeAnswers()
	limits.isLimited.Store(true)
	since := time.Now()
	limits.send(stabilityWindow)
	limits.takeAnswers()
	began := time.Now()
	limits.send(9 * time.Second)
	took := time.Since(began)
	answers, _ := limits.takeAnswers()
	most := limits.most(since.Add(stabilityWindow), engines)
	t.Logf("%v in %v; at most %d arrivals in a window, allowed %d; slowest refusal %v", answers, took, most, allowedArrivals(), limits.slowest)
	assert.Check(t, most <= allowedArrivals(), "%d arrivals in %v", most, limitWindow)
	assert.Check(t, answers[http.StatusServiceUnavailable] > 0)
	assert.Check(t, limits.slowest < time.Second, "refused after %v", limits.slowest)
	served := float64(answers[http.StatusOK]) / took.Seconds()
	assert.Check(t, served >= engines*announcedLimit/2, "%.1f requests a second are served, the engines take %.1f", served, engines*announcedLimit)
}
