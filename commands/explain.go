package commands

import (
	"fmt"
	"os"

	"celerylanding.example/celerylanding/explain"
)

type explainCommand struct {
	Request string   `arg:"" help:"Identifier of the request."`
	Files   []string `arg:"" help:"Logs of the processes."`
}

// Run prints what happened to one request, in order, and the cause that its router gave.
func (command *explainCommand) Run(deps *deps) error {
	var lines []explain.Line
	for _, name := range command.Files {
		file, err := os.Open(name)
		if err != nil {
			return exit(ExitUsage, err)
		}
		read, skipped, err := explain.Read(file)
		// Nothing was written, so that closing can't lose anything.
		_ = file.Close()
		if err != nil {
			return exit(ExitUsage, fmt.Errorf("%s: %w", name, err))
		}
		if skipped > 0 {
			deps.log.Warn().Str("file", name).Int("lines", skipped).Msg("lines that are no log lines are left out")
		}
		lines = append(lines, read...)
	}
	story, err := explain.Of(command.Request, lines)
	if err != nil {
		return exit(ExitFailed, err)
	}
	for _, line := range story.Lines() {
		if _, err := fmt.Fprintln(deps.out, line.String()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(deps.out, "outcome: "+story.Cause())
	return err
}
