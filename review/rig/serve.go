//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serveOptions describe a stand-in server that is a process of its own.
type serveOptions struct {
	ID, Service, Zone, Address string
	Controllers                []string
	// Events is the length of a stream, and Step the time between two steps, in which all running streams get an event.
	Events int
	Step   time.Duration
	// PingDelay is how late the ping arrives that says that the server is removed.
	PingDelay time.Duration
}

// stepper is a server whose streams all advance in the same steps, as those of a batch do. Its answers have neither a length nor chunks.
type stepper struct {
	options serveOptions
	server  *server
	mutex   sync.Mutex
	step    chan struct{}
	out     *record
}

// serveCommand runs a stand-in server until it is killed; its standard input says when it will be removed.
func serveCommand(text string) int {
	stepper := &stepper{step: make(chan struct{})}
	if err := json.Unmarshal([]byte(text), &stepper.options); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	options := &stepper.options
	stepper.out = &record{file: os.Stdout, writer: bufio.NewWriterSize(os.Stdout, 1), started: time.Now()}
	stepper.server = &server{rec: stepper.out, id: options.ID, service: options.Service, zone: options.Zone, version: "v1", address: options.Address,
		controllers: options.Controllers, answer: stepper.answer}
	ctx := context.Background()
	if err := stepper.server.begin(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go stepper.run()
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if remaining, err := strconv.Atoi(strings.TrimSpace(lines.Text())); err == nil {
			stepper.announceRemoval(ctx, remaining)
		}
	}
	return exitHeld
}

// run advances all streams at each step.
func (stepper *stepper) run() {
	for range time.Tick(stepper.options.Step) {
		stepper.mutex.Lock()
		close(stepper.step)
		stepper.step = make(chan struct{})
		stepper.mutex.Unlock()
	}
}

// announceRemoval makes all answers say that the server leaves, and sends a ping with the time that remains, which arrives late.
func (stepper *stepper) announceRemoval(ctx context.Context, remaining int) {
	server := stepper.server
	server.isLeaving.Store(true)
	body := strings.Replace(string(server.nextPing("draining")), "{", fmt.Sprintf(`{"remainingMs":%d,`, remaining), 1)
	server.beQuiet()
	stepper.out.line(server.id, "is removed in %d ms", remaining)
	time.AfterFunc(stepper.options.PingDelay, func() { server.send(ctx, http.MethodPut, []byte(body)) })
}

func (stepper *stepper) nextStep() <-chan struct{} {
	stepper.mutex.Lock()
	defer stepper.mutex.Unlock()
	return stepper.step
}

// answer sends one event at each step.
func (stepper *stepper) answer(server *server, writer http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(headerAttempt)
	writer.Header().Set("Content-Type", "text/event-stream")
	// The answer then ends with its connection.
	writer.Header().Set("Transfer-Encoding", "identity")
	controller := http.NewResponseController(writer)
	for number := 1; number <= stepper.options.Events; number++ {
		select {
		case <-stepper.nextStep():
		case <-request.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, server.id); err != nil || controller.Flush() != nil {
			return
		}
	}
	stepper.out.line(server.id, "has sent all events of %s", attempt)
}
