// Command celerylanding serves rarely used language models and adapters.
package main

import (
	"os"

	"celerylanding.example/celerylanding/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
