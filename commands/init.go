package commands

import (
	"fmt"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/node"
)

type initCommand struct {
	identity
	Peers string `default:"127.0.0.1:7003" help:"Peer address of this node."`
}

// Run creates a new control log; it fails with ExitRefused if the folder already holds one.
func (command *initCommand) Run(deps *deps) error {
	if command.Data == "" {
		return withExitCode(ExitUsage, fmt.Errorf("--data is missing"))
	}
	if err := checkIdentity(command.identity); err != nil {
		return withExitCode(ExitUsage, err)
	}
	member, err := node.Bootstrap(node.BootstrapOptions{
		ID:         celerylanding.NodeID(command.ID),
		Domain:     celerylanding.FailureDomain(command.Domain),
		DataFolder: command.Data,
		Address:    command.Peers,
		Seed:       newSeed(),
	})
	if err != nil {
		return withExitCode(ExitRefused, err)
	}
	_, err = fmt.Fprintf(deps.out, "new control log with one voter, %s\n", member)
	return err
}
