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
	// drainTime and stabilityWindow are bounds.drainMs and bounds.stabilityWindowMs of the settings.
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
	// leavingShare is the largest share of the servers that leave at once in the users' site file.
	leavingShare = 0.15
	// killedShare is the largest share of all machines that are killed at once there.
	killedShare = 0.55
	// killDelay is the time between the last acknowledgement of a departure and the kill, and downTime that for which the processes are down.
	killDelay = 300 * time.Millisecond
	downTime  = 600 * time.Millisecond
	// servingTime is the time for which a server serves on after the acknowledgement.
	servingTime = 6 * time.Second
	// leavingInterval is the time between two such rounds.
	leavingInterval = 17 * time.Second
)

// hasLeft reports whether a controller has acknowledged that the server leaves.
func (server *server) hasLeft() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.leftAt.IsZero()
}

// leaveList removes the server from the list, as a server does that never reports draining. It serves on for a while, and then exits; another server
// starts at its address.
func (server *server) leaveList() error {
	server.mutex.Lock()
	server.stopBeat()
	body, url := fmt.Sprintf(`{"born":%d}`, server.born), "/instances/"+server.id
	server.mutex.Unlock()
	client := &http.Client{Timeout: time.Second}
	for _, address := range server.fleet.controlAddresses() {
		request, err := http.NewRequestWithContext(server.fleet.lab.ctx, http.MethodDelete, "http://"+address+url, strings.NewReader(body))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue
		}
		server.mutex.Lock()
		server.leftAt = time.Now()
		server.mutex.Unlock()
		server.fleet.lab.record.note("server %d, %s, has left; acknowledged by %s", server.number, url, address)
		time.AfterFunc(servingTime, func() { server.crash(reuseTime) })
		return nil
	}
	return fmt.Errorf("no controller acknowledged that server %d leaves", server.number)
}

// reuseTime is bounds.reuseAfterS of the settings.
const reuseTime = 2 * time.Second

// leaveRounds lets some servers leave and, with trouble, kills all controllers and some routers at the same moment right afterwards.
func leaveRounds(lab *lab, touchFrom *atomic.Int64, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Add(servingTime).Before(end) && lab.ctx.Err() == nil; {
		for number := range chooseServers(len(lab.fleet.servers), leavingShare) {
			if err := lab.fleet.servers[number].leaveList(); err != nil {
				lab.record.note("%v", err)
			}
		}
		if lab.isTrouble {
			pause(lab.ctx, killDelay)
			restartMany(lab)
			touchFrom.Store(time.Now().Add(stabilityWindow).UnixNano())
		}
		pause(lab.ctx, leavingInterval)
	}
}

// restartMany kills all controllers and a part of the routers at the same moment; they are back within a second.
func restartMany(lab *lab) {
	killed := append([]*process{}, lab.fleet.controllers...)
	// The controllers count towards the share.
	most := int(killedShare * float64(len(lab.fleet.controllers)+len(lab.fleet.routers)))
	for _, number := range rand.Perm(len(lab.fleet.routers))[:most-len(killed)] {
		killed = append(killed, lab.fleet.routers[number])
	}
	for _, proc := range killed {
		lab.record.note("%s is killed", proc.name)
		proc.kill()
	}
	pause(lab.ctx, downTime)
	for _, proc := range killed {
		if err := proc.start(false); err != nil {
			lab.record.note("%s did not start again: %v", proc.name, err)
		}
	}
	lab.record.note("all killed processes start again")
}

// runLeftAgain plays rarely used models on one engine each, and engines that leave right before all controllers and some routers are killed and start again. It checks
// that no request that was sent while all machines are in touch reaches an engine later than the drain time after its departure was acknowledged.
func runLeftAgain(lab *lab) error {
	const (
		routers = 8
		engines = 27
		length  = 88 * time.Second
		timeout = 4 * time.Second
	)
	var touchFrom atomic.Int64
	var late, sentAt sync.Map
	service := engineService{name: "engines", slots: 32, memory: 2}
	for number := range engines {
		service.models = append(service.models, fmt.Sprintf("model%d", number))
	}
	judge := func(server *server, call *call) {
		server.mutex.Lock()
		left := server.leftAt
		server.mutex.Unlock()
		sent, _ := sentAt.Load(call.id)
		now := time.Now()
		if inTouch := time.Unix(0, touchFrom.Load()); !left.IsZero() && now.Sub(left) > drainTime && sent.(time.Time).After(inTouch) {
			late.Store(call.id, true)
			lab.record.breaks("DRAIN", "%s reaches server %d %v after its departure was acknowledged; it was sent %v after all machines are in touch again",
				call.id, server.number, now.Sub(left).Round(time.Millisecond), sent.(time.Time).Sub(inTouch).Round(time.Millisecond))
		}
	}
	fleet, err := newEngineFleet(lab, routers, engines, configuration(timeout, []engineService{service}), func(number int) serverOptions {
		return serverOptions{service: service.name, slots: service.slots, queue: 32, models: service.models[number : number+1], memory: service.memory,
			onDisk: service.models[number : number+1], work: 150 * time.Millisecond, onArrival: judge,
			events: func(call *call) []string { return numberedEvents(call, 10) }}
	})
	if err != nil {
		return err
	}
	go leaveRounds(lab, &touchFrom, length)
	requesters := newRequesters(lab)
	requesters.sendAll(50, length, func(number int) {
		request := request{id: fmt.Sprintf("r%d", number), path: service.streamPath(), model: service.models[rand.IntN(engines)], timeout: timeout}
		sentAt.Store(request.id, time.Now())
		outcome := requesters.send(fleet.routers[rand.IntN(routers)], request)
		if _, isLate := late.Load(request.id); isLate && !outcome.isComplete {
			lab.record.note("%s was cut when its server exited", request.id)
			lab.record.count("late requests cut when their server exited")
		}
	})
	return nil
}
