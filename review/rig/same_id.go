//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// drainTime is the bound drainMs.
	drainTime = 2 * time.Second
	// darkTime is how long the server is dark.
	darkTime = 4500 * time.Millisecond
	// pingDelay is how late the ping arrives that says that the server leaves, and leaveTime how long it goes on without an ack of it.
	pingDelay = 7 * time.Second
	leaveTime = 5 * time.Second
	// longPatience is the time after which callers abandon a stream without its first event: four times its objective.
	longPatience = 10 * time.Second
)

// leaver is the server that leaves, over its lifetimes.
type leaver struct {
	mutex sync.Mutex
	// runs holds when it began to run each attempt.
	runs map[string]time.Time
}

// passedOn is when each router first passed on an answer that says that the server leaves.
type passedOn struct {
	mutex sync.Mutex
	at    map[string]time.Time
}

func (passed *passedOn) record(router string) {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	if _, isKnown := passed.at[router]; !isKnown {
		passed.at[router] = time.Now()
	}
}

// sentCall is an attempt of a caller.
type sentCall struct {
	id, router string
	at         time.Time
	isComplete bool
}

// traffic sends short streams at a steady rate.
type traffic struct {
	fleet  *fleet
	passed passedOn
	leaver string
	mutex  sync.Mutex
	calls  []*sentCall
	// avoided is a router that gets no new channels, or nil.
	avoided *machine
}

// avoid keeps new channels from a router; nil ends that.
func (traffic *traffic) avoid(router *machine) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.avoided = router
}

// begin records the next attempt; it returns nil if its router gets no new channels.
func (traffic *traffic) begin(number int, router *machine) *sentCall {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if traffic.avoided == router {
		return nil
	}
	call := &sentCall{id: "chat-" + strconv.Itoa(number), router: router.name, at: time.Now()}
	traffic.calls = append(traffic.calls, call)
	return call
}

// run sends streams until the context ends, and waits for their end.
func (traffic *traffic) run(ctx context.Context, interval time.Duration) {
	var group sync.WaitGroup
	for number := 1; pause(ctx, interval); number++ {
		router := traffic.fleet.routers[number%len(traffic.fleet.routers)]
		if call := traffic.begin(number, router); call != nil {
			group.Go(func() { traffic.send(context.WithoutCancel(ctx), router, call) })
		}
	}
	group.Wait()
}

func (traffic *traffic) send(ctx context.Context, router *machine, call *sentCall) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	rec := traffic.fleet.rec
	response, err := request{address: router.front(), method: http.MethodPost, path: "/chat/x", id: call.id, limit: 6 * time.Second}.do(ctx)
	if err != nil {
		rec.line("caller", "%s at %s: no answer: %v", call.id, router.name, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	stamp := response.Header.Get(headerStamp)
	if response.Header.Get("Server-Leaving") == "1" && stamp == traffic.leaver+"."+call.id {
		traffic.passed.record(router.name)
	}
	last := 0
	err = readEvents(response.Body, func(event event) { last = event.id })
	call.isComplete = err == nil && response.StatusCode == http.StatusOK
	rec.line("caller", "%s at %s: %d by %q, leaving %q, %d events, complete %v", call.id, router.name, response.StatusCode, stamp,
		response.Header.Get("Server-Leaving"), last, call.isComplete)
}

// playSameID lets a server go dark while requests run there, and start again under the same ID. Later it leaves, says so in its answers, and the ping
// that says so is late. Then the callers of the old requests give them up.
func playSameID(ctx context.Context, rec *record, isTroubled bool) (verdict, error) {
	fleet, err := newFleet(rec, 3, 2)
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
	pause(ctx, 4*time.Second)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	traffic := &traffic{fleet: fleet, passed: passedOn{at: make(map[string]time.Time)}, leaver: first.id}
	var group sync.WaitGroup
	group.Go(func() { traffic.run(trafficCtx, 30*time.Millisecond) })
	pause(ctx, time.Second)
	for i := range 24 {
		group.Go(func() { sendLong(ctx, fleet, i) })
		pause(ctx, 60*time.Millisecond)
	}
	second := first
	if isTroubled {
		if second, err = goDark(ctx, fleet, first, listener, leaver); err != nil {
			return verdict{}, err
		}
	} else {
		pause(ctx, darkTime)
	}
	pause(ctx, 500*time.Millisecond)
	leave(ctx, second)
	pause(ctx, leaveTime)
	second.end()
	pause(ctx, time.Second)
	stopTraffic()
	group.Wait()
	return judgeLeaving(rec, traffic, leaver), nil
}

// chatConfiguration has a route for short streams and one for streams that may take long to begin.
func chatConfiguration() map[string]any {
	route := func(name string, timeout, objective int) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "type": "stream", "timeoutMs": timeout, "targetLatencyMs": objective,
			"priority": 0, "service": "texts", "attempts": 1, "resumable": false, "gapAimMs": 400}
	}
	configuration := streamConfiguration()
	configuration["routes"] = []any{route("chat", 6000, 300), route("long", 20000, 2500)}
	return configuration
}

// startChat starts six servers and returns the one that will leave, with its listener.
func startChat(ctx context.Context, fleet *fleet, leaver *leaver) (*server, *darkListener, error) {
	for i := range 5 {
		other := chatServer(fleet, fmt.Sprintf("text-%d", i+2), i+1)
		other.answer = answerChat
		if err := other.begin(ctx); err != nil {
			return nil, nil, err
		}
	}
	first := chatServer(fleet, "text-1", 0)
	first.answer = leaver.answer
	listener, err := net.Listen("tcp", first.address)
	if err != nil {
		return nil, nil, err
	}
	dark := newDarkListener(listener)
	first.beginAt(ctx, dark)
	return first, dark, nil
}

func chatServer(fleet *fleet, id string, number int) *server {
	return &server{rec: fleet.rec, id: id, service: "texts", zone: fleet.zones[number%len(fleet.zones)], version: "v1", address: fleet.serverAddress(number),
		controllers: fleet.controlAddresses()}
}

// answerChat answers with a short stream; a long request takes a second more to begin.
func answerChat(server *server, writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/long/x" && !pause(request.Context(), time.Second) {
		return
	}
	streamer{events: 14, pause: 26 * time.Millisecond}.answer(server, writer, request)
}

// answer answers as the others do, and records what the server runs.
func (leaver *leaver) answer(server *server, writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(headerAttempt)
	leaver.mutex.Lock()
	leaver.runs[attempt] = time.Now()
	leaver.mutex.Unlock()
	answerChat(server, writer, request)
}

// sendLong sends a stream and gives it up when its first event does not come.
func sendLong(ctx context.Context, fleet *fleet, number int) {
	ctx, cancel := context.WithTimeout(ctx, longPatience)
	defer cancel()
	router := fleet.routers[number%len(fleet.routers)]
	id := "long-" + strconv.Itoa(number+1)
	response, err := request{address: router.front(), method: http.MethodPost, path: "/long/x", id: id, limit: 20 * time.Second}.do(ctx)
	if err != nil {
		fleet.rec.line("caller", "%s at %s: given up: %v", id, router.name, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	err = readEvents(response.Body, func(event) {})
	fleet.rec.line("caller", "%s at %s: %d, complete %v", id, router.name, response.StatusCode, err == nil)
}

// goDark makes the server dark for a while, and starts it again under its ID.
func goDark(ctx context.Context, fleet *fleet, first *server, listener *darkListener, leaver *leaver) (*server, error) {
	fleet.rec.line(first.id, "goes dark")
	first.beQuiet()
	close(listener.dark)
	pause(ctx, darkTime)
	if err := listener.Listener.Close(); err != nil {
		return nil, err
	}
	listener.resetIdle()
	second := chatServer(fleet, first.id, 0)
	second.answer = leaver.answer
	return second, second.begin(ctx)
}

// leave makes the server leave: its answers say so at once, and its ping says so late.
func leave(ctx context.Context, server *server) {
	server.isLeaving.Store(true)
	body := server.nextPing("draining")
	server.beQuiet()
	server.rec.line(server.id, "leaves: its answers say so, its ping is %v late", pingDelay)
	go func() {
		if pause(ctx, pingDelay) {
			server.rec.line(server.id, "late ping acknowledged: %v", server.send(ctx, http.MethodPut, body))
		}
	}()
}

// judgeLeaving counts the requests that have reached the leaving server from a router that had passed on that it leaves, and were sent after the drain time.
func judgeLeaving(rec *record, traffic *traffic, leaver *leaver) verdict {
	leaver.mutex.Lock()
	defer leaver.mutex.Unlock()
	late, lost, complete := 0, 0, 0
	for _, call := range traffic.calls {
		if call.isComplete {
			complete++
		}
		passed, isKnown := traffic.passed.at[call.router]
		if _, hasRun := leaver.runs[call.id]; !hasRun || !isKnown || call.at.Before(passed.Add(drainTime)) {
			continue
		}
		late++
		rec.line("judge", "%s reached %s, %.3f s after %s had passed on that it leaves; answered completely: %v", call.id, traffic.leaver,
			call.at.Sub(passed).Seconds(), call.router, call.isComplete)
		if !call.isComplete {
			lost++
		}
	}
	rec.line("judge", "%d requests, %d answered; %d reached the leaving server too late, of which %d were never answered", len(traffic.calls), complete, late, lost)
	if complete < len(traffic.calls)/2 || len(traffic.passed.at) == 0 {
		return verdict{broken: "the system did not serve, or never passed on that the server leaves"}
	}
	if late > 0 {
		return verdict{broken: fmt.Sprintf("DRAIN: %d requests reached a server that leaves, %d of them were cut off by its end", late, lost)}
	}
	return verdict{}
}
