package tests_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay stands between the nodes and can cut any node off without closing a connection.
type relay struct {
	mutex     sync.Mutex
	changed   *sync.Cond
	cut       map[string]bool
	listeners []net.Listener
}

// newRelay gives every node of the site an address that leads through the relay.
func newRelay(t *testing.T, site *site) *relay {
	t.Helper()
	relay := &relay{cut: make(map[string]bool)}
	relay.changed = sync.NewCond(&relay.mutex)
	for i, process := range site.nodes {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", 20, site.number, 100+i, 0))
		assert.NilError(t, err)
		relay.listeners = append(relay.listeners, listener)
		process.advertised = listener.Addr().String()
		go relay.accept(listener, process)
	}
	t.Cleanup(relay.close)
	return relay
}

func (relay *relay) close() {
	for _, listener := range relay.listeners {
		_ = listener.Close()
	}
	relay.heal()
}

// isolate swallows all that goes from or to the node; connections stay open and silent.
func (relay *relay) isolate(process *process) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.cut[process.ip] = true
}

func (relay *relay) heal() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	clear(relay.cut)
	relay.changed.Broadcast()
}

// await blocks while one of the ends is cut off.
func (relay *relay) await(one, other string) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for relay.cut[one] || relay.cut[other] {
		relay.changed.Wait()
	}
}

func (relay *relay) accept(listener net.Listener, process *process) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go relay.join(conn, process)
	}
}

func (relay *relay) join(conn net.Conn, process *process) {
	defer func() { _ = conn.Close() }()
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	relay.await(source, process.ip)
	target, err := net.Dial("tcp", process.at(peerAt))
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to io.Writer, from io.Reader) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			count, err := from.Read(buffer)
			if err != nil {
				return
			}
			relay.await(source, process.ip)
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
	}
	go pass(target, conn)
	go pass(conn, target)
	<-done
}
