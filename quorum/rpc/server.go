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

// maxConnections bounds the connections of one listener.
const maxConnections = 4096

// Server serves peers on one listener.
type Server struct {
	listener net.Listener
	server   *rpc.Server
	clock    *hlc.Clock
	counters *rpccodec.Counters
	mutex    sync.Mutex
	open     map[net.Conn]bool
	serving  sync.WaitGroup
}

// NewServer returns a server that offers the methods of the service under the name "Peer".
func NewServer(listener net.Listener, service any, clock *hlc.Clock, counters *rpccodec.Counters) (*Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", service); err != nil {
		return nil, err
	}
	return &Server{listener: listener, server: server, clock: clock, counters: counters, open: make(map[net.Conn]bool)}, nil
}

// Run serves until the context ends, then closes all connections.
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
	server.serving.Wait()
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
		if !server.add(conn) {
			_ = conn.Close()
			continue
		}
		server.serving.Go(func() { server.serve(conn) })
	}
}

func (server *Server) add(conn net.Conn) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.open) >= maxConnections {
		return false
	}
	server.open[conn] = true
	return true
}

func (server *Server) serve(conn net.Conn) {
	server.server.ServeCodec(rpccodec.NewServer(conn, server.clock, server.counters))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.open, conn)
}

func (server *Server) closeAll() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.open {
		_ = conn.Close()
	}
}
