//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// failLength is the largest length of the disruption "srv_grey, errors" in the users' site file.
const failLength = 7 * time.Second

// runRanAndRefused plays servers of a plain service, some of which fail a part of the requests that they have run with 429, without saying that they
// have not run them. It checks that no request that may run once at most is answered as not run after it has run.
func runRanAndRefused(lab *lab) error {
	const (
		routers = 2
		servers = 7
		length  = 60 * time.Second
		timeout = time.Second
	)
	var failing atomic.Pointer[map[int]bool]
	fleet, err := newEngineFleet(lab, routers, servers, configuration(timeout, nil), func(int) serverOptions {
		return serverOptions{service: servicePlain, slots: 6, queue: 24, work: 30 * time.Millisecond,
			body: func(call *call) []byte { return []byte("answer to " + call.id) },
			fault: func(call *call, _ int) fault {
				chosen := failing.Load()
				if chosen != nil && (*chosen)[call.server.number] && rand.Float64() < failedAnswers {
					return fault{status: http.StatusTooManyRequests}
				}
				return fault{}
			}}
	})
	if err != nil {
		return err
	}
	go func() {
		for lab.isTrouble && lab.ctx.Err() == nil {
			chosen := chooseServers(servers, failingShare)
			lab.record.note("servers that fail requests: %v", chosen)
			failing.Store(&chosen)
			pause(lab.ctx, failLength)
			failing.Store(nil)
			pause(lab.ctx, garblePause)
		}
	}()
	requesters := newRequesters(lab)
	requesters.sendAll(40, length, func(number int) {
		request := request{id: fmt.Sprintf("r%d", number), path: "/unsafe/x", timeout: timeout}
		checkPromise(lab, request, requesters.send(fleet.routers[rand.IntN(routers)], request))
	})
	return nil
}
