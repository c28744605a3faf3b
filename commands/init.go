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

// Run starts a new control log; a folder that holds one already is refused.
func (command *initCommand) Run(deps *deps) error {
	if command.Data == "" {
		return exit(ExitUsage, fmt.Errorf("--data is missing"))
	}
	if err := checkIdentity(command.identity); err != nil {
		return exit(ExitUsage, err)
	}
	member, err := node.Bootstrap(node.BootstrapOptions{
		ID:         celerylanding.NodeID(command.ID),
		Domain:     celerylanding.FailureDomain(command.Domain),
		DataFolder: command.Data,
		Address:    command.Peers,
		Seed:       newSeed(),
	})
	if err != nil {
		return exit(ExitRefused, err)
	}
	_, err = fmt.Fprintf(deps.out, "new control log with one voter, %s\n", member)
	return err
}
