//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// noticeTime is the time between the notice to a server and its removal.
	noticeTime = 2 * time.Second
	// removals is the number of servers that are removed, one after the other.
	removals = 8
	// streamEvents is the length of a stream, and stepTime the time between two of its events.
	streamEvents = 150
	stepTime     = 19 * time.Millisecond
)

// serverProcess is a stand-in server that is a process of its own.
type serverProcess struct {
	id      string
	command *exec.Cmd
	input   io.WriteCloser
}

// recordWriter passes the lines of a process on to the record.
type recordWriter struct {
	rec *record
	id  string
}

// Write records what the process has written.
func (writer recordWriter) Write(text []byte) (int, error) {
	for line := range strings.Lines(string(text)) {
		if _, said, ok := strings.Cut(strings.TrimSpace(line), writer.id); ok {
			writer.rec.line(writer.id, "%s", strings.TrimSpace(said))
		}
	}
	return len(text), nil
}

// startServer starts a server as a process.
func startServer(fleet *fleet, number int) (*serverProcess, error) {
	id := fmt.Sprintf("text-%d", number+1)
	options, err := json.Marshal(serveOptions{ID: id, Service: "texts", Zone: fleet.zones[number%len(fleet.zones)], Address: fleet.serverAddress(number),
		Controllers: fleet.controlAddresses(), Events: streamEvents, Step: stepTime, PingDelay: 2500 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, "serve", string(options))
	command.Stdout = recordWriter{fleet.rec, id}
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	return &serverProcess{id, command, input}, command.Start()
}

// kill ends the server's process.
func (process *serverProcess) kill() {
	// A process that has ended gets no signal.
	_ = process.command.Process.Signal(syscall.SIGKILL)
	_ = process.command.Wait()
}

// shortStreams are the callers' streams that have ended.
type shortStreams struct {
	mutex                         sync.Mutex
	sent, whole, broken, cutWhole int
}

// playEarlyEnd removes servers at short notice, one after the other, while they send streams that end with their connections.
func playEarlyEnd(ctx context.Context, rec *record, isTroubled bool) (verdict, error) {
	fleet, err := newFleet(rec, 3, 2)
	if err != nil {
		return verdict{}, err
	}
	defer fleet.close()
	if err := fleet.start(ctx, chatConfiguration()); err != nil {
		return verdict{}, err
	}
	var servers []*serverProcess
	defer func() {
		for _, server := range servers {
			server.kill()
		}
	}()
	for number := range removals {
		server, err := startServer(fleet, number)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, server)
	}
	pause(ctx, 4*time.Second)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	streams := &shortStreams{}
	var group sync.WaitGroup
	group.Go(func() { streams.run(sending, fleet) })
	pause(ctx, 4*time.Second)
	for number := range removals {
		fresh, err := removeServer(ctx, fleet, servers[number], number+removals, isTroubled)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, fresh)
	}
	pause(ctx, time.Second)
	stopSending()
	group.Wait()
	return streams.judge(rec), nil
}

// removeServer removes a server after a notice, and starts another one. Without trouble, it starts another one only.
func removeServer(ctx context.Context, fleet *fleet, server *serverProcess, next int, isTroubled bool) (*serverProcess, error) {
	if isTroubled {
		fleet.rec.line(server.id, "gets the notice")
		if _, err := fmt.Fprintln(server.input, noticeTime.Milliseconds()); err != nil {
			return nil, err
		}
		pause(ctx, noticeTime)
		fleet.rec.line(server.id, "is gone")
		server.kill()
	} else {
		pause(ctx, noticeTime)
	}
	pause(ctx, 2*time.Second)
	return startServer(fleet, next)
}

// run sends streams at a steady rate.
func (streams *shortStreams) run(ctx context.Context, fleet *fleet) {
	var group sync.WaitGroup
	for number := 1; pause(ctx, 80*time.Millisecond); number++ {
		group.Go(func() { streams.send(context.WithoutCancel(ctx), fleet, number) })
	}
	group.Wait()
}

// send sends one stream and checks its end.
func (streams *shortStreams) send(ctx context.Context, fleet *fleet, number int) {
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	id := "chat-" + strconv.Itoa(number)
	router := fleet.routers[number%len(fleet.routers)]
	response, err := request{address: router.front(), method: http.MethodPost, path: "/chat/x", id: id, limit: 6 * time.Second}.do(ctx)
	streams.mutex.Lock()
	streams.sent++
	streams.mutex.Unlock()
	if err != nil {
		fleet.rec.line("caller", "%s at %s: no answer: %v", id, router.name, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	last := 0
	err = readEvents(response.Body, func(event event) { last = event.id })
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	switch {
	case response.StatusCode != http.StatusOK || err != nil:
		streams.broken++
		fleet.rec.line("caller", "%s at %s: answered %d by %q, broken off after event %d: %v", id, router.name, response.StatusCode,
			response.Header.Get(headerStamp), last, err)
	case last < streamEvents:
		streams.cutWhole++
		fleet.rec.line("caller", "%s at %s: answered %d by %q, ENDS AS COMPLETE after event %d of %d", id, router.name, response.StatusCode,
			response.Header.Get(headerStamp), last, streamEvents)
	default:
		streams.whole++
	}
}

func (streams *shortStreams) judge(rec *record) verdict {
	streams.mutex.Lock()
	defer streams.mutex.Unlock()
	rec.line("judge", "%d streams sent, %d whole, %d broken off or refused, %d that end as complete before their last event", streams.sent, streams.whole,
		streams.broken, streams.cutWhole)
	if streams.whole < streams.sent/2 {
		return verdict{broken: "the system did not serve"}
	}
	if streams.cutWhole > 0 {
		return verdict{broken: fmt.Sprintf("ORDER: %d streams end as complete before their last event", streams.cutWhole)}
	}
	return verdict{}
}
