package soak

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"

	"github.com/rs/zerolog"

	"celerylanding.example/celerylanding/platform"
	"celerylanding.example/celerylanding/soak/netfault"
)

// RunNode runs one process of the system under test. Its connections to control nodes pass over links with the faults that the parent process writes to
// its input, one JSON list for each change. It ends with its parent.
func RunNode(role, nodeFile string, input io.Reader, out io.Writer) error {
	network := netfault.New(rand.Uint64(), 0)
	dial := func(ctx context.Context, localIP, address string) (net.Conn, error) {
		return network.DialFrom(localIP)(ctx, address)
	}
	run := platform.RunRouterOver
	if role == roleController {
		run = platform.RunControllerOver
	}
	ended := make(chan error, 2)
	go func() { ended <- readFaults(network, input) }()
	go func() { ended <- run(dial, nodeFile, out, zerolog.InfoLevel) }()
	return <-ended
}

func readFaults(network *netfault.Network, input io.Reader) error {
	for decoder := json.NewDecoder(input); ; {
		var faults []netfault.Fault
		if err := decoder.Decode(&faults); err != nil {
			return err
		}
		network.Set(faults)
	}
}
