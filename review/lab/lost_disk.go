//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// leaseTime is bounds.leaseMs of the settings.
	leaseTime = 3 * time.Second
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 300 * time.Millisecond
	// lossInterval is the time between two losses of a disk; a machine counts as back after bounds.catchUpS, 4 s.
	lossInterval = 15 * time.Second
)

// holderLog judges the orders that reach the servers.
type holderLog struct {
	lab   *lab
	mutex sync.Mutex
	// last is the last order that reached each server, and newest the holder of the last one of all.
	last   map[int]heldOrder
	newest string
}

type heldOrder struct {
	holder string
	fence  uint64
	at     time.Time
}

// add records an order that reaches a server.
func (log *holderLog) add(server *server, holder string, fence uint64) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	now := time.Now()
	before, ok := log.last[server.number]
	log.lab.record.note("server %d gets an order of %s, fence %d", server.number, holder, fence)
	log.lab.record.count("orders")
	if ok && before.holder != holder {
		gap := now.Sub(before.at)
		log.lab.record.note("server %d: the holder changes from %s to %s after %v", server.number, before.holder, holder, gap)
		log.lab.record.count("changes of the holder at a server")
		if gap < leaseTime {
			log.lab.record.breaks("ONE", "server %d gets an order of %s (fence %d) %v after one of %s (fence %d); the lease is %v", server.number, holder,
				fence, gap.Round(time.Millisecond), before.holder, before.fence, leaseTime)
		}
	}
	log.last[server.number] = heldOrder{holder, fence, now}
	log.newest = holder
}

func (log *holderLog) newestHolder() string {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.newest
}

// loseDisks kills the controller that holds the orders, and starts it again with an empty disk, until the time is over.
func loseDisks(lab *lab, log *holderLog, length time.Duration) {
	for end := time.Now().Add(length); lab.isTrouble && time.Now().Before(end) && lab.ctx.Err() == nil; {
		pause(lab.ctx, lossInterval)
		holder := log.newestHolder()
		for _, proc := range lab.fleet.controllers {
			if proc.name == holder {
				lab.record.note("%s loses power and its disk", holder)
				proc.kill()
				pause(lab.ctx, restartDelay)
				proc.restartEmpty()
			}
		}
	}
}

// restartEmpty starts a process again with an empty data folder.
func (proc *process) restartEmpty() {
	if err := os.RemoveAll(filepath.Join(proc.folder, "disk")); err != nil {
		proc.fleet.lab.record.note("%s: %v", proc.name, err)
	}
	if err := proc.start(false); err != nil {
		proc.fleet.lab.record.note("%s did not start again: %v", proc.name, err)
	}
	proc.fleet.lab.record.note("%s starts again with an empty disk", proc.name)
}

// runLostDisk plays engines that don't check generation numbers, requests for changing models, so that orders are given all the time, and a
// leading controller that loses its disk and comes back at once. It checks that orders of two holders reach no server within the lease.
func runLostDisk(lab *lab) error {
	const (
		routers = 2
		engines = 4
		models  = 12
		length  = 80 * time.Second
		timeout = 5 * time.Second
	)
	log := &holderLog{lab: lab, last: make(map[int]heldOrder)}
	service := engineService{name: "engines", slots: 32, memory: 2}
	for number := range models {
		service.models = append(service.models, fmt.Sprintf("model%d", number))
	}
	fleet, err := newFleet(lab, routers, false)
	if err != nil {
		return err
	}
	err = fleet.populate(engines, configuration(timeout, []engineService{service}), func(number int) serverOptions {
		return serverOptions{service: service.name, slots: service.slots, queue: 32, models: service.models[number : number+2], memory: service.memory,
			onDisk: service.models, work: 10 * time.Millisecond, onOrder: log.add,
			events: func(call *call) []string { return numberedEvents(call, 5) }}
	})
	if err != nil {
		return err
	}
	go loseDisks(lab, log, length)
	requesters := newRequesters(lab)
	requesters.sendAll(10, length, func(number int) {
		request := request{id: fmt.Sprintf("r%d", number), path: service.streamPath(), model: service.models[rand.IntN(models)], timeout: timeout}
		requesters.send(fleet.routers[number%routers], request)
	})
	return nil
}
