package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

const (
	modePass mode = iota
	modeDelay
	modeSilence
	modeOneWay
	// modeReset resets connections, the ones of new requests when their answer begins.
	modeReset
	modeCount
)

// delayTime is how long a delaying proxy holds each piece back.
const delayTime = 60 * time.Millisecond

// proxy stands before a target and harms connections.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	mode     mode
	open     map[net.Conn]bool
}

func newProxy(listener net.Listener, target string) *proxy {
	return &proxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
}

// set changes what happens to all connections from now on; a reset closes the open ones.
func (prox *proxy) set(next mode) {
	prox.mutex.Lock()
	defer prox.mutex.Unlock()
	prox.mode = next
	if next != modeReset {
		return
	}
	for conn := range prox.open {
		reset(conn)
	}
}

// reset closes a connection so that its other end gets a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Closing with nothing to linger for resets the connection.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (prox *proxy) now() mode {
	prox.mutex.Lock()
	defer prox.mutex.Unlock()
	return prox.mode
}

// run accepts connections until the listener is closed, then reports its end.
func (prox *proxy) run(ended chan<- struct{}) {
	defer close(ended)
	var copies sync.WaitGroup
	for {
		caller, err := prox.listener.Accept()
		if err != nil {
			prox.set(modeReset)
			copies.Wait()
			return
		}
		target, err := net.Dial("tcp", prox.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		prox.mutex.Lock()
		prox.open[caller], prox.open[target] = true, true
		prox.mutex.Unlock()
		copies.Go(func() { prox.copy(target, caller, false) })
		copies.Go(func() { prox.copy(caller, target, true) })
	}
}

func (prox *proxy) copy(to io.Writer, from net.Conn, isAnswer bool) {
	buffer := make([]byte, 4<<10)
	// A connection that has lost bytes stays silent, since nothing that follows them could be delivered.
	isSilent := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			break
		}
		now := prox.now()
		if isSilent = isSilent || now == modeSilence || (now == modeOneWay && isAnswer); isSilent {
			continue
		}
		switch now {
		case modeReset:
			if isAnswer {
				reset(from)
				continue
			}
		case modeDelay:
			time.Sleep(delayTime)
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
	delete(prox.open, from)
}
