package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
)

const (
	dialTimeout = time.Second
	// notifyTimeout bounds one call whose answer nobody waits for.
	notifyTimeout = 2 * time.Second
	// notifyDepth bounds the calls that wait for one peer; further ones are dropped.
	notifyDepth = 256
)

var (
	// ErrUnreachable means that no connection could be made and the call has not run.
	ErrUnreachable = celerylanding.Namespace.NewType("peer_unreachable")
	// ErrNoAnswer means that the call may have run.
	ErrNoAnswer = celerylanding.Namespace.NewType("peer_no_answer")
)

// Options say how peers are reached.
type Options struct {
	// LocalIP is the IP address that connections are made from, or "".
	LocalIP  string
	TLS      func() *tls.Config
	Clock    *hlc.Clock
	Counters *rpccodec.Counters
}

// notice is a call whose answer nobody waits for.
type notice struct {
	method string
	args   any
}

// Peers holds one connection for each peer's address.
type Peers struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	clients map[string]*rpc.Client
	outbox  map[string]chan notice
	done    chan struct{}
	senders int
}

// NewPeers returns peers without connections; they live until the context ends.
func NewPeers(ctx context.Context, options Options) *Peers {
	ctx, cancel := context.WithCancel(ctx)
	return &Peers{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		clients: make(map[string]*rpc.Client),
		outbox:  make(map[string]chan notice),
		done:    make(chan struct{}),
	}
}

// Call runs a method on the peer and waits for its answer. An answer that does not come closes the connection, since it may
// have gone silent.
func (peers *Peers) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := peers.client(ctx, address)
	if err != nil {
		return ErrUnreachable.Wrap(err, "%s", address)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			peers.drop(address, client)
		}
		return ErrNoAnswer.Wrap(ctx.Err(), "%s of %s", method, address)
	}
	var remote rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &remote) {
		return call.Error
	}
	peers.drop(address, client)
	return ErrNoAnswer.Wrap(call.Error, "%s of %s", method, address)
}

// Notify runs a method on the peer some time soon; the call is dropped when too many wait or the peer can't be reached.
func (peers *Peers) Notify(address, method string, args any) {
	peers.mutex.Lock()
	outbox, ok := peers.outbox[address]
	if !ok && peers.ctx.Err() == nil {
		outbox = make(chan notice, notifyDepth)
		peers.outbox[address] = outbox
		peers.senders++
		go peers.send(address, outbox)
	}
	peers.mutex.Unlock()
	select {
	case outbox <- notice{method, args}:
	default:
	}
}

func (peers *Peers) send(address string, outbox <-chan notice) {
	defer func() { peers.done <- struct{}{} }()
	for {
		select {
		case <-peers.ctx.Done():
			return
		case next := <-outbox:
			ctx, cancel := context.WithTimeout(peers.ctx, notifyTimeout)
			// A lost notice is repeated by its sender's own protocol.
			_ = peers.Call(ctx, address, next.method, next.args, &struct{}{})
			cancel()
		}
	}
}

// Close ends all connections and senders.
func (peers *Peers) Close() {
	peers.mutex.Lock()
	peers.cancel()
	senders := peers.senders
	clients := peers.clients
	peers.clients = make(map[string]*rpc.Client)
	peers.mutex.Unlock()
	for _, client := range clients {
		_ = client.Close()
	}
	for range senders {
		<-peers.done
	}
}

func (peers *Peers) client(ctx context.Context, address string) (*rpc.Client, error) {
	peers.mutex.Lock()
	client, ok := peers.clients[address]
	peers.mutex.Unlock()
	if ok {
		return client, nil
	}
	conn, err := peers.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	client = rpc.NewClientWithCodec(rpccodec.NewClient(conn, peers.options.Clock, peers.options.Counters))
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if other, ok := peers.clients[address]; ok {
		_ = client.Close()
		return other, nil
	}
	peers.clients[address] = client
	return client, nil
}

func (peers *Peers) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if peers.options.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(peers.options.LocalIP)}
	}
	if peers.options.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: peers.options.TLS()}).DialContext(ctx, "tcp", address)
}

func (peers *Peers) drop(address string, client *rpc.Client) {
	peers.mutex.Lock()
	if peers.clients[address] == client {
		delete(peers.clients, address)
	}
	peers.mutex.Unlock()
	_ = client.Close()
}
