package tests_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// peerProxy is a TCP proxy between the nodes that simulates network partitions: it can stall all traffic of a node without closing
// connections.
type peerProxy struct {
	mutex     sync.Mutex
	healed    *sync.Cond
	isolated  map[string]bool
	listeners []net.Listener
}

// newPeerProxy starts the proxy and makes every node of the site advertise an address of it.
func newPeerProxy(t *testing.T, site *site) *peerProxy {
	t.Helper()
	proxy := &peerProxy{isolated: make(map[string]bool)}
	proxy.healed = sync.NewCond(&proxy.mutex)
	for i, process := range site.nodes {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 20, site.number, 100+i, 0))
		assert.NilError(t, err)
		proxy.listeners = append(proxy.listeners, listener)
		process.advertised = listener.Addr().String()
		go proxy.accept(listener, process)
	}
	t.Cleanup(proxy.close)
	return proxy
}

func (proxy *peerProxy) close() {
	for _, listener := range proxy.listeners {
		_ = listener.Close()
	}
	proxy.heal()
}

// isolate stalls all data from and to the node; connections stay open.
func (proxy *peerProxy) isolate(process *process) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.isolated[process.ip] = true
}

func (proxy *peerProxy) heal() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	clear(proxy.isolated)
	proxy.healed.Broadcast()
}

// await blocks while either end is isolated.
func (proxy *peerProxy) await(one, other string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for proxy.isolated[one] || proxy.isolated[other] {
		proxy.healed.Wait()
	}
}

func (proxy *peerProxy) accept(listener net.Listener, process *process) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go proxy.forward(conn, process)
	}
}

func (proxy *peerProxy) forward(conn net.Conn, process *process) {
	defer func() { _ = conn.Close() }()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	proxy.await(source, process.ip)
	target, err := net.Dial("tcp", process.address(peerPort))
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	copyData := func(to io.Writer, from io.Reader) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			count, err := from.Read(buffer)
			if err != nil {
				return
			}
			proxy.await(source, process.ip)
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
	}
	go copyData(target, conn)
	go copyData(conn, target)
	<-done
}
