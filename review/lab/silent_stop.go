//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is bounds.graceS of the settings: the time from SIGTERM to SIGKILL.
	graceTime = 8 * time.Second
	// countedTime is the time after SIGTERM for which a cut counts in any case: in the last sixth, a server that is still at work excuses it.
	countedTime = graceTime * 5 / 6
	// noticeTime is the time for which the platform sends requesters to a router after SIGTERM: it asks once a second, and two answers other than 200
	// take the router out.
	noticeTime = 2 * time.Second
	// rollInterval is the time between two SIGTERMs, as in the users' site file, and rollPause that between two rolls over all routers.
	rollInterval = 2 * time.Second
	rollPause    = 6 * time.Second
	// startTime is the time from the end of a router until the platform sends requesters to its next process.
	startTime = 1500 * time.Millisecond
	// silence is the pause in a stream whose request is preempted. Requesters bear two seconds at least.
	silence = 1900 * time.Millisecond
	// preemptedShare is the share of the streams that are preempted once.
	preemptedShare = 0.25
)

// rollout sends SIGTERM to the routers in turn.
type rollout struct {
	lab   *lab
	mutex sync.Mutex
	// stoppedAt holds when each router that takes no requesters yet got SIGTERM.
	stoppedAt map[*process]time.Time
}

// stopTime returns when the router got SIGTERM, if the platform sends no requesters to its next process yet.
func (rollout *rollout) stopTime(router *process) (at time.Time, isStopping bool) {
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	at, isStopping = rollout.stoppedAt[router]
	return at, isStopping
}

// choose returns a router to which the platform sends requesters.
func (rollout *rollout) choose() *process {
	routers := rollout.lab.fleet.routers
	for {
		router := routers[rand.IntN(len(routers))]
		if at, isStopping := rollout.stopTime(router); !isStopping || time.Since(at) < noticeTime {
			return router
		}
	}
}

// run restarts all routers, one after the other, again and again until the time is over; then it waits until all have started.
func (rollout *rollout) run(length time.Duration) {
	var restarts sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && rollout.lab.ctx.Err() == nil; {
		for _, router := range rollout.lab.fleet.routers {
			if _, isStopping := rollout.stopTime(router); !isStopping {
				restarts.Go(func() { rollout.restart(router) })
			}
			pause(rollout.lab.ctx, rollInterval)
		}
		pause(rollout.lab.ctx, rollPause)
	}
	restarts.Wait()
}

// restart ends a router as the platform does, and starts it again.
func (rollout *rollout) restart(router *process) {
	record := rollout.lab.record
	rollout.mutex.Lock()
	rollout.stoppedAt[router] = time.Now()
	rollout.mutex.Unlock()
	record.note("%s gets SIGTERM", router.name)
	if err := router.stop(graceTime); err != nil {
		record.note("%s did not end by itself: %v", router.name, err)
	}
	record.note("%s has ended", router.name)
	if err := router.start(false); err != nil {
		record.note("%s did not start again: %v", router.name, err)
	}
	pause(rollout.lab.ctx, startTime)
	rollout.mutex.Lock()
	defer rollout.mutex.Unlock()
	delete(rollout.stoppedAt, router)
}

// stop ends the process with SIGTERM, and with SIGKILL after the grace time; it returns an error if the process does not end with status 0.
func (proc *process) stop(grace time.Duration) error {
	if err := proc.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.AfterFunc(grace, func() { _ = proc.command.Process.Kill() })
	defer timer.Stop()
	return proc.command.Wait()
}

// isCut reports whether an answer ended early because of a planned stop of its router, as the rule counts it: after the SIGTERM, and before a server that is
// still at work excuses it.
func (rollout *rollout) isCut(router *process, outcome outcome, ended time.Time) (since time.Duration, isCut bool) {
	at, isStopping := rollout.stopTime(router)
	since = ended.Sub(at)
	return since, isStopping && !outcome.isComplete && since > 0 && since < countedTime
}

// runSilentStop plays rarely used models on one engine each, some of whose streams pause once in the middle, and planned restarts of the routers in
// turn. It checks that no stream that a router has passed on is cut by a router that stops.
func runSilentStop(lab *lab) error {
	const (
		routers = 5
		engines = 12
		events  = 12
		length  = 85 * time.Second
		timeout = 17 * time.Second
	)
	var services []engineService
	for number := range engines {
		services = append(services, engineService{name: fmt.Sprintf("engines%d", number), models: []string{fmt.Sprintf("model%d", number)}, slots: 32, memory: 1})
	}
	fleet, err := newEngineFleet(lab, routers, engines, configuration(timeout, services), func(number int) serverOptions {
		return serverOptions{service: services[number].name, slots: 32, queue: 32, models: services[number].models, memory: 1, work: 60 * time.Millisecond,
			events:      func(call *call) []string { return numberedEvents(call, events) },
			preemptedAt: preemptOnce(events)}
	})
	if err != nil {
		return err
	}
	rollout := &rollout{lab: lab, stoppedAt: make(map[*process]time.Time)}
	var rolling sync.WaitGroup
	if lab.isTrouble {
		rolling.Go(func() { rollout.run(length - 2*graceTime) })
	}
	requesters := newRequesters(lab)
	requesters.sendAll(20, length, func(number int) {
		service := services[rand.IntN(engines)]
		request := request{id: fmt.Sprintf("r%d", number), path: service.resumablePath(), model: service.models[0], timeout: timeout}
		router := rollout.choose()
		outcome := requesters.send(router, request)
		if since, isCut := rollout.isCut(router, outcome, time.Now()); isCut && fleet.runsOf(request.id) > 0 {
			lab.record.breaks("LOST", "%s, which a server ran, was cut by %s %v after its SIGTERM; it ends with %q", request.id, router.name,
				since.Round(time.Millisecond), outcome.body[max(0, len(outcome.body)-30):])
		}
	})
	rolling.Wait()
	return nil
}

// preemptOnce returns a function that draws the event before which a run is preempted, 0 for none. A run that goes on with a stream is not preempted.
func preemptOnce(events int) func(call *call) int {
	return func(call *call) int {
		if call.header.Get("Last-Event-Id") != "" || rand.Float64() >= preemptedShare {
			return 0
		}
		return 1 + rand.IntN(events)
	}
}
