package commands

import (
	"fmt"
	"os"

	"celerylanding.example/celerylanding/simulation"
)

type experimentCommand struct {
	Files  []string `arg:"" help:"Experiment files."`
	Policy string   `enum:",planned,static" default:"" help:"Override the policy of the file: planned or static."`
	Seeds  int      `default:"1" help:"Number of runs per file, with consecutive seeds from the seed in the file."`
}

// Run simulates each experiment and prints its results by request class.
func (command *experimentCommand) Run(deps *deps) error {
	for _, name := range command.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		experiment, err := simulation.Parse(name, text)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		if command.Policy != "" {
			experiment.Policy = command.Policy
		}
		title := experiment.Name
		for range max(1, command.Seeds) {
			experiment.Name = fmt.Sprintf("%s %s %d", title, experiment.Policy, experiment.Seed)
			result, err := simulation.Run(experiment)
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			if err := result.Write(deps.out); err != nil {
				return err
			}
			experiment.Seed++
		}
	}
	return nil
}
