package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// controllerReplacementTime is the time after the replacement of a controller before the next fault of one, in which the bounds on views hold for some
	// seconds.
	controllerReplacementTime = calmTime + 3*time.Second
	// routerReplacementTime is that of a router, so that callers find it.
	routerReplacementTime = time.Second
)

// rolling replaces the processes one after the other by those of another build, under load.
type rolling struct {
	random *rand.Rand
	mutex  sync.Mutex
	// isMixed is set once all processes have been replaced there and back; each start then chooses a build at random.
	isMixed bool
}

func newRolling(seed uint64) *rolling { return &rolling{random: rand.New(rand.NewPCG(seed, 5))} }

// firstBinary returns the program that the processes run at the beginning.
func (options *Options) firstBinary() string { return cmp.Or(options.Previous, options.Binary) }

// startRolling replaces all processes of the previous build, in random order, and then replaces them back. The channel receives the result; without a
// previous build there is nothing to do.
func (run *runner) startRolling(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	if run.options.Previous == "" {
		ended <- nil
		return ended
	}
	go func() {
		err := errors.Join(run.replaceAll(ctx, run.options.Binary), run.replaceAll(ctx, run.options.Previous))
		run.roll.mutex.Lock()
		defer run.roll.mutex.Unlock()
		run.roll.isMixed = true
		ended <- err
	}()
	return ended
}

// chooseMixed chooses the build for the next start of a process, if builds are mixed.
func (run *runner) chooseMixed(proc *process) {
	run.roll.mutex.Lock()
	defer run.roll.mutex.Unlock()
	if run.roll.isMixed {
		proc.binary = []string{run.options.Binary, run.options.Previous}[run.roll.random.IntN(2)]
		run.departures.setBuild(proc.ip, proc.binary)
	}
}

// replaceAll replaces the processes one after the other by those of a build, between the other faults of the same group.
func (run *runner) replaceAll(ctx context.Context, binary string) error {
	var errs []error
	controllers := run.controllers()
	for _, number := range run.roll.random.Perm(len(controllers) + len(run.routers)) {
		if ctx.Err() != nil {
			break
		}
		if router := number - len(controllers); router >= 0 {
			errs = append(errs, run.upgradeRouter(&run.routerFaults[router], run.routers[router], binary))
			continue
		}
		stop := syscall.SIGTERM
		if run.roll.random.IntN(2) == 0 {
			stop = syscall.SIGKILL
		}
		errs = append(errs, run.upgradeController(ctx, controllers[number], binary, stop))
	}
	return errors.Join(errs...)
}

// upgradeController stops a controller, or kills it right after a departure that it has acknowledged, and starts another build on its folder. It does
// nothing to one that has gone for good.
func (run *runner) upgradeController(ctx context.Context, proc *process, binary string, stop syscall.Signal) error {
	run.controllerFault.Lock()
	defer run.controllerFault.Unlock()
	if !slices.Contains(run.controllers(), proc) {
		return nil
	}
	if stop == syscall.SIGKILL {
		run.departAt(ctx, run.roll.random, proc)
	}
	err := run.upgrade(proc, binary, stop)
	time.Sleep(controllerReplacementTime)
	return err
}

// upgradeRouter stops a router by SIGTERM and starts another build.
func (run *runner) upgradeRouter(fault *sync.Mutex, proc *process, binary string) error {
	fault.Lock()
	defer fault.Unlock()
	run.available.excuse(proc.ip)
	err := run.upgrade(proc, binary, syscall.SIGTERM)
	// The new process does not know what the former one was told, also while it drained.
	run.available.excuse(proc.ip)
	time.Sleep(routerReplacementTime)
	return err
}

func (run *runner) upgrade(proc *process, binary string, stop syscall.Signal) error {
	_, _ = fmt.Fprintf(run.options.Out, "seed %d: %s, %v, replaced by %s\n", run.options.Seed, proc.ip, stop, binary)
	defer run.faults.begin(false, proc.ip)()
	proc.binary = binary
	run.departures.setBuild(proc.ip, binary)
	return proc.restart(stop, false)
}
