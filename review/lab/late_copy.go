//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleLength, garbleShare and garbledAnswers are the largest dose of the disruption "garble, extra late" in the users' site file: its length,
	// the share of the servers and that of their answers.
	garbleLength   = 5 * time.Second
	garbleShare    = 0.6
	garbledAnswers = 0.03
	// garblePause is the time between two such disruptions.
	garblePause = time.Second
)

// garbling decides which servers spoil an answer now.
type garbling struct {
	lab     *lab
	servers atomic.Pointer[map[int]bool]
}

// run plays one disruption after the other until the time is over.
func (garbling *garbling) run(servers int, length time.Duration) {
	for end := time.Now().Add(length); garbling.lab.isTrouble && time.Now().Before(end) && garbling.lab.ctx.Err() == nil; {
		chosen := chooseServers(servers, garbleShare)
		garbling.lab.record.note("servers that spoil answers: %v", chosen)
		garbling.servers.Store(&chosen)
		pause(garbling.lab.ctx, garbleLength)
		garbling.servers.Store(nil)
		pause(garbling.lab.ctx, garblePause)
	}
}

// chooseServers draws a share of the servers, rounded down.
func chooseServers(count int, share float64) map[int]bool {
	chosen := make(map[int]bool)
	for _, number := range rand.Perm(count)[:int(share*float64(count))] {
		chosen[number] = true
	}
	return chosen
}

// spoils reports whether the server spoils its next answer.
func (garbling *garbling) spoils(server *server) bool {
	chosen := garbling.servers.Load()
	return chosen != nil && (*chosen)[server.number] && rand.Float64() < garbledAnswers
}

// numberedEvents returns the events of a stream, numbered from 1.
func numberedEvents(call *call, count int) []string {
	var events []string
	for number := 1; number <= count; number++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", number, number, call.id))
	}
	return events
}

// newEngineFleet starts routers, and servers for a configuration.
func newEngineFleet(lab *lab, routers, servers int, configuration []byte, options func(number int) serverOptions) (*fleet, error) {
	fleet, err := newFleet(lab, routers, true)
	if err != nil {
		return nil, err
	}
	return fleet, fleet.populate(servers, configuration, options)
}

// populate starts the servers, submits the configuration and waits until all is ready.
func (fleet *fleet) populate(servers int, configuration []byte, options func(number int) serverOptions) error {
	for number := range servers {
		option := options(number)
		option.zone = fmt.Sprintf("zone-%c", 'a'+number%3)
		if _, err := fleet.addServer(option); err != nil {
			return err
		}
	}
	if err := fleet.submit(configuration); err != nil {
		return err
	}
	if err := fleet.awaitReady(); err != nil {
		return err
	}
	// All servers have sent a ping by then.
	pause(fleet.lab.ctx, 3*time.Second)
	return nil
}

// runLateCopy plays rarely used models that each run on one engine, which is full for moments, and engines that send an answer again, where the
// next one is expected. It checks that streams, which may run once at most, run once, and that none is refused as not run after it has run.
func runLateCopy(lab *lab) error {
	const (
		routers = 5
		engines = 10
		length  = 90 * time.Second
		timeout = 4 * time.Second
		slots   = 2
		queue   = 2
	)
	garbling := &garbling{lab: lab}
	var services []engineService
	for number := range engines {
		services = append(services, engineService{name: fmt.Sprintf("engines%d", number), models: []string{fmt.Sprintf("model%d", number)}, slots: slots, memory: 1})
	}
	fleet, err := newEngineFleet(lab, routers, engines, configuration(timeout, services), func(number int) serverOptions {
		return serverOptions{service: services[number].name, slots: slots, queue: queue, models: services[number].models, memory: 1, work: 15 * time.Millisecond,
			events: func(call *call) []string { return numberedEvents(call, 10) },
			fault:  func(call *call, _ int) fault { return fault{isCopied: garbling.spoils(call.server)} }}
	})
	if err != nil {
		return err
	}
	go garbling.run(engines, length)
	requesters := newRequesters(lab)
	requesters.sendAll(8, length, func(number int) {
		// Several users ask for the same model at the same moment: one more than its engine takes at once.
		service := services[rand.IntN(engines)]
		var calls sync.WaitGroup
		for user := range slots + queue + 1 {
			request := request{id: fmt.Sprintf("r%d-%d", number, user), path: service.streamPath(), model: service.models[0], timeout: timeout}
			calls.Go(func() { checkPromise(lab, request, requesters.send(fleet.routers[(number+user)%routers], request)) })
		}
		calls.Wait()
	})
	pause(lab.ctx, time.Second)
	for id, count := range fleet.runs.counts {
		if count > 1 {
			lab.record.breaks("TWICE", "%s has run %d times", id, count)
		}
	}
	return nil
}

// checkPromise checks that a request that was answered as not run has not run.
func checkPromise(lab *lab, request request, outcome outcome) {
	if isPromise(outcome.status) && lab.fleet.runsOf(request.id) > 0 {
		lab.record.breaks("REFUSED", "%s was answered %d (%s), and a server has run it", request.id, outcome.status, strings.TrimSpace(string(outcome.body)))
	}
}

// isPromise reports whether a status says that a request has not run and never will.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout ||
		status == http.StatusMisdirectedRequest
}
