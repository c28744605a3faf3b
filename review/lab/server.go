//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverOptions describe a stand-in for one server of the platform.
type serverOptions struct {
	service string
	zone    string
	// slots is the number of requests that run at once, and queue that of those that wait.
	slots, queue int
	// models is the inventory at the start, and memory the number of models that fit; an engine has at least one.
	models []string
	memory int
	// onDisk are the models of which the server has a copy on its disk at the start.
	onDisk []string
	// onOrder is called with each order that reaches the server, before it is judged; it may be nil.
	onOrder func(server *server, holder string, fence uint64)
	// onArrival is called with each request of a requester that reaches the server; it may be nil.
	onArrival func(server *server, call *call)
	// work is the time that a request takes, or that passes before each event of a stream.
	work time.Duration
	// events returns the events of the stream that answers a request.
	events func(call *call) []string
	// preemptedAt returns the number of the event before which a run is preempted and pauses once, 0 for none; it may be nil.
	preemptedAt func(call *call) int
	// body returns the answer to a request of a plain service.
	body func(call *call) []byte
	// idleTime is the whole number of seconds after which the server closes an idle channel, as its answers say; zero for never.
	idleTime int
	// fault returns what is wrong with the answer to a request; it may be nil.
	fault func(call *call, status int) fault
}

// fault is what a server does wrong with one answer; the zero fault is none.
type fault struct {
	// status makes the server run the request and fail it with this status; zero for none.
	status int
	// isCopied makes the server send the answer again, where the next answer on the channel is expected.
	isCopied bool
	// isUnstamped makes the server send bytes that are no answer of its own, without id or stamp.
	isUnstamped bool
}

// call is one request as its server sees it.
type call struct {
	server *server
	header http.Header
	id     string
	path   string
	body   []byte
}

// server is a stand-in for a server; a crash ends one lifetime, and another one begins at the same address.
type server struct {
	options  serverOptions
	fleet    *fleet
	number   int
	address  string
	mutex    sync.Mutex
	id       string
	born     int64
	sequence int
	orders   uint64
	fence    uint64
	isBusy   bool
	loaded   map[string]bool
	onDisk   map[string]bool
	running  int
	waiting  int
	places   chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
	cancel   context.CancelFunc
	// stopBeat ends the pings, and leftAt is when a controller acknowledged that the server leaves; zero before.
	stopBeat context.CancelFunc
	leftAt   time.Time
}

// addServer starts a server.
func (fleet *fleet) addServer(options serverOptions) (*server, error) {
	number := len(fleet.servers)
	server := &server{options: options, fleet: fleet, number: number, onDisk: make(map[string]bool),
		address: fmt.Sprintf("%s.%d:%d", fleet.block, firstServerHost+number, fleet.firstPort)}
	fleet.servers = append(fleet.servers, server)
	for _, model := range options.onDisk {
		server.onDisk[model] = true
	}
	return server, server.start(options.models)
}

// start begins a lifetime with the given models.
func (server *server) start(models []string) error {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(server.fleet.lab.ctx)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.listener, server.cancel = listener, cancel
	server.born = time.Now().UnixMilli()
	server.id = fmt.Sprintf("i-%d-%x", server.number, server.born)
	server.sequence, server.orders, server.fence, server.isBusy = 0, 0, 0, false
	server.running, server.waiting = 0, 0
	server.leftAt = time.Time{}
	server.places = make(chan struct{}, server.options.slots)
	server.conns, server.loaded = make(map[net.Conn]bool), make(map[string]bool)
	for _, model := range models {
		server.loaded[model], server.onDisk[model] = true, true
	}
	beatCtx, stopBeat := context.WithCancel(ctx)
	server.stopBeat = stopBeat
	go server.accept(listener)
	go server.beat(beatCtx)
	return nil
}

// stop ends the lifetime; its channels are reset.
func (server *server) stop() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.cancel == nil {
		return
	}
	server.cancel()
	server.cancel = nil
	_ = server.listener.Close()
	for conn := range server.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// crash ends the lifetime for some time; the next one is empty, but finds on its disk what it has held.
func (server *server) crash(length time.Duration) {
	server.fleet.lab.record.note("server %s crashes", server.id)
	server.stop()
	pause(server.fleet.lab.ctx, length)
	if err := server.start(nil); err != nil {
		server.fleet.lab.record.note("server at %s did not start again: %v", server.address, err)
	}
}

func (server *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		server.conns[conn] = true
		server.mutex.Unlock()
		go server.serve(conn)
	}
}

// serve answers the requests on a channel, one at a time.
func (server *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		if server.options.idleTime > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(time.Duration(server.options.idleTime) * time.Second))
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if _, err := conn.Write(late); err != nil {
			return
		}
		call := &call{server: server, header: request.Header, id: request.Header.Get("X-Celerylanding-Attempt-Id"), path: request.URL.Path, body: body}
		answer := &answerWriter{conn: conn, isLeaving: server.hasLeft()}
		server.answer(answer, call)
		if answer.err != nil || answer.isLast {
			return
		}
		late = nil
		if answer.isCopied {
			late = answer.sent
		}
	}
}

// answerWriter writes one answer; it keeps its bytes for a late copy.
type answerWriter struct {
	conn net.Conn
	sent []byte
	// isLeaving is set when the server says in the answer that it leaves.
	isLeaving bool
	isCopied  bool
	// isLast is set when the channel ends with the answer.
	isLast bool
	err    error
}

func (writer *answerWriter) write(text string) {
	if writer.err == nil {
		_, writer.err = io.WriteString(writer.conn, text)
		writer.sent = append(writer.sent, text...)
	}
}

// head writes the status line and the header.
func (writer *answerWriter) head(status int, fields ...string) {
	if writer.isLeaving {
		fields = append(fields, "Server-Leaving: 1")
	}
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status))}, fields...)
	writer.write(strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// plain writes a whole answer with a body.
func (writer *answerWriter) plain(status int, body string, fields ...string) {
	writer.head(status, append(fields, "Content-Length: "+strconv.Itoa(len(body)))...)
	writer.write(body)
}

// chunk writes one chunk of a body; the empty chunk ends it.
func (writer *answerWriter) chunk(text string) {
	writer.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// answer answers one request.
func (server *server) answer(writer *answerWriter, call *call) {
	expected := call.header.Get("X-Celerylanding-Expect-Instance")
	server.mutex.Lock()
	id := server.id
	server.mutex.Unlock()
	echo := "X-Celerylanding-Attempt-Id: " + call.id
	isRequest := call.path != "/report" && call.path != "/order"
	if isRequest && server.options.onArrival != nil {
		server.options.onArrival(server, call)
	}
	switch {
	case expected != "" && expected != id:
		writer.plain(http.StatusMisdirectedRequest, "", echo)
	case call.path == "/report":
		writer.plain(http.StatusOK, server.report(), echo)
	case call.path == "/order":
		writer.plain(server.order(call.body), "", echo)
	case call.id == "":
		writer.plain(http.StatusBadRequest, "", "X-Celerylanding-Not-Executed: 1")
	case len(server.options.models) > 0 && !server.holds(call.header.Get("X-Celerylanding-Model")):
		server.refuse(writer, call, http.StatusMisdirectedRequest, echo)
	default:
		if place := server.enter(); place != nil {
			server.run(writer, call, id)
			server.leave(place)
			return
		}
		server.refuse(writer, call, http.StatusServiceUnavailable, echo)
	}
}

// refuse answers a request that the server does not run.
func (server *server) refuse(writer *answerWriter, call *call, status int, echo string) {
	server.fleet.lab.record.note("server %d refuses %s with %d", server.number, call.id, status)
	server.fleet.lab.record.count("refused by servers")
	writer.plain(status, "", echo, "X-Celerylanding-Not-Executed: 1", server.load())
	server.copyLate(writer, call, status)
}

// copyLate marks the answer for a late copy, if the server's fault says so.
func (server *server) copyLate(writer *answerWriter, call *call, status int) {
	if server.options.fault != nil && server.options.fault(call, status).isCopied {
		server.fleet.lab.record.note("server %d will send its answer %d to %s again", server.number, status, call.id)
		server.fleet.lab.record.count("late copies")
		writer.isCopied = true
	}
}

func (server *server) load() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return fmt.Sprintf("X-Celerylanding-Instance-Load: %d,%d,%d", server.running, server.waiting, server.options.slots)
}

// enter waits for a slot of this lifetime; it returns nil if the queue is full or the lifetime has ended meanwhile.
func (server *server) enter() chan struct{} {
	server.mutex.Lock()
	if server.running+server.waiting >= server.options.slots+server.options.queue {
		server.mutex.Unlock()
		return nil
	}
	server.waiting++
	places := server.places
	server.mutex.Unlock()
	places <- struct{}{}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if places != server.places || server.cancel == nil {
		<-places
		return nil
	}
	server.waiting--
	server.running++
	return places
}

func (server *server) leave(places chan struct{}) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if places == server.places {
		server.running--
	}
	<-places
}

// run runs a request in its slot.
func (server *server) run(writer *answerWriter, call *call, id string) {
	var wrong fault
	if server.options.fault != nil {
		wrong = server.options.fault(call, http.StatusOK)
	}
	fields := []string{"X-Celerylanding-Attempt-Id: " + call.id, "X-Celerylanding-Server-Stamp: " + id + "." + call.id, server.load()}
	if server.options.idleTime > 0 {
		fields = append(fields, fmt.Sprintf("Keep-Alive: timeout=%d", server.options.idleTime))
	}
	record := server.fleet.lab.record
	switch {
	case wrong.status != 0:
		record.note("server %d runs %s and fails it with %d", server.number, call.id, wrong.status)
		server.fleet.ran(call.id)
		pause(server.fleet.lab.ctx, server.options.work)
		writer.plain(wrong.status, "the server failed\n", fields...)
	case wrong.isUnstamped:
		record.note("server %d sends bytes that are no answer for %s", server.number, call.id)
		writer.isLast = true
		writer.head(http.StatusOK)
		writer.write(strings.Repeat("no answer of this server\n", 16<<10))
	case len(server.options.models) > 0:
		server.stream(writer, call, fields)
	default:
		record.note("server %d runs %s", server.number, call.id)
		server.fleet.ran(call.id)
		pause(server.fleet.lab.ctx, server.options.work)
		writer.plain(http.StatusOK, string(server.options.body(call)), fields...)
	}
}

// stream answers with a stream of events, after the one that Last-Event-Id names.
func (server *server) stream(writer *answerWriter, call *call, fields []string) {
	// The header is absent or names an event.
	last, _ := strconv.Atoi(call.header.Get("Last-Event-Id"))
	record := server.fleet.lab.record
	record.note("server %d runs %s after event %d", server.number, call.id, last)
	record.count("runs")
	server.fleet.ran(call.id)
	writer.head(http.StatusOK, append(fields, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")...)
	preempted := 0
	if server.options.preemptedAt != nil {
		preempted = server.options.preemptedAt(call)
	}
	for at, event := range server.options.events(call)[last:] {
		pause(server.fleet.lab.ctx, server.options.work)
		if last+at+1 == preempted {
			record.note("server %d preempts %s before event %d", server.number, call.id, preempted)
			record.count("preempted runs")
			pause(server.fleet.lab.ctx, silence)
		}
		writer.chunk(event)
		if writer.err != nil {
			record.note("server %d: the channel of %s ended", server.number, call.id)
			return
		}
	}
	writer.chunk("")
}

func (server *server) holds(model string) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.loaded[model]
}

// inventory returns what a server says of its models; the mutex is held.
func (server *server) inventory() []map[string]any {
	list := []map[string]any{}
	for model, isLoaded := range server.loaded {
		if isLoaded {
			list = append(list, map[string]any{"name": model, "version": 1, "adapters": []string{}})
		}
	}
	return list
}

func (server *server) cached() map[string]any {
	onDisk := []string{}
	for model := range server.onDisk {
		onDisk = append(onDisk, model)
	}
	return map[string]any{"inMemory": []string{}, "onDisk": onDisk}
}

func (server *server) report() string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	// The value consists of strings and numbers, which are always encoded.
	text, _ := json.Marshal(map[string]any{"stage": "both", "models": server.inventory(), "busy": server.isBusy, "seq": server.orders,
		"queued": server.waiting, "active": server.running, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "pinned": 0, "held": 0,
		"state": "ready", "born": server.born, "atHand": server.cached()})
	return string(text)
}
