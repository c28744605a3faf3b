package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	registry "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/chart"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/gateway"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/target"
	"celerylanding.example/celerylanding/timeline"
)

const (
	// maxClockLead is the largest lead of another process's clock that this node's clock follows.
	maxClockLead = 10 * time.Second
	// metricsInterval is the time between two reports of the metrics.
	metricsInterval = time.Second
	// demandPollInterval is the time between two checks of what callers wait for.
	demandPollInterval = 20 * time.Millisecond
	// demandInterval is the time between two demand reports while models are in use.
	demandInterval = time.Second
	// idleDemandInterval is the time between two demand reports while no model is in use.
	idleDemandInterval = 5 * time.Second
	// drainPollInterval is the time between two checks for open requests on a draining node.
	drainPollInterval = 20 * time.Millisecond
	// joinTimeout is the time after which a node that finds no leader serves with its recovered state.
	joinTimeout           = 3 * time.Second
	readHeaderTimeout     = 10 * time.Second
	shutdownTimeout       = 5 * time.Second
	readinessPollInterval = 50 * time.Millisecond
)

// The events and flags of the node chart.
const (
	eventJoined    chart.Event = "joined"
	eventTerminate chart.Event = "terminate"
	eventDrained   chart.Event = "drained"
	eventExpired   chart.Event = "expired"
	flagReady      chart.Flag  = "ready"
	flagDraining   chart.Flag  = "draining"
)

// Node is one node of the system: it routes requests, replicates the control log and executes orders.
type Node struct {
	options         Options
	clock           *hlc.Clock
	counters        *rpccodec.Counters
	recorder        celerylanding.Recorder
	metrics         tally.Scope
	metricsReporter prometheus.Reporter
	metricsCloser   interface{ Close() error }
	peers           *rpc.Peers
	stop            context.CancelFunc
	control         *control
	dispatcher      *gateway.Dispatcher
	gateway         *gateway.Gateway
	client          *target.Client
	tasks           *tasks.Group
	chart           *chart.Chart

	mutex     sync.Mutex
	state     chart.State
	startedAt time.Time
	// drainAborted is closed when a second call of Terminate ends the drain.
	drainAborted chan struct{}
	// terminated is closed by the first call of Terminate.
	terminated    chan struct{}
	terminateOnce sync.Once
}

// New recovers a node's state and connects its parts; Run starts it.
func New(options Options) (*Node, error) {
	lifecycleChart, err := chart.Load("node.yaml")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{
		options:      options,
		clock:        hlc.New(maxClockLead),
		counters:     &rpccodec.Counters{},
		stop:         stop,
		client:       target.NewClient(),
		tasks:        tasks.New(ctx),
		chart:        lifecycleChart,
		state:        lifecycleChart.Initial(),
		startedAt:    time.Now(),
		drainAborted: make(chan struct{}),
		terminated:   make(chan struct{}),
	}
	node.recorder = timeline.NewRecorder(options.Timeline, options.ID, node.clock)
	metrics := registry.NewRegistry()
	node.metricsReporter = prometheus.NewReporter(prometheus.Options{Registerer: metrics, Gatherer: metrics, OnRegisterError: func(err error) {
		options.Log.Error().Err(err).Msg("metric can't be registered")
	}})
	node.metrics, node.metricsCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "celerylanding", CachedReporter: node.metricsReporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true}, metricsInterval)
	local, _, err := net.SplitHostPort(options.Listeners.Peers.Addr().String())
	if err != nil {
		stop()
		return nil, err
	}
	node.peers = rpc.NewPeers(ctx, rpc.Options{LocalIP: local, TLS: options.PeerTLS, Clock: node.clock, Counters: node.counters})
	scheduler := router.NewScheduler(options.Domain, rand.New(rand.NewPCG(options.Seed, 2)))
	node.dispatcher = gateway.NewDispatcher(scheduler, node.broadcastCrashes)
	if node.control, err = newControl(node.startedAt, options, node.recorder, node.peers, node); err != nil {
		stop()
		return nil, err
	}
	node.control.outbox = rpc.NewMailbox(ctx, node.control.deliver)
	node.gateway = gateway.New(gateway.Deps{
		Dispatcher:        node.dispatcher,
		Client:            node.client,
		Claims:            claimStore{node.control},
		Isolation:         isolationClient{node},
		Tasks:             node.tasks,
		Recorder:          node.recorder,
		Metrics:           node.metrics,
		LeaderSeen:        node.control.leaderSeen,
		OnTargetRefused:   node.handleTargetRefusal,
		Node:              string(options.ID),
		FirstByteTimeout:  options.Timing.FirstByteTimeout,
		InterTokenTimeout: options.Timing.InterTokenTimeout,
	})
	return node, nil
}

// Update publishes a new snapshot to the gateway. Requests that recently failed on an incarnation that a newer one has replaced become
// suspects.
func (node *Node) Update(now time.Time, view *router.View) {
	previous := node.dispatcher.View()
	node.dispatcher.Update(now, view)
	live := make(map[celerylanding.TargetID]celerylanding.Endpoint)
	for _, routes := range view.Groups {
		for _, route := range routes {
			live[route.Endpoint.Target] = route.Endpoint
		}
	}
	for _, routes := range previous.Groups {
		for _, route := range routes {
			next, ok := live[route.Endpoint.Target]
			if ok && next.Incarnation > route.Endpoint.Incarnation {
				node.dispatcher.MarkTargetDead(now, route.Endpoint)
				node.client.Drop(route.Endpoint)
			}
		}
	}
}

func (node *Node) broadcastCrashes(crashes []router.Crash) {
	node.control.post(context.Background(), func(now time.Time) {
		node.recorder.Record(now, celerylanding.Event{Kind: "target_died", Target: crashes[0].Target, Detail: fmt.Sprintf("%d requests are suspected", len(crashes))})
		node.control.broadcast("Peer.Crashes", &CrashArgs{Crashes: crashes})
	})
}

func (node *Node) handleTargetRefusal(endpoint celerylanding.Endpoint) {
	node.control.post(context.Background(), func(now time.Time) {
		if node.control.recordRefusal(now, endpoint.Target, endpoint.Incarnation) {
			node.control.broadcast("Peer.Refused", &RefusedArgs{Target: endpoint.Target, Incarnation: endpoint.Incarnation})
		}
	})
}

// Run serves until the context ends or the node has drained.
func (node *Node) Run(ctx context.Context) error {
	// Calls of peers end with this context: those that the control goroutine has not handled when it ends get no other answer.
	callsCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	peerServer, err := rpc.NewServer(node.options.Listeners.Peers, &PeerService{ctx: callsCtx, control: node.control,
		dispatcher: node.dispatcher, status: node.status}, node.clock, node.counters)
	if err != nil {
		return err
	}
	var group run.Group
	add := func(work func(ctx context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
	// The first actor to return stops all others; in a regular shutdown that is the drain.
	add(node.drain)
	add(node.control.run)
	group.Add(func() error { return peerServer.Run(callsCtx) }, func(error) { endCalls() })
	add(node.reportDemand)
	add(node.watchReadiness)
	for _, server := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{node.options.Listeners.Callers, node.callerHandler()},
		{node.options.Listeners.Targets, node.targetHandler()},
		{node.options.Listeners.Operators, node.operatorHandler()},
	} {
		add(func(ctx context.Context) error { return serveHTTP(ctx, server.listener, server.handler) })
	}
	err = group.Run()
	node.stop()
	<-node.tasks.Close()
	node.peers.Close()
	node.control.outbox.Close()
	return errors.Join(err, node.metricsCloser.Close())
}
