package commands

import (
	"fmt"
	"os"

	"celerylanding.example/celerylanding/explain"
)

type explainCommand struct {
	Request string   `arg:"" help:"ID of the request."`
	Files   []string `arg:"" help:"Log files of the processes."`
}

// Run prints the log lines that concern one request in order of time, and the outcome with the cause that its router logged.
func (command *explainCommand) Run(deps *deps) error {
	var lines []explain.Line
	for _, name := range command.Files {
		file, err := os.Open(name)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		read, skipped, err := explain.Read(file)
		// The file was only read, so an error on close loses no data.
		_ = file.Close()
		if err != nil {
			return withExitCode(ExitUsage, fmt.Errorf("%s: %w", name, err))
		}
		if skipped > 0 {
			deps.log.Warn().Str("file", name).Int("lines", skipped).Msg("skipped lines that are not valid log lines")
		}
		lines = append(lines, read...)
	}
	history, err := explain.NewHistory(command.Request, lines)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	for _, line := range history.Lines() {
		if _, err := fmt.Fprintln(deps.out, line.String()); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(deps.out, "outcome: "+history.Cause())
	return err
}
