//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slashPaths are the paths of the requests, without and with the trouble.
var slashPaths = [][2]string{{"/registers/42", "//registers/42"}, {"/registers/42/transfer?to=7", "//registers/42/transfer?to=7"},
	{"/a/b/c", "//a//b/c"}, {"/unsafe/9", "//unsafe/9"}}

func init() { scenarios["slashes"] = playSlashes }

// playSlashes sends requests whose paths begin with two slashes.
func playSlashes(fleet *fleet, trouble bool) (broken []string, err error) {
	var mutex sync.Mutex
	ran := make(map[string]string)
	fleet.heard = func(_, text string) {
		var id, method, path string
		if count, _ := fmt.Sscanf(text, "runs %s %s %s", &id, &method, &path); count == 3 {
			mutex.Lock()
			defer mutex.Unlock()
			ran[id] = method + " " + path
		}
	}
	if err := fleet.startPrograms(1, configuration(1, 0, 8)); err != nil {
		return nil, err
	}
	if _, err := fleet.startServer(1, serverOptions{Service: servicePlain, BodyBytes: 800}); err != nil {
		return nil, err
	}
	if err := fleet.awaitReady(call{method: http.MethodGet, path: pathSafe + "x", limit: 5 * time.Second}); err != nil {
		return nil, err
	}
	sent := make(map[string]string)
	for number, paths := range slashPaths {
		path := paths[0]
		if trouble {
			path = paths[1]
		}
		id := fmt.Sprintf("slash-%d", number)
		sent[id] = "POST " + path
		if err := fleet.sendRaw(fleet.routers[0], id, path); err != nil {
			return nil, err
		}
	}
	time.Sleep(200 * time.Millisecond)
	mutex.Lock()
	defer mutex.Unlock()
	for number := range slashPaths {
		id := fmt.Sprintf("slash-%d", number)
		if what, isRun := ran[id]; isRun && what != sent[id] {
			broken = append(broken, fmt.Sprintf("%s was sent as %q and run as %q", id, sent[id], what))
		}
	}
	return broken, nil
}

// sendRaw sends a request byte by byte as the platform's callers do, since client libraries change some paths.
func (fleet *fleet) sendRaw(router *child, id, path string) error {
	conn, err := net.DialTimeout("tcp", router.ip+":"+portFront, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	lines := []string{"POST " + path + " HTTP/1.1", "Host: " + host, "X-Celerylanding-Attempt-Id: " + id, "X-Celerylanding-Deadline-Ms: 4000",
		"Content-Length: 4", "", "body"}
	fleet.log.add("caller", "sends %s: POST %s", id, path)
	if _, err := conn.Write([]byte(strings.Join(lines, "\r\n"))); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	fleet.log.add("caller", "%s: %d, stamp %q", id, response.StatusCode, response.Header.Get("X-Celerylanding-Server-Stamp"))
	return nil
}
