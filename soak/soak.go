package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/platform/fake"
	"celerylanding.example/celerylanding/soak/netfault"
)

const (
	// The counts of fake engines, fake plain services, callers and models in a run.
	engineCount      = 4
	plainServerCount = 3
	callerCount      = 8
	modelCount       = 9
	// modelsPerEngine is how many models fit in the memory of an engine.
	modelsPerEngine = 2
	loadTime        = 150 * time.Millisecond
	heartbeat       = 500 * time.Millisecond
	// faultInterval is the mean time between the starts of two faults; faults can overlap.
	faultInterval = 900 * time.Millisecond
	// recoveryTime is the time without faults at the end. In its last measuredTime, at least the share minServedShare of requests must be served.
	recoveryTime   = 9 * time.Second
	measuredTime   = 3 * time.Second
	minServedShare = 0.5
	// startTimeout is the time within which all routers must be ready.
	startTimeout = 20 * time.Second
	// maxSeeds is the number of controllers that processes begin with, and the defaults are those of a run without other counts.
	maxSeeds           = 3
	defaultControllers = 4
	defaultRouters     = 2
)

// ErrViolation means that a guarantee was violated; the message lists the violations.
var ErrViolation = celerylanding.ErrorNamespace.NewType("promise_broken")

// Options describes one run.
type Options struct {
	Binary string
	// Previous is the program of an earlier build that is replaced by Binary, and back, during the run; "" means none.
	Previous string
	Folder   string
	Seed     uint64
	// Controllers and Routers are the numbers of processes.
	Controllers, Routers int
	// HasLinks is set if the binary runs nodes by RunNode, so that the links between them can be harmed.
	HasLinks bool
	// Delay is the time that packets between the processes take one way without a fault.
	Delay time.Duration
	// Length is the duration of fault injection.
	Length time.Duration
	// Network is the second octet of the loopback addresses; concurrent runs need different ones.
	Network int
	Out     io.Writer
}

type runner struct {
	options Options
	checker *checker
	random  *rand.Rand
	routers []*process
	// controllerList holds the current controllers, and added counts those that have replaced others.
	controllerList atomic.Pointer[[]*process]
	added          int
	network        *netfault.Network
	versionCheck   *versionChecker
	// versions is locked while a version is made, so that the keys of later versions are newer.
	versions sync.Mutex
	// isPaused is set while no fault may begin.
	isPaused atomic.Bool
	// background are faults that operators have begun.
	background sync.WaitGroup
	proxies    []*proxy
	servers    []*target
	models     []string
	available  *availabilityChecker
	keys       *keyring
	quotas     *quotaChecker
	departures *departureChecker
	roll       *rolling
	targets    sync.WaitGroup
	faults     *faultLog
	// controllerFault is locked while a controller has a fault, so that no two have one at the same time.
	controllerFault sync.Mutex
	// routerFaults are locked while the router with that number has a fault.
	routerFaults []sync.Mutex
	// targetFaults are locked while the target with that number says something of itself.
	targetFaults [engineCount + plainServerCount]sync.Mutex
}

// Run starts the system, injects the faults of one seed and stops it; it returns ErrViolation if a guarantee was violated.
func Run(ctx context.Context, options Options) error {
	if options.Controllers == 0 {
		options.Controllers, options.Routers = defaultControllers, defaultRouters
	}
	run := &runner{options: options, checker: newChecker(), available: newAvailabilityChecker(), keys: newKeyring(),
		quotas: newQuotaChecker(), departures: newDepartureChecker(), roll: newRolling(options.Seed), faults: newFaultLog(), versionCheck: newVersionChecker(), network: netfault.New(options.Seed, 0),
		random: rand.New(rand.NewPCG(options.Seed, 1))}
	for i := range modelCount {
		run.models = append(run.models, fmt.Sprintf("m%d", i))
	}
	ctx, cancel := context.WithCancel(ctx)
	err := run.start(ctx)
	if err == nil {
		err = run.runWorkload(ctx)
	}
	cancel()
	for _, prox := range run.proxies {
		_ = prox.listener.Close()
	}
	run.targets.Wait()
	return errors.Join(err, run.stopProcesses(), run.violationError())
}

func (run *runner) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", run.options.Network, kind, number+1)
}

func (run *runner) start(ctx context.Context) error {
	var seeds []string
	for i := range min(maxSeeds, run.options.Controllers) {
		seeds = append(seeds, run.ip(1, i)+":8144")
	}
	if everyone := run.addresses(); run.options.Delay > 0 {
		run.network.Add(netfault.Fault{From: everyone, To: everyone, Delay: run.options.Delay})
	}
	var controllers []*process
	defer func() { run.controllerList.Store(&controllers) }()
	for i := range run.options.Controllers + run.options.Routers {
		role, ip, name := roleController, run.ip(1, i), fmt.Sprintf("controller%d", i)
		if number := i - run.options.Controllers; number >= 0 {
			role, ip, name = roleRouter, run.ip(2, number), fmt.Sprintf("router%d", number)
		}
		proc := run.newProcess(role, ip, name, seeds)
		if err := os.MkdirAll(proc.folder, 0o700); err != nil {
			return err
		}
		if err := proc.start(true); err != nil {
			return err
		}
		if proc.isController {
			controllers = append(controllers, proc)
		} else {
			run.routers = append(run.routers, proc)
		}
	}
	run.controllerList.Store(&controllers)
	return errors.Join(run.startTargets(ctx), run.awaitReady())
}

func (run *runner) startTargets(ctx context.Context) error {
	var controllers []string
	for _, proc := range run.controllers() {
		controllers = append(controllers, proc.ip+":8144")
	}
	for i := range engineCount + plainServerCount {
		listener, err := net.Listen("tcp", run.ip(3, i)+":0")
		if err != nil {
			return err
		}
		proxyListener, err := net.Listen("tcp", run.ip(4, i)+":0")
		if err != nil {
			return err
		}
		prox := newProxy(proxyListener, listener.Addr().String())
		run.proxies = append(run.proxies, prox)
		ended := make(chan struct{})
		go prox.run(ended)
		run.targets.Go(func() { <-ended })
		options := fake.Options{ID: fmt.Sprintf("i-%d", i), Service: fake.ServicePlain, Zone: "z1", Listener: listener,
			Address: proxyListener.Addr().String(), Controllers: controllers, HeartbeatInterval: heartbeat, LoadTime: loadTime,
			OnExecute: run.checker.recordExecution, OnViolation: run.checker.reportViolation}
		if i < engineCount {
			options.Service, options.Models, options.MaxModels = fake.ServiceEngines, run.models, modelsPerEngine
		}
		run.startTarget(ctx, options)
	}
	return nil
}

// startTarget starts a fake server whose answers say what the faults make it say.
func (run *runner) startTarget(ctx context.Context, options fake.Options) {
	server := &target{options: options, address: options.Listener.Addr().String()}
	server.options.Availability = server.availability
	server.options.OnArrival = func(request *http.Request) {
		for _, violation := range []string{run.available.recordArrival(server, request), run.keys.checkArrival(request),
			run.quotas.recordArrival(time.Now(), request), run.checkDeparted(server, request)} {
			if violation != "" {
				run.checker.reportViolation(violation)
			}
		}
	}
	run.servers = append(run.servers, server)
	run.targets.Go(func() {
		if err := server.run(ctx); err != nil {
			run.checker.reportViolation(err.Error())
		}
	})
}

// awaitReady submits the first configuration and waits until all routers report that they are ready.
func (run *runner) awaitReady() error {
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	version, first, err := run.newVersion(run.random)
	if err != nil {
		return err
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !run.put(client, version, first, rand.New(rand.NewPCG(1, 1))) {
			continue
		}
		ready := 0
		for _, proc := range run.routers {
			if response, err := client.Get("http://" + proc.ip + ":8141/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(run.routers) {
			return nil
		}
	}
	return fmt.Errorf("the system is not ready %v after its start", startTimeout)
}

func (run *runner) runWorkload(ctx context.Context) error {
	callerContext, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range callerCount {
		random := rand.New(rand.NewPCG(run.options.Seed, uint64(100+i)))
		callers.Go(func() { run.runCaller(callerContext, i, random) })
	}
	callers.Go(func() { run.runWithdrawn(callerContext, rand.New(rand.NewPCG(run.options.Seed, 3))) })
	callers.Go(func() { run.runDepartures(callerContext, rand.New(rand.NewPCG(run.options.Seed, 6))) })
	callers.Go(func() { run.runViewProbes(callerContext, rand.New(rand.NewPCG(run.options.Seed, 4))) })
	operatorContext, stopOperators := context.WithCancel(callerContext)
	operatorsEnded := make(chan struct{})
	go func() {
		defer close(operatorsEnded)
		run.runOperators(operatorContext)
	}()
	err := run.injectFaults(ctx)
	stopOperators()
	<-operatorsEnded
	run.background.Wait()
	pause(ctx, recoveryTime)
	run.checkRecovery()
	cancel()
	callers.Wait()
	return err
}

// checkRecovery checks, after the faults have ended, that most requests are served and that no acknowledged version is lost.
func (run *runner) checkRecovery() {
	share, count := run.checker.servedShare(time.Now().Add(-measuredTime))
	if share < minServedShare {
		run.checker.reportViolation(fmt.Sprintf("only %.2f of %d requests are served after the faults", share, count))
	}
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	version := uint64(0)
	for _, proc := range run.controllers() {
		version = max(version, run.readVersion(client, proc))
	}
	if acknowledged, _ := run.versionCheck.held(); version < acknowledged {
		run.checker.reportViolation(fmt.Sprintf("lost: version %d was acknowledged, but the highest version read is %d", acknowledged, version))
	}
	if violation := run.versionCheck.checkAdditions(); violation != "" {
		run.checker.reportViolation(violation)
	}
	_, all := run.checker.servedShare(time.Time{})
	served, _ := run.checker.servedShare(time.Time{})
	limited, most := run.quotas.summary()
	_, _ = fmt.Fprintf(run.options.Out, "seed %d: %d requests, %.2f served, %.2f at the end, version %d, %d views; %d with a limit, at most %d in %v; %d departures\n", run.options.Seed,
		all, served, share, version, run.versionCheck.probeCount(), limited, most, quotaWindow, run.departures.count())
}

// stopProcesses kills the processes that this run has started.
func (run *runner) stopProcesses() error {
	var errs []error
	for _, proc := range run.processes() {
		errs = append(errs, proc.stop(syscall.SIGKILL), proc.log.Close())
	}
	return errors.Join(errs...)
}

func (run *runner) violationError() error {
	if len(run.checker.violations) == 0 {
		return nil
	}
	text := ""
	for _, line := range run.checker.violations {
		text += "\n  " + line
	}
	return ErrViolation.New("seed %d, logs in %s:%s", run.options.Seed, run.options.Folder, text)
}
