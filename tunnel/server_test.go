package tunnel_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/tunnel"
)

// fullListener fails to accept, as in a process without descriptors.
type fullListener struct {
	net.Listener
	failures atomic.Int64
}

func (listener *fullListener) Accept() (net.Conn, error) {
	listener.failures.Add(1)
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// TestLackOfDescriptorsDoesNotEndTheServer guards against a router that ends because it can't accept a connection of another router.
func TestLackOfDescriptorsDoesNotEndTheServer(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &fullListener{Listener: inner}
	server := tunnel.NewServer(tunnel.ServerOptions{Log: zerolog.Nop(), Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	time.Sleep(350 * time.Millisecond)
	select {
	case err := <-ended:
		t.Fatalf("the server has ended: %v", err)
	default:
	}
	assert.Assert(t, listener.failures.Load() <= 5, "accepted without a pause")
	cancel()
	assert.NilError(t, <-ended)
}
