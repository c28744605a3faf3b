package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// maxConnections bounds the connections that are passed on for other routers. Each takes two descriptors and two buffers.
	maxConnections = 256
	// maxLoad bounds them together with the requests of this router's own callers, which come first.
	maxLoad = 512
	// bufferSize is the size of the buffer of each direction.
	bufferSize = 4 << 10
	// writeTimeout is how long a router may take no bytes before its connection is reset.
	writeTimeout = 30 * time.Second
	// keepAliveInterval is the interval of the probes that find out whether the other router is gone.
	keepAliveInterval = time.Second
	// acceptPause is the time until the next connection is accepted after an error, such as a lack of descriptors.
	acceptPause = 100 * time.Millisecond
)

// ServerOptions configure a server.
type ServerOptions struct {
	// Dial connects to a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Allows reports whether an address is that of a target.
	Allows func(address string) bool
	// IsCut reports whether this router reaches no target.
	IsCut func() bool
	// Settle waits until it is known whether this router reaches targets, and reports whether it does.
	Settle func(ctx context.Context) bool
	// OwnLoad returns the number of requests of this router's own callers.
	OwnLoad func() int
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Server connects other routers to targets.
type Server struct {
	options  ServerOptions
	open     atomic.Int64
	draining atomic.Bool
}

// NewServer returns a server.
func NewServer(options ServerOptions) *Server { return &Server{options: options} }

// Listen opens a listener that notices routers that are gone.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3}}
	return config.Listen(ctx, "tcp", address)
}

// Open returns the number of connections that are passed on.
func (server *Server) Open() int { return int(server.open.Load()) }

// Drain refuses further connections.
func (server *Server) Drain() { server.draining.Store(true) }

// IsDraining reports whether further connections are refused.
func (server *Server) IsDraining() bool { return server.draining.Load() }

// Serve accepts the connections of other routers until the context ends, which closes all of them.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			server.options.Log.Warn().Err(err).Msg("connection of another router not accepted")
			if !sleep(ctx, acceptPause) {
				return nil
			}
			continue
		}
		if server.open.Load() >= 2*maxConnections {
			// They have not said yet what they want, or are being refused.
			_ = conn.Close()
			continue
		}
		connections.Add(1)
		go func() {
			defer connections.Done()
			server.handle(ctx, conn)
		}()
	}
}

// handle serves one connection. Until the target has ended its side in order, the connection is reset when it is closed, also by the end of this
// process, so that a part of an answer does not look complete.
func (server *Server) handle(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	open := server.open.Add(1)
	defer func() { server.gauge(server.open.Add(-1)) }()
	server.gauge(open)
	setLinger(conn, 0)
	_ = conn.SetDeadline(time.Now().Add(greetingTimeout))
	address, err := readGreeting(conn)
	if err != nil {
		return
	}
	target, answer := server.connect(ctx, address, int(open))
	server.options.Metrics.Tagged(map[string]string{"outcome": answer.String()}).Counter("detours_served").Inc(1)
	_, err = conn.Write([]byte{byte(answer)})
	if target == nil {
		setLinger(conn, -1)
		return
	}
	defer func() { _ = target.Close() }()
	defer context.AfterFunc(ctx, func() { _ = target.Close() })()
	if err == nil && conn.SetDeadline(time.Time{}) == nil {
		splice(conn, target)
	}
}

func (server *Server) gauge(open int64) {
	server.options.Metrics.Gauge("detours_open").Update(float64(open))
}

// connect connects to a target for another router; the connection is nil unless the status says that it is there.
func (server *Server) connect(ctx context.Context, address string, open int) (net.Conn, status) {
	switch {
	case server.draining.Load() || open > maxConnections || open+server.options.OwnLoad() > maxLoad:
		return nil, statusBusy
	case server.options.IsCut():
		return nil, statusCut
	case !server.options.Allows(address):
		return nil, statusUnknown
	}
	target, err := server.options.Dial(ctx, address)
	switch {
	case err == nil:
		return target, statusConnected
	case !server.options.Settle(ctx):
		return nil, statusCut
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, statusRefused
	}
	return nil, statusFailed
}

// splice passes bytes on until one side ends. The end of the router's side ends the target's at once, since the request was given up; bytes that the
// target has not got are dropped. The end of the target's side is passed on as it is: in order, or as a reset, which the write of a request may find.
func splice(router, target net.Conn) {
	done := make(chan struct{})
	upload := &uploadConn{Conn: target}
	go func() {
		defer close(done)
		if err := pass(upload, router, 0); err != nil {
			setLinger(target, 0)
		}
		_ = target.Close()
	}()
	if err := pass(router, target, writeTimeout); err == nil && !upload.hasFailed() {
		setLinger(router, -1)
	}
	_ = router.Close()
	<-done
}

// uploadConn records whether a write has failed. The kernel reports a reset once: after a write that got it, a read finds an end in order.
type uploadConn struct {
	net.Conn
	mutex  sync.Mutex
	failed bool
}

// Write writes to the connection.
func (conn *uploadConn) Write(bytes []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	count, err := conn.Conn.Write(bytes)
	conn.failed = conn.failed || err != nil
	return count, err
}

// hasFailed waits for the write that goes on, if any, and reports whether one has failed.
func (conn *uploadConn) hasFailed() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.failed
}

// pass copies bytes until the end of the source; each write may take the timeout, if there is one.
func pass(destination, source net.Conn, timeout time.Duration) error {
	buffer := make([]byte, bufferSize)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			if timeout > 0 {
				_ = destination.SetWriteDeadline(time.Now().Add(timeout))
			}
			if _, err := destination.Write(buffer[:count]); err != nil {
				return err
			}
		}
		if err != nil {
			return endOf(err)
		}
	}
}
