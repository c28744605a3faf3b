package commands

import (
	"context"
	crand "crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/node"
)

// identity says who a node is.
type identity struct {
	ID     string `required:"" help:"Name of this node, unique within the site."`
	Domain string `required:"" help:"Failure domain of this VM."`
	Data   string `help:"Data folder on a disk; without one the node never votes."`
}

type nodeCommand struct {
	identity
	Callers   string   `default:"127.0.0.1:7001" help:"Address for callers."`
	Targets   string   `default:"127.0.0.1:7002" help:"Address for targets."`
	Peers     string   `default:"127.0.0.1:7003" help:"Address for other nodes, reachable from them."`
	Operators string   `default:"127.0.0.1:7004" help:"Address for operators."`
	Advertise string   `help:"Address at which other nodes reach --peers, if it differs."`
	Join      []string `help:"Peer addresses of other nodes."`
	Voters    int      `default:"3" help:"Largest number of voters, odd."`
	Timeline  string   `help:"File for the time line; default is the error output."`

	AllowPlainText bool     `help:"Allow plain text between nodes and operators off loopback."`
	TLS            tlsFiles `embed:"" prefix:"tls-"`

	SnapshotAt      int           `default:"1000" help:"Commands between two snapshots of the control state."`
	Heartbeat       time.Duration `default:"100ms" help:"Time between two messages of the leader."`
	ElectionTimeout time.Duration `default:"1s" help:"Silence of a leader after which another one is elected."`
	LeaseTTL        time.Duration `default:"3s" help:"Time of an executor lease."`
	ClockDrift      time.Duration `default:"200ms" help:"Longest difference of two clocks over one lease."`
	OrderTimeout    time.Duration `default:"120s" help:"Longest time of a load or unload."`
	TargetSilence   time.Duration `default:"4s" help:"Silence after which a target gets no new work."`
	FirstByte       time.Duration `default:"30s" help:"Longest wait for a target's first byte."`
	InterToken      time.Duration `default:"10s" help:"Longest silence within a stream."`
	DrainNotice     time.Duration `default:"3s" help:"Time that the balancer needs to notice a draining node."`
	DrainLimit      time.Duration `default:"10m" help:"Longest drain."`
}

// Run runs the node until it is told to stop.
func (command *nodeCommand) Run(deps *deps) error {
	events, err := command.openTimeline(deps)
	if err != nil {
		return err
	}
	options, err := command.options(deps)
	if err != nil {
		return exit(ExitUsage, err)
	}
	options.Timeline = events
	process, err := node.New(options)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go terminateOnSignal(process, ended)
	return process.Run(context.Background())
}

// terminateOnSignal drains the node at the first signal and ends it at the second one.
func terminateOnSignal(process *node.Node, ended <-chan struct{}) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			process.Terminate()
		case <-ended:
			return
		}
	}
}

func (command *nodeCommand) openTimeline(deps *deps) (io.Writer, error) {
	if command.Timeline == "" {
		return syncWriter(deps.err), nil
	}
	file, err := os.OpenFile(command.Timeline, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, exit(ExitUsage, err)
	}
	return syncWriter(file), nil
}

func (command *nodeCommand) options(deps *deps) (node.Options, error) {
	if command.Voters < 1 || command.Voters%2 == 0 {
		return node.Options{}, fmt.Errorf("--voters: %d must be an odd number", command.Voters)
	}
	if command.SnapshotAt < 1 {
		return node.Options{}, fmt.Errorf("--snapshot-at: %d must be positive", command.SnapshotAt)
	}
	if command.Heartbeat*3 > command.ElectionTimeout {
		return node.Options{}, fmt.Errorf("--election-timeout: %v must be at least three times --heartbeat %v",
			command.ElectionTimeout, command.Heartbeat)
	}
	listeners, source, err := command.listen()
	if err != nil {
		return node.Options{}, err
	}
	options := node.Options{
		ID:            celerylanding.NodeID(command.ID),
		Domain:        celerylanding.FailureDomain(command.Domain),
		DataFolder:    command.Data,
		Advertise:     command.Advertise,
		Peers:         command.Join,
		MaxVoters:     command.Voters,
		SnapshotCount: command.SnapshotAt,
		Listeners:     listeners,
		Timing:        command.timing(),
		Log:           deps.log.With().Str("node", command.ID).Logger(),
		Seed:          newSeed(),
	}
	if source != nil {
		options.PeerTLS = source.client
	}
	return options, checkIdentity(command.identity)
}

func (command *nodeCommand) timing() node.Timing {
	return node.Timing{
		Heartbeat:         command.Heartbeat,
		ElectionTimeout:   command.ElectionTimeout,
		LeaseTTL:          command.LeaseTTL,
		MaxClockDrift:     command.ClockDrift,
		OrderTimeout:      command.OrderTimeout,
		TargetSilence:     command.TargetSilence,
		FirstByteTimeout:  command.FirstByte,
		InterTokenTimeout: command.InterToken,
		DrainNotice:       command.DrainNotice,
		DrainTimeout:      command.DrainLimit,
	}
}

func checkIdentity(id identity) error {
	for _, field := range []struct{ name, text string }{{"id", id.ID}, {"domain", id.Domain}} {
		if field.text == "" || strings.ContainsAny(field.text, "/ \t\n") {
			return fmt.Errorf("--%s: %q must be a name without spaces and slashes", field.name, field.text)
		}
	}
	return nil
}

// listen opens the sockets; those of peers and operators carry mutual TLS or stay on loopback.
func (command *nodeCommand) listen() (node.Listeners, *tlsSource, error) {
	var source *tlsSource
	if command.TLS.isSet() {
		var err error
		if source, err = newTLSSource(command.TLS); err != nil {
			return node.Listeners{}, nil, err
		}
	} else if !command.AllowPlainText {
		err := errors.Join(checkPlain("peers", command.Peers), checkPlain("operators", command.Operators))
		if err != nil {
			return node.Listeners{}, nil, err
		}
	}
	var listeners node.Listeners
	for _, plane := range []struct {
		name, address string
		secure        bool
		listener      *net.Listener
	}{
		{"callers", command.Callers, false, &listeners.Callers},
		{"targets", command.Targets, false, &listeners.Targets},
		{"peers", command.Peers, true, &listeners.Peers},
		{"operators", command.Operators, true, &listeners.Operators},
	} {
		listener, err := net.Listen("tcp", plane.address)
		if err != nil {
			return node.Listeners{}, nil, fmt.Errorf("--%s: %w", plane.name, err)
		}
		if plane.secure && source != nil {
			listener = tls.NewListener(listener, source.server())
		}
		*plane.listener = listener
	}
	return listeners, source, nil
}

func newSeed() uint64 {
	var raw [8]byte
	// Read never fails.
	_, _ = crand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:])
}
