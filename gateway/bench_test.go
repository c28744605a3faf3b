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

// claimTable is a claim store in memory.
type claimTable struct {
	mutex   sync.Mutex
	answers map[string]*celerylanding.RecordedAnswer
	prints  map[string]uint64
	down    bool
	// lossy lets a claim take effect and loses its answer, once.
	lossy bool
}

func (table *claimTable) Claim(_ context.Context, claim celerylanding.Claim) (celerylanding.ClaimState, celerylanding.RecordedAnswer, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.down {
		return 0, celerylanding.RecordedAnswer{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoQuorum, "down")
	}
	answer, ok := table.answers[claim.Key]
	if table.lossy && !ok {
		table.lossy = false
		table.answers[claim.Key] = nil
		table.prints[claim.Key] = claim.Fingerprint
		return 0, celerylanding.RecordedAnswer{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoQuorum, "lost")
	}
	switch {
	case !ok:
		table.answers[claim.Key] = nil
		table.prints[claim.Key] = claim.Fingerprint
		return celerylanding.ClaimGranted, celerylanding.RecordedAnswer{}, nil
	case table.prints[claim.Key] != claim.Fingerprint:
		return celerylanding.ClaimMismatch, celerylanding.RecordedAnswer{}, nil
	case answer == nil:
		return celerylanding.ClaimInProgress, celerylanding.RecordedAnswer{}, nil
	}
	return celerylanding.ClaimSettled, *answer, nil
}

func (table *claimTable) Settle(_ context.Context, claim celerylanding.Claim, answer celerylanding.RecordedAnswer) error {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.answers[claim.Key] = &answer
	return nil
}

func (table *claimTable) Release(_ context.Context, claim celerylanding.Claim) error {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	delete(table.answers, claim.Key)
	return nil
}

// openIsolation lets every request in.
type openIsolation struct{}

func (openIsolation) Enter(context.Context, celerylanding.Endpoint, uint64, time.Time) bool {
	return true
}

func (openIsolation) Leave(context.Context, celerylanding.Endpoint, uint64) {}

// bench is a gateway before targets that the test scripts byte by byte.
type bench struct {
	t        *testing.T
	gateway  *gateway.Gateway
	traffic  *gateway.Dispatcher
	server   *httptest.Server
	recorder *recorder
	claims   *claimTable
	refused  atomic.Int32
}

func newBench(t *testing.T) *bench {
	t.Helper()
	bench := &bench{t: t, recorder: &recorder{ends: make(map[string]int)},
		claims: &claimTable{answers: make(map[string]*celerylanding.RecordedAnswer), prints: make(map[string]uint64)}}
	bench.traffic = gateway.NewDispatcher(router.NewScheduler("d", rand.New(rand.NewPCG(1, 1))), func([]router.Crash) {})
	bench.gateway = gateway.New(gateway.Deps{
		Dispatcher:        bench.traffic,
		Client:            target.NewClient(),
		Claims:            bench.claims,
		Isolation:         openIsolation{},
		Tasks:             tasks.New(t.Context()),
		Recorder:          bench.recorder,
		Metrics:           tally.NoopScope,
		OnTargetRefused:   func(celerylanding.Endpoint) { bench.refused.Add(1) },
		Node:              "n",
		FirstByteTimeout:  300 * time.Millisecond,
		InterTokenTimeout: 300 * time.Millisecond,
	})
	bench.server = httptest.NewServer(bench.gateway)
	t.Cleanup(bench.server.Close)
	return bench
}

// serve publishes targets at the addresses for the model m and the service s.
func (bench *bench) serve(addresses ...string) {
	bench.t.Helper()
	parsed, err := config.Parse(config.Document{BaseName: "contract", Base: contractText})
	assert.NilError(bench.t, err)
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
	bench.traffic.Update(time.Now(), view)
}

type got struct {
	status  int
	verdict string
	code    string
	body    string
}

func (bench *bench) call(path, body string, header http.Header) got {
	bench.t.Helper()
	request, err := http.NewRequest(http.MethodPost, bench.server.URL+path, strings.NewReader(body))
	assert.NilError(bench.t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	answer, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(bench.t, err)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(bench.t, err)
	var failed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(text, &failed)
	return got{answer.StatusCode, answer.Header.Get(gateway.HeaderVerdict), failed.Error.Code, string(text)}
}

// checkOneEnd holds that every request had exactly one terminal event.
func (bench *bench) checkOneEnd(requests int) {
	bench.t.Helper()
	bench.recorder.mutex.Lock()
	defer bench.recorder.mutex.Unlock()
	assert.Equal(bench.t, len(bench.recorder.ends), requests)
	for id, count := range bench.recorder.ends {
		assert.Equal(bench.t, count, 1, "request %s", id)
	}
}
