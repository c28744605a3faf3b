//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMb is the smallest memory of an edge machine on the sheets.
	memoryMb = 284
	// memoryRate is the usual number of requests a second, and memoryBurst the factor of the burst.
	memoryRate, memoryBurst = 10.0, 2.3
	// memoryCalm and memoryTime are the time before the burst and the whole time.
	memoryCalm, memoryTime = 6 * time.Second, 12 * time.Second
	// memoryBody is the length of a request's body, as large as the limits of the configuration allow.
	memoryBody = 4 << 20
	// memoryWorkMs is the time that the server works on a request.
	memoryWorkMs = 3000
	// memoryLost is the number of requests that may be lost.
	memoryLost = 3
)

func init() { scenarios["memory"] = playMemory }

// memoryCase is the state of the case.
type memoryCase struct {
	fleet *fleet
	mutex sync.Mutex
	ran   map[string]bool
	kills int
	most  int
	lost  []string
	// router is the process that serves, and over is closed at the end.
	router *child
	over   chan struct{}
}

// playMemory plays a burst of requests with large bodies; the platform ends a process that uses more memory than its machine has.
func playMemory(fleet *fleet, trouble bool) (broken []string, err error) {
	state := &memoryCase{fleet: fleet, ran: make(map[string]bool), over: make(chan struct{})}
	fleet.heard = state.hear
	fleet.options = []string{fmt.Sprintf("limits.memoryMb=%d", memoryMb)}
	if err := fleet.startPrograms(1, configuration(1, 0, 8)); err != nil {
		return nil, err
	}
	if _, err := fleet.startServer(1, serverOptions{Service: servicePlain, WorkMs: memoryWorkMs, BodyBytes: 800, Slots: 128}); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(call{method: http.MethodPost, path: pathUnsafe + "x", limit: 8 * time.Second, body: "transfer"}); err != nil {
		return nil, err
	}
	state.router = fleet.routers[0]
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		state.watch()
	}()
	state.ask(trouble)
	close(state.over)
	<-watched
	fleet.log.add("platform", "the router used %d of %d MB at most and was ended %d times", state.most, memoryMb, state.kills)
	fleet.log.add("case", "%d requests of kept channels that a server ran have no answer", len(state.lost))
	if len(state.lost) > memoryLost {
		broken = append(broken, fmt.Sprintf("%d requests of kept channels were passed on and have no answer; the router was ended %d times for its memory",
			len(state.lost), state.kills))
	}
	return broken, nil
}

func (state *memoryCase) hear(_, text string) {
	var id string
	if count, _ := fmt.Sscanf(text, "runs %s", &id); count == 1 {
		state.mutex.Lock()
		defer state.mutex.Unlock()
		state.ran[id] = true
	}
}

// watch ends the router when it uses more memory than its machine has, and starts it again, as the platform does.
func (state *memoryCase) watch() {
	for {
		select {
		case <-state.over:
			return
		case <-time.After(20 * time.Millisecond):
		}
		router := state.current()
		used := memoryOf(router)
		state.most = max(state.most, used)
		if used <= memoryMb {
			continue
		}
		state.fleet.log.add("platform", "%s uses %d MB of %d MB and is ended", router.name, used, memoryMb)
		router.signal(syscall.SIGKILL)
		<-router.ended
		state.kills++
		time.Sleep(200 * time.Millisecond)
		started, err := state.fleet.startNode("router", 1, true)
		if err != nil {
			return
		}
		state.mutex.Lock()
		state.router = started
		state.mutex.Unlock()
	}
}

// current returns the router that serves.
func (state *memoryCase) current() *child {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.router
}

// memoryOf returns the memory of a process that no file backs, in MB.
func memoryOf(child *child) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", child.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// ask sends requests at the usual rate, and with trouble at that of the burst after a while.
func (state *memoryCase) ask(trouble bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
	body := strings.Repeat("x", memoryBody)
	began := time.Now()
	var callers sync.WaitGroup
	for number := 0; time.Since(began) < memoryTime; number++ {
		callers.Add(1)
		go func() {
			defer callers.Done()
			state.send(client, fmt.Sprintf("m-%d", number), body)
		}()
		rate := memoryRate
		if trouble && time.Since(began) > memoryCalm {
			rate *= memoryBurst
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	callers.Wait()
}

// send sends one request, and takes note of one that a kept channel has lost.
func (state *memoryCase) send(client *http.Client, id, body string) {
	isKept := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isKept = info.Reused }}
	got := state.fleet.sendTraced(client, state.current(), call{id: id, method: http.MethodPost, path: pathUnsafe + "x", body: body, limit: 8 * time.Second},
		trace)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if got.status == 0 && isKept && state.ran[id] {
		state.lost = append(state.lost, id)
	}
}
