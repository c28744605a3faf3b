//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// crashLength and crashShare are the largest dose of the disruption "srv_crash" on engines in the users' site file.
	crashLength = 2 * time.Second
	crashShare  = 0.25
	// crashInterval is the time between the begins of two crashes.
	crashInterval = 7 * time.Second
	// failingShare and failedAnswers are the dose of the disruption "srv_grey, errors": the share of the servers and that of their requests.
	failingShare  = 0.15
	failedAnswers = 0.4
)

// crashSome crashes a quarter of the servers again and again until the time is over; begin is called at the begin of each crash.
func crashSome(lab *lab, length time.Duration, begin func()) {
	servers := lab.fleet.servers
	for end := time.Now().Add(length); lab.isTrouble && time.Now().Add(crashInterval).Before(end) && lab.ctx.Err() == nil; {
		pause(lab.ctx, crashInterval-crashLength)
		begin()
		for number := range chooseServers(len(servers), crashShare) {
			go servers[number].crash(crashLength)
		}
		pause(lab.ctx, crashLength)
	}
}

// runResumeError plays streams that may be resumed, engines that crash, and one that fails a part of its requests. It checks that no stream is
// framed as complete before its last event.
func runResumeError(lab *lab) error {
	const engines = 20
	var failing atomic.Pointer[map[int]bool]
	failOthers := func() {
		chosen := chooseServers(engines, failingShare)
		lab.record.note("servers that fail requests: %v", chosen)
		failing.Store(&chosen)
	}
	return runStreams(lab, engines, 140, failOthers, func(int) serverOptions {
		return serverOptions{events: func(call *call) []string { return numberedEvents(call, streamEvents) },
			fault: func(call *call, _ int) fault {
				chosen := failing.Load()
				if chosen != nil && (*chosen)[call.server.number] && rand.Float64() < failedAnswers {
					return fault{status: http.StatusInternalServerError}
				}
				return fault{}
			}}
	})
}

// streamEvents is the number of events of a stream.
const streamEvents = 35

// runResumeID plays streams that may be resumed, and engines that crash. The text of some events contains "paid: ", as that of any language model
// may. It checks that no event comes twice or is missing.
func runResumeID(lab *lab) error {
	return runStreams(lab, 8, 60, func() {}, func(int) serverOptions {
		return serverOptions{events: func(call *call) []string {
			events := numberedEvents(call, streamEvents)
			for at := 4; at < len(events); at += 5 {
				events[at] = fmt.Sprintf("id: %d\ndata: the levy of this employer was paid: 300 in May\n\n", at+1)
			}
			return events
		}}
	})
}

// runStreams sends requests for streams that may be resumed, while some engines crash, and checks the events.
func runStreams(lab *lab, engines int, perSecond float64, begin func(), options func(number int) serverOptions) error {
	const (
		routers = 2
		length  = 90 * time.Second
		timeout = 8 * time.Second
	)
	models := []string{"model0", "model1"}
	service := engineService{name: "engines", models: models, slots: 8, memory: len(models)}
	fleet, err := newEngineFleet(lab, routers, engines, configuration(timeout, []engineService{service}), func(number int) serverOptions {
		option := options(number)
		option.service, option.slots, option.queue = service.name, service.slots, service.slots
		option.models, option.memory, option.work = models, len(models), 20*time.Millisecond
		return option
	})
	if err != nil {
		return err
	}
	go crashSome(lab, length, begin)
	requesters := newRequesters(lab)
	requesters.sendAll(perSecond, length, func(number int) {
		request := request{id: fmt.Sprintf("r%d", number), path: service.resumablePath(), model: models[number%len(models)], timeout: timeout}
		checkEvents(lab, request, requesters.send(fleet.routers[rand.IntN(routers)], request))
	})
	return nil
}

// checkEvents checks that the events of an answer come once each and in order, and that an answer that is framed as complete has all.
func checkEvents(lab *lab, request request, outcome outcome) {
	if outcome.status != http.StatusOK {
		return
	}
	var ids []string
	for _, line := range strings.Split(string(outcome.body), "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	for at, id := range ids {
		if id != fmt.Sprint(at+1) {
			lab.record.breaks("ORDER", "event %d of %s has the id %s; the ids are %v", at+1, request.id, id, ids)
			return
		}
	}
	if outcome.isComplete && len(ids) != streamEvents {
		tail := outcome.body[max(0, len(outcome.body)-60):]
		lab.record.breaks("ORDER", "%s is framed as complete after event %d of %d; it ends with %q", request.id, len(ids), streamEvents, tail)
	}
}
