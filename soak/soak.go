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
	"path/filepath"
	"sync"
	"syscall"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// controllers, routers, engines and plainServers are the numbers of the processes and stand-ins of a run.
	controllerCount = 4
	routerCount     = 2
	engineCount     = 4
	plainCount      = 3
	callerCount     = 8
	modelCount      = 9
	// modelsPerEngine is how many models fit on an engine.
	modelsPerEngine = 2
	loadTime        = 150 * time.Millisecond
	heartbeat       = 500 * time.Millisecond
	// faultPause is the mean time between the beginnings of two faults, which overlap.
	faultPause = 900 * time.Millisecond
	// recoverTime is the time without faults at the end, and judgeTime its last part, in which most requests must be served.
	recoverTime = 9 * time.Second
	judgeTime   = 3 * time.Second
	leastServed = 0.5
	// startLimit bounds the start of the system.
	startLimit = 20 * time.Second
)

// ErrBroken means that a promise was broken; the message lists which.
var ErrBroken = celerylanding.ErrorNamespace.NewType("promise_broken")

// Options describe one run.
type Options struct {
	Binary string
	Folder string
	Seed   uint64
	// Length is the time with faults.
	Length time.Duration
	// Network is the second number of the loopback addresses, so that runs beside each other do not meet.
	Network int
	Out     io.Writer
}

type runner struct {
	options     Options
	book        *ledger
	random      *rand.Rand
	controllers []*process
	routers     []*process
	proxies     []*proxy
	models      []string
	group       sync.WaitGroup
	// harming is held while a controller is harmed, so that never more are than the system must bear.
	harming sync.Mutex
}

// Run plays one seed; a broken promise is an error.
func Run(ctx context.Context, options Options) error {
	run := &runner{options: options, book: newLedger(), random: rand.New(rand.NewPCG(options.Seed, 1))}
	for i := range modelCount {
		run.models = append(run.models, fmt.Sprintf("m%d", i))
	}
	ctx, cancel := context.WithCancel(ctx)
	err := run.start(ctx)
	if err == nil {
		err = run.play(ctx)
	}
	cancel()
	for _, prox := range run.proxies {
		_ = prox.listener.Close()
	}
	run.group.Wait()
	return errors.Join(err, run.end(), run.verdict())
}

func (run *runner) ip(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", run.options.Network, kind, number+1)
}

func (run *runner) start(ctx context.Context) error {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, run.ip(1, i)+":8144")
	}
	for i := range controllerCount + routerCount {
		role, ip, name := "controller", run.ip(1, i), fmt.Sprintf("controller%d", i)
		if i >= controllerCount {
			role, ip, name = "router", run.ip(2, i-controllerCount), fmt.Sprintf("router%d", i-controllerCount)
		}
		proc := &process{binary: run.options.Binary, role: role, folder: filepath.Join(run.options.Folder, name), ip: ip, seeds: seeds,
			data: role == "controller"}
		if err := os.MkdirAll(proc.folder, 0o700); err != nil {
			return err
		}
		if err := proc.start(true); err != nil {
			return err
		}
		if proc.data {
			run.controllers = append(run.controllers, proc)
		} else {
			run.routers = append(run.routers, proc)
		}
	}
	return errors.Join(run.startTargets(ctx), run.awaitReady())
}

func (run *runner) startTargets(ctx context.Context) error {
	var controllers []string
	for _, proc := range run.controllers {
		controllers = append(controllers, proc.ip+":8144")
	}
	for i := range engineCount + plainCount {
		listener, err := net.Listen("tcp", run.ip(3, i)+":0")
		if err != nil {
			return err
		}
		outside, err := net.Listen("tcp", run.ip(4, i)+":0")
		if err != nil {
			return err
		}
		prox := newProxy(outside, listener.Addr().String())
		run.proxies = append(run.proxies, prox)
		ended := make(chan struct{})
		go prox.run(ended)
		run.group.Go(func() { <-ended })
		options := fake.Options{ID: fmt.Sprintf("i-%d", i), Service: fake.ServicePlain, Zone: "z1", Listener: listener,
			Address: outside.Addr().String(), Controllers: controllers, HeartbeatInterval: heartbeat, LoadTime: loadTime,
			OnExecute: run.book.ran, OnViolation: run.book.report}
		if i < engineCount {
			options.Service, options.Models, options.MaxModels = fake.ServiceEngines, run.models, modelsPerEngine
		}
		server := fake.New(options, options.Models)
		run.group.Go(func() {
			if err := server.Run(ctx); err != nil {
				run.book.report(err.Error())
			}
		})
	}
	return nil
}

// awaitReady submits the first configuration and waits until all routers serve.
func (run *runner) awaitReady() error {
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !run.submit(client, 1, run.random.IntN(len(run.controllers))) {
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
	return fmt.Errorf("the system is not ready %v after its start", startLimit)
}

func (run *runner) play(ctx context.Context) error {
	loading, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range callerCount {
		random := rand.New(rand.NewPCG(run.options.Seed, uint64(100+i)))
		callers.Go(func() { run.call(loading, i, random) })
	}
	operating, stopOperator := context.WithCancel(loading)
	operated := make(chan error, 1)
	go func() { operated <- run.operate(operating, rand.New(rand.NewPCG(run.options.Seed, 2))) }()
	err := run.injectFaults(ctx)
	stopOperator()
	err = errors.Join(err, <-operated)
	pause(ctx, recoverTime)
	run.judge()
	cancel()
	callers.Wait()
	return err
}

// judge checks what must hold after the faults have ended.
func (run *runner) judge() {
	share, count := run.book.served(time.Now().Add(-judgeTime))
	if share < leastServed {
		run.book.report(fmt.Sprintf("only %.2f of %d requests are served after the faults", share, count))
	}
	client := &http.Client{Timeout: operatorTimeout}
	defer client.CloseIdleConnections()
	version := uint64(0)
	for i := range run.controllers {
		version = max(version, run.readBack(client, i))
	}
	if version < run.book.acked {
		run.book.report(fmt.Sprintf("version %d was acknowledged, and %d is read at the end", run.book.acked, version))
	}
	_, all := run.book.served(time.Time{})
	served, _ := run.book.served(time.Time{})
	_, _ = fmt.Fprintf(run.options.Out, "seed %d: %d requests, %.2f served, %.2f at the end, version %d\n", run.options.Seed, all, served, share, version)
}

// end stops the processes that this run has started.
func (run *runner) end() error {
	var errs []error
	for _, proc := range append(append([]*process{}, run.controllers...), run.routers...) {
		errs = append(errs, proc.stop(syscall.SIGKILL), proc.log.Close())
	}
	return errors.Join(errs...)
}

func (run *runner) verdict() error {
	if len(run.book.broken) == 0 {
		return nil
	}
	text := ""
	for _, line := range run.book.broken {
		text += "\n  " + line
	}
	return ErrBroken.New("seed %d, logs in %s:%s", run.options.Seed, run.options.Folder, text)
}
