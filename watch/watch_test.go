package watch_test

import (
	"context"
	"net"
	netrpc "net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/watch"
)

// stepTimeout bounds each wait of a test.
const stepTimeout = 10 * time.Second

// node answers watch requests with a fixed reply.
type node struct {
	mutex   sync.Mutex
	reply   feed.WatchReply
	watched int
	// watchedAt is when the last request arrived.
	watchedAt time.Time
	// delay is the time after which the node answers.
	delay   time.Duration
	address string
	stop    func()
}

// Watch counts the request and returns the reply after a short wait.
func (node *node) Watch(_ *feed.WatchArgs, reply *feed.WatchReply) error {
	arrived := time.Now()
	time.Sleep(node.delay)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.watched++
	node.watchedAt = arrived
	*reply = node.reply
	return nil
}

func (node *node) setReply(reply feed.WatchReply) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.reply = reply
}

// startNode serves watch requests on a loopback address until the test ends or stop is called.
func startNode(t *testing.T) *node {
	t.Helper()
	return startSlowNode(t, 5*time.Millisecond)
}

// startSlowNode serves watch requests like startNode, each after a delay.
func startSlowNode(t *testing.T, delay time.Duration) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started := &node{address: listener.Addr().String(), delay: delay}
	server := netrpc.NewServer()
	assert.NilError(t, server.RegisterName("Peer", started))
	var mutex sync.Mutex
	var conns []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			conns = append(conns, conn)
			mutex.Unlock()
			go server.ServeCodec(rpccodec.NewServer(conn, hlc.New(time.Second), &rpccodec.Counters{}))
		}
	}()
	started.stop = sync.OnceFunc(func() {
		_ = listener.Close()
		<-done
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	t.Cleanup(started.stop)
	return started
}

// startClient runs a client of a router in domain "d1" that knows the address of one node.
func startClient(t *testing.T, seed string) *watch.Client {
	t.Helper()
	return startApplyingClient(t, seed, func(time.Time, *feed.WatchReply) {})
}

func startApplyingClient(t *testing.T, seed string, apply func(sent time.Time, reply *feed.WatchReply)) *watch.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	peers := rpc.NewPeers(ctx, rpc.Options{Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	client := watch.New(watch.Options{Node: "r", Domain: "d1", Clock: time.Now, Peers: peers, Seeds: func() []string { return []string{seed} },
		NextArgs: func() feed.WatchArgs { return feed.WatchArgs{Node: "r", Router: true} }, Apply: apply, Log: zerolog.Nop()})
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		peers.Close()
		assert.NilError(t, <-done)
	})
	return client
}

func awaitSource(t *testing.T, client *watch.Client, address string, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); client.Source() != address; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the client watches %q, not %q", client.Source(), address)
	}
}

// TestClientReplacesALostRelay guards against a router that is left without news: its relay stops, and the router must watch the leader
// within a second, or the relay again after that has returned.
func TestClientReplacesALostRelay(t *testing.T) {
	leader, relay := startNode(t), startNode(t)
	relays := []feed.RelayAddress{{Address: leader.address, Domain: "d0"}, {Address: relay.address, Domain: "d1"}}
	leader.setReply(feed.WatchReply{Leads: true, Leader: leader.address, Members: []string{leader.address}, Relays: relays})
	relay.setReply(feed.WatchReply{Relayed: true, Leader: leader.address, Members: []string{leader.address}, Relays: relays})
	client := startClient(t, leader.address)
	awaitSource(t, client, relay.address, stepTimeout)
	assert.Equal(t, client.Leader(), leader.address)

	// A relay that has lost the leader says so.
	relay.setReply(feed.WatchReply{Leader: leader.address})
	awaitSource(t, client, leader.address, time.Second)
	relay.setReply(feed.WatchReply{Relayed: true, Leader: leader.address, Members: []string{leader.address}, Relays: relays})
	awaitSource(t, client, relay.address, stepTimeout)

	relay.stop()
	awaitSource(t, client, leader.address, time.Second)
}

// TestRelayIsChosenInTheOwnDomain guards against traffic between failure domains, and against one relay that all routers of a domain choose.
func TestRelayIsChosenInTheOwnDomain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	relays := []feed.RelayAddress{{Address: "a", Domain: "d1"}, {Address: "b", Domain: "d2"}, {Address: "c", Domain: "d1"}, {Address: "d", Domain: "d3"}}
	chosen := make(map[string]int)
	for i := range 100 {
		router := celerylanding.NodeID(rune('A' + i))
		chosen[watch.ChooseRelay(now, router, "d1", relays, nil)]++
		assert.Equal(t, watch.ChooseRelay(now, router, "d2", relays, nil), "b")
	}
	assert.Equal(t, len(chosen), 2)
	assert.Assert(t, chosen["a"] > 20 && chosen["c"] > 20, "%v", chosen)
	avoided := map[string]time.Time{"b": now.Add(time.Second)}
	assert.Assert(t, watch.ChooseRelay(now, "r", "d2", relays, avoided) != "b")
	assert.Equal(t, watch.ChooseRelay(now.Add(time.Second), "r", "d2", relays, avoided), "b")
	assert.Equal(t, watch.ChooseRelay(now, "r", "d2", nil, nil), "")
}

// TestReplyCountsFromTheSendingOfItsRequest guards against state that looks newer than it is, since the reply may be read late.
func TestReplyCountsFromTheSendingOfItsRequest(t *testing.T) {
	leader := startNode(t)
	leader.setReply(feed.WatchReply{Leads: true, Leader: leader.address, Members: []string{leader.address}})
	applied := make(chan time.Time, 1)
	startApplyingClient(t, leader.address, func(sent time.Time, _ *feed.WatchReply) {
		leader.mutex.Lock()
		defer leader.mutex.Unlock()
		assert.Check(t, !sent.After(leader.watchedAt), "the request counts as sent %v after it arrived", sent.Sub(leader.watchedAt))
		select {
		case applied <- sent:
		default:
		}
	})
	select {
	case <-applied:
	case <-time.After(stepTimeout):
		t.Fatal("no reply was applied")
	}
}

// viewBound is the time after an acknowledgement in which a router may act on an older view.
const viewBound = 2 * time.Second

// TestSlowNodesAreFound guards against a router that keeps an old view since it gives up on each control node before the answer arrives.
func TestSlowNodesAreFound(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			leader, follower := startSlowNode(t, delay), startSlowNode(t, delay)
			leader.setReply(feed.WatchReply{Leads: true, Leader: leader.address, Members: []string{follower.address, leader.address}})
			follower.setReply(feed.WatchReply{Leader: leader.address, Members: []string{follower.address, leader.address}})
			applied := make(chan struct{}, 1)
			startApplyingClient(t, follower.address, func(time.Time, *feed.WatchReply) {
				select {
				case applied <- struct{}{}:
				default:
				}
			})
			select {
			case <-applied:
			case <-time.After(viewBound):
				t.Fatalf("the router has no view %v after its start", viewBound)
			}
		})
	}
}
