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
	"sync"
	"time"
)

// host is the host of all routes.
const host = "review.example"

// servicePlain is the plain service of the configuration.
const servicePlain = "plain"

// engineService is a service of model engines.
type engineService struct {
	name   string
	models []string
	// slots is the number of requests that an engine runs at once, and memory the number of models that fit.
	slots, memory int
}

// streamPath and resumablePath return the path of a request for a stream of the service, and of one for a stream that may be resumed.
func (service engineService) streamPath() string { return "/stream-" + service.name + "/x" }

func (service engineService) resumablePath() string { return "/resumable-" + service.name + "/x" }

// weightsMb is the size of each model.
const weightsMb = 10000.0

func (service engineService) settings() map[string]any {
	var models []map[string]any
	for _, model := range service.models {
		models = append(models, map[string]any{"name": model, "weightsMb": weightsMb, "loadS": loadTime.Seconds(), "diskS": diskLoadTime.Seconds(),
			"warmS": diskLoadTime.Seconds(), "adapters": 0, "adapterMb": 10.0})
	}
	return map[string]any{"name": service.name, "healthPath": "/healthz", "maxConns": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": service.slots, "kvCapacity": 149686, "weightsMb": weightsMb*float64(service.memory) + 1,
			"adapterSlots": 8, "loadsPerS": 5.2, "models": models}}
}

// configuration returns a desired state with a safe and an unsafe route, and two stream routes for each service of engines, one of which has
// streams that may be resumed.
func configuration(timeout time.Duration, engines []engineService) []byte {
	route := func(name, kind, service string, attempts int, isResumable bool) map[string]any {
		return map[string]any{"name": "r-" + name, "host": host, "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 600, "priority": 0, "service": service, "attempts": attempts, "sticky": false, "resumable": isResumable, "gapAimMs": 400}
	}
	routes := []map[string]any{route("safe", "safe", servicePlain, 2, false), route("unsafe", "unsafe", servicePlain, 1, false)}
	services := []map[string]any{{"name": servicePlain, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}}
	for _, service := range engines {
		routes = append(routes, route("stream-"+service.name, "stream", service.name, 1, false),
			route("resumable-"+service.name, "stream", service.name, 2, true))
		services = append(services, service.settings())
	}
	// The value consists of strings, numbers and truth values, which are always encoded.
	text, _ := json.Marshal(map[string]any{"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	return text
}

// request is one attempt of a requester.
type request struct {
	id      string
	path    string
	model   string
	timeout time.Duration
}

// outcome is what a requester gets.
type outcome struct {
	status   int
	hasStamp bool
	body     []byte
	// isComplete is set when the answer was framed as complete.
	isComplete bool
	err        error
}

// requesters sends requests; it keeps channels open.
type requesters struct {
	lab    *lab
	client *http.Client
}

func newRequesters(lab *lab) *requesters {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &requesters{lab: lab, client: &http.Client{Transport: transport}}
}

// send sends a request to a router and waits for the end of the answer.
func (requesters *requesters) send(router *process, request request) outcome {
	ctx, cancel := context.WithTimeout(requesters.lab.ctx, request.timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.address(1)+request.path, bytes.NewReader([]byte("body of "+request.id)))
	if err != nil {
		return outcome{err: err}
	}
	message.Host = host
	// The requester repeats nothing by itself.
	message.GetBody = nil
	message.Header.Set("X-Celerylanding-Attempt-Id", request.id)
	message.Header.Set("X-Celerylanding-Deadline-Ms", fmt.Sprint(request.timeout.Milliseconds()))
	if request.model != "" {
		message.Header.Set("X-Celerylanding-Model", request.model)
		message.Header.Set("X-Celerylanding-Token-Count", "100,70")
		message.Header.Set("X-Celerylanding-Prompt-Prefix", request.id+":100")
	}
	requesters.lab.record.note("sent %s to %s%s", request.id, router.name, request.path)
	response, err := requesters.client.Do(message)
	if err != nil {
		requesters.lab.record.note("answer to %s: %v", request.id, err)
		requesters.lab.record.count("no answer")
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result := outcome{status: response.StatusCode, hasStamp: response.Header.Get("X-Celerylanding-Server-Stamp") != "", body: body,
		isComplete: err == nil, err: err}
	requesters.lab.record.note("answer to %s: %d, stamp %v, %d bytes, complete %v", request.id, result.status, result.hasStamp, len(body), result.isComplete)
	requesters.lab.record.count(fmt.Sprintf("answered %d, complete %v", result.status, result.isComplete))
	return result
}

// sendAll sends requests at a steady rate for some time, and waits for the last answer; next sends the request with the number.
func (requesters *requesters) sendAll(perSecond float64, length time.Duration, next func(number int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.Now().Add(length)
	for number := 0; time.Now().Before(end) && requesters.lab.ctx.Err() == nil; number++ {
		calls.Go(func() { next(number) })
		<-ticker.C
	}
	calls.Wait()
}
