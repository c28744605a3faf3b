package proxy

import (
	"context"
	"net"
	"net/http"
	"time"
)

// lingerer is a connection that can be reset instead of closed in order.
type lingerer interface {
	SetLinger(seconds int) error
}

// writeGrace is the time after a request's deadline in which a caller may still read what was sent to it before.
const writeGrace = time.Second

// limitWrites ends the writing of an answer that its caller does not read: a blocked write keeps the connection to the target, a goroutine and
// their buffers. A connection that is to be closed keeps the limit, since closing it writes what is still buffered.
func limitWrites(writer http.ResponseWriter, remaining time.Duration) {
	// Connections whose writes have no deadline keep the limits of the server.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(remaining + writeGrace))
}

// liftWriteLimit ends the limit on writes, since the connection may carry further requests.
func liftWriteLimit(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Time{})
}

type callerConnKey struct{}

// ConnContext makes the connections of callers known to a Handler; it is for the field of the same name of an HTTP server. Without it, an answer that
// ends with its target's connection can't be passed on.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConn is the connection of a request's caller.
type callerConn struct {
	conn lingerer
	// endsBodies is set once the end of the connection ends a body. Until the body is complete, the connection is reset when it is closed, also by
	// the end of this process, so that a part of the body does not look complete.
	endsBodies bool
}

func newCallerConn(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(lingerer)
	return &callerConn{conn: conn}
}

// beginBody reports whether the end of the connection may end the body that begins now.
func (caller *callerConn) beginBody() bool {
	caller.endsBodies = caller.conn != nil && caller.conn.SetLinger(0) == nil
	return caller.endsBodies
}

// endBody makes the connection close in order after a complete body.
func (caller *callerConn) endBody() error {
	if !caller.endsBodies {
		return nil
	}
	return caller.conn.SetLinger(-1)
}
