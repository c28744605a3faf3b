//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt = "X-Celerylanding-Attempt-Id"
	headerStamp   = "X-Celerylanding-Server-Stamp"
	headerNotRun  = "X-Celerylanding-Not-Executed"
	headerExpect  = "X-Celerylanding-Expect-Instance"
	headerLast    = "Last-Event-Id"
)

// server is one lifetime of a stand-in for a server of a service without models.
type server struct {
	rec                                 *record
	id, service, zone, version, address string
	born                                int64
	controllers                         []string
	// answer answers a request that the server runs.
	answer func(server *server, writer http.ResponseWriter, request *http.Request)

	mutex sync.Mutex
	seq   uint64
	// isQuiet is set once the server sends no more pings.
	isQuiet bool
	// isLeaving makes all answers say that the server leaves.
	isLeaving atomic.Bool
	http      *http.Server
	stop      context.CancelFunc
}

// begin listens at the server's address, and sends the first ping.
func (server *server) begin(ctx context.Context) error {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return err
	}
	server.beginAt(ctx, listener)
	return nil
}

// beginAt serves the connections of a listener.
func (server *server) beginAt(ctx context.Context, listener net.Listener) {
	ctx, server.stop = context.WithCancel(ctx)
	server.born = time.Now().UnixMilli()
	server.http = &http.Server{Handler: server}
	if dark, ok := listener.(*darkListener); ok {
		server.http.ConnState = dark.record
	}
	server.rec.line(server.id, "starts: version %s, born %d, at %s", server.version, server.born, server.address)
	go func() { _ = server.http.Serve(listener) }()
	go server.ping(ctx)
}

// ping sends pings until the server is quiet.
func (server *server) ping(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		if body := server.nextPing("ready"); body != nil {
			server.send(ctx, http.MethodPut, body)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// nextPing returns the body of the next ping, or nil if the server sends none.
func (server *server) nextPing(state string) []byte {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.isQuiet {
		return nil
	}
	server.seq++
	body, _ := json.Marshal(map[string]any{"service": server.service, "address": server.address, "zone": server.zone, "version": server.version,
		"slots": 64, "state": state, "coldLeftMs": 0, "seq": server.seq, "born": server.born})
	return body
}

// beQuiet ends the pings.
func (server *server) beQuiet() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.isQuiet = true
}

// send sends a ping or a departure to the control nodes in turn until one acknowledges it, and reports whether one has.
func (server *server) send(ctx context.Context, method string, body []byte) bool {
	for _, address := range server.controllers {
		if status := call(ctx, method, "http://"+address+"/instances/"+server.id, body); status >= 200 && status < 300 {
			return true
		}
	}
	return false
}

// depart sends DELETE, after which the server sends nothing more; it reports whether that was acknowledged.
func (server *server) depart(ctx context.Context) bool {
	server.beQuiet()
	body := []byte(fmt.Sprintf(`{"born":%d}`, server.born))
	isAcked := server.send(ctx, http.MethodDelete, body)
	server.rec.line(server.id, "departure acknowledged: %v", isAcked)
	return isAcked
}

// end ends the server: its listener and its connections.
func (server *server) end() {
	server.stop()
	_ = server.http.Close()
	server.rec.line(server.id, "ends")
}

// ServeHTTP answers a request of a router.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set(headerAttempt, request.Header.Get(headerAttempt))
	if server.isLeaving.Load() {
		header.Set("Server-Leaving", "1")
	}
	if expected := request.Header.Get(headerExpect); expected != "" && expected != server.id {
		header.Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set(headerStamp, server.id+"."+request.Header.Get(headerAttempt))
	server.answer(server, writer, request)
}

// streamer answers with a stream of events.
type streamer struct {
	events int
	pause  time.Duration
}

// answer sends the events after the one that the request names, each with the version of the server's software.
func (streamer streamer) answer(server *server, writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(headerAttempt)
	// The header is absent or names an event of an earlier attempt.
	last, _ := strconv.Atoi(request.Header.Get(headerLast))
	server.rec.line(server.id, "runs %s after event %d, version %s", attempt, last, server.version)
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for number := last + 1; number <= streamer.events; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, server.version)
		if controller.Flush() != nil || !pause(request.Context(), streamer.pause) {
			server.rec.line(server.id, "stops %s at event %d: its channel was closed", attempt, number)
			return
		}
	}
}
