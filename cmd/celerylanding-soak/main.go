// Command celerylanding-soak runs the real programs under random faults and checks their promises.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"celerylanding.example/celerylanding/soak"
)

type line struct {
	Binary  string        `required:"" help:"The celerylanding program."`
	Folder  string        `default:"/tmp/celerylanding-soak" help:"Folder for logs and data."`
	Seeds   []uint64      `default:"1" help:"Seeds to play, one after the other."`
	Length  time.Duration `default:"20s" help:"Time with faults of each seed."`
	Network int           `default:"77" help:"Second number of the loopback addresses (1 to 254)."`
}

func main() {
	var args line
	kong.Parse(&args, kong.Name("celerylanding-soak"), kong.Description("Random faults against the real programs."))
	failed := 0
	for _, seed := range args.Seeds {
		folder := filepath.Join(args.Folder, fmt.Sprintf("seed-%d-%d", seed, os.Getpid()))
		err := soak.Run(context.Background(), soak.Options{Binary: args.Binary, Folder: folder, Seed: seed, Length: args.Length,
			Network: args.Network, Out: os.Stdout})
		if err != nil {
			failed++
			// The exit status tells the same when the error output fails.
			_, _ = fmt.Fprintln(os.Stderr, err)
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}
