//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pingAdapters are asked for in turn, pingServers servers have pingSlots places each.
	pingAdapters, pingServers, pingSlots = 16, 2, 4
	// pingDelayMs is how late the pings arrive.
	pingDelayMs = 2500
	// pingCallers is the number of callers, and pingTime the time for which they ask.
	pingCallers, pingTime = 24, 30 * time.Second
	// pingRestart is the time after which a server that fell over is back.
	pingRestart = 2 * time.Second
)

func init() { scenarios["pings"] = playPings }

// pingCase is the state of the case.
type pingCase struct {
	fleet   *fleet
	mutex   sync.Mutex
	broken  []string
	cut     int
	trouble bool
}

// playPings plays servers whose pings arrive late while callers ask for more adapters than the servers have places for.
func playPings(fleet *fleet, trouble bool) (broken []string, err error) {
	state := &pingCase{fleet: fleet, trouble: trouble}
	fleet.heard = state.hear
	if err := fleet.startPrograms(3, configuration(1, pingAdapters, pingSlots)); err != nil {
		return nil, err
	}
	var servers []*child
	for number := 1; number <= pingServers; number++ {
		server, err := state.startServer(number)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	if err := fleet.awaitReady(call{method: http.MethodPost, path: pathStream + "x", model: model, limit: 6 * time.Second, body: "prompt"}); err != nil {
		return nil, err
	}
	if trouble {
		fleet.log.add("network", "pings arrive %d ms late from now on", pingDelayMs)
		for _, server := range servers {
			server.signal(syscall.SIGUSR2)
		}
	}
	var callers sync.WaitGroup
	for number := range pingCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			state.ask(number)
		}()
	}
	callers.Wait()
	state.mutex.Lock()
	defer state.mutex.Unlock()
	fleet.log.add("case", "%d orders beyond the places, %d streams cut", len(state.broken), state.cut)
	return state.broken, nil
}

func (state *pingCase) startServer(number int) (*child, error) {
	return state.fleet.startServer(number, serverOptions{Service: serviceEngines, Models: []string{model}, Events: 5, EventMs: 40,
		AdapterSlots: pingSlots, AdapterMs: 10, PingDelayMs: pingDelayMs})
}

// hear takes note of what a server says; one that has fallen over comes back.
func (state *pingCase) hear(server, text string) {
	if !strings.HasPrefix(text, "overloaded") {
		return
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.broken = append(state.broken, server+" "+text)
	number := 0
	_, _ = fmt.Sscanf(server, "server-i-%d", &number)
	time.AfterFunc(pingRestart, func() {
		started, err := state.startServer(number)
		if err != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
		started.signal(syscall.SIGUSR2)
	})
}

// ask sends the requests of one caller.
func (state *pingCase) ask(number int) {
	client := newClient()
	end := time.Now().Add(pingTime)
	for count := 0; time.Now().Before(end); count++ {
		name := fmt.Sprintf("%s/a%d", model, 1+rand.IntN(pingAdapters))
		got := state.fleet.send(client, state.fleet.routers[number%len(state.fleet.routers)], call{id: fmt.Sprintf("c%d-%d", number, count),
			method: http.MethodPost, path: pathStream + "x", model: name, limit: 6 * time.Second, body: "prompt"})
		if got.failed != nil {
			state.mutex.Lock()
			state.cut++
			state.mutex.Unlock()
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}
