//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stableTime is the bound stabilityWindowMs: a machine is in touch when nothing has happened to it, or to the core, for so long.
	stableTime = 3 * time.Second
	// lingerTime is how long the server serves after its departure was acknowledged.
	lingerTime = 6 * time.Second
)

// playMissedDeparture freezes a router while a server leaves, and kills all control nodes after they have acknowledged its departure. Then the router wakes.
func playMissedDeparture(ctx context.Context, rec *record, isTroubled bool) (verdict, error) {
	fleet, err := newFleet(rec, 3, 7)
	if err != nil {
		return verdict{}, err
	}
	defer fleet.close()
	if err := fleet.start(ctx, chatConfiguration()); err != nil {
		return verdict{}, err
	}
	leaver := &leaver{runs: make(map[string]time.Time)}
	first, listener, err := startChat(ctx, fleet, leaver)
	if err != nil {
		return verdict{}, err
	}
	defer close(listener.over)
	pause(ctx, 5*time.Second)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	traffic := &traffic{fleet: fleet, passed: passedOn{at: make(map[string]time.Time)}, leaver: first.id}
	var group sync.WaitGroup
	group.Go(func() { traffic.run(trafficCtx, 9*time.Millisecond) })
	pause(ctx, 3*time.Second)
	acked, inTouch, err := departUnseen(ctx, traffic, first, isTroubled)
	if err != nil {
		return verdict{}, err
	}
	pause(ctx, time.Until(acked.Add(lingerTime)))
	first.end()
	pause(ctx, time.Second)
	stopTraffic()
	group.Wait()
	return judgeDeparture(rec, traffic, leaver, acked, inTouch), nil
}

// departUnseen lets the server leave, and returns when its departure was acknowledged and from when on all machines are in touch.
func departUnseen(ctx context.Context, traffic *traffic, server *server, isTroubled bool) (acked, inTouch time.Time, err error) {
	fleet := traffic.fleet
	frozen := fleet.routers[0]
	if isTroubled {
		traffic.avoid(frozen)
		frozen.signal(syscall.SIGSTOP)
		pause(ctx, 300*time.Millisecond)
	}
	if !server.depart(ctx) {
		return acked, inTouch, fmt.Errorf("the departure of %s was not acknowledged", server.id)
	}
	acked = time.Now()
	if !isTroubled {
		return acked, acked, nil
	}
	pause(ctx, 300*time.Millisecond)
	for _, controller := range fleet.controllers {
		controller.signal(syscall.SIGKILL)
	}
	for _, controller := range fleet.controllers {
		<-controller.ended
	}
	pause(ctx, 500*time.Millisecond)
	for _, controller := range fleet.controllers {
		if err := controller.start(false); err != nil {
			return acked, inTouch, err
		}
	}
	pause(ctx, 400*time.Millisecond)
	frozen.signal(syscall.SIGCONT)
	traffic.avoid(nil)
	return acked, time.Now().Add(stableTime), nil
}

// judgeDeparture counts the requests that were sent when all machines were in touch, and reached the server later than the drain time after the ack.
func judgeDeparture(rec *record, traffic *traffic, leaver *leaver, acked, inTouch time.Time) verdict {
	leaver.mutex.Lock()
	defer leaver.mutex.Unlock()
	late, lost, complete := 0, 0, 0
	for _, call := range traffic.calls {
		if call.isComplete {
			complete++
		}
		ran, hasRun := leaver.runs[call.id]
		if !hasRun || ran.Before(acked.Add(drainTime)) || call.at.Before(inTouch) {
			continue
		}
		late++
		rec.line("judge", "%s reached %s %.3f s after the ack, through %s; answered completely: %v", call.id, traffic.leaver, ran.Sub(acked).Seconds(),
			call.router, call.isComplete)
		if !call.isComplete {
			lost++
		}
	}
	rec.line("judge", "%d requests, %d answered; %d reached the server too late, of which %d were never answered", len(traffic.calls), complete, late, lost)
	if complete < len(traffic.calls)/2 {
		return verdict{broken: "the system did not serve"}
	}
	if late > 0 {
		return verdict{broken: fmt.Sprintf("DRAIN: %d requests reached a server later than drainMs after its departure was acknowledged, %d were never answered",
			late, lost)}
	}
	return verdict{}
}
