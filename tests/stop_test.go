package tests_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// stopsVariable is the environment variable with the number of stops to play; defaultStops are played without it.
	stopsVariable = "CELERYLANDING_TEST_STOPS"
	defaultStops  = 8
	// stopRouters is the number of routers that are stopped by turns and side by side, and callersPerRouter that of the callers of each.
	stopRouters      = 4
	callersPerRouter = 3
	// lossSlack is the time after the last byte of a request in which its connection may be closed by a stop without an answer.
	lossSlack = 200 * time.Millisecond
	// exitTime is the time in which a router that gets SIGTERM has to exit.
	exitTime = 10 * time.Second
)

// stopLog records what engines and callers see of requests to routers that stop.
type stopLog struct {
	mutex      sync.Mutex
	arrived    map[string]bool
	violations []string
	served     atomic.Int64
	refused    atomic.Int64
}

func (log *stopLog) arrive(request *http.Request) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.arrived[fake.AttemptID(request)] = true
}

// slowBody returns the text in two parts with a pause in between, and the time when the last byte was read.
func slowBody(text string, pause time.Duration, sentAt *atomic.Int64) io.ReadCloser {
	reader, writer := io.Pipe()
	go func() {
		half := len(text) / 2
		// A write fails if the request has ended before.
		_, _ = io.WriteString(writer, text[:half])
		time.Sleep(pause)
		_, _ = io.WriteString(writer, text[half:])
		sentAt.Store(time.Now().UnixNano())
		_ = writer.Close()
	}()
	return reader
}

// call sends one request to a router and records a violation if it was wholly sent and then cut.
func (log *stopLog) call(ctx context.Context, client *http.Client, fleet *fleet, router int, id string, random *rand.Rand) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := fake.NewRequest(ctx, fleet.routers[router].ip+":8149", fake.PathStream, id, fleet.models[random.IntN(2)], timeout)
	if err != nil {
		fleet.t.Error(err)
		return
	}
	var sentAt atomic.Int64
	sentAt.Store(time.Now().UnixNano())
	if random.IntN(3) == 0 {
		const text = "a body that comes in two parts"
		request.Body, request.GetBody, request.ContentLength = slowBody(text, time.Duration(random.IntN(80))*time.Millisecond, &sentAt), nil, int64(len(text))
	}
	if random.IntN(5) == 0 {
		request.Close = true
	}
	response, err := client.Do(request)
	status := 0
	var body []byte
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(time.Unix(0, sentAt.Load()))
	log.mutex.Lock()
	defer log.mutex.Unlock()
	switch {
	case err != nil && log.arrived[id]:
		log.violations = append(log.violations, fmt.Sprintf("%s ran and was cut: %v", id, err))
	case err != nil && took > lossSlack:
		log.violations = append(log.violations, fmt.Sprintf("%s was cut %v after its last byte: %v", id, took, err))
	case status == http.StatusOK && string(body) != fake.StreamBody(id):
		log.violations = append(log.violations, fmt.Sprintf("%s got %q", id, body))
	case status == http.StatusOK:
		log.served.Add(1)
	case err == nil && log.arrived[id]:
		log.violations = append(log.violations, fmt.Sprintf("%s ran and got %d", id, status))
	case err == nil:
		log.refused.Add(1)
	}
}

// stopRepeatedly stops a router with SIGTERM and starts it again, the given number of times.
func stopRepeatedly(t *testing.T, proc *fleetProcess, stops int, random *rand.Rand) {
	for range stops {
		time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
		if !assert.Check(t, proc.command.Process.Signal(syscall.SIGTERM)) {
			return
		}
		exited := make(chan error, 1)
		go func() { exited <- proc.command.Wait() }()
		select {
		case err := <-exited:
			assert.Check(t, err, "%s", proc.folder)
		case <-time.After(exitTime):
			t.Errorf("%s has not exited %v after SIGTERM", proc.folder, exitTime)
			return
		}
		proc.start(false)
	}
}

// TestPlannedStopsCutNoRequest guards against requests that are cut since their router stops: on kept and new connections, with half of a body
// received, in the middle of a stream. Routers stop side by side while all callers go on.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	stops := defaultStops
	if text := os.Getenv(stopsVariable); text != "" {
		var err error
		stops, err = strconv.Atoi(text)
		assert.NilError(t, err, stopsVariable)
	}
	log := &stopLog{arrived: make(map[string]bool)}
	fleet := newFleetWithRouters(t, stopRouters, 4, func(int) fake.Options { return fake.Options{HasAllLoaded: true, OnArrival: log.arrive} })
	ctx, stop := context.WithCancel(t.Context())
	var callers, stopping sync.WaitGroup
	for router := range stopRouters {
		for caller := range callersPerRouter {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(uint64(router), uint64(caller)))
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
				defer client.CloseIdleConnections()
				for number := 0; ctx.Err() == nil; number++ {
					log.call(t.Context(), client, fleet, router, fmt.Sprintf("%d-%d-%d", router, caller, number), random)
					pause(ctx, time.Duration(random.IntN(30))*time.Millisecond)
				}
			})
		}
		stopping.Go(func() {
			stopRepeatedly(t, fleet.routers[router], stops/stopRouters, rand.New(rand.NewPCG(uint64(router), 99)))
		})
	}
	stopping.Wait()
	stop()
	callers.Wait()
	t.Logf("%d stops: %d requests served, %d refused", stops, log.served.Load(), log.refused.Load())
	assert.Assert(t, log.served.Load() > 0)
	assert.Assert(t, len(log.violations) == 0, "%d requests, first %v", len(log.violations), log.violations[:min(5, len(log.violations))])
}
