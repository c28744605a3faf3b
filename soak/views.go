package soak

import (
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
	// calmTime is the time without a fault after which a process has to keep the bounds on its view.
	calmTime = 3 * time.Second
	// viewProbeInterval is the time between two requests that show which configuration a router uses.
	viewProbeInterval = 12 * time.Millisecond
)

// faultLog records which processes have faults. It is safe for concurrent use.
type faultLog struct {
	mutex sync.Mutex
	// open and slow count the running faults of each process, and those that slow it down; changedAt holds the begin or end of the last one.
	open, slow map[string]int
	changedAt  map[string]time.Time
}

func newFaultLog() *faultLog {
	return &faultLog{open: make(map[string]int), slow: make(map[string]int), changedAt: make(map[string]time.Time)}
}

// begin records the begin of a fault of processes; the returned function records its end.
func (faults *faultLog) begin(isSlow bool, processes ...string) (end func()) {
	change := func(by int) {
		faults.mutex.Lock()
		defer faults.mutex.Unlock()
		for _, process := range processes {
			faults.open[process] += by
			faults.changedAt[process] = time.Now()
			if isSlow {
				faults.slow[process] += by
			}
		}
	}
	change(1)
	return func() { change(-1) }
}

// isCalm reports whether a router, unless it is "", and the controllers had to keep their bounds from the given time until now: since calmTime before it no
// fault of theirs has begun or ended, the router has none, no controller is slow and more than half of them have none.
func (faults *faultLog) isCalm(since time.Time, controllers []string, router string) bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	limit := since.Add(-calmTime)
	sound := 0
	for _, controller := range controllers {
		if faults.changedAt[controller].After(limit) || faults.slow[controller] > 0 {
			return false
		}
		if faults.open[controller] == 0 {
			sound++
		}
	}
	return 2*sound > len(controllers) && (router == "" || faults.open[router] == 0 && !faults.changedAt[router].After(limit))
}

// isQuiet reports whether none of the processes has a fault.
func (faults *faultLog) isQuiet(processes []string) bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return !slices.ContainsFunc(processes, func(process string) bool { return faults.open[process] > 0 })
}

// isSound reports whether a process has had no fault since calmTime before the given time.
func (faults *faultLog) isSound(since time.Time, process string) bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	return faults.open[process] == 0 && !faults.changedAt[process].After(since.Add(-calmTime))
}

// runViewProbes sends requests on the routes of single versions to all routers until the context ends, and checks that each router handles them
// by a configuration that is new enough.
func (run *runner) runViewProbes(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var probes sync.WaitGroup
	defer probes.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		router := run.routers[random.IntN(len(run.routers))]
		if chosen := run.versionCheck.choose(time.Now(), random.IntN); chosen != nil {
			probes.Go(func() { run.probeView(ctx, client, router, fmt.Sprintf("v%d", number), chosen) })
		}
		pause(ctx, viewProbeInterval)
	}
}

// probeView sends a request on a route that shows which version a router uses.
func (run *runner) probeView(ctx context.Context, client *http.Client, router *process, id string, chosen *probe) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := fake.NewRequest(ctx, router.ip+":8149", chosen.path, id, "", requestTimeout)
	if err != nil {
		run.checker.reportViolation(err.Error())
		return
	}
	lifetime := router.lifetime()
	run.checker.recordSent(id, kindIdempotent, false)
	run.available.recordSent(id, router.ip)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if router.lifetime() != lifetime {
		lifetime = 0
	}
	seen := &answer{status: response.StatusCode, at: time.Now(), lifetime: lifetime,
		isCalm: run.faults.isCalm(chosen.sent, run.controllerAddresses(), router.ip), isSound: run.faults.isSound(chosen.sent, router.ip)}
	for _, violation := range run.versionCheck.checkProbe(chosen, router.ip, seen) {
		run.checker.reportViolation(id + ": " + violation)
	}
}

func (run *runner) controllerAddresses() []string {
	var addresses []string
	for _, proc := range run.controllers() {
		addresses = append(addresses, proc.ip)
	}
	return addresses
}
