//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverOptions describe a stand-in of a server.
type serverOptions struct {
	ID, Service, Zone, Address, Version string
	Controllers                         []string
	Slots                               int
	// Models are held from the start; a server without models is one of a plain service.
	Models []string
	// AdapterSlots is the number of adapters that the server can hold, and AdapterMs the time of an adapter's load.
	AdapterSlots, AdapterMs int
	// Events is the number of events of a stream, and EventMs the time before each of them. A plain answer takes WorkMs.
	Events, EventMs, WorkMs int
	// IsUnframed makes the answers end with their channels, without a length and without chunks.
	IsUnframed bool
	// BodyBytes is the length of a plain answer.
	BodyBytes int
	// PingDelayMs is the time that each ping spends on its way after SIGUSR2, until the next SIGUSR2.
	PingDelayMs int
	// NoticeMs is the time between the notice that SIGUSR1 causes and the end of the server, whatever it is running.
	NoticeMs int
}

// server is a stand-in of a server, in a process of its own.
type server struct {
	options  serverOptions
	born     int64
	mutex    sync.Mutex
	seq      uint64
	orders   uint64
	fence    uint64
	adapters map[string]bool
	coming   map[string]bool
	running  map[string]int
	leaving  time.Time
	// isSlow is set while pings are late.
	isSlow bool
}

// say tells the case what the server does.
func say(format string, args ...any) { fmt.Println(fmt.Sprintf(format, args...)) }

// runServer serves until the process is ended.
func runServer(text string) {
	var options serverOptions
	if err := json.Unmarshal([]byte(text), &options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	server := &server{options: options, born: time.Now().UnixMilli(), adapters: make(map[string]bool), coming: make(map[string]bool),
		running: make(map[string]int)}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	notices := make(chan os.Signal, 1)
	signal.Notify(notices, syscall.SIGUSR1)
	slow := make(chan os.Signal, 1)
	signal.Notify(slow, syscall.SIGUSR2)
	go server.awaitNotice(notices)
	go server.toggleDelay(slow)
	go server.ping()
	_ = http.Serve(listener, server)
}

// awaitNotice announces that the server is taken away, and ends it at that time, whatever it is running.
func (server *server) awaitNotice(notices <-chan os.Signal) {
	<-notices
	notice := time.Duration(server.options.NoticeMs) * time.Millisecond
	server.mutex.Lock()
	server.leaving = time.Now().Add(notice)
	server.mutex.Unlock()
	say("notice: gone in %v", notice)
	go server.sendPing()
	time.Sleep(time.Until(server.leaving))
	say("gone")
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
}

// toggleDelay makes pings late, and in time again.
func (server *server) toggleDelay(slow <-chan os.Signal) {
	for range slow {
		server.mutex.Lock()
		server.isSlow = !server.isSlow
		say("pings are late: %v", server.isSlow)
		server.mutex.Unlock()
	}
}

func (server *server) ping() {
	for {
		go server.sendPing()
		time.Sleep(1200 * time.Millisecond)
	}
}

// models describes what the server holds; the caller holds the mutex.
func (server *server) models() []map[string]any {
	list := []map[string]any{}
	for _, model := range server.options.Models {
		adapters := []string{}
		for name := range server.adapters {
			if owner, adapter, _ := strings.Cut(name, "/"); owner == model {
				adapters = append(adapters, adapter)
			}
		}
		slices.Sort(adapters)
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return list
}

// sendPing sends one ping to the controllers in turn until one acknowledges it.
func (server *server) sendPing() {
	server.mutex.Lock()
	server.seq++
	body := map[string]any{"service": server.options.Service, "address": server.options.Address, "zone": server.options.Zone,
		"version": server.options.Version, "slots": server.options.Slots, "state": "ready", "coldLeftMs": 0, "stage": "both", "models": server.models(),
		"seq": server.seq, "born": server.born, "atHand": map[string]any{"inMemory": server.options.Models, "onDisk": server.options.Models}}
	if !server.leaving.IsZero() {
		body["state"], body["remainingMs"] = "draining", time.Until(server.leaving).Milliseconds()
	}
	delay := time.Duration(0)
	if server.isSlow {
		delay = time.Duration(server.options.PingDelayMs) * time.Millisecond
	}
	server.mutex.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	time.Sleep(delay)
	for i := range server.options.Controllers {
		address := server.options.Controllers[(int(server.seq)+i)%len(server.options.Controllers)]
		if put("http://"+address+"/instances/"+server.options.ID, text) {
			if body["state"] == "draining" {
				say("ack: draining, by %s", address)
			}
			return
		}
	}
}

func put(url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// ServeHTTP answers callers' requests, orders and report requests.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Celerylanding-Attempt-Id")
	writer.Header().Set("X-Celerylanding-Attempt-Id", id)
	expected := request.Header.Get("X-Celerylanding-Expect-Instance")
	switch {
	case expected != "" && expected != server.options.ID:
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case request.URL.Path == "/order":
		server.order(writer, request)
	case request.URL.Path == "/report":
		server.report(writer)
	default:
		server.run(writer, request, id)
	}
}

func (server *server) report(writer http.ResponseWriter) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	state := "ready"
	if !server.leaving.IsZero() {
		state = "draining"
	}
	coming := []string{}
	for name := range server.coming {
		coming = append(coming, name+"@1")
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{"stage": "both", "models": server.models(), "busy": false, "seq": server.orders, "born": server.born,
		"state": state, "coming": coming, "queued": 0, "active": len(server.running), "kvUsed": 0, "kvTotal": 100000, "handles": 0,
		"atHand": map[string]any{"inMemory": server.options.Models, "onDisk": server.options.Models}})
}

// run answers a caller's request.
func (server *server) run(writer http.ResponseWriter, request *http.Request, id string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	model := request.Header.Get("X-Celerylanding-Model")
	if len(server.options.Models) > 0 && !server.begin(model) {
		say("refuses %s: %s is not here", id, model)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer server.end(model)
	say("runs %s %s %s %d bytes", id, request.Method, request.RequestURI, len(body))
	writer.Header().Set("X-Celerylanding-Server-Stamp", server.options.ID+"."+id)
	if server.options.IsUnframed {
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	if len(server.options.Models) == 0 {
		server.answer(writer, id)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= server.options.Events; number++ {
		time.Sleep(time.Duration(server.options.EventMs) * time.Millisecond)
		if request.Context().Err() != nil {
			say("dropped %s after event %d", id, number-1)
			return
		}
		_, _ = io.WriteString(writer, event(id, server.options.Version, number))
		_ = http.NewResponseController(writer).Flush()
	}
	say("answered %s whole: %d events", id, server.options.Events)
}

// answer sends a plain answer in two halves, with the work between them.
func (server *server) answer(writer http.ResponseWriter, id string) {
	body := plainBody(id, server.options.BodyBytes)
	_, _ = io.WriteString(writer, body[:len(body)/2])
	_ = http.NewResponseController(writer).Flush()
	time.Sleep(time.Duration(server.options.WorkMs) * time.Millisecond)
	_, _ = io.WriteString(writer, body[len(body)/2:])
	say("answered %s whole: %d bytes", id, len(body))
}

// event is an event of the stream that answers a request.
func event(id, version string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", number, id, version)
}

// plainBody is the plain answer to a request.
func plainBody(id string, length int) string {
	text := "answer to " + id + " "
	return text + strings.Repeat("x", max(0, length-len(text)))
}
