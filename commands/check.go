package commands

import (
	"fmt"
	"os"
	"text/tabwriter"

	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/node"
)

// documentFiles names the files of a configuration: a base file and an optional overlay for one site.
type documentFiles struct {
	Base    string `arg:"" help:"Base file."`
	Overlay string `arg:"" optional:"" help:"Overlay file of the site."`
}

func (files documentFiles) read() (config.Document, error) {
	base, err := os.ReadFile(files.Base)
	if err != nil {
		return config.Document{}, withExitCode(ExitUsage, err)
	}
	document := config.Document{BaseName: files.Base, Base: string(base)}
	if files.Overlay == "" {
		return document, nil
	}
	overlay, err := os.ReadFile(files.Overlay)
	if err != nil {
		return config.Document{}, withExitCode(ExitUsage, err)
	}
	document.OverlayName, document.Overlay = files.Overlay, string(overlay)
	return document, nil
}

// parse reads the files and validates the configuration.
func (files documentFiles) parse() (config.Document, *config.Config, error) {
	document, err := files.read()
	if err != nil {
		return document, nil, err
	}
	parsed, err := config.Parse(document)
	if err != nil {
		return document, nil, withExitCode(ExitUsage, err)
	}
	return document, parsed, nil
}

type checkCommand struct {
	documentFiles
}

// Run validates the files and prints a summary of the configuration.
func (command *checkCommand) Run(deps *deps) error {
	_, parsed, err := command.parse()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(deps.out, "revision %d of %s is valid: %d models and adapters, %d services, digest %s\n",
		parsed.Revision(), parsed.Site(), len(parsed.Models()), len(parsed.Services()), parsed.Digest())
	if err != nil || !parsed.Access().NeedsKeys() {
		return err
	}
	table := tabwriter.NewWriter(deps.out, 0, 0, 2, ' ', 0)
	for _, row := range workspaceRows(node.WorkspacesOf(parsed)) {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}
