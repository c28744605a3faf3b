package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// callerInterval is the mean time between two requests of one caller.
	callerInterval = 25 * time.Millisecond
	// requestTimeout is the timeout that callers send with each request.
	requestTimeout = 3 * time.Second
)

// runCaller sends requests of all kinds to routers until the context ends.
func (run *runner) runCaller(ctx context.Context, caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("c%d-%d", caller, number)
		kind := requestKind(random.IntN(3))
		router := run.routers[random.IntN(len(run.routers))].ip
		key, isEntitled := run.keys.use(id, random)
		run.checker.recordSent(id, kind, isEntitled)
		run.available.recordSent(id, router)
		run.sendRequest(client, id, key, kind, router, random)
		pause(ctx, time.Duration(random.Int64N(int64(2*callerInterval))))
	}
}

func (run *runner) sendRequest(client *http.Client, id, key string, kind requestKind, ip string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	path, model, want := [...]string{fake.PathOnce, fake.PathIdempotent, fake.PathStream}[kind], "", fake.ResponseBody(id)
	if kind == kindStream {
		model, want = run.models[random.IntN(len(run.models))], fake.StreamBody(id)
	}
	request, err := fake.NewRequest(ctx, ip+":8149", path, id, model, requestTimeout)
	if err != nil {
		run.checker.reportViolation(err.Error())
		return
	}
	fake.SetKey(request, key)
	response, err := client.Do(request)
	if err != nil {
		run.checker.recordAnswer(id, 0, "", "")
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		run.checker.recordAnswer(id, 0, "", "")
		return
	}
	if fake.LeavingServer(response) != "" {
		run.available.recordAnswer(id)
	}
	if violation := run.keys.checkAnswer(id, response.StatusCode); violation != "" {
		run.checker.reportViolation(violation)
	}
	run.checker.recordAnswer(id, response.StatusCode, string(body), want)
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
