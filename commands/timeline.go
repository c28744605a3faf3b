package commands

import (
	"os"

	"celerylanding.example/celerylanding/timeline"
)

type timelineCommand struct {
	Files   []string `arg:"" help:"Timeline files of the processes."`
	HTML    bool     `help:"Print one self-contained HTML page." name:"html"`
	Request string   `help:"Only events of this request."`
	Model   string   `help:"Only events of this model."`
	Target  string   `help:"Only events of this target."`
}

// Run merges the timelines, filters them and prints the events in causal order.
func (command *timelineCommand) Run(deps *deps) error {
	var entries []timeline.Entry
	for _, name := range command.Files {
		file, err := os.Open(name)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		read, err := timeline.Read(name, file)
		_ = file.Close()
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		entries = append(entries, read...)
	}
	entries = timeline.Filter{Request: command.Request, Model: command.Model, Target: command.Target}.Apply(entries)
	timeline.Sort(entries)
	if command.HTML {
		return timeline.WriteHTML(deps.out, entries)
	}
	return timeline.WriteText(deps.out, entries)
}
