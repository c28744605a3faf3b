package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is the fault that a proxy applies to its connections.
type mode int

const (
	modeForward mode = iota
	modeDelay
	modeDropAll
	modeDropAnswers
	// modeReset resets open connections at once, and new ones when the first bytes of an answer arrive.
	modeReset
	modeCount
)

// chunkDelay is the delay of each chunk in modeDelay.
const chunkDelay = 60 * time.Millisecond

// proxy forwards TCP connections to one target and injects network faults.
type proxy struct {
	listener    net.Listener
	target      string
	mutex       sync.Mutex
	mode        mode
	connections map[net.Conn]bool
}

func newProxy(listener net.Listener, target string) *proxy {
	return &proxy{listener: listener, target: target, connections: make(map[net.Conn]bool)}
}

// setMode changes the mode for all open and new connections; modeReset also resets the open ones.
func (prox *proxy) setMode(next mode) {
	prox.mutex.Lock()
	defer prox.mutex.Unlock()
	prox.mode = next
	if next != modeReset {
		return
	}
	for conn := range prox.connections {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With SO_LINGER 0, Close sends RST instead of FIN.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (prox *proxy) currentMode() mode {
	prox.mutex.Lock()
	defer prox.mutex.Unlock()
	return prox.mode
}

// run accepts connections until the listener is closed, then resets all connections and closes the channel.
func (prox *proxy) run(ended chan<- struct{}) {
	defer close(ended)
	var copies sync.WaitGroup
	for {
		client, err := prox.listener.Accept()
		if err != nil {
			prox.setMode(modeReset)
			copies.Wait()
			return
		}
		target, err := net.Dial("tcp", prox.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		prox.mutex.Lock()
		prox.connections[client], prox.connections[target] = true, true
		prox.mutex.Unlock()
		copies.Go(func() { prox.copy(target, client, false) })
		copies.Go(func() { prox.copy(client, target, true) })
	}
}

func (prox *proxy) copy(to io.Writer, from net.Conn, isAnswer bool) {
	buffer := make([]byte, 4<<10)
	// Once bytes have been dropped, all later ones are dropped too, since TCP can't deliver bytes after a gap.
	isDropping := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			break
		}
		now := prox.currentMode()
		if isDropping = isDropping || now == modeDropAll || (now == modeDropAnswers && isAnswer); isDropping {
			continue
		}
		switch now {
		case modeReset:
			if isAnswer {
				reset(from)
				continue
			}
		case modeDelay:
			time.Sleep(chunkDelay)
		default:
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			break
		}
	}
	if conn, ok := to.(net.Conn); ok {
		_ = conn.Close()
	}
	_ = from.Close()
	prox.mutex.Lock()
	defer prox.mutex.Unlock()
	delete(prox.connections, from)
}
