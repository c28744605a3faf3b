package commands

import "celerylanding.example/celerylanding/platform"

// platformCommand groups the processes that run on the users' platform.
type platformCommand struct {
	Router     routerCommand     `cmd:"" help:"Run a router, which serves callers."`
	Controller controllerCommand `cmd:"" help:"Run a controller, which replicates the control log, tracks the targets and sends orders to engines."`
}

type routerCommand struct {
	NodeFile string `required:"" help:"Settings file that the platform writes for this process."`
}

// Run runs a router until the process is asked to stop.
func (command *routerCommand) Run(deps *deps) error {
	return platform.RunRouter(command.NodeFile, deps.out, deps.log.GetLevel())
}

type controllerCommand struct {
	NodeFile string `required:"" help:"Settings file that the platform writes for this process."`
}

// Run runs a controller until the process is asked to stop.
func (command *controllerCommand) Run(deps *deps) error {
	return platform.RunController(command.NodeFile, deps.out, deps.log.GetLevel())
}
