package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// callerInterval is the mean time between two requests of one caller.
	callerInterval = 25 * time.Millisecond
	// requestTimeout is the timeout that callers send with each request.
	requestTimeout = 3 * time.Second
	// submitInterval is the mean time between two configuration changes.
	submitInterval = 600 * time.Millisecond
	// operatorTimeout is the timeout of one operator call.
	operatorTimeout = time.Second
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

// killAfterAckProbability is the probability that a controller is killed or wiped right after it has acknowledged a version.
const killAfterAckProbability = 0.3

// runOperator submits configurations with increasing versions to random controllers and reads the version in force from all of them, until
// the context ends. Some controllers are killed or wiped right after an acknowledgement, to check that acknowledged versions survive.
func (run *runner) runOperator(ctx context.Context, random *rand.Rand) error {
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	var reads sync.WaitGroup
	defer reads.Wait()
	var errs []error
	var faults sync.WaitGroup
	results := make(chan error, 1024)
	for version := uint64(2); ctx.Err() == nil; version += 1 + random.Uint64N(3) {
		controller := random.IntN(len(run.controllers))
		if run.submit(client, version, controller, random) && random.Float64() < killAfterAckProbability {
			fault := faultKill + 2*random.IntN(2)
			faults.Go(func() {
				results <- run.injectProcessFault(&run.controllerFault, run.controllers[controller], fault, 0, true)
			})
		}
		for controller := range run.controllers {
			reads.Go(func() { run.readVersion(client, controller) })
		}
		pause(ctx, time.Duration(random.Int64N(int64(2*submitInterval))))
	}
	faults.Wait()
	close(results)
	for err := range results {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// submit submits one version to a controller and reports whether it was acknowledged.
func (run *runner) submit(client *http.Client, version uint64, controller int, random *rand.Rand) bool {
	body, err := fake.KeyedConfiguration(version, run.models, modelsPerEngine, run.keys.submit(version, random))
	if err == nil {
		body, err = fake.SetQuota(body, limitedWorkspace, limitedRate, limitedBurst)
	}
	if err != nil {
		run.checker.reportViolation(err.Error())
		return false
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+run.controllers[controller].ip+":8144/config", bytes.NewReader(body))
	if err != nil {
		run.checker.reportViolation(err.Error())
		return false
	}
	run.checker.recordSubmitted(version)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		run.checker.reportViolation(fmt.Sprintf("valid version %d was refused with %d", version, response.StatusCode))
	}
	if response.StatusCode == http.StatusOK {
		run.checker.recordAcknowledged(version)
		run.keys.acknowledge(version)
	}
	return response.StatusCode == http.StatusOK
}

// readVersion reads the configuration in force, checks that it is not stale and returns its version, or zero if the read fails.
func (run *runner) readVersion(client *http.Client, controller int) uint64 {
	sent := time.Now()
	response, err := client.Get("http://" + run.controllers[controller].ip + ":8144/config")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0
	}
	var read struct{ Version uint64 }
	if err := json.NewDecoder(response.Body).Decode(&read); err != nil {
		return 0
	}
	run.checker.checkRead(read.Version, sent)
	return read.Version
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
