package rpc_test

import (
	"context"
	"net"
	netrpc "net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// Empty is a request or reply without data.
type Empty struct{}

// service answers Quick at once, and Slow only when released is closed.
type service struct{ released chan struct{} }

// Quick answers at once.
func (service *service) Quick(_ *Empty, _ *Empty) error { return nil }

// Slow answers when released is closed.
func (service *service) Slow(_ *Empty, _ *Empty) error {
	<-service.released
	return nil
}

// startServer serves the calls of any number of connections and counts these.
func startServer(t *testing.T) (address string, connections *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	released := make(chan struct{})
	server := netrpc.NewServer()
	assert.NilError(t, server.RegisterName("Peer", &service{released}))
	connections = &atomic.Int32{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go server.ServeCodec(rpccodec.NewServer(conn, hlc.New(time.Second), &rpccodec.Counters{}))
		}
	}()
	t.Cleanup(func() {
		close(released)
		assert.NilError(t, listener.Close())
		<-done
	})
	return listener.Addr().String(), connections
}

func newPeers(t *testing.T) *rpc.Peers {
	peers := rpc.NewPeers(t.Context(), rpc.Options{Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	t.Cleanup(peers.Close)
	return peers
}

func call(t *testing.T, peers *rpc.Peers, address, method string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return peers.Call(ctx, address, method, &Empty{}, &Empty{})
}

// TestLateReplyKeepsTheConnection guards against a busy peer that gets a new connection for each late reply, which adds to its load.
func TestLateReplyKeepsTheConnection(t *testing.T) {
	address, connections := startServer(t)
	peers := newPeers(t)
	assert.NilError(t, call(t, peers, address, "Peer.Quick", time.Minute))
	for range 4 {
		late := make(chan error, 1)
		go func() { late <- call(t, peers, address, "Peer.Slow", 600*time.Millisecond) }()
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, call(t, peers, address, "Peer.Quick", time.Minute))
		assert.ErrorContains(t, <-late, "deadline")
	}
	assert.Equal(t, connections.Load(), int32(1))
}

// TestSilentConnectionIsReplaced plays a connection on which nothing arrives any more, although the peer answers on new connections.
func TestSilentConnectionIsReplaced(t *testing.T) {
	address, connections := startServer(t)
	peers := newPeers(t)
	assert.NilError(t, call(t, peers, address, "Peer.Quick", time.Minute))
	for range 3 {
		assert.ErrorContains(t, call(t, peers, address, "Peer.Slow", 200*time.Millisecond), "deadline")
	}
	assert.NilError(t, call(t, peers, address, "Peer.Quick", time.Minute))
	assert.Equal(t, connections.Load(), int32(2))
}
