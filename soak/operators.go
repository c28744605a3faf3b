package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// operatorCount is the number of operators that send changes at the same time, and submitInterval the mean time between two changes of one of them.
	operatorCount  = 3
	submitInterval = 900 * time.Millisecond
	// operatorTimeout is the timeout of one operator call, and readInterval the time between two reads at a controller.
	operatorTimeout = time.Second
	readInterval    = 100 * time.Millisecond
	// minCallPause and maxCallPause bound the growing time between two calls with the same change.
	minCallPause = 50 * time.Millisecond
	maxCallPause = 800 * time.Millisecond
	// maxLag is the longest time for which a change is held back, so that later versions overtake it.
	maxLag = 800 * time.Millisecond
	// The probabilities of what operators do.
	invalidProbability = 0.12
	againProbability   = 0.12
	otherProbability   = 0.1
	raceProbability    = 0.2
	lagProbability     = 0.2
	// killAfterAckProbability is the probability that a controller is killed or wiped right after it has acknowledged a version, and
	// herdAfterAckProbability that all are killed.
	killAfterAckProbability = 0.1
	herdAfterAckProbability = 0.03
)

// runOperators sends configurations to the controllers and reads them back, until the context ends.
func (run *runner) runOperators(ctx context.Context) {
	var operators sync.WaitGroup
	for number := range operatorCount {
		operators.Go(func() { run.runOperator(ctx, rand.New(rand.NewPCG(run.options.Seed, uint64(200+number)))) })
	}
	operators.Go(func() { run.runReaders(ctx) })
	operators.Wait()
}

func (run *runner) runOperator(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		var err error
		switch choice := random.Float64(); {
		case choice < invalidProbability:
			err = run.sendInvalid(client, random)
		case choice < invalidProbability+againProbability:
			if version, first := run.versionCheck.held(); version > 0 {
				run.put(client, version, first, random)
			}
		case choice < invalidProbability+againProbability+otherProbability:
			err = run.sendOther(client, random)
		default:
			err = run.change(ctx, client, random)
		}
		if err != nil {
			run.checker.reportViolation(err.Error())
		}
		pause(ctx, time.Duration(random.Int64N(int64(2*submitInterval))))
	}
}

// change sends a new version until it is acknowledged, and sometimes another one under the same number at the same time.
func (run *runner) change(ctx context.Context, client *http.Client, random *rand.Rand) error {
	version, first, err := run.newVersion(random)
	if err != nil {
		return err
	}
	if random.Float64() < lagProbability {
		pause(ctx, time.Duration(random.Int64N(int64(maxLag))))
	}
	var calls sync.WaitGroup
	if random.Float64() < raceProbability {
		rival := run.variantOf(version, first, "b", true)
		other := rand.New(rand.NewPCG(run.options.Seed, version))
		calls.Go(func() { run.order(ctx, client, version, rival, other) })
	}
	isAcknowledged := run.order(ctx, client, version, first, random)
	calls.Wait()
	if isAcknowledged && random.Float64() < herdAfterAckProbability && !run.isPaused.Load() {
		return run.killHerd(random)
	}
	return nil
}

// newVersion makes the next version.
func (run *runner) newVersion(random *rand.Rand) (version uint64, first *variant, err error) {
	run.versions.Lock()
	defer run.versions.Unlock()
	version, additions := run.versionCheck.allocate(1+random.Uint64N(3), true)
	body, err := fake.KeyedConfiguration(version, run.models, modelsPerEngine, run.keys.submit(version, random))
	if err == nil {
		body, err = fake.SetQuota(body, limitedWorkspace, limitedRate, limitedBurst)
	}
	if err == nil {
		body, err = fake.AddRoutes(body, additions)
	}
	if err != nil {
		return 0, nil, err
	}
	return version, run.versionCheck.addVariant(version, body, fake.PathOfVersion(version), true), nil
}

// variantOf makes another content of a version.
func (run *runner) variantOf(version uint64, first *variant, name string, isValid bool) *variant {
	path := fake.PathOfVariant(version, name)
	return run.versionCheck.addVariant(version, bytes.ReplaceAll(first.body, []byte(`"`+first.path+`"`), []byte(`"`+path+`"`)), path, isValid)
}

// sendOther sends other content under the highest acknowledged version.
func (run *runner) sendOther(client *http.Client, random *rand.Rand) error {
	version, first := run.versionCheck.held()
	if version > 0 {
		run.put(client, version, run.variantOf(version, first, fmt.Sprintf("-other%d", random.IntN(1000)), false), random)
	}
	return nil
}

// sendInvalid sends an invalid configuration under a new version.
func (run *runner) sendInvalid(client *http.Client, random *rand.Rand) error {
	held, first := run.versionCheck.held()
	if held == 0 {
		return nil
	}
	version, _ := run.versionCheck.allocate(1, false)
	path := fake.PathOfVersion(version)
	body, err := fake.Change(bytes.ReplaceAll(first.body, []byte(`"`+first.path+`"`), []byte(`"`+path+`"`)),
		func(document map[string]any) { document["version"] = version })
	if err == nil {
		body, err = fake.Spoil(body, random.IntN(fake.SpoilWays))
	}
	if err != nil {
		return err
	}
	if status := run.call(client, run.pick(random), body); status == http.StatusOK {
		run.checker.reportViolation(fmt.Sprintf("invalid acknowledged: %s", path))
	}
	run.versionCheck.addVariant(version, body, path, false)
	return nil
}

// order sends a change to one controller after the other until it is acknowledged, and reports whether it was.
func (run *runner) order(ctx context.Context, client *http.Client, version uint64, sent *variant, random *rand.Rand) bool {
	began, wait, isLate := time.Now(), minCallPause, false
	for turn := random.IntN(len(run.controllers())); ctx.Err() == nil; turn++ {
		controllers := run.controllers()
		if run.putAt(client, version, sent, controllers[turn%len(controllers)], random) {
			return true
		}
		if !isLate && time.Since(began) > maxAckTime && run.faults.isCalm(began, run.controllerAddresses(), "") {
			isLate = true
			run.checker.reportViolation(fmt.Sprintf("no acknowledgement of %s in %v", sent.path, time.Since(began)))
		}
		pause(ctx, wait)
		wait = min(2*wait, maxCallPause)
	}
	return false
}

// put sends a configuration to any controller and reports whether it was acknowledged.
func (run *runner) put(client *http.Client, version uint64, sent *variant, random *rand.Rand) bool {
	return run.putAt(client, version, sent, run.pick(random), random)
}

// putAt sends a configuration to a controller and reports whether it was acknowledged. The controller may be killed right after that.
func (run *runner) putAt(client *http.Client, version uint64, sent *variant, controller *process, random *rand.Rand) bool {
	status := run.call(client, controller, sent.body)
	if status >= 400 && status < 500 {
		run.checker.reportViolation(fmt.Sprintf("refused: %s with %d", sent.path, status))
	}
	if status != http.StatusOK {
		return false
	}
	run.versionCheck.acknowledge(version, time.Now())
	run.keys.acknowledge(version)
	if random.Float64() < killAfterAckProbability && !run.isPaused.Load() {
		fault := faultKill + 2*random.IntN(2)
		run.background.Go(func() {
			if err := run.injectProcessFault(&run.controllerFault, controller, fault, 0, true); err != nil {
				run.checker.reportViolation(err.Error())
			}
		})
	}
	return true
}

// call sends a configuration to a controller and returns the status of the answer, zero for none.
func (run *runner) call(client *http.Client, controller *process, body []byte) int {
	request, err := http.NewRequest(http.MethodPut, "http://"+controller.ip+":8144/config", bytes.NewReader(body))
	if err != nil {
		run.checker.reportViolation(err.Error())
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// pick returns a controller.
func (run *runner) pick(random *rand.Rand) *process {
	controllers := run.controllers()
	return controllers[random.IntN(len(controllers))]
}

// runReaders reads the configuration from all controllers until the context ends.
func (run *runner) runReaders(ctx context.Context) {
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	var reads sync.WaitGroup
	defer reads.Wait()
	for ctx.Err() == nil {
		for _, controller := range run.controllers() {
			reads.Go(func() { run.readVersion(client, controller) })
		}
		pause(ctx, readInterval)
	}
}

// readVersion reads the configuration in force, checks it and returns its version, or zero if the read fails.
func (run *runner) readVersion(client *http.Client, controller *process) uint64 {
	sent := time.Now()
	response, err := client.Get("http://" + controller.ip + ":8144/config")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || err != nil {
		return 0
	}
	var read struct{ Version uint64 }
	if err := json.Unmarshal(body, &read); err != nil {
		run.checker.reportViolation(fmt.Sprintf("invalid in force: %s answers a read with %q", controller.ip, body))
		return 0
	}
	if violation := run.versionCheck.checkRead(read.Version, body, sent); violation != "" {
		run.checker.reportViolation(violation + " at " + controller.ip)
	}
	return read.Version
}
