package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// calmTime is the time without a fault after which a process has to keep the bounds on its view.
	calmTime = 3 * time.Second
	// viewProbeInterval is the time between two requests that show which configuration a router uses.
	viewProbeInterval = 20 * time.Millisecond
	// departureTime is the time after an acknowledged departure in which requests may still reach the target.
	departureTime = 2 * time.Second
)

// faultLog records which processes have faults. It is safe for concurrent use.
type faultLog struct {
	mutex sync.Mutex
	// open counts the running faults of each process, and endedAt holds the end of the last one.
	open    map[string]int
	endedAt map[string]time.Time
}

func newFaultLog() *faultLog {
	return &faultLog{open: make(map[string]int), endedAt: make(map[string]time.Time)}
}

// begin records the begin of a fault of a process; the returned function records its end.
func (faults *faultLog) begin(process string) (end func()) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	faults.open[process]++
	return func() {
		faults.mutex.Lock()
		defer faults.mutex.Unlock()
		faults.open[process]--
		faults.endedAt[process] = time.Now()
	}
}

// isCalm reports whether none of the processes has had a fault since calmTime before the given time.
func (faults *faultLog) isCalm(since time.Time, processes ...string) bool {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	for _, process := range processes {
		if faults.open[process] > 0 || faults.endedAt[process].After(since.Add(-calmTime)) {
			return false
		}
	}
	return true
}

// runViewProbes sends requests on the routes of single versions to all routers until the context ends, and checks that each router handles them
// by a configuration that is new enough.
func (run *runner) runViewProbes(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var probes sync.WaitGroup
	defer probes.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		router := run.routers[random.IntN(len(run.routers))].ip
		newest, older := run.checker.versionsInForce(time.Now())
		version := newest
		if random.IntN(2) == 0 {
			version = older
		}
		if version > 0 {
			probes.Go(func() { run.probeView(ctx, client, router, fmt.Sprintf("v%d", number), version, newest) })
		}
		pause(ctx, viewProbeInterval)
	}
}

// probeView sends a request on the route of one version, which only this version has.
func (run *runner) probeView(ctx context.Context, client *http.Client, router, id string, version, newest uint64) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := fake.NewRequest(ctx, router+":8149", fake.PathOfVersion(version), id, "", requestTimeout)
	if err != nil {
		run.checker.reportViolation(err.Error())
		return
	}
	sent := time.Now()
	run.checker.recordSent(id, kindIdempotent, false)
	run.available.recordSent(id, router)
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if !run.faults.isCalm(sent, append(run.controllerAddresses(), router)...) {
		return
	}
	run.checker.countProbe()
	switch {
	case version < newest && response.StatusCode == http.StatusOK:
		run.checker.reportViolation(fmt.Sprintf("%s: %s served the route of version %d, %v after version %d or a later one was acknowledged", id, router,
			version, run.checker.sinceAcknowledged(sent, newest), newest))
	case version == newest && response.StatusCode == http.StatusNotFound && !run.checker.isOvertaken(version):
		run.checker.reportViolation(fmt.Sprintf("%s: %s does not know the route of version %d, acknowledged %v before", id, router, version,
			run.checker.sinceAcknowledged(sent, version)))
	}
}

func (run *runner) controllerAddresses() []string {
	var addresses []string
	for _, proc := range run.controllers {
		addresses = append(addresses, proc.ip)
	}
	return addresses
}

// versionsInForce returns the highest version that was acknowledged more than maxPropagationTime ago, and the highest one below it that was submitted.
func (check *checker) versionsInForce(now time.Time) (newest, older uint64) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	for version, at := range check.acknowledgedAt {
		if now.Sub(at) > maxPropagationTime {
			newest = max(newest, version)
		}
	}
	for version := range check.submitted {
		if version < newest {
			older = max(older, version)
		}
	}
	return newest, older
}

// sinceAcknowledged returns the time from the acknowledgement of a version to the given time.
func (check *checker) sinceAcknowledged(now time.Time, version uint64) time.Duration {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	return now.Sub(check.acknowledgedAt[version])
}

// isOvertaken reports whether a higher version was submitted, so that a router may have dropped the route of this one.
func (check *checker) isOvertaken(version uint64) bool {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	for submitted := range check.submitted {
		if submitted > version {
			return true
		}
	}
	return false
}

func (check *checker) recordSubmitted(version uint64) {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.submitted[version] = true
}

func (check *checker) countProbe() {
	check.mutex.Lock()
	defer check.mutex.Unlock()
	check.probes++
}
