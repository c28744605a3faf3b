// Command celerylanding-soak runs the real processes under random faults and checks their delivery and consistency guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/soak"
)

// errFailed means that runs have failed; their errors are printed.
var errFailed = celerylanding.ErrorNamespace.NewType("runs_failed")

type commands struct {
	Run      runCommand  `cmd:"" default:"withargs" help:"Run the system under faults."`
	Platform nodeCommand `cmd:"" hidden:"" help:"Run one process of the system with harmed links; the soak starts it."`
}

type runCommand struct {
	Binary      string        `help:"Path of a celerylanding program, whose links are not harmed; by default this program runs the processes."`
	Previous    string        `help:"Path of the program of an earlier build, which is replaced process by process, and back; links are not harmed then."`
	Folder      string        `default:"/tmp/celerylanding-soak" help:"Folder for logs and data."`
	Seeds       []uint64      `default:"1" help:"Seeds to run, one after another."`
	Length      time.Duration `default:"20s" help:"Duration of fault injection for each seed."`
	Network     int           `default:"77" help:"Second octet of the loopback addresses (1 to 254), so that concurrent runs use different addresses."`
	Delay       time.Duration `help:"Time that packets between the processes take one way without a fault."`
	Controllers int           `default:"4" help:"Number of controllers."`
	Routers     int           `default:"2" help:"Number of routers (1 to 250)."`
}

// Run runs all seeds.
func (command *runCommand) Run() error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	hasLinks := command.Binary == "" && command.Previous == ""
	if command.Binary != "" {
		binary = command.Binary
	}
	failed := 0
	for _, seed := range command.Seeds {
		folder := filepath.Join(command.Folder, fmt.Sprintf("seed-%d-%d", seed, os.Getpid()))
		err := soak.Run(context.Background(), soak.Options{Binary: binary, Previous: command.Previous, HasLinks: hasLinks, Folder: folder, Seed: seed, Length: command.Length, Delay: command.Delay,
			Network: command.Network, Controllers: command.Controllers, Routers: command.Routers, Out: os.Stdout})
		if err != nil {
			failed++
			// If the write fails, the exit code still reports the failure.
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
	}
	if failed > 0 {
		return errFailed.New("%d of %d runs failed", failed, len(command.Seeds))
	}
	return nil
}

type nodeCommand struct {
	Role     string `arg:"" enum:"controller,router" help:"Role of the process."`
	NodeFile string `required:"" help:"Settings file of the process."`
}

// Run runs the process until it is asked to stop.
func (command *nodeCommand) Run() error {
	return soak.RunNode(command.Role, command.NodeFile, os.Stdin, os.Stdout)
}

func main() {
	var root commands
	parsed := kong.Parse(&root, kong.Name("celerylanding-soak"), kong.Description("Run the real processes under random faults."))
	parsed.FatalIfErrorf(parsed.Run())
}
