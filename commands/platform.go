package commands

import "celerylanding.example/celerylanding/platform"

// platformCommand runs the processes of the users' platform.
type platformCommand struct {
	Router     routerCommand     `cmd:"" help:"Serve callers."`
	Controller controllerCommand `cmd:"" help:"Keep the control log, the directory of targets and the orders to engines."`
}

type routerCommand struct {
	NodeFile string `required:"" help:"Settings file that the platform writes for this process."`
}

// Run serves callers until the process is asked to stop.
func (command *routerCommand) Run(deps *deps) error {
	return platform.RunRouter(command.NodeFile, deps.out, deps.log.GetLevel())
}

type controllerCommand struct {
	NodeFile string `required:"" help:"Settings file that the platform writes for this process."`
}

// Run runs a control node until the process is asked to stop.
func (command *controllerCommand) Run(deps *deps) error {
	return platform.RunController(command.NodeFile, deps.out, deps.log.GetLevel())
}
