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
	// callerPause is the mean time between two requests of one caller.
	callerPause = 25 * time.Millisecond
	// patience is how long callers wait.
	patience = 3 * time.Second
	// submitPause is the mean time between two changes of the configuration.
	submitPause = 600 * time.Millisecond
	// operatorTimeout bounds one call of the operator.
	operatorTimeout = time.Second
)

// call sends requests of all kinds to routers until the context ends.
func (run *runner) call(ctx context.Context, caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("c%d-%d", caller, number)
		kind := kind(random.IntN(3))
		run.book.sent(id, kind)
		run.callOnce(client, id, kind, run.routers[random.IntN(len(run.routers))].ip, random)
		pause(ctx, time.Duration(random.Int64N(int64(2*callerPause))))
	}
}

func (run *runner) callOnce(client *http.Client, id string, kind kind, ip string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	path, model, want := [...]string{fake.PathOnce, fake.PathIdempotent, fake.PathStream}[kind], "", fake.ResponseBody(id)
	if kind == kindStream {
		model, want = run.models[random.IntN(len(run.models))], fake.StreamBody(id)
	}
	request, err := fake.NewRequest(ctx, ip+":8149", path, id, model, patience)
	if err != nil {
		run.book.report(err.Error())
		return
	}
	response, err := client.Do(request)
	if err != nil {
		run.book.answered(id, 0, "", "")
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		run.book.answered(id, 0, "", "")
		return
	}
	run.book.answered(id, response.StatusCode, string(body), want)
}

// killShare is the share of the acknowledgements after which the node that gave them is killed, or loses its disk.
const killShare = 0.3

// operate submits rising versions and reads back, at any controller, until the context ends; some controllers die right after they
// have acknowledged a version.
func (run *runner) operate(ctx context.Context, random *rand.Rand) error {
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	var reading sync.WaitGroup
	defer reading.Wait()
	var errs []error
	var harm sync.WaitGroup
	failed := make(chan error, 1024)
	for version := uint64(2); ctx.Err() == nil; version += 1 + random.Uint64N(3) {
		controller := random.IntN(len(run.controllers))
		if run.submit(client, version, controller) && random.Float64() < killShare {
			how := harmKill + 2*random.IntN(2)
			harm.Go(func() { failed <- harmProcess(&run.harming, run.controllers[controller], how, 0, true) })
		}
		for controller := range run.controllers {
			reading.Go(func() { run.readBack(client, controller) })
		}
		pause(ctx, time.Duration(random.Int64N(int64(2*submitPause))))
	}
	harm.Wait()
	close(failed)
	for err := range failed {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (run *runner) submit(client *http.Client, version uint64, controller int) bool {
	body, err := fake.Configuration(version, run.models, modelsPerEngine)
	if err != nil {
		run.book.report(err.Error())
		return false
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+run.controllers[controller].ip+":8144/config", bytes.NewReader(body))
	if err != nil {
		run.book.report(err.Error())
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		run.book.report(fmt.Sprintf("valid version %d was refused with %d", version, response.StatusCode))
	}
	if response.StatusCode == http.StatusOK {
		run.book.ack(version)
	}
	return response.StatusCode == http.StatusOK
}

// readBack reads the configuration and returns its version, or zero when the node is not sure.
func (run *runner) readBack(client *http.Client, controller int) uint64 {
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
	run.book.read(read.Version, sent)
	return read.Version
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
