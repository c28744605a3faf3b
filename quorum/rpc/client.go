package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/boottime"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
)

const (
	dialTimeout = time.Second
	// notifyTimeout is the deadline of one queued notification.
	notifyTimeout = 2 * time.Second
	// silenceTimeout is how long a peer may send nothing at all, while calls wait for it, before its connection counts as dead. Calls with
	// shorter deadlines do not end the use of the connection, since a busy peer answers late and a new connection would add to its load.
	silenceTimeout = 450 * time.Millisecond
	// notifyQueueLimit is the maximum number of notifications queued for one peer; further ones are dropped.
	notifyQueueLimit = 256
)

var (
	// ErrUnreachable means that no connection could be established; the call was not executed.
	ErrUnreachable = celerylanding.ErrorNamespace.NewType("peer_unreachable")
	// ErrNoAnswer means that no reply arrived; the call may have been executed.
	ErrNoAnswer = celerylanding.ErrorNamespace.NewType("peer_no_answer")
)

// Options configure the connections to peers.
type Options struct {
	// LocalIP is the source IP address of the connections, or "" for the default.
	LocalIP string
	// TLS returns the configuration for a new connection; nil means plain TCP.
	TLS func() *tls.Config
	// Dial opens a connection to an address; nil means TCP from LocalIP, with TLS if that is set.
	Dial     func(ctx context.Context, address string) (net.Conn, error)
	Clock    *hlc.Clock
	Counters *rpccodec.Counters
}

// notification is a call whose reply is ignored.
type notification struct {
	method string
	args   any
}

// Peers holds one client connection per peer address; it is safe for concurrent use.
type Peers struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	clients map[string]*client
	// retired are the connections that only calls which began earlier use.
	retired    map[*client]bool
	queues     map[string]chan notification
	senderDone chan struct{}
	senders    int
}

// client is the connection to one peer.
type client struct {
	*rpc.Client
	conn *monitoredConn
	// pending counts the calls that wait, and isRetired is set when new calls use another connection; both are guarded by the mutex of Peers.
	pending   int
	isRetired bool
}

// monitoredConn is a connection that knows when bytes last arrived and since when calls have waited in vain.
type monitoredConn struct {
	net.Conn
	// received counts the reads that returned bytes.
	received atomic.Uint64
	mutex    sync.Mutex
	// silentSince is the start of the first call that ended without any byte from the peer since then; zero after bytes have arrived.
	silentSince time.Time
	// receivedBefore is the count of reads when silentSince was set.
	receivedBefore uint64
}

// Read reads from the connection.
func (conn *monitoredConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.received.Add(1)
	}
	return count, err
}

// isDead reports whether the connection counts as dead, after a call that began when receivedBefore reads had returned bytes has ended
// without a reply.
func (conn *monitoredConn) isDead(began, now time.Time, receivedBefore uint64) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	received := conn.received.Load()
	if received != receivedBefore {
		conn.silentSince = time.Time{}
		return false
	}
	if conn.silentSince.IsZero() || conn.receivedBefore != received {
		conn.silentSince, conn.receivedBefore = began, received
	}
	return now.Sub(conn.silentSince) >= silenceTimeout
}

// NewPeers returns Peers without open connections; their senders run until the context ends or Close is called.
func NewPeers(ctx context.Context, options Options) *Peers {
	ctx, cancel := context.WithCancel(ctx)
	return &Peers{
		options:    options,
		ctx:        ctx,
		cancel:     cancel,
		clients:    make(map[string]*client),
		retired:    make(map[*client]bool),
		queues:     make(map[string]chan notification),
		senderDone: make(chan struct{}),
	}
}

// Call calls a method on the peer and waits for the reply. If nothing at all has arrived on a connection for silenceTimeout, new calls use another
// one, since a dead connection may report no error; calls that wait still get late replies. Call returns ErrUnreachable, ErrNoAnswer, or the error of
// the remote method as rpc.ServerError.
func (peers *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := peers.client(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err, "%s", address)
	}
	defer peers.release(client)
	began, received := boottime.Now(), client.conn.received.Load()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	for isDone := false; !isDone; {
		select {
		case <-call.Done:
			isDone = true
		case <-silence.C:
			if client.conn.isDead(began, boottime.Now(), received) {
				peers.retire(address, client)
			}
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) && client.conn.isDead(began, boottime.Now(), received) {
				peers.retire(address, client)
			}
			return ErrNoAnswer.Wrap(ctx.Err(), "%s of %s", method, address)
		}
	}
	var remote rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &remote) {
		return call.Error
	}
	peers.closeClient(address, client)
	return ErrNoAnswer.Wrap(call.Error, "%s of %s", method, address)
}

// retire makes new calls use another connection; this one is closed when no call waits on it.
func (peers *Peers) retire(address string, client *client) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peers.clients[address] == client {
		delete(peers.clients, address)
	}
	if !client.isRetired {
		client.isRetired = true
		peers.retired[client] = true
	}
}

// release ends a call on a connection.
func (peers *Peers) release(client *client) {
	peers.mutex.Lock()
	client.pending--
	isUnused := client.isRetired && client.pending == 0
	if isUnused {
		delete(peers.retired, client)
	}
	peers.mutex.Unlock()
	if isUnused {
		_ = client.Close()
	}
}

// Notify queues a call of a method on the peer and returns at once. The call is dropped if the queue is full or the peer is unreachable.
func (peers *Peers) Notify(address, method string, args any) {
	peers.mutex.Lock()
	queue, ok := peers.queues[address]
	if !ok && peers.ctx.Err() == nil {
		queue = make(chan notification, notifyQueueLimit)
		peers.queues[address] = queue
		peers.senders++
		go peers.sendQueued(address, queue)
	}
	peers.mutex.Unlock()
	select {
	case queue <- notification{method, args}:
	default:
	}
}

func (peers *Peers) sendQueued(address string, queue <-chan notification) {
	defer func() { peers.senderDone <- struct{}{} }()
	for {
		select {
		case <-peers.ctx.Done():
			return
		case next := <-queue:
			ctx, cancel := context.WithTimeout(peers.ctx, notifyTimeout)
			// Errors are ignored, since the sender's protocol repeats lost notifications.
			_ = peers.Call(ctx, address, next.method, next.args, &struct{}{})
			cancel()
		}
	}
}

// Close closes all connections and waits until all senders have stopped.
func (peers *Peers) Close() {
	peers.mutex.Lock()
	peers.cancel()
	senders := peers.senders
	clients := peers.clients
	peers.clients = make(map[string]*client)
	retired := slices.Collect(maps.Keys(peers.retired))
	peers.mutex.Unlock()
	for _, client := range append(slices.Collect(maps.Values(clients)), retired...) {
		_ = client.Close()
	}
	for range senders {
		<-peers.senderDone
	}
}

// client returns the connection to a peer for one call, which must be released.
func (peers *Peers) client(ctx context.Context, address string) (*client, error) {
	peers.mutex.Lock()
	known, ok := peers.clients[address]
	if ok {
		known.pending++
	}
	peers.mutex.Unlock()
	if ok {
		return known, nil
	}
	dialed, err := peers.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &monitoredConn{Conn: dialed}
	added := &client{Client: rpc.NewClientWithCodec(rpccodec.NewClient(conn, peers.options.Clock, peers.options.Counters)), conn: conn, pending: 1}
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if other, ok := peers.clients[address]; ok {
		_ = added.Close()
		other.pending++
		return other, nil
	}
	peers.clients[address] = added
	return added, nil
}

func (peers *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	if peers.options.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return peers.options.Dial(ctx, address)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if peers.options.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(peers.options.LocalIP)}
	}
	if peers.options.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: peers.options.TLS()}).DialContext(ctx, "tcp", address)
}

func (peers *Peers) closeClient(address string, client *client) {
	peers.mutex.Lock()
	if peers.clients[address] == client {
		delete(peers.clients, address)
	}
	peers.mutex.Unlock()
	_ = client.Close()
}
