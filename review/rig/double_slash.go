//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// rawCalls is the number of requests of the case.
const rawCalls = 40

// arrivals are what a server has run, by attempt: the path and query of each request.
type arrivals struct {
	mutex sync.Mutex
	paths map[string]string
}

// answer records and answers a request.
func (arrivals *arrivals) answer(server *server, writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(headerAttempt)
	body, _ := io.ReadAll(request.Body)
	server.rec.line(server.id, "runs %s: %s %s, host %q, path %q, query %q, body %q", attempt, request.Method, request.RequestURI, request.Host, request.URL.Path,
		request.URL.RawQuery, body)
	arrivals.mutex.Lock()
	arrivals.paths[attempt] = request.URL.Path + "?" + request.URL.RawQuery
	arrivals.mutex.Unlock()
	_, _ = io.WriteString(writer, "recorded "+request.URL.Path)
}

// playDoubleSlash sends requests whose paths begin with two slashes, as callers do that join an address which ends with a slash and a path.
func playDoubleSlash(ctx context.Context, rec *record, isTroubled bool) (verdict, error) {
	fleet, err := newFleet(rec, 3, 2)
	if err != nil {
		return verdict{}, err
	}
	defer fleet.close()
	configuration := streamConfiguration()
	configuration["routes"] = []any{map[string]any{"name": "all", "host": host, "pathPrefix": "/", "type": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 100,
		"priority": 2, "service": "texts", "attempts": 1}}
	if err := fleet.start(ctx, configuration); err != nil {
		return verdict{}, err
	}
	arrivals := &arrivals{paths: make(map[string]string)}
	for number := range 3 {
		server := chatServer(fleet, fmt.Sprintf("ledger-%d", number+1), number)
		server.answer = arrivals.answer
		if err := server.begin(ctx); err != nil {
			return verdict{}, err
		}
	}
	pause(ctx, 4*time.Second)
	sent := make(map[string]string)
	for number := range rawCalls {
		path := fmt.Sprintf("/transfer/%d", number+1)
		if isTroubled && number%2 == 1 {
			path = "/" + path
		}
		id := "call-" + strconv.Itoa(number+1)
		sent[id] = path + "?share=" + strconv.Itoa(number)
		answer, err := sendRaw(fleet.routers[number/2%len(fleet.routers)].front(), sent[id], id)
		rec.line("caller", "%s: POST %s, answered %q %v", id, sent[id], answer, err)
		pause(ctx, 50*time.Millisecond)
	}
	return arrivals.judge(rec, sent), nil
}

// sendRaw sends a request with exactly this target, and returns the status line and the body of its answer.
func sendRaw(address, target, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Celerylanding-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody", target, host,
		headerAttempt, id); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.Status + ": " + string(body), err
}

// judge compares what the servers have run with what the callers have sent.
func (arrivals *arrivals) judge(rec *record, sent map[string]string) verdict {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	changed := 0
	for id, target := range sent {
		if got, hasRun := arrivals.paths[id]; hasRun && got != target {
			changed++
			rec.line("judge", "%s was sent with path and query %q, and run with %q", id, target, got)
		}
	}
	rec.line("judge", "%d requests, %d run, %d with another path", len(sent), len(arrivals.paths), changed)
	if len(arrivals.paths) < len(sent)/2 {
		return verdict{broken: "the system did not serve"}
	}
	if changed > 0 {
		return verdict{broken: fmt.Sprintf("UNASKED: servers ran %d requests with a path that no caller sent", changed)}
	}
	return verdict{}
}
