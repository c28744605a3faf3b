package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "stand.example"

// answer is what a caller has received.
type answer struct {
	id     string
	status int
	body   string
	// stamp is the server's stamp.
	stamp string
	// failed is why the answer does not look complete; nil if it does.
	failed error
	took   time.Duration
}

// call is a caller's request.
type call struct {
	id, method, path, model string
	body                    string
	limit                   time.Duration
	// lastEvent and resumes take up a stream.
	lastEvent, resumes string
}

// send sends a request to a router on a new channel or, with a client of its own, on a kept one.
func (fleet *fleet) send(client *http.Client, router *child, call call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), call.limit+500*time.Millisecond)
	defer cancel()
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+router.ip+":"+portFront+call.path, strings.NewReader(call.body))
	if err != nil {
		return answer{id: call.id, failed: err}
	}
	request.Host = host
	request.Header.Set("X-Celerylanding-Attempt-Id", call.id)
	request.Header.Set("X-Celerylanding-Deadline-Ms", fmt.Sprint(call.limit.Milliseconds()))
	if call.model != "" {
		request.Header.Set("X-Celerylanding-Model", call.model)
		request.Header.Set("X-Celerylanding-Token-Count", "100,40")
		request.Header.Set("X-Celerylanding-Prompt-Prefix", "5c1e07a2:60,"+call.id+":40")
	}
	if call.lastEvent != "" {
		request.Header.Set("Last-Event-Id", call.lastEvent)
		request.Header.Set("Resumes", call.resumes)
	}
	fleet.log.add("caller", "sends %s to %s: %s %s %s", call.id, router.name, call.method, call.path, call.model)
	response, err := client.Do(request)
	if err != nil {
		fleet.log.add("caller", "%s: no answer: %v", call.id, err)
		return answer{id: call.id, failed: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := answer{id: call.id, status: response.StatusCode, body: string(body), stamp: response.Header.Get("X-Celerylanding-Server-Stamp"), failed: err,
		took: time.Since(began)}
	fleet.log.add("caller", "%s: %d, stamp %q, %d bytes, length %d, chunks %v, end %v, after %v", call.id, got.status, got.stamp, len(body),
		response.ContentLength, response.TransferEncoding, ending(err), got.took.Round(time.Millisecond))
	if response.StatusCode >= http.StatusBadRequest {
		fleet.log.add("caller", "%s: says %q", call.id, strings.TrimSpace(string(body)))
	}
	return got
}

// ending describes the end of a body.
func ending(err error) string {
	switch {
	case err == nil:
		return "complete"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "broken off"
	}
	return err.Error()
}

// newClient returns a client that opens a new channel for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// streamBody is the whole stream that answers a request.
func streamBody(id string, events int) string {
	text := ""
	for number := 1; number <= events; number++ {
		text += event(id, number)
	}
	return text
}
