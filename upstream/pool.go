package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/tunnel"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes; it holds one event of a stream.
	readBuffer = 4 << 10
	// ackTimeout is the time after which a connection with unacknowledged bytes counts as dead; it covers several round trips
	// between failure domains.
	ackTimeout = 500 * time.Millisecond
	// silentAckTimeout is that time for a request of more than windowBytes. The kernel also closes a connection whose peer acknowledges everything, but
	// reads nothing and so keeps its window closed; a living target may do that for a second or so.
	silentAckTimeout = 2500 * time.Millisecond
	// windowBytes is the size of a request that fits into the receive window of a target that reads nothing.
	windowBytes = 16 << 10
	// idleMargin is how long before the target's idle timeout a connection is no longer reused, so that no request races with the target's
	// close.
	idleMargin = 500 * time.Millisecond
	// maxSentIDs is the number of requests for which a connection remembers that it was used for them.
	maxSentIDs = 128
)

var (
	// ErrNotSent means that no byte of the request reached the target, so that a retry is safe.
	ErrNotSent = celerylanding.ErrorNamespace.NewType("upstream_not_sent")
	// ErrConnRefused means that the connection was refused: nothing listens at the address.
	ErrConnRefused = ErrNotSent.NewSubtype("refused")
	// ErrBroken means that the exchange failed after bytes of the request were sent, so that the request may have run.
	ErrBroken = celerylanding.ErrorNamespace.NewType("upstream_broken")
	// ErrUnacknowledged means that bytes of the request were sent and not acknowledged.
	ErrUnacknowledged = ErrBroken.NewSubtype("silent")
)

// Settings are the timeouts of connections.
type Settings struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if its target sends no Keep-Alive timeout.
	IdleTimeout time.Duration
	// Dial opens connections; nil means over TCP, where unacknowledged bytes end a connection.
	Dial tunnel.Dialer
	// Tunnels leads to the targets while none is reached directly; nil means that they always are.
	Tunnels *tunnel.Client
}

// pooledConn is a connection to a target with its read buffer.
type pooledConn struct {
	net.Conn
	raw syscall.RawConn
	// via is the address of the router through which the connection leads, or "", and reusableUntil when such a connection gets no more requests.
	via           string
	reusableUntil time.Time
	reader        *bufio.Reader
	// limit bounds the bytes of the next header.
	limit *readLimit
	// namesRequests is set when the last answer on the connection named its request.
	namesRequests bool
	// ackTimeout is the time after which the kernel closes the connection if bytes are not acknowledged.
	ackTimeout time.Duration
	// sent holds hashes of the IDs of the last requests, at most maxSentIDs; nextSent is the place of the next one once it is full.
	sent     []uint64
	nextSent int
	// idleSince is when the connection became idle, and expires when it is no longer reused.
	idleSince time.Time
	expires   time.Time
}

// idleKey identifies the connections to an address: the direct ones, or those through other routers.
type idleKey struct {
	address    string
	isTunneled bool
}

// Pool holds idle connections by address.
type Pool struct {
	settings  Settings
	direct    tunnel.Dialer
	mutex     sync.Mutex
	idle      map[idleKey][]*pooledConn
	opened    uint64
	reused    uint64
	idleLimit idleLimit
}

// New returns an empty pool.
func New(settings Settings) *Pool {
	pool := &Pool{settings: settings, idle: make(map[idleKey][]*pooledConn), direct: settings.Dial}
	if pool.direct == nil {
		pool.direct = NewDialer(settings.DialTimeout)
	}
	return pool
}

// NewDialer returns a dialer whose connections end when sent bytes are not acknowledged in time.
func NewDialer(timeout time.Duration) tunnel.Dialer {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.DialContext
}

// setUserTimeout makes the kernel close a connection whose sent bytes are not acknowledged in time.
func setUserTimeout(_, _ string, raw syscall.RawConn) error { return setAckTimeout(raw, ackTimeout) }

func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// expectBytes sets the time in which the bytes of a request must be acknowledged.
func (conn *pooledConn) expectBytes(count int) error {
	timeout := ackTimeout
	if count > windowBytes {
		timeout = silentAckTimeout
	}
	if conn.raw == nil || timeout == conn.ackTimeout {
		return nil
	}
	conn.ackTimeout = timeout
	return setAckTimeout(conn.raw, timeout)
}

// ConnectionCounts returns the number of opened connections and the number of idle connections that were taken from the pool.
func (pool *Pool) ConnectionCounts() (opened, reused uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened, pool.reused
}

// IdleLimit returns the learned limit on the idle time of reused connections, and whether one is in force because targets dropped idle
// connections early.
func (pool *Pool) IdleLimit(now time.Time) (time.Duration, bool) { return pool.idleLimit.get(now) }

// get returns a usable idle connection, or a new one. A request is not sent twice on one connection, since a late copy of the answer to the first
// send would be taken for the answer to the second.
func (pool *Pool) get(ctx context.Context, now time.Time, address, requestID string) (conn *pooledConn, isNew bool, err error) {
	key := idleKey{address, pool.settings.Tunnels.IsCut()}
	for {
		conn := pool.takeIdle(key, requestID)
		if conn == nil {
			break
		}
		limit, isLimited := pool.idleLimit.get(now)
		if now.Before(conn.expires) && (!isLimited || now.Sub(conn.idleSince) < limit) && conn.hasNoInput() {
			return conn, false, nil
		}
		_ = conn.Close()
	}
	conn, err = pool.dial(ctx, now, address)
	return conn, true, err
}

// dial connects to a target, through another router if no target is reached directly.
func (pool *Pool) dial(ctx context.Context, now time.Time, address string) (*pooledConn, error) {
	if !pool.settings.Tunnels.IsCut() {
		dialed, err := pool.DialDirect(ctx, address)
		if err != nil {
			return nil, err
		}
		return pool.newConn(dialed), nil
	}
	dialed, err := pool.settings.Tunnels.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := pool.newConn(dialed)
	conn.via, conn.reusableUntil = dialed.Via(), now.Add(tunnel.ReuseTime)
	return conn, nil
}

// Probe connects to a target directly, to find out whether targets are reached. A connection that is made is kept for the next request.
func (pool *Pool) Probe(ctx context.Context, now time.Time, address string) {
	if conn, err := pool.DialDirect(ctx, address); err == nil {
		pool.put(now, address, pool.newConn(conn), 0)
	}
}

func (pool *Pool) newConn(dialed net.Conn) *pooledConn {
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	limit := &readLimit{reader: dialed}
	conn := &pooledConn{Conn: dialed, ackTimeout: ackTimeout, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}
	if tcp, ok := dialed.(syscall.Conn); ok {
		// Without the raw connection an idle connection can't be checked and is not reused.
		conn.raw, _ = tcp.SyscallConn()
	}
	return conn
}

// RefusesConnections reports whether nothing listens at the address. A connection that is made is kept for the next request. While this router may be
// cut off from all targets, a refusal proves nothing.
func (pool *Pool) RefusesConnections(ctx context.Context, now time.Time, address string) bool {
	conn, err := pool.dial(ctx, now, address)
	if errors.Is(err, syscall.ECONNREFUSED) && !pool.settings.Tunnels.Settle(ctx) {
		conn, err = pool.dial(ctx, now, address)
	}
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	pool.put(now, address, conn, 0)
	return false
}

// MayBeGone reports whether nothing may listen at the address: it refuses connections, or it is reached through other routers only and none has
// connected to it. A connection that is made is kept for the next request.
func (pool *Pool) MayBeGone(ctx context.Context, now time.Time, address string) bool {
	if !pool.settings.Tunnels.IsCut() {
		return pool.RefusesConnections(ctx, now, address)
	}
	conn, err := pool.dial(ctx, now, address)
	if err == nil {
		pool.put(now, address, conn, 0)
	}
	return err != nil
}

// IsSuspected reports whether this router may be cut off from all targets, which is being found out.
func (pool *Pool) IsSuspected(now time.Time) bool { return pool.settings.Tunnels.IsSuspected(now) }

// IsCut reports whether targets are reached through other routers only.
func (pool *Pool) IsCut() bool { return pool.settings.Tunnels.IsCut() }

// HasChangedSince reports whether this router has lost or regained all targets since a time.
func (pool *Pool) HasChangedSince(at time.Time) bool {
	return pool.settings.Tunnels.HasChangedSince(at)
}

// Settle waits until it is known whether targets are reached directly, and reports whether they are.
func (pool *Pool) Settle(ctx context.Context) bool { return pool.settings.Tunnels.Settle(ctx) }

// IsStranded reports whether no target is reached, neither directly nor through another router.
func (pool *Pool) IsStranded(now time.Time) bool { return pool.settings.Tunnels.IsStranded(now) }

// takeIdle removes and returns the idle connection that was used last, without those on which the request was sent; nil if there is none.
func (pool *Pool) takeIdle(key idleKey, requestID string) *pooledConn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[key]
	for at := len(list) - 1; at >= 0; at-- {
		conn := list[at]
		if conn.hasSent(requestID) {
			continue
		}
		if pool.idle[key] = slices.Delete(list, at, at+1); len(list) == 1 {
			delete(pool.idle, key)
		}
		pool.reused++
		return conn
	}
	return nil
}

// hasSent reports whether a request with the ID is among the last that were sent on the connection.
func (conn *pooledConn) hasSent(requestID string) bool {
	return requestID != "" && slices.Contains(conn.sent, xxhash.Sum64String(requestID))
}

// recordSent records that a request with the ID is sent on the connection.
func (conn *pooledConn) recordSent(requestID string) {
	id := xxhash.Sum64String(requestID)
	if len(conn.sent) < maxSentIDs {
		conn.sent = append(conn.sent, id)
		return
	}
	conn.sent[conn.nextSent] = id
	conn.nextSent = (conn.nextSent + 1) % maxSentIDs
}

// put returns a connection to the pool for the time that its target allows.
func (pool *Pool) put(now time.Time, address string, conn *pooledConn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = pool.settings.IdleTimeout
	} else {
		idleTimeout -= idleMargin
	}
	if idleTimeout <= 0 || conn.raw == nil || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	conn.idleSince, conn.expires = now, now.Add(idleTimeout)
	key := idleKey{address, conn.via != ""}
	if key.isTunneled && conn.reusableUntil.Before(conn.expires) {
		conn.expires = conn.reusableUntil
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idle[key] = append(pool.idle[key], conn)
}

// CloseIdle closes the idle connections to an address, for example after a failed exchange with its target.
func (pool *Pool) CloseIdle(address string) {
	pool.mutex.Lock()
	var list []*pooledConn
	for _, key := range []idleKey{{address, false}, {address, true}} {
		list = append(list, pool.idle[key]...)
		delete(pool.idle, key)
	}
	pool.mutex.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// CloseExpired closes the idle connections that have expired.
func (pool *Pool) CloseExpired(now time.Time) {
	var expired []*pooledConn
	pool.mutex.Lock()
	for key, list := range pool.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if pool.idle[key] = kept; len(kept) == 0 {
			delete(pool.idle, key)
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// readLimit reads from a connection, up to a limit while one is set.
type readLimit struct {
	reader io.Reader
	// left is the number of bytes that may still be read while isSet.
	left  int
	isSet bool
}

func (limit *readLimit) set(bytes int) { limit.left, limit.isSet = bytes, true }

func (limit *readLimit) clear() { limit.isSet = false }

// Read reads at most the bytes that are left; it returns errHeaderTooLarge if none are.
func (limit *readLimit) Read(buffer []byte) (int, error) {
	if !limit.isSet {
		return limit.reader.Read(buffer)
	}
	if limit.left <= 0 {
		return 0, errHeaderTooLarge
	}
	count, err := limit.reader.Read(buffer[:min(len(buffer), limit.left)])
	limit.left -= count
	return count, err
}

// hasNoInput reports whether an idle connection has no pending input: neither its end nor bytes that belong to no request.
func (conn *pooledConn) hasNoInput() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	isEmpty := false
	err := conn.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isEmpty = err == unix.EAGAIN
		return true
	})
	return err == nil && isEmpty
}
