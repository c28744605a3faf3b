package commands

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
)

// Exit codes of all commands. ExitUsage means invalid arguments or files, ExitRefused that the system rejected the request, and
// ExitUnknown that the outcome is not known and the command can be repeated.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitRefused = 3
	ExitUnknown = 4
)

// errorOutputTimeout bounds the time for writing the error of a command, whose reader may have stalled.
const errorOutputTimeout = time.Second

// deps holds the output streams and the logger that each command gets.
type deps struct {
	out io.Writer
	err io.Writer
	log zerolog.Logger
}

// exitError is the error of a command together with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (failure *exitError) Error() string { return failure.err.Error() }

// Unwrap returns the cause.
func (failure *exitError) Unwrap() error { return failure.err }

func withExitCode(code int, err error) error { return &exitError{code, err} }

// commandLine declares all commands; each flag can also be set by an environment variable CELERYLANDING_….
type commandLine struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Minimum level of log lines: ${enum}."`

	Node       nodeCommand       `cmd:"" help:"Run one node."`
	Init       initCommand       `cmd:"" help:"Create a new control log in an empty data folder. Run it once per site, on one VM."`
	Check      checkCommand      `cmd:"" help:"Validate a base file and an overlay."`
	Submit     submitCommand     `cmd:"" help:"Apply a base file and an overlay as the new configuration."`
	Show       showCommand       `cmd:"" help:"Print the configuration in force and the state of nodes, targets and models."`
	Timeline   timelineCommand   `cmd:"" help:"Merge the timelines of several processes."`
	Experiment experimentCommand `cmd:"" help:"Simulate a workload against modelled engines, with the scheduling code of the real processes."`
	Explain    explainCommand    `cmd:"" help:"Print the history of one request from the logs of all processes."`
	Route      routeCommand      `cmd:"" help:"Ask a running router where a request would go now, and why, without sending it."`
	Platform   platformCommand   `cmd:"" help:"Run a process on the users' platform, configured by the settings file that the platform writes."`
	Demo       demoCommand       `cmd:"" help:"Run a node with fake targets on loopback."`
}

// Execute parses the arguments, runs the command and returns its exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("celerylanding"),
		kong.Description("Serving of rarely used models and adapters."),
		kong.DefaultEnvars("CELERYLANDING"),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(parserExitCode(code)) }),
	)
	if err != nil {
		return reportError(errOut, err)
	}
	return execute(parser, &line, arguments, out, errOut)
}

// parserExitCode is the panic value with which the parser's exit hook unwinds to execute, for example after printing help.
type parserExitCode int

func execute(parser *kong.Kong, line *commandLine, arguments []string, out, errOut io.Writer) (code int) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case parserExitCode:
			code = int(recovered)
		default:
			panic(recovered)
		}
	}()
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return reportError(errOut, withExitCode(ExitUsage, err))
	}
	level, err := zerolog.ParseLevel(line.LogLevel)
	if err != nil {
		return reportError(errOut, withExitCode(ExitUsage, err))
	}
	log := zerolog.New(zerolog.SyncWriter(errOut)).Level(level).With().Timestamp().Logger()
	return reportError(errOut, parsed.Run(&deps{out: out, err: errOut, log: log}))
}

func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		// A failed write to the error output can't be reported anywhere.
		_, _ = fmt.Fprintln(errOut, "celerylanding: "+messageText(err))
	}()
	select {
	case <-written:
	case <-time.After(errorOutputTimeout):
	}
	var failure *exitError
	if errors.As(err, &failure) {
		return failure.code
	}
	return ExitFailed
}

// messageText returns the message of an error without the type names that errorx prefixes.
func messageText(err error) string {
	var failure *exitError
	if errors.As(err, &failure) {
		err = failure.err
	}
	// The parser joins the error of a command with those of its hooks.
	if joined, ok := err.(interface{ Unwrap() []error }); ok && len(joined.Unwrap()) == 1 {
		err = joined.Unwrap()[0]
	}
	return celerylanding.MessageOf(err)
}
