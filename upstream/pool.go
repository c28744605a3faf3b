package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes; one event of a stream fits.
	readBuffer = 4 << 10
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection counts as dead; several round trips
	// between failure domains.
	ackTimeout = 500 * time.Millisecond
	// idleMargin is how much earlier than a target a connection is given up here.
	idleMargin = 500 * time.Millisecond
)

var (
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = celerylanding.Namespace.NewType("upstream_not_sent")
	// ErrRefused means that nothing listens at the address.
	ErrRefused = ErrNotSent.NewSubtype("refused")
	// ErrBroken means that the exchange broke off after bytes of the request had left.
	ErrBroken = celerylanding.Namespace.NewType("upstream_broken")
	// ErrSilent means that bytes of the request had left and that nothing acknowledged them.
	ErrSilent = ErrBroken.NewSubtype("silent")
)

// Settings fix how connections are made and kept.
type Settings struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept whose target does not say how long it keeps it.
	IdleTimeout time.Duration
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// rests is since when the connection is idle, and expires when it is no longer used.
	rests   time.Time
	expires time.Time
}

// Pool keeps connections by address.
type Pool struct {
	settings Settings
	dialer   net.Dialer
	mutex    sync.Mutex
	idle     map[string][]*conn
	opened   uint64
	reused   uint64
	rest     restLimit
}

// New returns a pool without connections.
func New(settings Settings) *Pool {
	pool := &Pool{settings: settings, idle: make(map[string][]*conn)}
	pool.dialer = net.Dialer{Timeout: settings.DialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return pool
}

// setUserTimeout makes the kernel give up a connection whose bytes are not acknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Counts returns how many connections were opened and how often one was used again.
func (pool *Pool) Counts() (opened, reused uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened, pool.reused
}

// IdleLimit returns how long idle connections are used again, and whether targets have made that shorter than they say.
func (pool *Pool) IdleLimit(now time.Time) (time.Duration, bool) { return pool.rest.at(now) }

// get returns an idle connection that is still good, or a new one.
func (pool *Pool) get(ctx context.Context, now time.Time, address string) (link *conn, isNew bool, err error) {
	for {
		link := pool.takeIdle(address)
		if link == nil {
			break
		}
		limit, isLimited := pool.rest.at(now)
		if now.Before(link.expires) && (!isLimited || now.Sub(link.rests) < limit) && link.isQuiet() {
			return link, false, nil
		}
		_ = link.Close()
	}
	dialed, err := pool.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	link = &conn{Conn: dialed, reader: bufio.NewReaderSize(dialed, readBuffer)}
	if tcp, ok := dialed.(*net.TCPConn); ok {
		// Without the raw connection a kept connection can't be checked and is not used again.
		link.raw, _ = tcp.SyscallConn()
	}
	return link, true, nil
}

func (pool *Pool) takeIdle(address string) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[address]
	if len(list) == 0 {
		return nil
	}
	link := list[len(list)-1]
	if pool.idle[address] = list[:len(list)-1]; len(list) == 1 {
		delete(pool.idle, address)
	}
	pool.reused++
	return link
}

// put keeps a connection for the time that its target allows.
func (pool *Pool) put(now time.Time, address string, link *conn, keep time.Duration) {
	if keep == 0 {
		keep = pool.settings.IdleTimeout
	} else {
		keep -= idleMargin
	}
	if keep <= 0 || link.raw == nil || link.reader.Buffered() > 0 {
		_ = link.Close()
		return
	}
	link.rests, link.expires = now, now.Add(keep)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idle[address] = append(pool.idle[address], link)
}

// Drop closes the idle connections to an address, after one of them has gone silent or its target is gone.
func (pool *Pool) Drop(address string) {
	pool.mutex.Lock()
	list := pool.idle[address]
	delete(pool.idle, address)
	pool.mutex.Unlock()
	for _, link := range list {
		_ = link.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (pool *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	pool.mutex.Lock()
	for address, list := range pool.idle {
		kept := list[:0]
		for _, link := range list {
			if now.Before(link.expires) {
				kept = append(kept, link)
			} else {
				expired = append(expired, link)
			}
		}
		if pool.idle[address] = kept; len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.mutex.Unlock()
	for _, link := range expired {
		_ = link.Close()
	}
}

// isQuiet reports whether nothing has arrived on an idle connection, neither its end nor bytes that belong to no request.
func (link *conn) isQuiet() bool {
	if link.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := link.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
