package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// longestFreeze bounds how long a process stands still, and longestHarm how long a proxy does harm.
	longestFreeze = 6 * time.Second
	longestHarm   = 2 * time.Second
)

// injectFaults harms processes and connections at random times; faults come in series and overlap. At most one controller is harmed at
// a time, which is what the system must bear.
func (run *runner) injectFaults(ctx context.Context) error {
	var mutex sync.Mutex
	var errs []error
	routers := make([]sync.Mutex, len(run.routers))
	var faults sync.WaitGroup
	begin := func(name string, harm func() error) {
		_, _ = fmt.Fprintf(run.options.Out, "seed %d: %s\n", run.options.Seed, name)
		faults.Go(func() {
			if err := harm(); err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
		})
	}
	for end := time.Now().Add(run.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		length := time.Duration(run.random.Int64N(int64(longestFreeze)))
		switch choice := run.random.IntN(4); choice {
		case 0:
			victim, how := run.controllers[run.random.IntN(len(run.controllers))], run.random.IntN(4)
			begin(fmt.Sprintf("%s, way %d", victim.ip, how), func() error { return harmProcess(&run.harming, victim, how, length, true) })
		case 1:
			number, how := run.random.IntN(len(run.routers)), run.random.IntN(3)
			begin(fmt.Sprintf("%s, way %d", run.routers[number].ip, how), func() error {
				return harmProcess(&routers[number], run.routers[number], how, length, false)
			})
		default:
			prox, next := run.proxies[run.random.IntN(len(run.proxies))], mode(run.random.IntN(int(modeCount)))
			harm := time.Duration(run.random.Int64N(int64(longestHarm)))
			begin(fmt.Sprintf("connections to %s, mode %d", prox.target, next), func() error {
				prox.set(next)
				time.Sleep(harm)
				prox.set(modePass)
				return nil
			})
		}
		pause(ctx, time.Duration(run.random.Int64N(int64(2*faultPause))))
	}
	faults.Wait()
	return errors.Join(errs...)
}

// The ways to harm a process; a wipe kills it and takes its disk.
const (
	harmFreeze = iota
	harmKill
	harmStop
	harmWipe
)

// settleTime is the time after which a controller that was harmed counts as whole again.
const settleTime = 4 * time.Second

// harmProcess freezes, kills, stops or wipes one process, unless another one of its group is harmed now.
func harmProcess(group *sync.Mutex, victim *process, how int, length time.Duration, settle bool) error {
	if !group.TryLock() {
		return nil
	}
	defer group.Unlock()
	var err error
	switch how {
	case harmFreeze:
		err = errors.Join(victim.signal(syscall.SIGSTOP), sleep(length), victim.signal(syscall.SIGCONT))
	case harmKill:
		err = victim.restart(syscall.SIGKILL, false)
	case harmStop:
		err = errors.Join(victim.signal(syscall.SIGHUP), victim.restart(syscall.SIGTERM, false))
	default:
		err = victim.restart(syscall.SIGKILL, true)
	}
	if settle {
		time.Sleep(settleTime)
	}
	return err
}

func sleep(length time.Duration) error {
	time.Sleep(length)
	return nil
}
