package tests_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
)

// forwardTimeout bounds a call that a link passes on.
const forwardTimeout = time.Second

// linkService passes the watch requests of a router on to controllers, each of which it offers at an address of its own, and can hold them back.
// Routers behind it need nothing else of the controllers while all models are loaded.
type linkService struct {
	peers *rpc.Peers
	ends  context.Context
	// own and controllers are the addresses of the link and of the controllers, in the same order.
	own, controllers []string
	mutex            sync.Mutex
	changed          chan struct{}
	// isOpen says which controllers can be reached; relay is the index of the one that is named as the only relay, or -1.
	isOpen []bool
	relay  int
}

// linkEnd is the link's end for one controller.
type linkEnd struct {
	link  *linkService
	index int
}

// newLink starts a link to all controllers on a block of addresses.
func (fleet *fleet) newLink(block int) *linkService {
	fleet.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	link := &linkService{ends: ctx, relay: -1, changed: make(chan struct{}),
		peers: rpc.NewPeers(ctx, rpc.Options{LocalIP: "127.0.0.1", Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})}
	var running sync.WaitGroup
	for i, proc := range fleet.controllers {
		listener, err := net.Listen("tcp", fleet.ip(block, i)+":7380")
		assert.NilError(fleet.t, err)
		link.own = append(link.own, listener.Addr().String())
		link.controllers = append(link.controllers, proc.ip+":7380")
		link.isOpen = append(link.isOpen, true)
		server, err := rpc.NewServer(listener, &linkEnd{link, i}, hlc.New(time.Second), &rpccodec.Counters{})
		assert.NilError(fleet.t, err)
		running.Go(func() { _ = server.Run(ctx) })
	}
	fleet.t.Cleanup(func() {
		cancel()
		running.Wait()
		link.peers.Close()
	})
	return link
}

// set opens the link to the given controllers and cuts it to the others.
func (link *linkService) set(open ...int) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	for i := range link.isOpen {
		link.isOpen[i] = slices.Contains(open, i)
	}
	close(link.changed)
	link.changed = make(chan struct{})
}

// relayThrough makes a controller the only relay, and cuts the link to the others.
func (link *linkService) relayThrough(index int) {
	link.mutex.Lock()
	link.relay = index
	link.mutex.Unlock()
	link.set(index)
}

// pass waits until the link to a controller is open.
func (link *linkService) pass(index int) error {
	for {
		link.mutex.Lock()
		isOpen, changed := link.isOpen[index], link.changed
		link.mutex.Unlock()
		if isOpen {
			return nil
		}
		select {
		case <-changed:
		case <-link.ends.Done():
			return errors.New("the link has ended")
		}
	}
}

// Watch passes on a watch request and its reply, in which the addresses are those of the link.
func (end *linkEnd) Watch(args *feed.WatchArgs, reply *feed.WatchReply) error {
	link := end.link
	if err := link.pass(end.index); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(link.ends, forwardTimeout)
	defer cancel()
	if err := link.peers.Call(ctx, link.controllers[end.index], "Peer.Watch", args, reply); err != nil {
		return err
	}
	reply.Leader = link.translate(reply.Leader)
	for i, member := range reply.Members {
		reply.Members[i] = link.translate(member)
	}
	link.mutex.Lock()
	if reply.Relays = nil; link.relay >= 0 && reply.IsState() {
		reply.Relays = []feed.RelayAddress{{Address: link.own[link.relay]}}
	}
	link.mutex.Unlock()
	// A cut holds back replies as well.
	return link.pass(end.index)
}

// translate returns the address that the link offers for a controller.
func (link *linkService) translate(address string) string {
	if index := slices.Index(link.controllers, address); index >= 0 {
		return link.own[index]
	}
	return address
}

// seeds returns the link's addresses in the form of the settings.
func (link *linkService) seeds() []string {
	var seeds []string
	for _, address := range link.own {
		host, _, _ := strings.Cut(address, ":")
		seeds = append(seeds, host+":8144")
	}
	return seeds
}

// leader returns the index of the controller that leads.
func (link *linkService) leader(ctx context.Context) int {
	for i := 0; ctx.Err() == nil; i = (i + 1) % len(link.controllers) {
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		var reply feed.WatchReply
		err := link.peers.Call(callCtx, link.controllers[i], "Peer.Watch", &feed.WatchArgs{Node: "probe"}, &reply)
		cancel()
		if err == nil && reply.Leads {
			return i
		}
	}
	return -1
}
