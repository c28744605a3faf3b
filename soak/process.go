package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"celerylanding.example/celerylanding/soak/netfault"
)

const (
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 200 * time.Millisecond
	// stopTimeout is how long a process may take to exit after a signal.
	stopTimeout = 10 * time.Second

	roleController = "controller"
	roleRouter     = "router"
)

// process is one process of the system under test. Signals go only to the ID of the process that was started here.
type process struct {
	binary       string
	role         string
	folder       string
	ip           string
	isController bool
	// chooseBinary sets the program of the next start; nil keeps it.
	chooseBinary func()
	// faults returns the faults of the links; nil if the program can't play them.
	faults func() []netfault.Fault
	// reportEnd is called with an end of the process that nothing here has caused.
	reportEnd func(text string)

	mutex sync.Mutex
	seeds []string
	wipes int
	// starts counts the starts, and isEnding is set once this one is to end.
	starts   int
	isEnding bool
	command  *exec.Cmd
	input    io.WriteCloser
	ended    chan error
	log      *os.File
}

// writeSettings writes the settings file as the platform does and returns its path.
func (proc *process) writeSettings(bootstrap bool) (string, error) {
	lines := []string{"node=" + filepath.Base(proc.folder), "ip=" + proc.ip, "zone=z" + proc.ip[len(proc.ip)-1:], "internalPorts=7380,7395",
		"seeds=" + strings.Join(proc.seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap), "heartbeatIntervalMs=500",
		"faultTolerance.machines=1", "bounds.fencingEnabled=true", "bounds.leaseMs=1000", "bounds.graceS=8",
		"bounds.budgetRatio=0.2", "bounds.budgetSlack=200", "bounds.budgetWindowS=10", "limits.memoryMb=256",
		"bounds.failClosed=true", fmt.Sprintf("bounds.revokeMs=%d", revocationBound.Milliseconds()), "bounds.configMs=1000"}
	if proc.isController {
		lines = append(lines, "listen.control="+proc.ip+":8144", "dataDir="+filepath.Join(proc.folder, fmt.Sprintf("disk%d", proc.wipes)))
	} else {
		lines = append(lines, "listen.front="+proc.ip+":8149", "listen.ready="+proc.ip+":8141")
	}
	path := filepath.Join(proc.folder, "node.conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (proc *process) start(bootstrap bool) error {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	path, err := proc.writeSettings(bootstrap)
	if err != nil {
		return err
	}
	if proc.log == nil {
		if proc.log, err = os.OpenFile(filepath.Join(proc.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
	}
	if proc.chooseBinary != nil {
		proc.chooseBinary()
	}
	proc.command = exec.Command(proc.binary, "platform", proc.role, "--node-file", path)
	// A pipe keeps the log free of limits on the size of files.
	logPipe := struct{ io.Writer }{proc.log}
	proc.command.Stdout, proc.command.Stderr = logPipe, logPipe
	if proc.input, err = proc.command.StdinPipe(); err != nil {
		return err
	}
	if err := proc.command.Start(); err != nil {
		return err
	}
	proc.starts++
	proc.isEnding = false
	proc.ended = make(chan error, 1)
	command, ended, number := proc.command, proc.ended, proc.starts
	go func() {
		err := command.Wait()
		proc.mutex.Lock()
		isOwnEnd := !proc.isEnding && proc.starts == number
		proc.mutex.Unlock()
		if isOwnEnd {
			proc.reportEnd(fmt.Sprintf("ended by itself: %s: %v", proc.ip, err))
		}
		ended <- err
	}()
	return proc.sendFaults()
}

// changeSeeds replaces the seeds in the settings and tells the process.
func (proc *process) changeSeeds(seeds []string) error {
	proc.mutex.Lock()
	proc.seeds = seeds
	_, err := proc.writeSettings(false)
	proc.mutex.Unlock()
	if err != nil {
		return err
	}
	return proc.signal(syscall.SIGHUP)
}

// sendFaults sends the faults of the links to the process; the mutex must be held.
func (proc *process) sendFaults() error {
	if proc.faults == nil || proc.isEnding {
		return nil
	}
	// A process that is ending may have closed its input.
	_ = json.NewEncoder(proc.input).Encode(proc.faults())
	return nil
}

func (proc *process) updateFaults() error {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	return proc.sendFaults()
}

// lifetime returns the number of the current start.
func (proc *process) lifetime() int {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	return proc.starts
}

// signal sends a signal to the process, unless it has ended.
func (proc *process) signal(number syscall.Signal) error {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	if number == syscall.SIGTERM || number == syscall.SIGKILL {
		proc.isEnding = true
	} else if proc.isEnding {
		return nil
	}
	if err := proc.command.Process.Signal(number); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// fillDisk makes the disk of the process refuse all writes until the returned function is called.
func (proc *process) fillDisk() (free func() error, err error) {
	proc.mutex.Lock()
	defer proc.mutex.Unlock()
	pid, before := proc.command.Process.Pid, unix.Rlimit{}
	full := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &full, &before); err != nil {
		return nil, err
	}
	return func() error { return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil) }, nil
}

// stop sends the signal and waits for the process to exit; after stopTimeout it kills the process and returns an error.
func (proc *process) stop(number syscall.Signal) error {
	if err := proc.signal(number); err != nil {
		return err
	}
	select {
	case <-proc.ended:
		return nil
	case <-time.After(stopTimeout):
		// The process is stopped by SIGSTOP or ignores the signal.
		_ = proc.signal(syscall.SIGKILL)
		<-proc.ended
		return fmt.Errorf("%s did not exit within %v after signal %v", proc.folder, stopTimeout, number)
	}
}

// restart stops the process and starts it again, with an empty disk if wipe is set.
func (proc *process) restart(number syscall.Signal, wipe bool) error {
	if err := proc.stop(number); err != nil {
		return err
	}
	if wipe {
		proc.mutex.Lock()
		proc.wipes++
		proc.mutex.Unlock()
	}
	time.Sleep(restartDelay)
	return proc.start(false)
}
