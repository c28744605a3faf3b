//go:build review

package main

import (
	"net"
	"net/http"
	"sync"
)

// darkListener accepts the connections of one lifetime of a server, which can go dark: its machine then neither answers nor closes them.
type darkListener struct {
	net.Listener
	// dark is closed when the lifetime goes dark, and over when the case ends.
	dark, over chan struct{}
	mutex      sync.Mutex
	states     map[net.Conn]http.ConnState
}

func newDarkListener(listener net.Listener) *darkListener {
	return &darkListener{Listener: listener, dark: make(chan struct{}), over: make(chan struct{}), states: make(map[net.Conn]http.ConnState)}
}

// Accept waits for the next connection; while the lifetime is dark, it returns none.
func (listener *darkListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &darkConn{conn, listener}, nil
}

// record keeps the state of a connection.
func (listener *darkListener) record(conn net.Conn, state http.ConnState) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.states[conn] = state
}

// isDark reports whether the lifetime has gone dark.
func (listener *darkListener) isDark() bool {
	select {
	case <-listener.dark:
		return true
	default:
		return false
	}
}

// resetIdle resets the connections without a request under way, as the restarted machine does when the next packet arrives. The others hear nothing.
func (listener *darkListener) resetIdle() {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for conn, state := range listener.states {
		if state == http.StateActive {
			continue
		}
		reset(conn)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if dark, ok := conn.(*darkConn); ok {
		conn = dark.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// darkConn is a connection of a lifetime that can go dark.
type darkConn struct {
	net.Conn
	listener *darkListener
}

// Read reads, and does not return once the lifetime is dark.
func (conn *darkConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.hang()
	return count, err
}

// Write writes; once the lifetime is dark, nothing is written.
func (conn *darkConn) Write(buffer []byte) (int, error) {
	conn.hang()
	return conn.Conn.Write(buffer)
}

func (conn *darkConn) hang() {
	if conn.listener.isDark() {
		<-conn.listener.over
	}
}

// Close closes the connection, unless the lifetime is dark.
func (conn *darkConn) Close() error {
	conn.hang()
	return conn.Conn.Close()
}
