package tests_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// drainTime is the time after an answer that says that its engine leaves in which its router may still send requests to the engine.
	drainTime = 2 * time.Second
	// pauseTolerance is the time after an answer that asks for a pause in which the router's other requests may still arrive, and maxPaused the
	// number of requests that may arrive later in the pause.
	pauseTolerance = 500 * time.Millisecond
	maxPaused      = 2
	// refusalTime is the time in which a request that nobody can serve is refused.
	refusalTime = time.Second
)

// availabilityFleet is a fleet whose engines say what they want, and which records what reaches them from each router.
type availabilityFleet struct {
	*fleet
	mutex sync.Mutex
	// says is what the answers of each engine say.
	says map[int]fake.Availability
	// toldLeaving is when a caller got the first answer through a router that says that the engine leaves; toldPause is when the engine last
	// asked the router for a pause, and its end.
	toldLeaving map[link]time.Time
	toldPause   map[link][2]time.Time
	sentAt      map[string]time.Time
	ranRare     map[int]int
	// late lists the requests that reached an engine which leaves, paused counts those in the last pause of an engine, and mostPaused is the
	// largest such count.
	late       []string
	paused     map[link]int
	mostPaused int
	// statuses counts the answers, slowest is the longest time until a refusal.
	statuses map[int]int
	slowest  time.Duration
}

// link is a router and an engine.
type link struct{ router, engine int }

func newAvailabilityFleet(t *testing.T, engines int) *availabilityFleet {
	avail := &availabilityFleet{says: make(map[int]fake.Availability), toldLeaving: make(map[link]time.Time), toldPause: make(map[link][2]time.Time),
		sentAt: make(map[string]time.Time), ranRare: make(map[int]int), paused: make(map[link]int), statuses: make(map[int]int)}
	avail.fleet = newFleet(t, engines, func(number int) fake.Options {
		return fake.Options{OnArrival: func(request *http.Request) { avail.arrive(number, request) }, Availability: func() fake.Availability {
			avail.mutex.Lock()
			defer avail.mutex.Unlock()
			return avail.says[number]
		}}
	})
	return avail
}

// routerOf returns the router that a request was sent to, from its ID.
func routerOf(id string) int {
	number, _, _ := strings.Cut(id, "-")
	router, err := strconv.Atoi(number)
	if err != nil {
		return -1
	}
	return router
}

func (avail *availabilityFleet) arrive(engine int, request *http.Request) {
	avail.mutex.Lock()
	defer avail.mutex.Unlock()
	id, now := fake.AttemptID(request), time.Now()
	at := link{routerOf(id), engine}
	if fake.Model(request) == rareModel {
		avail.ranRare[engine]++
	}
	if told, isTold := avail.toldLeaving[at]; isTold && avail.sentAt[id].Sub(told) > drainTime {
		avail.late = append(avail.late, id)
	}
	if told := avail.toldPause[at]; now.After(told[0].Add(pauseTolerance)) && now.Before(told[1]) {
		avail.paused[at]++
		avail.mostPaused = max(avail.mostPaused, avail.paused[at])
	}
	if pause := avail.says[engine].Pause; pause > 0 {
		if until := now.Add(pause); now.After(avail.toldPause[at][1]) {
			avail.toldPause[at] = [2]time.Time{now, until}
			avail.paused[at] = 0
		}
	}
}

// set sets what the answers of an engine say.
func (avail *availabilityFleet) set(engine int, says fake.Availability) {
	avail.mutex.Lock()
	defer avail.mutex.Unlock()
	avail.says[engine] = says
}

// forget excuses a router that starts again.
func (avail *availabilityFleet) forget(router int) {
	avail.mutex.Lock()
	defer avail.mutex.Unlock()
	for at := range avail.toldLeaving {
		if at.router == router {
			delete(avail.toldLeaving, at)
		}
	}
	for at := range avail.toldPause {
		if at.router == router {
			delete(avail.toldPause, at)
		}
	}
}

// ask sends one request to a router and records its answer.
func (avail *availabilityFleet) ask(ctx context.Context, router int, id, model string) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := fake.NewRequest(ctx, avail.routers[router].ip+":8149", fake.PathStream, id, model, timeout)
	if err != nil {
		avail.t.Error(err)
		return
	}
	sent := time.Now()
	avail.mutex.Lock()
	avail.sentAt[id] = sent
	avail.mutex.Unlock()
	status, leaving := 0, ""
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			status = response.StatusCode
		}
		leaving = fake.LeavingServer(response)
	}
	avail.mutex.Lock()
	defer avail.mutex.Unlock()
	avail.statuses[status]++
	if status == http.StatusServiceUnavailable {
		avail.slowest = max(avail.slowest, time.Since(sent))
	}
	var engine int
	if _, err := fmt.Sscanf(leaving, "i-%d-", &engine); err != nil {
		return
	}
	if _, isKnown := avail.toldLeaving[link{router, engine}]; !isKnown {
		avail.toldLeaving[link{router, engine}] = time.Now()
	}
}

// send sends requests to all routers for a time, of which some ask for the rare model, and returns the answers by status.
func (avail *availabilityFleet) send(name string, length time.Duration) (answers map[int]int, total int) {
	ctx, cancel := context.WithTimeout(avail.t.Context(), length)
	defer cancel()
	avail.mutex.Lock()
	avail.statuses, avail.slowest = make(map[int]int), 0
	avail.mutex.Unlock()
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				router, model := number%len(avail.routers), avail.models[number/2%len(avail.models)]
				avail.ask(avail.t.Context(), router, fmt.Sprintf("%d-%s-%d-%d", router, name, caller, number), model)
				pause(ctx, 20*time.Millisecond)
			}
		})
	}
	callers.Wait()
	avail.mutex.Lock()
	defer avail.mutex.Unlock()
	for _, count := range avail.statuses {
		total += count
	}
	return avail.statuses, total
}

// reload signals all routers that their settings may have changed.
func (avail *availabilityFleet) reload() {
	for _, router := range avail.routers {
		assert.Check(avail.t, router.command.Process.Signal(syscall.SIGHUP))
	}
}

// TestLeavingEngineGetsNoRequestsWhateverItAnnounces guards against requests for an engine that says that it leaves in its answers alone: after a
// reload of the routers, when its answers no longer say so, and for the model that only this engine has loaded.
func TestLeavingEngineGetsNoRequestsWhateverItAnnounces(t *testing.T) {
	avail := newAvailabilityFleet(t, 4)
	avail.send("before", 3*time.Second)
	leaving := 0
	for engine, count := range avail.ranRare {
		if count > avail.ranRare[leaving] {
			leaving = engine
		}
	}
	avail.set(leaving, fake.Availability{IsLeaving: true})
	avail.send("turn", drainTime)
	avail.reload()
	answers, total := avail.send("leaving", 4*time.Second)
	assert.Check(t, answers[http.StatusOK]*10 >= total*9, "the other engines can serve all: %v", answers)

	avail.set(leaving, fake.Availability{})
	avail.send("silent", 3*time.Second)
	avail.set(leaving, fake.Availability{IsLeaving: true})
	avail.forget(0)
	avail.routers[0].kill()
	avail.routers[0].start(false)
	avail.send("restart", 5*time.Second)
	avail.mutex.Lock()
	defer avail.mutex.Unlock()
	assert.Check(t, len(avail.toldLeaving) > 0)
	assert.Check(t, len(avail.late) == 0, "%d requests, first %v", len(avail.late), avail.late[:min(3, len(avail.late))])
}

// TestPausedEnginesGetNoRequests guards against requests in the pause that an engine asks for, also after a reload of the routers and when all
// engines ask for one, and against engines that stay unused because their fields are malformed.
func TestPausedEnginesGetNoRequests(t *testing.T) {
	const engines, length = 4, 1500 * time.Millisecond
	avail := newAvailabilityFleet(t, engines)
	avail.send("before", 3*time.Second)
	avail.set(0, fake.Availability{Pause: length})
	avail.set(1, fake.Availability{IsMalformed: true})
	avail.send("turn", time.Second)
	avail.reload()
	answers, total := avail.send("paused", 5*time.Second)
	assert.Check(t, answers[http.StatusOK]*10 >= total*9, "the other engines can serve all: %v", answers)

	for engine := range engines {
		avail.set(engine, fake.Availability{Pause: length})
	}
	avail.send("all turn", time.Second)
	answers, total = avail.send("all", 3*time.Second)
	assert.Check(t, answers[http.StatusServiceUnavailable] > total/2, "%v", answers)
	assert.Check(t, avail.slowest < refusalTime, "refused after %v", avail.slowest)
	avail.mutex.Lock()
	assert.Check(t, avail.mostPaused <= maxPaused, "%d requests of one router reached an engine in its pause", avail.mostPaused)
	avail.mutex.Unlock()

	for engine := range engines {
		avail.set(engine, fake.Availability{})
	}
	avail.send("end", length+time.Second)
	answers, total = avail.send("after", 3*time.Second)
	assert.Check(t, answers[http.StatusOK]*10 >= total*9, "all engines take requests again: %v", answers)
}
