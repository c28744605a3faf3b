//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// noticeMs is the time between the notice and the end of the server.
	noticeMs = 2000
	// noticeStreams is the number of streams that run when the notice is given.
	noticeStreams = 6
	// noticeEvents and noticeEventMs make a stream last longer than the notice.
	noticeEvents, noticeEventMs = 40, 100
)

func init() { scenarios["notice"] = playNotice }

// playNotice plays a server whose answers end with their channels, and which is taken away at short notice while it answers.
func playNotice(fleet *fleet, trouble bool) (broken []string, err error) {
	if err := fleet.startPrograms(1, configuration(1, 0, 8)); err != nil {
		return nil, err
	}
	engine, err := fleet.startServer(1, serverOptions{Service: serviceEngines, Models: []string{model}, Events: noticeEvents, EventMs: noticeEventMs,
		IsUnframed: true, NoticeMs: noticeMs, AdapterSlots: 8})
	if err != nil {
		return nil, err
	}
	plain, err := fleet.startServer(2, serverOptions{Service: servicePlain, WorkMs: noticeEvents * noticeEventMs, BodyBytes: 800, IsUnframed: true,
		NoticeMs: noticeMs})
	if err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(call{method: http.MethodPost, path: pathStream + "x", model: model, limit: 17 * time.Second, body: "prompt"}); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(call{method: http.MethodGet, path: pathSafe + "x", limit: 17 * time.Second}); err != nil {
		return nil, err
	}
	var answers sync.WaitGroup
	var mutex sync.Mutex
	check := func(call call, whole string) {
		defer answers.Done()
		got := fleet.send(newClient(), fleet.routers[0], call)
		if got.failed == nil && got.status == http.StatusOK && got.body != whole {
			mutex.Lock()
			defer mutex.Unlock()
			broken = append(broken, fmt.Sprintf("%s got a success that looks complete, with %d of %d bytes (%d events)", call.id, len(got.body), len(whole),
				strings.Count(got.body, "data:")))
		}
	}
	for number := range noticeStreams {
		id := fmt.Sprintf("stream-%d", number)
		answers.Add(2)
		go check(call{id: id, method: http.MethodPost, path: pathStream + "x", model: model, limit: 17 * time.Second, body: "prompt"},
			streamBody(id, "v1", noticeEvents))
		id = fmt.Sprintf("safe-%d", number)
		go check(call{id: id, method: http.MethodGet, path: pathSafe + fmt.Sprint(number), limit: 17 * time.Second}, plainBody(id, 800))
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		fleet.log.add("platform", "the servers are taken away at %d ms notice", noticeMs)
		engine.signal(syscall.SIGUSR1)
		plain.signal(syscall.SIGUSR1)
	}
	answers.Wait()
	return broken, nil
}
