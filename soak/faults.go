package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"celerylanding.example/celerylanding/platform/fake"
)

const (
	// maxFreeze is the maximum time for which a process is stopped by SIGSTOP, and maxProxyFault that of a fault in a proxy.
	maxFreeze     = 9 * time.Second
	maxProxyFault = 2 * time.Second
	// maxSeries is the longest time in which faults begin, and seriesPause the time after the end of the last of them in which the bounds of calm times
	// are checked beside changes.
	maxSeries   = 6 * time.Second
	seriesPause = calmTime + 4*time.Second
	// lastingFault is the time of a single fault beside which the bounds are checked, since most of the controllers work.
	lastingFault = 10 * time.Second
)

// injectFaults injects series of faults into processes and connections at random times; the faults of a series overlap. At most one controller has a fault
// at a time, apart from its links, since the system is configured to tolerate the failure of one VM.
func (run *runner) injectFaults(ctx context.Context) error {
	var mutex sync.Mutex
	var errs []error
	var faults sync.WaitGroup
	inject := func(name string, fault func() error) {
		_, _ = fmt.Fprintf(run.options.Out, "seed %d: %s\n", run.options.Seed, name)
		faults.Go(func() {
			if err := fault(); err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
		})
	}
	run.routerFaults = make([]sync.Mutex, len(run.routers))
	rolled := run.startRolling(ctx)
	for end := time.Now().Add(run.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		for endSeries := time.Now().Add(time.Duration(run.random.Int64N(int64(maxSeries)))); time.Now().Before(endSeries); {
			run.injectFault(inject)
			pause(ctx, time.Duration(run.random.Int64N(int64(2*faultInterval))))
		}
		faults.Wait()
		errs = append(errs, run.checkAlone(ctx))
	}
	return errors.Join(append(errs, <-rolled)...)
}

// injectFault begins one fault.
func (run *runner) injectFault(inject func(name string, fault func() error)) {
	freeze := time.Duration(run.random.Int64N(int64(maxFreeze)))
	switch choice := run.random.IntN(7); choice {
	case 0:
		proc, fault := run.pick(run.random), run.random.IntN(faultCount)
		inject(fmt.Sprintf("%s, fault %d", proc.ip, fault), func() error { return run.injectProcessFault(&run.controllerFault, proc, fault, freeze, true) })
	case 1:
		number, fault := run.random.IntN(len(run.routers)), run.random.IntN(3)
		inject(fmt.Sprintf("%s, fault %d", run.routers[number].ip, fault), func() error {
			run.available.excuse(run.routers[number].ip)
			defer run.available.excuse(run.routers[number].ip)
			return run.injectProcessFault(&run.routerFaults[number], run.routers[number], fault, freeze, false)
		})
	case 2:
		run.injectAvailability(inject)
	case 3, 4:
		run.injectCoreFault(inject)
	default:
		prox, next := run.proxies[run.random.IntN(len(run.proxies))], mode(run.random.IntN(int(modeCount)))
		duration := time.Duration(run.random.Int64N(int64(maxProxyFault)))
		inject(fmt.Sprintf("connections to %s, mode %d", prox.target, next), func() error {
			run.available.excuse("")
			defer run.available.excuse("")
			prox.setMode(next)
			time.Sleep(duration)
			prox.setMode(modeForward)
			return nil
		})
	}
}

// checkAlone waits for a time without faults, or for the time of a single fault that lasts.
func (run *runner) checkAlone(ctx context.Context) error {
	run.isPaused.Store(true)
	defer run.isPaused.Store(false)
	// Operators may have begun a fault of a controller.
	run.controllerFault.Lock()
	defer run.controllerFault.Unlock()
	// A controller that lost its disk has to catch up, which the faults of the series may have prevented.
	pause(ctx, controllerRecoveryTime)
	controllers, routers := run.controllerAddresses(), run.routerAddresses()
	number := run.random.IntN(len(controllers))
	controller, router := controllers[number:number+1], routers[run.random.IntN(len(routers)):][:1]
	links := func(concerned string, from, to []string) error {
		kind := run.random.IntN(linkLossy)
		_, _ = fmt.Fprintf(run.options.Out, "seed %d: lasting: links of %v to %v, fault %d\n", run.options.Seed, from, to, kind)
		defer run.faults.begin(false, concerned)()
		return run.harmLinks(linkFaults(kind, from, to, 0), lastingFault)
	}
	choice := run.random.IntN(6)
	switch {
	case choice == 0 && run.options.HasLinks:
		return links(controller[0], controller, append(slices.Clone(controllers), routers...))
	case choice == 1 && run.options.HasLinks:
		return links(controller[0], controller, controllers)
	case choice == 2 && run.options.HasLinks:
		// The router still reaches this controller through the others.
		run.faults.begin(false, router[0])()
		return links("", router, controller)
	case choice == 3:
		_, _ = fmt.Fprintf(run.options.Out, "seed %d: lasting: %s stands still\n", run.options.Seed, controller[0])
		defer run.faults.begin(false, controller[0])()
		proc := run.controllers()[number]
		return errors.Join(proc.signal(syscall.SIGSTOP), sleep(lastingFault), proc.signal(syscall.SIGCONT))
	}
	pause(ctx, seriesPause)
	return nil
}

// injectAvailability makes a target leave, ask for pauses or send malformed fields in its answers, for a time.
func (run *runner) injectAvailability(inject func(name string, fault func() error)) {
	number := run.random.IntN(len(run.servers))
	server, choice := run.servers[number], run.random.IntN(3)
	length := drainTime + time.Duration(run.random.Int64N(int64(drainTime)))
	says := fake.Availability{IsMalformed: true}
	if choice == 1 {
		says = fake.Availability{Pause: pauseTolerance + time.Duration(run.random.Int64N(int64(maxTargetPause-pauseTolerance)))}
	}
	inject(fmt.Sprintf("target %d, says %d", number, choice), func() error {
		if !run.targetFaults[number].TryLock() {
			return nil
		}
		defer run.targetFaults[number].Unlock()
		if choice == 0 {
			server.leave(length)
			return nil
		}
		server.say(says)
		time.Sleep(length)
		server.say(fake.Availability{})
		return nil
	})
}

// The faults of a process, printed by number. All but faultFreeze restart it; faultWipe also empties its disk.
const (
	faultFreeze = iota
	faultKill
	faultStop
	faultWipe
	faultFullDisk
	faultCount
)

// injectCoreFault harms links, replaces a controller, reloads settings or restarts all controllers.
func (run *runner) injectCoreFault(inject func(name string, fault func() error)) {
	switch choice := run.random.IntN(10); {
	case choice < 7 && run.options.HasLinks:
		run.injectLinkFault(inject)
	case choice == 7:
		inject("replaced controller", run.replaceController)
	case choice == 8:
		inject("all controllers killed", func() error { return run.killHerd(rand.New(rand.NewPCG(run.options.Seed, 5))) })
	default:
		processes := run.processes()
		proc := processes[run.random.IntN(len(processes))]
		inject(proc.ip+" reloads", func() error { return proc.signal(syscall.SIGHUP) })
	}
}

// maxHerdPause is the longest time between the end of all controllers and their start.
const maxHerdPause = 800 * time.Millisecond

// killHerd kills all controllers at once and starts them again with their disks.
func (run *runner) killHerd(random *rand.Rand) error {
	if !run.controllerFault.TryLock() {
		return nil
	}
	defer run.controllerFault.Unlock()
	controllers := run.controllers()
	endFault := run.faults.begin(false, run.controllerAddresses()...)
	var errs []error
	for _, proc := range controllers {
		errs = append(errs, proc.signal(syscall.SIGKILL))
	}
	time.Sleep(time.Duration(random.Int64N(int64(maxHerdPause))))
	for _, proc := range controllers {
		errs = append(errs, proc.stop(syscall.SIGKILL), proc.start(false))
	}
	endFault()
	time.Sleep(controllerRecoveryTime)
	return errors.Join(errs...)
}

// fillDisk makes a process's disk refuse writes for a time.
func fillDisk(proc *process, length time.Duration) error {
	free, err := proc.fillDisk()
	if err != nil {
		return err
	}
	time.Sleep(length)
	return free()
}

// controllerRecoveryTime is the time after a fault before another controller may get one, so that the first can catch up.
const controllerRecoveryTime = 4 * time.Second

// injectProcessFault freezes, kills, stops or wipes one process. It does nothing while the mutex is locked by another fault of the same
// group: all controllers, or one router.
func (run *runner) injectProcessFault(group *sync.Mutex, proc *process, fault int, freeze time.Duration, awaitRecovery bool) error {
	if !group.TryLock() {
		return nil
	}
	defer group.Unlock()
	if fault == faultWipe && !run.mayLoseDisk() {
		fault = faultKill
	}
	endFault := run.faults.begin(false, proc.ip)
	var err error
	switch fault {
	case faultFreeze:
		err = errors.Join(proc.signal(syscall.SIGSTOP), sleep(freeze), proc.signal(syscall.SIGCONT))
	case faultFullDisk:
		err = fillDisk(proc, freeze)
	case faultKill:
		err = proc.restart(syscall.SIGKILL, false)
	case faultStop:
		err = errors.Join(proc.signal(syscall.SIGHUP), proc.restart(syscall.SIGTERM, false))
	default:
		err = proc.restart(syscall.SIGKILL, true)
	}
	endFault()
	if awaitRecovery {
		time.Sleep(controllerRecoveryTime)
	}
	return err
}

// mayLoseDisk reports whether the loss of a disk is within what the system tolerates: an earlier loss may not have been made up for while other controllers
// had faults too.
func (run *runner) mayLoseDisk() bool {
	return run.faults.isCalm(time.Now(), run.controllerAddresses(), "") && run.faults.isQuiet(run.controllerAddresses())
}

func sleep(length time.Duration) error {
	time.Sleep(length)
	return nil
}
