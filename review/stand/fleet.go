//go:build review

package main

import (
	"bufio"
	"bytes"
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
	// binary is the program of the deploy file.
	binary = "target/bin/celerylanding"
	// The ports of all nodes; each node has an address of its own.
	portControl, portFront, portReady = "8144", "8149", "8141"
	// readyTimeout bounds the start of the programs and servers.
	readyTimeout = 20 * time.Second
	// stopTime is how long the processes get to end after SIGTERM.
	stopTime = 500 * time.Millisecond
)

var (
	errNotReady = errors.New("the programs or servers did not become ready")
	errOver     = errors.New("the case is over")
)

// child is a process that a case has started.
type child struct {
	name    string
	ip      string
	command *exec.Cmd
	ended   chan struct{}
}

// signal sends a signal to the process.
func (child *child) signal(signal syscall.Signal) { _ = child.command.Process.Signal(signal) }

// fleet holds the processes of a case.
type fleet struct {
	log     *record
	folder  string
	network string
	// options are further lines of all settings files.
	options []string

	mutex    sync.Mutex
	children []*child
	// isOver is set once the processes are ended; no further one is started.
	isOver bool
	// heard receives the lines of the stand-in servers.
	heard func(server, text string)

	controllers, routers []*child
}

func newFleet(log *record) (*fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{log: log, folder: folder, heard: func(string, string) {}}
	for range 50 {
		fleet.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		if fleet.isFree() {
			return fleet, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// isFree reports whether the ports of the first nodes of the network are free.
func (fleet *fleet) isFree() bool {
	for _, port := range []string{portControl, portFront, portReady, "7380", "7381", "9464"} {
		for _, host := range []string{"1", "11"} {
			listener, err := net.Listen("tcp", fleet.network+host+":"+port)
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// launch starts a process and passes its output on line by line.
func (fleet *fleet) launch(name string, env []string, program string, args ...string) (*child, error) {
	command := exec.Command(program, args...)
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = command.Stdout
	child := &child{name: name, command: command, ended: make(chan struct{})}
	if err := fleet.begin(child); err != nil {
		return nil, err
	}
	go func() {
		defer close(child.ended)
		fleet.listen(name, output)
		err := command.Wait()
		fleet.log.add(name, "ended: %v", err)
	}()
	return child, nil
}

// begin starts a process, unless the case is over.
func (fleet *fleet) begin(child *child) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.isOver {
		return errOver
	}
	if err := child.command.Start(); err != nil {
		return err
	}
	fleet.children = append(fleet.children, child)
	return nil
}

// listen records the output of a process; that of the programs goes to a file beside the settings.
func (fleet *fleet) listen(name string, output io.Reader) {
	isServer := strings.HasPrefix(name, "server")
	log, err := os.OpenFile(filepath.Join(fleet.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = log.Close() }()
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if isServer {
			fleet.log.add(name, "%s", lines.Text())
			fleet.heard(name, lines.Text())
			continue
		}
		_, _ = fmt.Fprintln(log, lines.Text())
	}
}

// startNode starts a router or a controller with the settings of a small deployment.
func (fleet *fleet) startNode(role string, number int, bootstrap bool) (*child, error) {
	host, class, serves := number, "core", "control_plane"
	if role == "router" {
		host, class, serves = 10+number, "edge", "edge"
	}
	name, ip := fmt.Sprintf("%s-%d", role, number), fmt.Sprintf("%s%d", fleet.network, host)
	lines := []string{"node=" + name, "role=" + role, "class=" + class, "serves=" + serves, "ip=" + ip, "zone=" + zoneOf(number), "region=sul",
		"internalPorts=7380,7395", "seeds=" + strings.Join(fleet.controlAddresses(), ","), fmt.Sprintf("bootstrap=%v", bootstrap), "inTolerance=false",
		"limits.cpuShare=0.6", "limits.cores=1", "limits.maxFds=6150", "limits.linkMbps=1500.0", "discovery=register", "entry=vip",
		"heartbeatIntervalMs=1200", "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine", "faultTolerance.machines=1",
		"faultTolerance.zones=1", "bounds.stabilityWindowMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.configMs=2000",
		"bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=54", "bounds.fencingEnabled=true", "bounds.leaseMs=3000",
		"bounds.ceilingWindowS=5", "bounds.ceilingOverage=1.1", "configMode=highest"}
	if role == "router" {
		lines = append(lines, "limits.memoryMb=414", "limits.diskMb=0", "listen.front="+ip+":"+portFront, "listen.ready="+ip+":"+portReady)
	} else {
		lines = append(lines, "limits.memoryMb=280", "limits.diskMb=128", "listen.control="+ip+":"+portControl, "dataDir="+filepath.Join(fleet.folder, "disk-"+name))
	}
	lines = append(lines, fleet.options...)
	path := filepath.Join(fleet.folder, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	started, err := fleet.launch(name, []string{"CELERYLANDING_NODE_FILE=" + path}, binary, "platform", role)
	if err != nil {
		return nil, err
	}
	started.ip = ip
	return started, nil
}

// controlAddresses returns the addresses of the three controllers.
func (fleet *fleet) controlAddresses() []string {
	var list []string
	for number := 1; number <= 3; number++ {
		list = append(list, fmt.Sprintf("%s%d:%s", fleet.network, number, portControl))
	}
	return list
}

// startPrograms starts three controllers and some routers, and submits the configuration until it is acknowledged.
func (fleet *fleet) startPrograms(routers int, configuration any) error {
	for number := 1; number <= 3; number++ {
		started, err := fleet.startNode("controller", number, true)
		if err != nil {
			return err
		}
		fleet.controllers = append(fleet.controllers, started)
	}
	for number := 1; number <= routers; number++ {
		started, err := fleet.startNode("router", number, true)
		if err != nil {
			return err
		}
		fleet.routers = append(fleet.routers, started)
	}
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	return fleet.await(func() bool { return fleet.submit(body) })
}

// submit sends a configuration to the controllers in turn until one acknowledges it.
func (fleet *fleet) submit(body []byte) bool {
	client := &http.Client{Timeout: time.Second}
	for _, address := range fleet.controlAddresses() {
		request, err := http.NewRequest(http.MethodPut, "http://"+address+"/config", bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		fleet.log.add("operator", "configuration to %s: %d", address, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// leader returns the number of the controller that leads: the address for further pings that a ping is answered with.
func (fleet *fleet) leader() (int, error) {
	number := 0
	err := fleet.await(func() bool {
		body := `{"service":"nobody","address":"127.0.0.1:1","zone":"sul-a","version":"v1","slots":1,"state":"ready","seq":1,"born":1}`
		request, err := http.NewRequest(http.MethodPut, "http://"+fleet.controlAddresses()[0]+"/instances/question", strings.NewReader(body))
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var reply struct{ HeartbeatAddr string }
		if json.NewDecoder(response.Body).Decode(&reply) != nil {
			return false
		}
		count, _ := fmt.Sscanf(reply.HeartbeatAddr, fleet.network+"%d:", &number)
		return count == 1
	})
	fleet.log.add("case", "controller-%d leads", number)
	return number, err
}

// await waits until a condition holds.
func (fleet *fleet) await(holds func() bool) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errNotReady
}

// stop ends all processes that are left and removes the folder.
func (fleet *fleet) stop() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.isOver = true
	for _, child := range fleet.children {
		child.signal(syscall.SIGCONT)
		child.signal(syscall.SIGTERM)
	}
	time.Sleep(stopTime)
	for _, child := range fleet.children {
		child.signal(syscall.SIGKILL)
		<-child.ended
	}
	if os.Getenv("STAND_KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	}
}
