//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
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

// streamCall is a stream that its caller reads until it breaks off or gives no event for too long.
type streamCall struct {
	answer
	// events are the numbers of the events, and versions the software versions that sent them.
	events   []int
	versions map[string]bool
}

// readStream reads a stream; it ends it after a pause between events, or when leave is closed.
func (fleet *fleet) readStream(router *child, call call, patience time.Duration, leave <-chan struct{}) streamCall {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := streamCall{answer: answer{id: call.id}, versions: make(map[string]bool)}
	pause := time.AfterFunc(patience, cancel)
	defer pause.Stop()
	go func() {
		select {
		case <-leave:
			cancel()
		case <-ctx.Done():
		}
	}()
	request, err := fleet.newRequest(ctx, router, call)
	if err != nil {
		got.failed = err
		return got
	}
	response, err := newClient().Do(request)
	if err != nil {
		got.failed = err
		fleet.log.add("caller", "%s: no answer: %v", call.id, err)
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		pause.Reset(patience)
		got.body += lines.Text() + "\n"
		number, version := 0, ""
		if count, _ := fmt.Sscanf(lines.Text(), "id: %d", &number); count == 1 {
			got.events = append(got.events, number)
		}
		if count, _ := fmt.Sscanf(lines.Text(), "data: "+call.id+" %s", &version); count == 1 {
			got.versions[version] = true
		}
	}
	got.failed = lines.Err()
	fleet.log.add("caller", "%s: %d, events %v of %v, end %v", call.id, got.status, span(got.events), got.versions, ending(got.failed))
	if got.status != http.StatusOK {
		fleet.log.add("caller", "%s: says %q", call.id, strings.TrimSpace(got.body))
	}
	return got
}

// span describes the numbers of events.
func span(events []int) string {
	if len(events) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d to %d (%d)", events[0], events[len(events)-1], len(events))
}

// send sends a request to a router on a new channel or, with a client of its own, on a kept one.
func (fleet *fleet) send(client *http.Client, router *child, call call) answer {
	return fleet.sendTraced(client, router, call, &httptrace.ClientTrace{})
}

// sendTraced is send with a trace of the channel.
func (fleet *fleet) sendTraced(client *http.Client, router *child, call call, trace *httptrace.ClientTrace) answer {
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), call.limit+500*time.Millisecond)
	defer cancel()
	began := time.Now()
	request, err := fleet.newRequest(ctx, router, call)
	if err != nil {
		return answer{id: call.id, failed: err}
	}
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

// newRequest returns the request of a call to a router.
func (fleet *fleet) newRequest(ctx context.Context, router *child, call call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+router.ip+":"+portFront+call.path, strings.NewReader(call.body))
	if err != nil {
		return nil, err
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
	return request, nil
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
func streamBody(id, version string, events int) string {
	text := ""
	for number := 1; number <= events; number++ {
		text += event(id, version, number)
	}
	return text
}
