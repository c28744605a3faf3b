package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
)

// setLinger sets whether closing a connection resets it (0) or closes it in order (-1).
func setLinger(conn net.Conn, seconds int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without the option, the connection is closed in order.
		_ = tcp.SetLinger(seconds)
	}
}

// endOf returns nil for the end of a connection in order.
func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Conn is a connection to a target through another router.
type Conn struct {
	*net.TCPConn
	via     string
	release func()
}

// Via returns the address of the other router.
func (conn *Conn) Via() string { return conn.via }

// Close closes the connection.
func (conn *Conn) Close() error {
	conn.release()
	return conn.TCPConn.Close()
}

func newConn(conn *net.TCPConn, via string, release func()) *Conn {
	return &Conn{TCPConn: conn, via: via, release: sync.OnceFunc(release)}
}
