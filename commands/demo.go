package commands

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/node"
	"celerylanding.example/celerylanding/target/fake"
)

//go:embed demo/base.yaml
var demoBase string

//go:embed demo/overlay.yaml
var demoOverlay string

const (
	demoEngineMemory        = 80 << 30
	demoTargetSlots         = 16
	demoTokenTime           = 20 * time.Millisecond
	demoAnnounceInterval    = 500 * time.Millisecond
	demoSubmitRetryInterval = 200 * time.Millisecond
)

type demoCommand struct {
	Callers     string   `default:"127.0.0.1:7001" help:"Address for callers."`
	Data        string   `help:"Data folder; the default is a temporary folder."`
	TargetsOnly bool     `help:"Run the fake targets only."`
	Nodes       []string `help:"Node addresses to which the fake targets send announcements, with --targets-only."`
	Domains     []string `default:"a,b" help:"Failure domains, with one fake engine in each; the service runs in the first one."`
	Prefix      string   `default:"engine" help:"Prefix of the names of the fake engines."`
	NoService   bool     `help:"Do not run the fake service."`
	NoFencing   bool     `help:"Fake engines ignore fencing tokens."`
	Fragile     bool     `help:"A prompt with the word CRASH ends the process of the fake engine that gets it."`
	Tokens      int      `default:"12" help:"Number of tokens in an answer."`
	ServiceTime string   `default:"5ms" help:"Response time of the fake service."`
	LoadTime    string   `default:"800ms" help:"Time that a fake engine takes to load a model."`
}

// Run runs a node with fake targets, or with --targets-only the fake targets alone, until SIGTERM or SIGINT.
func (command *demoCommand) Run(deps *deps) error {
	times, err := command.parseTimes()
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	var group run.Group
	if command.TargetsOnly {
		if len(command.Nodes) == 0 {
			return withExitCode(ExitUsage, errors.New("--nodes is missing"))
		}
		if err := command.addTargets(deps, &group, command.Nodes, times); err != nil {
			return err
		}
		addSignalHandler(&group)
		return group.Run()
	}
	cleanUp, err := command.addNode(deps, &group, times)
	if err != nil {
		return err
	}
	return errors.Join(group.Run(), cleanUp())
}

// fakeTargetTimes holds the durations that the fake targets simulate.
type fakeTargetTimes struct {
	load    time.Duration
	service time.Duration
}

func (command *demoCommand) parseTimes() (fakeTargetTimes, error) {
	load, err := time.ParseDuration(command.LoadTime)
	if err != nil {
		return fakeTargetTimes{}, fmt.Errorf("--load-time: %w", err)
	}
	service, err := time.ParseDuration(command.ServiceTime)
	if err != nil {
		return fakeTargetTimes{}, fmt.Errorf("--service-time: %w", err)
	}
	return fakeTargetTimes{load, service}, nil
}

// addSignalHandler ends the group on SIGTERM or SIGINT.
func addSignalHandler(group *run.Group) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	group.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// addNode adds a single-voter node, its fake targets and the submission of the embedded configuration. It returns a function that removes
// the data folder if it is a temporary one.
func (command *demoCommand) addNode(deps *deps, group *run.Group, times fakeTargetTimes) (func() error, error) {
	folder, cleanUp := command.Data, func() error { return nil }
	if folder == "" {
		temporary, err := os.MkdirTemp("", "celerylanding-demo-")
		if err != nil {
			return nil, err
		}
		folder, cleanUp = temporary, func() error { return os.RemoveAll(temporary) }
	}
	listeners, err := demoListeners(command.Callers)
	if err != nil {
		return nil, errors.Join(err, cleanUp())
	}
	seed := newSeed()
	_, err = node.Bootstrap(node.BootstrapOptions{ID: "demo", Domain: celerylanding.FailureDomain(command.Domains[0]),
		DataFolder: folder, Address: listeners.Peers.Addr().String(), Seed: seed})
	if err != nil && !node.IsLogExists(err) {
		return nil, errors.Join(err, cleanUp())
	}
	timing := node.DefaultTiming()
	timing.DrainNotice = 0
	process, err := node.New(node.Options{ID: "demo", Domain: celerylanding.FailureDomain(command.Domains[0]),
		DataFolder: folder, MaxVoters: 1, SnapshotCount: 1000, Listeners: listeners, Timing: timing, Log: deps.log,
		Timeline: syncWriter(deps.err), Seed: seed})
	if err != nil {
		return nil, errors.Join(err, cleanUp())
	}
	ended := make(chan struct{})
	group.Add(func() error {
		go terminateOnSignal(process, ended)
		return process.Run(context.Background())
	}, func(error) {
		process.Terminate()
		close(ended)
	})
	if err := command.addTargets(deps, group, []string{listeners.Targets.Addr().String()}, times); err != nil {
		return nil, errors.Join(err, cleanUp())
	}
	addDemoSubmission(deps, group, listeners)
	return cleanUp, nil
}

func demoListeners(callers string) (node.Listeners, error) {
	var listeners node.Listeners
	for _, binding := range []struct {
		address  string
		listener *net.Listener
	}{
		{callers, &listeners.Callers},
		{"127.0.0.1:0", &listeners.Targets},
		{"127.0.0.1:0", &listeners.Peers},
		{"127.0.0.1:0", &listeners.Operators},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			return node.Listeners{}, err
		}
		*binding.listener = listener
	}
	return listeners, nil
}

// addTargets adds one fake engine for each failure domain, and the fake service unless --no-service is set.
func (command *demoCommand) addTargets(deps *deps, group *run.Group, nodes []string, times fakeTargetTimes) error {
	for i, domain := range command.Domains {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		announcement := demoAnnouncement(fmt.Sprintf("%s-%d", command.Prefix, i+1), domain, "engines", celerylanding.KindEngine, listener)
		announcement.Fencing = !command.NoFencing
		options := fake.EngineOptions{Announcement: announcement, LoadTime: times.load, TokenTime: demoTokenTime, Tokens: command.Tokens}
		if command.Fragile {
			options.Crash = func() { os.Exit(ExitFailed) }
		}
		engine := fake.NewEngine(options)
		addHost(group, fake.NewHost(listener, engine, nodes, demoAnnounceInterval))
		if _, err := fmt.Fprintf(deps.out, "engine %s in %s at %s\n", announcement.Target, domain, listener.Addr()); err != nil {
			return err
		}
	}
	if command.NoService {
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	announcement := demoAnnouncement("ledger-1", command.Domains[0], "ledgers", celerylanding.KindService, listener)
	service := fake.NewService(fake.ServiceOptions{Announcement: announcement, Delay: times.service})
	addHost(group, fake.NewHost(listener, service, nodes, demoAnnounceInterval))
	_, err = fmt.Fprintf(deps.out, "service %s in %s at %s\n", announcement.Target, command.Domains[0], listener.Addr())
	return err
}

func demoAnnouncement(name, domain, group string, kind celerylanding.TargetKind, listener net.Listener) celerylanding.Announcement {
	announcement := celerylanding.Announcement{
		Target:      celerylanding.TargetID(name),
		Incarnation: celerylanding.Incarnation(time.Now().UnixNano()),
		Domain:      celerylanding.FailureDomain(domain),
		Group:       group,
		Address:     listener.Addr().String(),
		Kind:        kind,
		Slots:       demoTargetSlots,
	}
	if kind == celerylanding.KindEngine {
		announcement.Memory = demoEngineMemory
	}
	return announcement
}

func addHost(group *run.Group, host *fake.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return host.Run(ctx) }, func(error) { cancel() })
}

// addDemoSubmission submits the embedded configuration, retrying until it is accepted, and prints the addresses and an example request.
func addDemoSubmission(deps *deps, group *run.Group, listeners node.Listeners) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		document := config.Document{BaseName: "demo/base.yaml", Base: demoBase, OverlayName: "demo/overlay.yaml", Overlay: demoOverlay}
		for !submitDemoConfig(ctx, listeners.Operators.Addr().String(), document) {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(demoSubmitRetryInterval):
			}
		}
		_, err := fmt.Fprintf(deps.out, "callers at %s, operators at %s, targets at %s\ntry: curl -s http://%s/v1/chat/completions -d '%s'\n",
			listeners.Callers.Addr(), listeners.Operators.Addr(), listeners.Targets.Addr(), listeners.Callers.Addr(),
			`{"model":"drafting","messages":[{"role":"user","content":"hello"}]}`)
		if err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

func submitDemoConfig(ctx context.Context, operators string, document config.Document) bool {
	body, err := json.Marshal(document)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+operators+"/operate/submit", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
