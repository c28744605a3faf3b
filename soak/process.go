package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// restartPause is the time between the end of a process and its next start.
	restartPause = 200 * time.Millisecond
	// stopLimit is how long a process may take to end after it was asked to.
	stopLimit = 10 * time.Second
)

// process is one process of the system; only its own id is ever signalled.
type process struct {
	binary string
	role   string
	folder string
	ip     string
	seeds  []string
	data   bool
	wiped  int

	command *exec.Cmd
	ended   chan error
	log     *os.File
}

// settings writes the settings file, as the platform would.
func (proc *process) settings(bootstrap bool) (string, error) {
	lines := []string{"node=" + filepath.Base(proc.folder), "ip=" + proc.ip, "zone=z" + proc.ip[len(proc.ip)-1:], "internalPorts=7380,7395",
		"seeds=" + strings.Join(proc.seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap), "heartbeatIntervalMs=500",
		"faultTolerance.machines=1", "bounds.fencingEnabled=true", "bounds.leaseMs=1000", "bounds.graceS=8",
		"bounds.budgetRatio=0.2", "bounds.budgetSlack=200", "bounds.budgetWindowS=10", "limits.memoryMb=256"}
	if proc.data {
		lines = append(lines, "listen.control="+proc.ip+":8144", "dataDir="+filepath.Join(proc.folder, fmt.Sprintf("disk%d", proc.wiped)))
	} else {
		lines = append(lines, "listen.front="+proc.ip+":8149", "listen.ready="+proc.ip+":8141")
	}
	path := filepath.Join(proc.folder, "node.conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (proc *process) start(bootstrap bool) error {
	path, err := proc.settings(bootstrap)
	if err != nil {
		return err
	}
	if proc.log == nil {
		if proc.log, err = os.OpenFile(filepath.Join(proc.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
	}
	proc.command = exec.Command(proc.binary, "platform", proc.role, "--node-file", path)
	proc.command.Stdout, proc.command.Stderr = proc.log, proc.log
	if err := proc.command.Start(); err != nil {
		return err
	}
	proc.ended = make(chan error, 1)
	command, ended := proc.command, proc.ended
	go func() { ended <- command.Wait() }()
	return nil
}

func (proc *process) signal(number syscall.Signal) error { return proc.command.Process.Signal(number) }

// stop ends the process with the signal and waits; one that does not end in time is killed and is an error.
func (proc *process) stop(number syscall.Signal) error {
	if err := proc.signal(number); err != nil {
		return err
	}
	select {
	case <-proc.ended:
		return nil
	case <-time.After(stopLimit):
		// The process is frozen or ignores the signal.
		_ = proc.signal(syscall.SIGKILL)
		<-proc.ended
		return fmt.Errorf("%s did not end within %v of signal %v", proc.folder, stopLimit, number)
	}
}

// restart ends the process and starts it again, with an empty disk where that is asked for.
func (proc *process) restart(number syscall.Signal, wipe bool) error {
	if err := proc.stop(number); err != nil {
		return err
	}
	if wipe {
		proc.wiped++
	}
	time.Sleep(restartPause)
	return proc.start(false)
}
