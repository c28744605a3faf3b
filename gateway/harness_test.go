package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/gateway"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/target"
)

const contractText = `revision: 1
site: contract
groups:
  engines: {kind: engine, target_memory: 80GiB}
  ledgers: {kind: service}
models:
  m: {group: engines, deadline: 3s, versions: {v: {memory: 1GiB}}}
  cold: {group: engines, deadline: 3s, versions: {v: {memory: 1GiB}}}
services:
  s: {group: ledgers, deadline: 3s}
queue: {requests: 4, bytes: 1MiB}
`

// recorder counts the terminal events of requests.
type recorder struct {
	mutex sync.Mutex
	ends  map[string]int
}

func (recorder *recorder) Record(_ time.Time, event celerylanding.Event) {
	if event.Kind != "request_end" {
		return
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.ends[event.Request]++
}

// memoryClaims is an in-memory claim store.
type memoryClaims struct {
	mutex        sync.Mutex
	responses    map[string]*celerylanding.RecordedResponse
	fingerprints map[string]uint64
	unavailable  bool
	// loseNextResponse makes the next claim take effect but return an error.
	loseNextResponse bool
}

func (store *memoryClaims) Claim(_ context.Context, claim celerylanding.Claim) (celerylanding.ClaimState, celerylanding.RecordedResponse, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.unavailable {
		return 0, celerylanding.RecordedResponse{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoQuorum, "down")
	}
	response, ok := store.responses[claim.Key]
	if store.loseNextResponse && !ok {
		store.loseNextResponse = false
		store.responses[claim.Key] = nil
		store.fingerprints[claim.Key] = claim.Fingerprint
		return 0, celerylanding.RecordedResponse{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoQuorum, "lost")
	}
	switch {
	case !ok:
		store.responses[claim.Key] = nil
		store.fingerprints[claim.Key] = claim.Fingerprint
		return celerylanding.ClaimGranted, celerylanding.RecordedResponse{}, nil
	case store.fingerprints[claim.Key] != claim.Fingerprint:
		return celerylanding.ClaimMismatch, celerylanding.RecordedResponse{}, nil
	case response == nil:
		return celerylanding.ClaimInProgress, celerylanding.RecordedResponse{}, nil
	}
	return celerylanding.ClaimSettled, *response, nil
}

func (store *memoryClaims) Settle(_ context.Context, claim celerylanding.Claim, response celerylanding.RecordedResponse) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.responses[claim.Key] = &response
	return nil
}

func (store *memoryClaims) Release(_ context.Context, claim celerylanding.Claim) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delete(store.responses, claim.Key)
	return nil
}

// unlimitedIsolation grants every reservation.
type unlimitedIsolation struct{}

func (unlimitedIsolation) Reserve(context.Context, celerylanding.Endpoint, uint64, time.Time) bool {
	return true
}

func (unlimitedIsolation) Release(context.Context, celerylanding.Endpoint, uint64) {}

// harness runs a gateway in front of targets whose responses the tests script byte by byte.
type harness struct {
	t          *testing.T
	gateway    *gateway.Gateway
	dispatcher *gateway.Dispatcher
	server     *httptest.Server
	recorder   *recorder
	claims     *memoryClaims
	refused    atomic.Int32
	// silence is the time since a leader was last known, in nanoseconds.
	silence atomic.Int64
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	harness := &harness{t: t, recorder: &recorder{ends: make(map[string]int)},
		claims: &memoryClaims{responses: make(map[string]*celerylanding.RecordedResponse), fingerprints: make(map[string]uint64)}}
	harness.dispatcher = gateway.NewDispatcher(router.NewScheduler("d", rand.New(rand.NewPCG(1, 1))), func([]router.Crash) {})
	harness.gateway = gateway.New(gateway.Deps{
		Dispatcher:        harness.dispatcher,
		Client:            target.NewClient(),
		Claims:            harness.claims,
		Isolation:         unlimitedIsolation{},
		Tasks:             tasks.New(t.Context()),
		Recorder:          harness.recorder,
		Metrics:           tally.NoopScope,
		LeaderSeen:        func() time.Time { return time.Now().Add(-time.Duration(harness.silence.Load())) },
		OnTargetRefused:   func(celerylanding.Endpoint) { harness.refused.Add(1) },
		Node:              "n",
		FirstByteTimeout:  300 * time.Millisecond,
		InterTokenTimeout: 300 * time.Millisecond,
	})
	harness.server = httptest.NewServer(harness.gateway)
	t.Cleanup(harness.server.Close)
	return harness
}

// publishTargets updates the dispatcher with targets at the addresses, which serve the model m and the service s.
func (harness *harness) publishTargets(addresses ...string) {
	harness.t.Helper()
	harness.publish(contractText, addresses...)
}

// publish updates the dispatcher with a configuration and targets.
func (harness *harness) publish(text string, addresses ...string) {
	harness.t.Helper()
	parsed, err := config.Parse(config.Document{BaseName: "contract", Base: text})
	assert.NilError(harness.t, err)
	view := &router.View{Config: parsed, Models: make(map[celerylanding.ModelID]router.ModelView), Groups: make(map[string][]router.Route),
		ColdStart: time.Second}
	var routes []router.Route
	for i, address := range addresses {
		routes = append(routes, router.Route{Domain: "d", Slots: 2, Endpoint: celerylanding.Endpoint{
			Target: celerylanding.TargetID(fmt.Sprintf("t%d", i)), Incarnation: 1, Address: address}})
	}
	view.Models["m@v"] = router.ModelView{Routes: routes}
	view.Groups["engines"] = routes
	view.Groups["ledgers"] = routes
	harness.dispatcher.Update(time.Now(), view)
}

type callResult struct {
	status  int
	verdict string
	code    string
	body    string
}

func (harness *harness) call(path, body string, header http.Header) callResult {
	harness.t.Helper()
	return harness.callWith(http.MethodPost, path, body, header)
}

func (harness *harness) callWith(method, path, body string, header http.Header) callResult {
	harness.t.Helper()
	request, err := http.NewRequest(method, harness.server.URL+path, strings.NewReader(body))
	assert.NilError(harness.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(harness.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(harness.t, err)
	var failed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(text, &failed)
	return callResult{response.StatusCode, response.Header.Get(gateway.HeaderVerdict), failed.Error.Code, string(text)}
}

// assertOneTerminalEventEach asserts that every request recorded exactly one terminal event.
func (harness *harness) assertOneTerminalEventEach(requests int) {
	harness.t.Helper()
	harness.recorder.mutex.Lock()
	defer harness.recorder.mutex.Unlock()
	assert.Equal(harness.t, len(harness.recorder.ends), requests)
	for id, count := range harness.recorder.ends {
		assert.Equal(harness.t, count, 1, "request %s", id)
	}
}
