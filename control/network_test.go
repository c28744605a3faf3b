package control_test

import (
	"context"
	"net"
	"sync"
	"time"
)

// The retransmission timers of Linux: a lost segment is sent again after minRetransmit and then after twice as long each time, a lost SYN after
// synRetransmit in the same way.
const (
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 120 * time.Second
	synRetransmit = time.Second
	linkPoll      = 5 * time.Millisecond
)

// network decides which hosts reach each other. Connections over it behave like TCP on Linux while packets are lost: they hang, and what was sent
// meanwhile arrives some time after the link has returned.
type network struct {
	mutex sync.Mutex
	// cut holds the links, from one host to another, that lose all packets.
	cut map[[2]string]int
	// delay is the time that packets take one way.
	delay time.Duration
}

func newNetwork() *network { return &network{cut: make(map[[2]string]int)} }

// cutLinks cuts the links between two groups of hosts; the returned function restores them.
func (network *network) cutLinks(from, to []string) (restore func()) {
	change := func(by int) {
		network.mutex.Lock()
		defer network.mutex.Unlock()
		for _, a := range from {
			for _, b := range to {
				if a != b {
					network.cut[[2]string{a, b}] += by
					network.cut[[2]string{b, a}] += by
				}
			}
		}
	}
	change(1)
	return func() { change(-1) }
}

func (network *network) isUp(a, b string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.cut[[2]string{a, b}] == 0 && network.cut[[2]string{b, a}] == 0
}

// dialFrom returns the function with which a host opens connections.
func (network *network) dialFrom(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		peer, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		for wait := synRetransmit; !network.isUp(host, peer); wait *= 2 {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(wait):
			}
		}
		time.Sleep(2 * network.delay)
		conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		link := &linkConn{Conn: conn, isUp: func() bool { return network.isUp(host, peer) }, closed: make(chan struct{})}
		link.incoming, link.outgoing, link.arrived = newSegments(), newSegments(), sync.NewCond(&link.mutex)
		go link.outgoing.deliver(network.delay, link.isUp, link.closed, func(data []byte) error { _, err := conn.Write(data); return err })
		go link.receive()
		go link.incoming.deliver(network.delay, link.isUp, link.closed, link.append)
		return link, nil
	}
}

// segments are the bytes on their way in one direction.
type segments struct {
	mutex sync.Mutex
	data  []segment
	added chan struct{}
}

// segment is what was sent at a time.
type segment struct {
	data []byte
	sent time.Time
}

func newSegments() *segments { return &segments{added: make(chan struct{}, 1)} }

func (queue *segments) add(data []byte) {
	queue.mutex.Lock()
	queue.data = append(queue.data, segment{append([]byte(nil), data...), time.Now()})
	queue.mutex.Unlock()
	select {
	case queue.added <- struct{}{}:
	default:
	}
}

func (queue *segments) take() []segment {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	data := queue.data
	queue.data = nil
	return data
}

// deliver passes the bytes on, each time after the retransmission at which the link is up.
func (queue *segments) deliver(delay time.Duration, isUp func() bool, closed <-chan struct{}, pass func(data []byte) error) {
	for {
		select {
		case <-queue.added:
		case <-closed:
			return
		}
		for wait := minRetransmit; !isUp(); wait = min(2*wait, maxRetransmit) {
			select {
			case <-time.After(wait):
			case <-closed:
				return
			}
		}
		for _, segment := range queue.take() {
			time.Sleep(time.Until(segment.sent.Add(delay)))
			if pass(segment.data) != nil {
				return
			}
		}
	}
}

// linkConn is a connection over a link that may be cut.
type linkConn struct {
	net.Conn
	isUp               func() bool
	incoming, outgoing *segments
	mutex              sync.Mutex
	arrived            *sync.Cond
	buffer             []byte
	err                error
	closed             chan struct{}
	closeOnce          sync.Once
}

// receive takes what the peer sends; the peer's end of the connection arrives like its bytes.
func (conn *linkConn) receive() {
	buffer := make([]byte, 64<<10)
	for {
		count, err := conn.Conn.Read(buffer)
		if count > 0 {
			conn.incoming.add(buffer[:count])
		}
		if err == nil {
			continue
		}
		for wait := minRetransmit; !conn.isUp(); wait = min(2*wait, maxRetransmit) {
			select {
			case <-time.After(wait):
			case <-conn.closed:
				return
			}
		}
		time.Sleep(linkPoll)
		conn.mutex.Lock()
		conn.err = err
		conn.mutex.Unlock()
		conn.arrived.Broadcast()
		return
	}
}

func (conn *linkConn) append(data []byte) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.buffer = append(conn.buffer, data...)
	conn.arrived.Broadcast()
	return nil
}

// Read returns the bytes that have arrived.
func (conn *linkConn) Read(buffer []byte) (int, error) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	for len(conn.buffer) == 0 && conn.err == nil {
		conn.arrived.Wait()
	}
	if len(conn.buffer) == 0 {
		return 0, conn.err
	}
	count := copy(buffer, conn.buffer)
	conn.buffer = conn.buffer[count:]
	return count, nil
}

// Write sends bytes, as into the buffer of a socket.
func (conn *linkConn) Write(data []byte) (int, error) {
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	default:
	}
	conn.outgoing.add(data)
	return len(data), nil
}

// Close closes the connection; the peer learns of it once the link is up.
func (conn *linkConn) Close() error {
	conn.closeOnce.Do(func() {
		close(conn.closed)
		conn.mutex.Lock()
		conn.err = net.ErrClosed
		conn.mutex.Unlock()
		conn.arrived.Broadcast()
		go func() {
			for wait := minRetransmit; !conn.isUp(); wait = min(2*wait, maxRetransmit) {
				time.Sleep(wait)
			}
			_ = conn.Conn.Close()
		}()
	})
	return nil
}
