//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	roleController = "controller"
	roleRouter     = "router"
	// startTime is how long the system may take to start and to put its first configuration in force.
	startTime = 20 * time.Second
	// pingInterval is the interval of the servers' pings.
	pingInterval = 1200 * time.Millisecond
)

// ports are the ports that all machines have in common.
type ports struct{ front, ready, control, internal int }

// fleet is a small deployment of the project's programs on loopback addresses.
type fleet struct {
	rec         *record
	folder      string
	prefix      string
	ports       ports
	commands    map[string][]string
	controllers []*machine
	routers     []*machine
	zones       []string
	// extra are further lines of the settings.
	extra   []string
	version uint64
}

// machine is one machine with its process.
type machine struct {
	fleet                *fleet
	name, role, ip, zone string
	mutex                sync.Mutex
	command              *exec.Cmd
	ended                chan struct{}
	isEnding             bool
}

// newFleet prepares a deployment with a number of controllers and routers, spread over three zones.
func newFleet(rec *record, controllers, routers int, extra ...string) (*fleet, error) {
	commands, err := deployCommands(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "celerylanding-review-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{rec: rec, folder: folder, commands: commands, zones: []string{"zone-a", "zone-b", "zone-c"}, extra: extra}
	if err := fleet.chooseAddresses(controllers + routers); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	for i := range controllers + routers {
		machine := &machine{fleet: fleet, role: roleController, ip: fmt.Sprintf("%s.%d", fleet.prefix, i+1), zone: fleet.zones[i%len(fleet.zones)]}
		if i >= controllers {
			machine.role, machine.zone = roleRouter, fleet.zones[(i-controllers)%len(fleet.zones)]
			machine.name = fmt.Sprintf("edge-%d", i-controllers+1)
			fleet.routers = append(fleet.routers, machine)
		} else {
			machine.name = fmt.Sprintf("core-%d", i+1)
			fleet.controllers = append(fleet.controllers, machine)
		}
	}
	return fleet, nil
}

// deployCommands returns the words of the command of each role of the deploy file.
func deployCommands(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	role := ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			commands[role] = strings.Fields(strings.Trim(value, `"`))
		}
	}
	if len(commands[roleController]) == 0 || len(commands[roleRouter]) == 0 {
		return nil, fmt.Errorf("%s lacks the commands of the roles", path)
	}
	return commands, nil
}

// chooseAddresses chooses loopback addresses and ports that are free on all of them.
func (fleet *fleet) chooseAddresses(machines int) error {
	for range 50 {
		fleet.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + 10*rand.IntN(1000)
		fleet.ports = ports{front: base, ready: base + 1, control: base + 2, internal: base + 3}
		if fleet.areFree(machines) {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (fleet *fleet) areFree(machines int) bool {
	for i := range machines {
		for port := fleet.ports.front; port <= fleet.ports.internal+1; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", fleet.prefix, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// serverAddress returns a free address for a stand-in.
func (fleet *fleet) serverAddress(number int) string {
	return fmt.Sprintf("%s.%d:%d", fleet.prefix, 100+number, fleet.ports.front)
}

// settings returns the text of a machine's settings file.
func (machine *machine) settings(isBootstrap bool) string {
	fleet := machine.fleet
	var seeds []string
	for _, controller := range fleet.controllers[:min(3, len(fleet.controllers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", controller.ip, fleet.ports.control))
	}
	lines := []string{"node=" + machine.name, "role=" + machine.role, "ip=" + machine.ip, "zone=" + machine.zone, "region=here",
		fmt.Sprintf("internalPorts=%d,%d", fleet.ports.internal, fleet.ports.internal+1), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", isBootstrap), "inTolerance=true", "limits.cpuShare=0.6", "limits.cores=1", "limits.memoryMb=280",
		"limits.maxFds=4096", "limits.linkMbps=1000.0", "limits.diskMb=128", "discovery=register", "entry=vip", "heartbeatIntervalMs=1200",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0", "bounds.seedLagS=3", "bounds.reuseAfterS=2",
		"bounds.stabilityWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
		"bounds.lossSlackMs=200", "bounds.configMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000", "bounds.budgetRatio=0.2",
		"bounds.budgetWindowS=10", "bounds.budgetSlack=54", "bounds.recoverS=12", "bounds.passMs=120", "bounds.againS=0",
		"bounds.fencingEnabled=true", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.ceilingWindowS=5", "bounds.ceilingOverage=1.1",
		"configMode=highest"}
	if machine.role == roleController {
		lines = append(lines, "class=core", "serves=control_plane", fmt.Sprintf("listen.control=%s:%d", machine.ip, fleet.ports.control),
			"dataDir="+filepath.Join(fleet.folder, machine.name, "disk"))
	} else {
		lines = append(lines, "class=edge", "serves=edge", fmt.Sprintf("listen.front=%s:%d", machine.ip, fleet.ports.front),
			fmt.Sprintf("listen.ready=%s:%d", machine.ip, fleet.ports.ready))
	}
	lines = append(lines, fleet.extra...)
	return strings.Join(lines, "\n") + "\n"
}

// start starts the machine's process with the command of the deploy file.
func (machine *machine) start(isBootstrap bool) error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	folder := filepath.Join(machine.fleet.folder, machine.name)
	if err := os.MkdirAll(filepath.Join(folder, "disk"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, "node.conf")
	if err := os.WriteFile(path, []byte(machine.settings(isBootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	words := machine.fleet.commands[machine.role]
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CELERYLANDING_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	machine.command, machine.ended, machine.isEnding = command, ended, false
	machine.fleet.rec.line(machine.name, "started as process %d", command.Process.Pid)
	go machine.await(command, ended)
	return nil
}

// await records the end of a process.
func (machine *machine) await(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	machine.mutex.Lock()
	isEnding := machine.isEnding
	machine.mutex.Unlock()
	if !isEnding {
		machine.fleet.rec.line(machine.name, "process ended by itself: %v", err)
	}
	close(ended)
}

// signal sends a signal to the machine's process.
func (machine *machine) signal(number syscall.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command == nil {
		return
	}
	if number == syscall.SIGKILL || number == syscall.SIGTERM {
		machine.isEnding = true
	}
	machine.fleet.rec.line(machine.name, "gets %v", number)
	// A process that has ended gets no signal.
	_ = machine.command.Process.Signal(number)
}

// kill ends the machine's process at once and waits for its end.
func (machine *machine) kill() {
	machine.signal(syscall.SIGKILL)
	if machine.ended != nil {
		<-machine.ended
	}
}

// front returns the address for callers.
func (machine *machine) front() string {
	return fmt.Sprintf("%s:%d", machine.ip, machine.fleet.ports.front)
}

func (machine *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", machine.ip, machine.fleet.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// controlAddresses returns the addresses of the control nodes.
func (fleet *fleet) controlAddresses() []string {
	var list []string
	for _, controller := range fleet.controllers {
		list = append(list, fmt.Sprintf("%s:%d", controller.ip, fleet.ports.control))
	}
	return list
}

// start starts all machines, and puts the first configuration in force.
func (fleet *fleet) start(ctx context.Context, configuration map[string]any) error {
	for _, machine := range append(append([]*machine{}, fleet.controllers...), fleet.routers...) {
		if err := machine.start(true); err != nil {
			return err
		}
	}
	if err := fleet.submit(ctx, configuration); err != nil {
		return err
	}
	return fleet.awaitReady(ctx, fleet.routers...)
}

// submit sends a desired state until it is acknowledged.
func (fleet *fleet) submit(ctx context.Context, configuration map[string]any) error {
	fleet.version++
	configuration["version"] = fleet.version
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for turn := 0; ; turn++ {
		addresses := fleet.controlAddresses()
		status := put(ctx, "http://"+addresses[turn%len(addresses)]+"/config", body)
		if status == http.StatusOK {
			fleet.rec.line("operator", "desired state %d acknowledged", fleet.version)
			return nil
		}
		if !pause(ctx, 200*time.Millisecond) {
			return fmt.Errorf("desired state %d was not acknowledged, last status %d", fleet.version, status)
		}
	}
}

// awaitReady waits until routers report that they are ready.
func (fleet *fleet) awaitReady(ctx context.Context, routers ...*machine) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, router := range routers {
		for !router.isReady() {
			if !pause(ctx, 100*time.Millisecond) {
				return fmt.Errorf("%s is not ready", router.name)
			}
		}
	}
	return nil
}

// put sends a PUT request and returns the status of its answer, or zero if there is none within a second.
func put(ctx context.Context, url string, body []byte) int {
	return call(ctx, http.MethodPut, url, body)
}

func call(ctx context.Context, method, url string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// pause waits; it returns false if the context ends first.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (fleet *fleet) close() {
	for _, machine := range append(append([]*machine{}, fleet.controllers...), fleet.routers...) {
		machine.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
		return
	}
	fmt.Println("logs are in", fleet.folder)
}
