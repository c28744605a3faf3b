//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	// program is the program of the deploy file.
	program = "target/bin/celerylanding"
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 20 * time.Second
	// heartbeatInterval is heartbeatIntervalMs of the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// internalPorts is the number of ports for the project's own use.
	internalPorts = 16
	// metricsPort is the port that deploy/system.toml names.
	metricsPort = 9464
)

// fleet is a set of controllers and routers, each a process with a loopback address of its own.
type fleet struct {
	lab         *lab
	block       string
	firstPort   int
	controllers []*process
	routers     []*process
	servers     []*server
	runs        runLog
	// fencing is bounds.fencingEnabled: whether servers check the generation numbers of orders.
	fencing bool
}

// process is a router or controller.
type process struct {
	fleet   *fleet
	role    string
	name    string
	zone    string
	ip      string
	folder  string
	command *exec.Cmd
}

// addressBlock returns the first bytes of loopback addresses on which nothing listens, and the first of a range of free ports there.
func addressBlock(hosts int) (block string, firstPort int, err error) {
	for attempt := range 50 {
		block = fmt.Sprintf("127.%d.%d", 40+os.Getpid()%200, 1+(os.Getpid()/200+attempt)%250)
		firstPort = 20000 + (os.Getpid()*37+attempt*101)%20000
		if isFree(block, firstPort, hosts) {
			return block, firstPort, nil
		}
	}
	return "", 0, errors.New("no free loopback addresses")
}

func isFree(block string, firstPort, hosts int) bool {
	for host := 1; host <= hosts; host++ {
		for _, port := range []int{metricsPort, firstPort, firstPort + 1, firstPort + 2, firstPort + 3, firstPort + 4} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

const (
	controllerCount = 3
	// firstServerHost is the last byte of the address of the first server.
	firstServerHost = 101
)

// newFleet starts three controllers and some routers.
func newFleet(lab *lab, routers int, fencing bool) (*fleet, error) {
	block, firstPort, err := addressBlock(controllerCount + routers)
	if err != nil {
		return nil, err
	}
	fleet := &fleet{lab: lab, block: block, firstPort: firstPort, fencing: fencing}
	lab.fleet = fleet
	for number := range controllerCount + routers {
		proc := &process{fleet: fleet, role: "controller", zone: fmt.Sprintf("zone-%c", 'a'+number%3), ip: fmt.Sprintf("%s.%d", block, number+1)}
		if number >= controllerCount {
			proc.role = "router"
		}
		proc.name = fmt.Sprintf("%s-%d", proc.role, number+1)
		proc.folder = filepath.Join(lab.folder, proc.name)
		if err := os.MkdirAll(proc.folder, 0o700); err != nil {
			return nil, err
		}
		if proc.role == "router" {
			fleet.routers = append(fleet.routers, proc)
		} else {
			fleet.controllers = append(fleet.controllers, proc)
		}
	}
	for _, proc := range append(append([]*process{}, fleet.controllers...), fleet.routers...) {
		if err := proc.start(true); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// address returns the address of a host at a port of the fleet: 0 is the control address, 1 the front, 2 the readiness probe.
func (proc *process) address(port int) string {
	return fmt.Sprintf("%s:%d", proc.ip, proc.fleet.firstPort+port)
}

func (fleet *fleet) controlAddresses() []string {
	var list []string
	for _, proc := range fleet.controllers {
		list = append(list, proc.address(0))
	}
	return list
}

// settings returns the settings file that the platform would write, with the values of the users' sheets.
func (proc *process) settings(bootstrap bool) string {
	lines := []string{
		"node=" + proc.name, "ip=" + proc.ip, "zone=" + proc.zone, "region=region-a",
		"zones.zone-a=region-a", "zones.zone-b=region-a", "zones.zone-c=region-a",
		fmt.Sprintf("internalPorts=%d,%d", proc.fleet.firstPort+3, proc.fleet.firstPort+3+internalPorts-1),
		"seeds=" + strings.Join(proc.fleet.controlAddresses(), ","), fmt.Sprintf("bootstrap=%v", bootstrap),
		"limits.cpuShare=0.48", "limits.cores=1", "limits.memoryMb=280", "limits.maxFds=4096", "limits.linkMbps=1000.0",
		"discovery=register", "entry=vip", fmt.Sprintf("heartbeatIntervalMs=%d", heartbeatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stabilityWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.outerMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=54", "bounds.recoverS=12",
		"bounds.passMs=120", "bounds.againS=0", fmt.Sprintf("bounds.fencingEnabled=%v", proc.fleet.fencing), "bounds.leaseMs=3000", "bounds.thawMs=300",
		"bounds.ceilingWindowS=5", "bounds.ceilingOverage=1.1", "configMode=highest",
	}
	if proc.role == "controller" {
		lines = append(lines, "class=core", "serves=control_plane", "inTolerance=true", "limits.diskMb=128",
			"listen.control="+proc.address(0), "dataDir="+filepath.Join(proc.folder, "disk"))
	} else {
		lines = append(lines, "class=edge", "serves=edge", "inTolerance=false", "limits.diskMb=0",
			"listen.front="+proc.address(1), "listen.ready="+proc.address(2))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (proc *process) start(bootstrap bool) error {
	path := filepath.Join(proc.folder, "node.conf")
	if err := os.WriteFile(path, []byte(proc.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(proc.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	proc.command = exec.Command(program, "platform", proc.role)
	proc.command.Env = append(os.Environ(), "CELERYLANDING_NODE_FILE="+path)
	proc.command.Stdout, proc.command.Stderr = log, log
	return proc.command.Start()
}

// kill ends the process at once.
func (proc *process) kill() {
	if proc.command == nil || proc.command.Process == nil {
		return
	}
	_ = proc.command.Process.Kill()
	// The error only tells that the process was killed.
	_ = proc.command.Wait()
	proc.command = nil
}

// stop ends all servers and processes; the logs are kept where REVIEW_LOGS names a folder.
func (fleet *fleet) stop() {
	for _, server := range fleet.servers {
		server.stop()
	}
	for _, proc := range append(append([]*process{}, fleet.controllers...), fleet.routers...) {
		proc.kill()
		if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
			text, _ := os.ReadFile(filepath.Join(proc.folder, "log"))
			_ = os.WriteFile(filepath.Join(kept, proc.name+".log"), text, 0o600)
		}
	}
}

// submit sends a configuration to the controllers in turn until one acknowledges it.
func (fleet *fleet) submit(configuration []byte) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		for _, address := range fleet.controlAddresses() {
			if put(fleet.lab.ctx, client, "http://"+address+"/config", configuration) == http.StatusOK {
				fleet.lab.record.note("configuration acknowledged by %s", address)
				return nil
			}
		}
		pause(fleet.lab.ctx, 100*time.Millisecond)
	}
	return errors.New("no controller acknowledged the configuration")
}

// put sends a body and returns the status of the answer, or zero.
func put(ctx context.Context, client *http.Client, url string, body []byte) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// awaitReady waits until all routers say that they are ready.
func (fleet *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		ready := 0
		for _, proc := range fleet.routers {
			if response, err := client.Get("http://" + proc.address(2) + "/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(fleet.routers) {
			return nil
		}
		pause(fleet.lab.ctx, 50*time.Millisecond)
	}
	return errors.New("the routers are not ready")
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
