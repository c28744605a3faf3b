package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// departureTime is the time after an acknowledged departure in which requests may still reach the target.
	departureTime = 2 * time.Second
	// departureInterval is the mean time between two departures, and maxServiceTime how long a target serves after its departure at most.
	departureInterval = 3 * time.Second
	maxServiceTime    = 8 * time.Second
	// departureRetry is the time between two attempts at a departure.
	departureRetry = 100 * time.Millisecond
)

// departureChecker detects requests that reach targets after their acknowledged departure. It is safe for concurrent use.
type departureChecker struct {
	mutex sync.Mutex
	// left holds the acknowledged departures of incarnations, and builds the program of each process that has been replaced.
	left   map[string]acknowledgedDeparture
	builds map[string]string
}

// acknowledgedDeparture is when a departure was acknowledged, and by which build.
type acknowledgedDeparture struct {
	at    time.Time
	build string
}

func newDepartureChecker() *departureChecker {
	return &departureChecker{left: make(map[string]acknowledgedDeparture), builds: make(map[string]string)}
}

// setBuild records the program of the next start of a process.
func (check *departureChecker) setBuild(ip, binary string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.builds[ip] = binary
}

func (check *departureChecker) recordLeft(name, controller string) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.left[name] = acknowledgedDeparture{at: time.Now(), build: check.builds[controller]}
}

// departure returns the acknowledged departure of an incarnation; false if there is none.
func (check *departureChecker) departure(name string) (acknowledgedDeparture, bool) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	departure, hasLeft := check.left[name]
	return departure, hasLeft
}

// count returns the number of acknowledged departures.
func (check *departureChecker) count() int {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	return len(check.left)
}

// checkDeparted returns the violation that the arrival of a request at a target is, or "": the target has left, and all controllers and the router have
// been without a fault for long enough.
func (run *runner) checkDeparted(server *target, request *http.Request) string {
	id, name := fake.AttemptID(request), server.name()
	router, sent := run.available.origin(id)
	departure, hasLeft := run.departures.departure(name)
	age := sent.Sub(departure.at)
	if !hasLeft || age <= departureTime || !run.faults.isCalm(sent, run.controllerAddresses(), router) {
		return ""
	}
	return fmt.Sprintf("%s reached %s from %s, sent %v after its departure was acknowledged by %s", id, name, router, age,
		cmp.Or(departure.build, run.options.firstBinary()))
}

// runDepartures makes targets depart at a controller until the context ends. They go on serving, and sending heartbeats that say nothing of it, for a
// time, and start again as another incarnation.
func (run *runner) runDepartures(ctx context.Context, random *rand.Rand) {
	var departures sync.WaitGroup
	defer departures.Wait()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int64N(int64(2*departureInterval))))
		number, first := random.IntN(len(run.servers)), run.pick(random)
		length := departureTime + time.Duration(random.Int64N(int64(maxServiceTime-departureTime)))
		departures.Go(func() {
			if !run.targetFaults[number].TryLock() {
				return
			}
			defer run.targetFaults[number].Unlock()
			run.depart(ctx, run.servers[number], first, length, func() {})
		})
	}
}

// departAt makes a target depart at one controller, and waits for the acknowledgement for a while. The target goes on serving as with runDepartures.
func (run *runner) departAt(ctx context.Context, random *rand.Rand, controller *process) {
	number := random.IntN(len(run.servers))
	if !run.targetFaults[number].TryLock() {
		return
	}
	acknowledged := make(chan struct{}, 1)
	run.targets.Go(func() {
		defer run.targetFaults[number].Unlock()
		run.depart(ctx, run.servers[number], controller, maxServiceTime, func() { acknowledged <- struct{}{} })
	})
	select {
	case <-acknowledged:
	case <-time.After(operatorTimeout):
	}
}

// depart announces the departure of a target to one controller after the other until one acknowledges it or the time is over.
func (run *runner) depart(ctx context.Context, server *target, first *process, length time.Duration, onLeft func()) {
	name, born, isRunning := server.current()
	if !isRunning {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	for turn := 0; ctx.Err() == nil; turn++ {
		controllers := run.controllers()
		controller := controllers[(max(0, slices.Index(controllers, first))+turn)%len(controllers)].ip
		if deleteInstance(ctx, "http://"+controller+":8144/instances/"+server.options.ID, born) {
			run.departures.recordLeft(name, controller)
			onLeft()
			_, _ = fmt.Fprintf(run.options.Out, "seed %d: %s has left, by %s\n", run.options.Seed, name, controller)
			<-ctx.Done()
			break
		}
		pause(ctx, departureRetry)
	}
	server.restart()
}

func deleteInstance(ctx context.Context, url string, born int64) bool {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, bytes.NewBufferString(fmt.Sprintf(`{"born":%d}`, born)))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
