package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
)

// maxConnections is the maximum number of open connections of one listener; further ones are closed at once.
const maxConnections = 4096

// Server serves net/rpc calls from peers on one listener.
type Server struct {
	listener    net.Listener
	server      *rpc.Server
	clock       *hlc.Clock
	counters    *rpccodec.Counters
	mutex       sync.Mutex
	connections map[net.Conn]bool
	handlers    sync.WaitGroup
}

// NewServer returns a server that registers the methods of the service under the name "Peer". It returns an error if the service has
// no suitable methods.
func NewServer(listener net.Listener, service any, clock *hlc.Clock, counters *rpccodec.Counters) (*Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", service); err != nil {
		return nil, err
	}
	return &Server{listener: listener, server: server, clock: clock, counters: counters, connections: make(map[net.Conn]bool)}, nil
}

// Run serves until the context ends or accepting fails, then closes all connections and waits for their handlers.
func (server *Server) Run(ctx context.Context) error {
	accepted := make(chan error, 1)
	go func() { accepted <- server.accept(ctx) }()
	var err error
	select {
	case <-ctx.Done():
		_ = server.listener.Close()
		<-accepted
	case err = <-accepted:
	}
	server.closeAll()
	server.handlers.Wait()
	return err
}

func (server *Server) accept(ctx context.Context) error {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if !server.register(conn) {
			_ = conn.Close()
			continue
		}
		server.handlers.Go(func() { server.serve(conn) })
	}
}

func (server *Server) register(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) >= maxConnections {
		return false
	}
	server.connections[conn] = true
	return true
}

func (server *Server) serve(conn net.Conn) {
	server.server.ServeCodec(rpccodec.NewServer(conn, server.clock, server.counters))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.connections, conn)
}

func (server *Server) closeAll() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.connections {
		_ = conn.Close()
	}
}
