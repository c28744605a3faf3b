//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// streamLimit is the time limit of the callers' streams.
	streamLimit = 17 * time.Second
	// maxTries is the number of times that a caller sends a request.
	maxTries = 4
)

// streamCall is one caller's stream over all its tries.
type streamCall struct {
	rec      *record
	name     string
	routers  []*machine
	versions map[string]int
	last     int
	first    string
	isDone   bool
}

// run sends the stream, and takes it up at another router when its channel breaks.
func (stream *streamCall) run(ctx context.Context, at int) {
	ctx, cancel := context.WithTimeout(ctx, streamLimit)
	defer cancel()
	for try := range maxTries {
		wait := stream.try(ctx, stream.routers[(at+try)%len(stream.routers)], fmt.Sprintf("%s-%d", stream.name, try))
		if stream.isDone || !pause(ctx, wait) {
			return
		}
	}
}

// try sends one attempt and returns the time to wait before the next one.
func (stream *streamCall) try(ctx context.Context, router *machine, id string) time.Duration {
	const backoff = 600 * time.Millisecond
	attempt := request{address: router.front(), method: http.MethodPost, path: "/stream/x", id: id, limit: streamLimit, header: map[string]string{}}
	if stream.last > 0 {
		attempt.header[headerLast], attempt.header["Resumes"] = strconv.Itoa(stream.last), stream.first
	}
	stream.rec.line("caller", "%s sent to %s after event %d, resumes %q", id, router.name, stream.last, attempt.header["Resumes"])
	response, err := attempt.do(ctx)
	if err != nil {
		stream.rec.line("caller", "%s: no answer: %v", id, err)
		return backoff
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		stream.rec.line("caller", "%s: answered %d, retry after %q", id, response.StatusCode, response.Header.Get("Retry-After"))
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return max(backoff, time.Duration(seconds*float64(time.Second)))
	}
	err = readEvents(response.Body, func(event event) {
		if stream.first == "" {
			stream.first = id
		}
		stream.versions[event.data]++
		stream.last = event.id
	})
	stream.isDone = err == nil
	stream.rec.line("caller", "%s: ended after event %d, complete %v, events by version %v", id, stream.last, stream.isDone, stream.versions)
	return backoff
}

// playTwoVersions replaces the servers of a service by those of another software version, and kills all control nodes and a router at the same time.
// Callers take their streams up at other routers.
func playTwoVersions(ctx context.Context, rec *record, isTroubled bool) (verdict, error) {
	fleet, err := newFleet(rec, 3, 4)
	if err != nil {
		return verdict{}, err
	}
	defer fleet.close()
	if err := fleet.start(ctx, streamConfiguration()); err != nil {
		return verdict{}, err
	}
	old, err := startVersion(ctx, fleet, "v1", 0)
	if err != nil {
		return verdict{}, err
	}
	pause(ctx, 4*time.Second)
	streams, wait := startStreams(ctx, fleet, 24)
	pause(ctx, time.Second)
	if _, err := startVersion(ctx, fleet, "v2", 10); err != nil {
		return verdict{}, err
	}
	pause(ctx, time.Second)
	// The release replaces half of the servers, and then the other half.
	for _, half := range [][]*server{old[:2], old[2:]} {
		for _, server := range half {
			if !server.depart(ctx) {
				return verdict{}, fmt.Errorf("the departure of %s was not acknowledged", server.id)
			}
		}
		pause(ctx, time.Second)
	}
	if isTroubled {
		if err := herdKill(ctx, fleet); err != nil {
			return verdict{}, err
		}
	}
	wait()
	for _, server := range old {
		server.end()
	}
	return judgeVersions(rec, streams), nil
}

// streamConfiguration has one stream route that may be resumed.
func streamConfiguration() map[string]any {
	return map[string]any{
		"routes": []any{map[string]any{"name": "stream", "host": host, "pathPrefix": "/stream/", "type": "stream", "timeoutMs": streamLimit.Milliseconds(),
			"targetLatencyMs": 3000, "priority": 1, "service": "texts", "attempts": 2, "resumable": true, "gapAimMs": 400}},
		"services": []any{map[string]any{"name": "texts", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// startVersion starts four servers of a software version.
func startVersion(ctx context.Context, fleet *fleet, version string, number int) ([]*server, error) {
	var list []*server
	for i := range 4 {
		server := &server{rec: fleet.rec, id: fmt.Sprintf("text-%s-%d", version, i+1), service: "texts", zone: fleet.zones[i%len(fleet.zones)], version: version,
			address: fleet.serverAddress(number + i), controllers: fleet.controlAddresses(), answer: streamer{events: 100, pause: 100 * time.Millisecond}.answer}
		if err := server.begin(ctx); err != nil {
			return nil, err
		}
		list = append(list, server)
	}
	return list, nil
}

// startStreams begins streams at all routers, and returns a function that waits for their end.
func startStreams(ctx context.Context, fleet *fleet, count int) (streams []*streamCall, wait func()) {
	var group sync.WaitGroup
	for i := range count {
		stream := &streamCall{rec: fleet.rec, name: fmt.Sprintf("stream-%d", i+1), routers: fleet.routers, versions: make(map[string]int)}
		streams = append(streams, stream)
		group.Go(func() { stream.run(ctx, i) })
	}
	return streams, group.Wait
}

// herdKill kills all control nodes and one router at the same moment, four of seven processes, and starts them again half a second later.
func herdKill(ctx context.Context, fleet *fleet) error {
	herd := append(append([]*machine{}, fleet.controllers...), fleet.routers[0])
	for _, machine := range herd {
		machine.signal(syscall.SIGKILL)
	}
	for _, machine := range herd {
		<-machine.ended
	}
	pause(ctx, 500*time.Millisecond)
	for _, machine := range herd {
		if err := machine.start(false); err != nil {
			return err
		}
	}
	return nil
}

// judgeVersions counts the streams with events of two software versions.
func judgeVersions(rec *record, streams []*streamCall) verdict {
	mixed, complete := 0, 0
	for _, stream := range streams {
		if stream.isDone {
			complete++
		}
		if len(stream.versions) > 1 {
			mixed++
			rec.line("judge", "%s has events of two versions: %v", stream.name, stream.versions)
		}
	}
	rec.line("judge", "%d streams, %d complete, %d with events of two versions; more than two break the rule", len(streams), complete, mixed)
	if complete == 0 {
		return verdict{broken: "no stream was served"}
	}
	if mixed > 2 {
		return verdict{broken: fmt.Sprintf("ORDER: %d of %d streams hold events from servers of two software versions", mixed, len(streams))}
	}
	return verdict{}
}
