package netfault

import (
	"net"
	"sync"
	"time"
)

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

// deliver passes the bytes on, each time after the retransmission that is not lost.
func (queue *segments) deliver(way link, closed <-chan struct{}, pass func(data []byte) error) {
	for {
		select {
		case <-queue.added:
		case <-closed:
			return
		}
		if !way.awaitPass(closed) {
			return
		}
		for _, segment := range queue.take() {
			time.Sleep(time.Until(segment.sent.Add(way.network.delayOf(way.from, way.to))))
			if pass(segment.data) != nil {
				return
			}
		}
	}
}

// conn is a connection whose bytes pass over a link in each direction.
type conn struct {
	net.Conn
	out, back          link
	incoming, outgoing *segments
	mutex              sync.Mutex
	arrived            *sync.Cond
	buffer             []byte
	err                error
	closed             chan struct{}
	closeOnce          sync.Once
}

func newConn(dialed net.Conn, out, back link) *conn {
	made := &conn{Conn: dialed, out: out, back: back, closed: make(chan struct{}), incoming: newSegments(), outgoing: newSegments()}
	made.arrived = sync.NewCond(&made.mutex)
	go made.outgoing.deliver(out, made.closed, func(data []byte) error { _, err := dialed.Write(data); return err })
	go made.receive()
	go made.incoming.deliver(back, made.closed, made.append)
	return made
}

// receive takes what the peer sends; the peer's end of the connection arrives like its bytes.
func (conn *conn) receive() {
	buffer := make([]byte, 64<<10)
	for {
		count, err := conn.Conn.Read(buffer)
		if count > 0 {
			conn.incoming.add(buffer[:count])
		}
		if err == nil {
			continue
		}
		if !conn.back.awaitPass(conn.closed) {
			return
		}
		time.Sleep(linkPoll)
		conn.mutex.Lock()
		conn.err = err
		conn.mutex.Unlock()
		conn.arrived.Broadcast()
		return
	}
}

func (conn *conn) append(data []byte) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.buffer = append(conn.buffer, data...)
	conn.arrived.Broadcast()
	return nil
}

// Read returns the bytes that have arrived.
func (conn *conn) Read(buffer []byte) (int, error) {
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
func (conn *conn) Write(data []byte) (int, error) {
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	default:
	}
	conn.outgoing.add(data)
	return len(data), nil
}

// Close closes the connection; the peer learns of it once a packet passes.
func (conn *conn) Close() error {
	conn.closeOnce.Do(func() {
		close(conn.closed)
		conn.mutex.Lock()
		conn.err = net.ErrClosed
		conn.mutex.Unlock()
		conn.arrived.Broadcast()
		go func() {
			conn.out.awaitPass(nil)
			_ = conn.Conn.Close()
		}()
	})
	return nil
}
