//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// originStreams streams run at the router that is lost; 12 is the least number that the rule counts.
	originStreams = 16
	// originEvents and originEventMs make a stream last 8 s.
	originEvents, originEventMs = 80, 100
	// originPatience is the pause between events after which callers take a stream up elsewhere: four times the latency target.
	originPatience = 4 * resumableObjectiveMs * time.Millisecond
	// originFreeze is how long the machines of the zone stand still.
	originFreeze = 6 * time.Second
	originLimit  = 17 * time.Second
)

func init() { scenarios["origin"] = playOrigin }

// playOrigin plays the loss of a zone while servers of two software versions serve: callers take up the streams of the zone's router at the others.
func playOrigin(fleet *fleet, trouble bool) (broken []string, err error) {
	if err := fleet.startPrograms(3, configuration(1, 0, 8)); err != nil {
		return nil, err
	}
	leader, err := fleet.leader()
	if err != nil {
		return nil, err
	}
	for number := 1; number <= 4; number++ {
		// No server is lost with the zone.
		if _, err := fleet.startServer(number, serverOptions{Service: serviceEngines, Models: []string{model}, Events: originEvents, EventMs: originEventMs,
			AdapterSlots: 8, Version: []string{"v1", "v2"}[number%2], Zone: zoneOf(leader + 1 + number%4/2)}); err != nil {
			return nil, err
		}
	}
	if err := fleet.awaitReady(call{method: http.MethodPost, path: pathStream + "x", model: model, limit: originLimit, body: "prompt"}); err != nil {
		return nil, err
	}
	lost := fleet.routers[leader-1]
	others := []*child{fleet.routers[leader%3], fleet.routers[(leader+1)%3]}
	leave := make(chan struct{})
	begun := fleet.streams(originStreams, func(number int) streamCall {
		return fleet.readStream(lost, originCall("first", number), originPatience, leave)
	})
	time.Sleep(2 * time.Second)
	if trouble {
		fleet.log.add("platform", "the machines of %s stand still: %s and controller-%d", zoneOf(leader), lost.name, leader)
		lost.signal(syscall.SIGSTOP)
		fleet.controllers[leader-1].signal(syscall.SIGSTOP)
		time.AfterFunc(originFreeze, func() {
			fleet.log.add("platform", "they go on")
			lost.signal(syscall.SIGCONT)
			fleet.controllers[leader-1].signal(syscall.SIGCONT)
		})
	} else {
		fleet.log.add("caller", "leaves its streams")
		close(leave)
		time.Sleep(originPatience)
	}
	first := begun()
	fresh := fleet.streams(originStreams, func(number int) streamCall {
		return fleet.readStream(others[number%2], originCall("fresh", number), originPatience, nil)
	})
	taken := fleet.streams(originStreams, func(number int) streamCall {
		next := originCall("again", number)
		if events := first[number].events; len(events) > 0 {
			next.lastEvent, next.resumes = strconv.Itoa(events[len(events)-1]), first[number].id
		}
		return fleet.readStream(others[number%2], next, originPatience, nil)
	})
	return fleet.judgeOrigin(first, taken(), fresh()), nil
}

func originCall(name string, number int) call {
	return call{id: fmt.Sprintf("%s-%d", name, number), method: http.MethodPost, path: pathResumable + "x", model: model, limit: originLimit, body: "prompt"}
}

// streams reads streams side by side; the returned function waits for them.
func (fleet *fleet) streams(count int, read func(number int) streamCall) func() []streamCall {
	results := make([]streamCall, count)
	var group sync.WaitGroup
	for number := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			results[number] = read(number)
		}()
	}
	return func() []streamCall {
		group.Wait()
		return results
	}
}

// judgeOrigin returns how the rule is broken: of the streams that were taken up, fewer than half as many go on as new ones begin.
func (fleet *fleet) judgeOrigin(first, taken, fresh []streamCall) (broken []string) {
	count, goOn, begin := 0, 0, 0
	for number := range taken {
		if len(first[number].events) == 0 {
			continue
		}
		count++
		if len(taken[number].events) > 0 {
			goOn++
		}
	}
	for number := range fresh {
		if len(fresh[number].events) > 0 {
			begin++
		}
	}
	fleet.log.add("case", "%d streams taken up, of which %d go on; %d of %d new streams begin", count, goOn, begin, len(fresh))
	if count >= 12 && float64(goOn)/float64(count) < 0.5*float64(begin)/float64(len(fresh)) {
		broken = append(broken, fmt.Sprintf("of %d streams that were taken up %d go on, while %d of %d new streams begin", count, goOn, begin, len(fresh)))
	}
	return broken
}
