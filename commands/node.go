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

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/relisten"
	"celerylanding.example/celerylanding/node"
)

// identity holds the flags that identify a node.
type identity struct {
	ID     string `required:"" help:"Name of this node, unique within the site."`
	Domain string `required:"" help:"Failure domain of this VM."`
	Data   string `help:"Data folder on persistent disk; a node without one never becomes a voter."`
}

type nodeCommand struct {
	identity
	Callers   string   `default:"127.0.0.1:7001" help:"Address for callers."`
	Targets   string   `default:"127.0.0.1:7002" help:"Address for targets."`
	Peers     string   `default:"127.0.0.1:7003" help:"Address for other nodes; they must be able to reach it."`
	Operators string   `default:"127.0.0.1:7004" help:"Address for operators."`
	Advertise string   `help:"Address at which other nodes reach --peers, if it differs."`
	Join      []string `help:"Peer addresses of other nodes."`
	Voters    int      `default:"3" help:"Maximum number of voters; must be odd."`
	Timeline  string   `help:"File for the timeline; the default is standard error."`

	AllowPlainText bool     `help:"Allow connections of nodes and operators without TLS outside loopback."`
	TLS            tlsFiles `embed:"" prefix:"tls-"`

	SnapshotAt      int           `default:"1000" help:"Number of log commands between two snapshots of the control state."`
	Heartbeat       time.Duration `default:"100ms" help:"Interval between heartbeats of the leader."`
	ElectionTimeout time.Duration `default:"1s" help:"Time without a message of the leader after which a new one is elected."`
	LeaseTTL        time.Duration `default:"3s" help:"Duration of an executor lease."`
	ClockDrift      time.Duration `default:"200ms" help:"Maximum drift between two clocks during one lease."`
	OrderTimeout    time.Duration `default:"120s" help:"Timeout of a load or unload."`
	TargetSilence   time.Duration `default:"4s" help:"Time without an announcement after which a target gets no new requests."`
	FirstByte       time.Duration `default:"30s" help:"Timeout for the first byte of a target's answer."`
	InterToken      time.Duration `default:"10s" help:"Timeout between two tokens of a stream."`
	DrainNotice     time.Duration `default:"3s" help:"Time that the load balancer needs to notice a draining node."`
	DrainLimit      time.Duration `default:"10m" help:"Maximum duration of a drain."`
}

// Run runs the node until it has drained after SIGTERM or SIGINT.
func (command *nodeCommand) Run(deps *deps) error {
	timeline, err := command.openTimeline(deps)
	if err != nil {
		return err
	}
	options, err := command.options(deps)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	options.Timeline = timeline
	process, err := node.New(options)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go terminateOnSignal(process, ended)
	return process.Run(context.Background())
}

// terminateOnSignal drains the node on the first signal and stops it at once on the second.
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
		return nil, withExitCode(ExitUsage, err)
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
	listeners, source, err := command.listen(deps.log)
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
		options.PeerTLS = source.clientConfig
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

// listen opens the listeners; those for peers and operators use mutual TLS, or must be on loopback unless --allow-plain-text is set.
func (command *nodeCommand) listen(log zerolog.Logger) (node.Listeners, *tlsSource, error) {
	var source *tlsSource
	if command.TLS.isSet() {
		var err error
		if source, err = newTLSSource(command.TLS); err != nil {
			return node.Listeners{}, nil, err
		}
	} else if !command.AllowPlainText {
		err := errors.Join(requireLoopback("peers", command.Peers), requireLoopback("operators", command.Operators))
		if err != nil {
			return node.Listeners{}, nil, err
		}
	}
	var listeners node.Listeners
	for _, binding := range []struct {
		name, address string
		secure        bool
		listener      *net.Listener
	}{
		{"callers", command.Callers, false, &listeners.Callers},
		{"targets", command.Targets, false, &listeners.Targets},
		{"peers", command.Peers, true, &listeners.Peers},
		{"operators", command.Operators, true, &listeners.Operators},
	} {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			return node.Listeners{}, nil, fmt.Errorf("--%s: %w", binding.name, err)
		}
		listener = relisten.New(listener, relisten.Options{
			Open: func(ctx context.Context) (net.Listener, error) {
				return (&net.ListenConfig{}).Listen(ctx, "tcp", binding.address)
			},
			Report: func(err error) {
				log.Warn().Str("address", binding.address).Err(err).Msg("accepting connections failed; trying again")
			},
		})
		if binding.secure && source != nil {
			listener = tls.NewListener(listener, source.serverConfig())
		}
		*binding.listener = listener
	}
	return listeners, source, nil
}

func newSeed() uint64 {
	var raw [8]byte
	// Read of crypto/rand never returns an error.
	_, _ = crand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:])
}
