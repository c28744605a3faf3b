//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// runUnstamped plays servers of a plain service, some of which send bytes that are no answer for a small part of the requests. It checks that no
// requester gets a success without a server's stamp, or with another body than the server's.
func runUnstamped(lab *lab) error {
	const (
		routers = 5
		servers = 10
		length  = 60 * time.Second
		timeout = 2 * time.Second
	)
	garbling := &garbling{lab: lab}
	answer := func(id string) []byte { return []byte(strings.Repeat("answer to "+id+"\n", 50)) }
	fleet, err := newEngineFleet(lab, routers, servers, configuration(timeout, nil), func(int) serverOptions {
		return serverOptions{service: servicePlain, slots: 6, queue: 24, work: 30 * time.Millisecond, idleTime: 1,
			body:  func(call *call) []byte { return answer(call.id) },
			fault: func(call *call, _ int) fault { return fault{isUnstamped: garbling.spoils(call.server)} }}
	})
	if err != nil {
		return err
	}
	go garbling.run(servers, length)
	requesters := newRequesters(lab)
	requesters.sendAll(40, length, func(number int) {
		request := request{id: fmt.Sprintf("r%d", number), path: []string{"/safe/x", "/unsafe/x"}[number%2], timeout: timeout}
		outcome := requesters.send(fleet.routers[rand.IntN(routers)], request)
		if outcome.status == 200 && outcome.isComplete && (!outcome.hasStamp || !bytes.Equal(outcome.body, answer(request.id))) {
			lab.record.breaks("MIXED", "%s got a complete success, stamp %v, with a body of %d bytes that begins with %q", request.id, outcome.hasStamp,
				len(outcome.body), outcome.body[:min(len(outcome.body), 24)])
		}
	})
	return nil
}
