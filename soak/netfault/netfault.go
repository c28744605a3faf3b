package netfault

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
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

// Fault disturbs the packets from some hosts to others; the way back is not concerned.
type Fault struct {
	From, To []string
	// Loss is the probability that a packet is lost; 1 cuts the links.
	Loss float64
	// Delay is added to the time that packets take.
	Delay time.Duration
}

func (fault *Fault) concerns(from, to string) bool {
	return from != to && slices.Contains(fault.From, from) && slices.Contains(fault.To, to)
}

// Network decides what becomes of the packets between hosts; it is safe for concurrent use.
type Network struct {
	mutex  sync.Mutex
	random *rand.Rand
	delay  time.Duration
	// faults are the current ones; added holds those of Add by the number of the call.
	faults []Fault
	added  map[int][]Fault
	count  int
}

// New returns a network whose packets take the delay one way.
func New(seed uint64, delay time.Duration) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 1)), delay: delay, added: make(map[int][]Fault)}
}

// Set replaces all faults.
func (network *Network) Set(faults []Fault) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.faults = faults
}

// Add adds faults; the returned function ends them.
func (network *Network) Add(faults ...Fault) (end func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.count++
	number := network.count
	network.added[number] = faults
	network.collect()
	return func() {
		network.mutex.Lock()
		defer network.mutex.Unlock()
		delete(network.added, number)
		network.collect()
	}
}

func (network *Network) collect() {
	network.faults = nil
	for _, faults := range network.added {
		network.faults = append(network.faults, faults...)
	}
}

// Faults returns the current faults.
func (network *Network) Faults() []Fault {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return slices.Clone(network.faults)
}

// Cut cuts the links between two groups of hosts in both directions; the returned function restores them.
func (network *Network) Cut(from, to []string) (restore func()) {
	return network.Add(Fault{From: from, To: to, Loss: 1}, Fault{From: to, To: from, Loss: 1})
}

// passes reports whether a packet sent now arrives.
func (network *Network) passes(from, to string) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for i := range network.faults {
		if fault := &network.faults[i]; fault.concerns(from, to) && network.random.Float64() < fault.Loss {
			return false
		}
	}
	return true
}

// delayOf returns the time that packets take.
func (network *Network) delayOf(from, to string) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delay := network.delay
	for i := range network.faults {
		if fault := &network.faults[i]; fault.concerns(from, to) {
			delay += fault.Delay
		}
	}
	return delay
}

// DialFrom returns the function with which a host opens connections.
func (network *Network) DialFrom(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		peer, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		for wait := synRetransmit; !network.passes(host, peer) || !network.passes(peer, host); wait *= 2 {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(wait):
			}
		}
		time.Sleep(network.delayOf(host, peer) + network.delayOf(peer, host))
		conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return newConn(conn, link{network, host, peer}, link{network, peer, host}), nil
	}
}

// link is one direction between two hosts.
type link struct {
	network  *Network
	from, to string
}

// awaitPass waits until a packet, sent again at the intervals of TCP, passes; it returns false if the connection is closed first.
func (link link) awaitPass(closed <-chan struct{}) bool {
	for wait := minRetransmit; !link.network.passes(link.from, link.to); wait = min(2*wait, maxRetransmit) {
		select {
		case <-time.After(wait):
		case <-closed:
			return false
		}
	}
	return true
}
