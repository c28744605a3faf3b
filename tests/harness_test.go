package tests_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/node"
)

const (
	awaitTimeout = 30 * time.Second
	callerPort   = 7001
	targetPort   = 7002
	peerPort     = 7003
	operatorPort = 7004
)

var (
	binary    string
	siteCount atomic.Int32
)

func TestMain(main *testing.M) {
	folder, err := os.MkdirTemp("", "celerylanding-tests-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "celerylanding")
	arguments := []string{"build", "-o", binary}
	if os.Getenv("CELERYLANDING_TEST_RACE") != "" {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "celerylanding.example/celerylanding/cmd/celerylanding")...)
	if text, err := build.CombinedOutput(); err != nil {
		panic(string(text))
	}
	code := main.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// site is a set of node processes; each site has loopback addresses of its own.
type site struct {
	t      *testing.T
	number int32
	folder string
	nodes  []*process
	flags  []string
}

// process is a node or target process, which can be stopped and restarted.
type process struct {
	site   *site
	name   string
	domain string
	ip     string
	data   string
	flags  []string
	// advertised is the proxy address that other nodes connect to, or "".
	advertised string
	command    *exec.Cmd
	ended      chan struct{}
	mutex      sync.Mutex
}

// newSite prepares nodes a, b, c, … in separate failure domains.
func newSite(t *testing.T, count int, flags ...string) *site {
	t.Helper()
	site := &site{t: t, number: siteCount.Add(1), folder: t.TempDir(), flags: flags}
	for i := range count {
		name := string(rune('a' + i))
		process := &process{site: site, name: name, domain: "domain-" + name, data: filepath.Join(site.folder, name),
			ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, site.number, i+1)}
		site.nodes = append(site.nodes, process)
	}
	return site
}

// init creates the control log on the first node.
func (site *site) init() *site {
	site.t.Helper()
	first := site.nodes[0]
	site.mustRun("init", "--id", first.name, "--domain", first.domain, "--data", first.data, "--peers", first.peerAddress())
	return site
}

// peerAddress returns the address at which other nodes reach the process.
func (process *process) peerAddress() string {
	if process.advertised != "" {
		return process.advertised
	}
	return process.address(peerPort)
}

func (site *site) startAll() *site {
	site.t.Helper()
	for _, process := range site.nodes {
		process.start()
	}
	for _, process := range site.nodes {
		process.awaitReady()
	}
	return site
}

// mustRun runs a command, fails the test unless it exits with 0, and returns its output.
func (site *site) mustRun(arguments ...string) string {
	site.t.Helper()
	text, code := site.run(arguments...)
	assert.Equal(site.t, code, 0, text)
	return text
}

// run runs a command and returns its output and exit code.
func (site *site) run(arguments ...string) (string, int) {
	command := exec.Command(binary, arguments...)
	text, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		site.t.Fatal(err)
	}
	return string(text), command.ProcessState.ExitCode()
}

// submit writes the texts to files and submits them through the node.
func (site *site) submit(through *process, base, overlay string) (string, int) {
	site.t.Helper()
	basePath := filepath.Join(site.folder, "base.yaml")
	overlayPath := filepath.Join(site.folder, "overlay.yaml")
	assert.NilError(site.t, os.WriteFile(basePath, []byte(base), 0o600))
	assert.NilError(site.t, os.WriteFile(overlayPath, []byte(overlay), 0o600))
	return site.run("submit", basePath, overlayPath, "--operator", through.address(operatorPort))
}

// startTargets starts the fake targets in a separate process.
func (site *site) startTargets(flags ...string) *process {
	site.t.Helper()
	return site.startTargetsIn("targets", nil, flags...)
}

// startTargetsIn starts fake targets in the given failure domains; nil means the domains of all nodes.
func (site *site) startTargetsIn(name string, only []string, flags ...string) *process {
	site.t.Helper()
	var domains, nodes []string
	for _, process := range site.nodes {
		domains = append(domains, process.domain)
		nodes = append(nodes, process.address(targetPort))
	}
	if only != nil {
		domains = only
	}
	targets := &process{site: site, name: name}
	targets.launch(append([]string{"demo", "--targets-only", "--nodes", strings.Join(nodes, ","), "--domains",
		strings.Join(domains, ",")}, flags...))
	return targets
}

func (process *process) address(port int) string { return fmt.Sprintf("%s:%d", process.ip, port) }

func (process *process) start() {
	process.site.t.Helper()
	var join []string
	for _, other := range process.site.nodes {
		if other != process {
			join = append(join, other.peerAddress())
		}
	}
	arguments := []string{"node", "--id", process.name, "--domain", process.domain,
		"--callers", process.address(callerPort), "--targets", process.address(targetPort), "--peers", process.address(peerPort),
		"--operators", process.address(operatorPort), "--timeline", process.timeline(), "--drain-notice", "200ms"}
	if process.advertised != "" {
		arguments = append(arguments, "--advertise", process.advertised)
	}
	if process.data != "" {
		arguments = append(arguments, "--data", process.data)
	}
	if len(join) > 0 {
		arguments = append(arguments, "--join", strings.Join(join, ","))
	}
	arguments = append(arguments, process.site.flags...)
	process.launch(append(arguments, process.flags...))
}

func (process *process) timeline() string {
	return filepath.Join(process.site.folder, process.name+".timeline")
}

func (process *process) launch(arguments []string) {
	t := process.site.t
	t.Helper()
	output, err := os.OpenFile(filepath.Join(process.site.folder, process.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	process.command = exec.Command(binary, arguments...)
	process.command.Stdout = output
	process.command.Stderr = output
	assert.NilError(t, process.command.Start())
	ended := make(chan struct{})
	process.ended = ended
	command := process.command
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-ended
		process.checkRaces()
		if t.Failed() {
			process.printLog()
		}
	})
}

// checkRaces fails the test if the process's race detector has reported a data race.
func (process *process) checkRaces() {
	text, err := os.ReadFile(filepath.Join(process.site.folder, process.name+".log"))
	if at := strings.Index(string(text), "WARNING: DATA RACE"); err == nil && at >= 0 {
		process.site.t.Errorf("race in %s:\n%s", process.name, text[at:min(len(text), at+4000)])
	}
}

func (process *process) printLog() {
	text, err := os.ReadFile(filepath.Join(process.site.folder, process.name+".log"))
	if err == nil && len(text) > 0 {
		process.site.t.Logf("log of %s:\n%s", process.name, text[max(0, len(text)-200_000):])
	}
}

func (process *process) signal(signal syscall.Signal) {
	process.site.t.Helper()
	assert.NilError(process.site.t, process.command.Process.Signal(signal))
}

func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.ended
}

// awaitExit waits until the process exits and returns its exit code.
func (process *process) awaitExit() int {
	process.site.t.Helper()
	select {
	case <-process.ended:
	case <-time.After(awaitTimeout):
		// The log then ends with the stacks of all goroutines.
		process.signal(syscall.SIGQUIT)
		select {
		case <-process.ended:
		case <-time.After(time.Second):
		}
		process.site.t.Fatalf("%s did not exit", process.name)
	}
	return process.command.ProcessState.ExitCode()
}

func (process *process) deleteData() {
	assert.NilError(process.site.t, os.RemoveAll(process.data))
}

func (process *process) awaitReady() {
	process.site.t.Helper()
	process.site.await(process.name+" is ready", func() bool {
		response, err := http.Get("http://" + process.address(callerPort) + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (site *site) await(what string, check func() bool) {
	site.t.Helper()
	poll.WaitOn(site.t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(awaitTimeout), poll.WithDelay(20*time.Millisecond))
}

// show returns the node's status as operators see it.
func (process *process) show() (node.ShowReply, error) {
	var reply node.ShowReply
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Get("http://" + process.address(operatorPort) + "/operate/show")
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// awaitShow waits until the node's status satisfies the check.
func (site *site) awaitShow(through *process, what string, check func(node.ShowReply) bool) {
	site.t.Helper()
	site.await(what, func() bool {
		reply, err := through.show()
		return err == nil && check(reply)
	})
}

// reply is the response to a caller, or the error that the call ended with.
type reply struct {
	status  int
	verdict string
	code    string
	body    string
	err     error
}

// errorReply is the part of an error body that the tests check.
type errorReply struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (process *process) post(path, body string, header http.Header) reply {
	request, err := http.NewRequest(http.MethodPost, "http://"+process.address(callerPort)+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := (&http.Client{Timeout: time.Minute}).Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	var failed errorReply
	_ = json.Unmarshal(text, &failed)
	return reply{status: response.StatusCode, verdict: response.Header.Get("X-Celerylanding-Verdict"), code: failed.Error.Code,
		body: string(text), err: err}
}

func (process *process) chat(model, prompt string) reply {
	return process.post("/v1/chat/completions", chatBody(model, prompt, false), nil)
}

func chatBody(model, prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

// submitText submits a base file over HTTP and returns the outcome.
func (process *process) submitText(base string) string {
	process.site.t.Helper()
	body, err := json.Marshal(config.Document{BaseName: "base.yaml", Base: base, OverlayName: "overlay.yaml", Overlay: sessionOverlay})
	assert.NilError(process.site.t, err)
	response, err := http.Post("http://"+process.address(operatorPort)+"/operate/submit", "application/json", bytes.NewReader(body))
	assert.NilError(process.site.t, err)
	defer func() { _ = response.Body.Close() }()
	var submitted node.SubmitReply
	assert.NilError(process.site.t, json.NewDecoder(response.Body).Decode(&submitted))
	return submitted.Outcome
}
