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
	// clockLead is how far ahead another process's clock is followed.
	clockLead = 10 * time.Second
	// metricsInterval is the time between two reports of the metrics.
	metricsInterval = time.Second
	// demandPoll is the time between two looks at what callers wait for.
	demandPoll = 20 * time.Millisecond
	// demandInterval is the time between two reports while models are in use.
	demandInterval = time.Second
	// idleInterval is the time between two reports while none is in use.
	idleInterval = 5 * time.Second
	// drainPoll is the time between two looks at the open requests of a draining node.
	drainPoll = 20 * time.Millisecond
	// joinGrace is the time after which a node that hears of no leader serves what it has.
	joinGrace         = 3 * time.Second
	readHeaderTimeout = 10 * time.Second
	shutdownLimit     = 5 * time.Second
	lifePoll          = 50 * time.Millisecond
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

// Node is one process of the system.
type Node struct {
	options  Options
	clock    *hlc.Clock
	counters *rpccodec.Counters
	recorder celerylanding.Recorder
	metrics  tally.Scope
	reporter prometheus.Reporter
	closer   interface{ Close() error }
	peers    *rpc.Peers
	stop     context.CancelFunc
	control  *control
	traffic  *gateway.Traffic
	gateway  *gateway.Gateway
	client   *target.Client
	tasks    *tasks.Group
	chart    *chart.Chart

	mutex sync.Mutex
	state chart.State
	began time.Time
	// drained is closed when the node may stop.
	drained chan struct{}
	// terminated is closed by the first request to stop.
	terminated chan struct{}
}

// New recovers a node's state and binds it together; Run starts it.
func New(options Options) (*Node, error) {
	lifeChart, err := chart.Load("node.yaml")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{
		options:    options,
		clock:      hlc.New(clockLead),
		counters:   &rpccodec.Counters{},
		stop:       stop,
		client:     target.NewClient(),
		tasks:      tasks.New(ctx),
		chart:      lifeChart,
		state:      lifeChart.Initial(),
		began:      time.Now(),
		drained:    make(chan struct{}),
		terminated: make(chan struct{}),
	}
	node.recorder = timeline.NewRecorder(options.Timeline, options.ID, node.clock)
	metrics := registry.NewRegistry()
	node.reporter = prometheus.NewReporter(prometheus.Options{Registerer: metrics, Gatherer: metrics, OnRegisterError: func(err error) {
		options.Log.Error().Err(err).Msg("metric can't be registered")
	}})
	node.metrics, node.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "celerylanding", CachedReporter: node.reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true}, metricsInterval)
	local, _, err := net.SplitHostPort(options.Listeners.Peers.Addr().String())
	if err != nil {
		stop()
		return nil, err
	}
	node.peers = rpc.NewPeers(ctx, rpc.Options{Local: local, TLS: options.PeerTLS, Clock: node.clock, Counters: node.counters})
	scheduler := router.NewScheduler(options.Domain, rand.New(rand.NewPCG(options.Seed, 2)))
	node.traffic = gateway.NewTraffic(scheduler, node.shareCrashes)
	if node.control, err = newControl(node.began, options, node.recorder, node.peers, node); err != nil {
		stop()
		return nil, err
	}
	node.gateway = gateway.New(gateway.Deps{
		Traffic:    node.traffic,
		Client:     node.client,
		Claims:     claims{node.control},
		Isolation:  isolation{node},
		Tasks:      node.tasks,
		Recorder:   node.recorder,
		Metrics:    node.metrics,
		Refused:    node.targetRefused,
		Node:       string(options.ID),
		FirstByte:  options.Timing.FirstByte,
		InterToken: options.Timing.InterToken,
	})
	return node, nil
}

// Update hands a new snapshot to traffic; requests in flight on incarnations that are gone become suspects.
func (node *Node) Update(now time.Time, view *router.View) {
	before := node.traffic.View()
	node.traffic.Update(now, view)
	live := make(map[celerylanding.TargetID]celerylanding.Endpoint)
	for _, routes := range view.Groups {
		for _, route := range routes {
			live[route.Endpoint.Target] = route.Endpoint
		}
	}
	for _, routes := range before.Groups {
		for _, route := range routes {
			next, ok := live[route.Endpoint.Target]
			if ok && next.Incarnation > route.Endpoint.Incarnation {
				node.traffic.TargetDied(now, route.Endpoint)
				node.client.Drop(route.Endpoint)
			}
		}
	}
}

func (node *Node) shareCrashes(crashes []router.Crash) {
	node.control.post(context.Background(), func(now time.Time) {
		node.recorder.Record(now, celerylanding.Event{Kind: "target_died", Target: crashes[0].Target, Detail: fmt.Sprintf("%d requests are suspected", len(crashes))})
		node.control.broadcast("Peer.Crashes", &CrashArgs{Crashes: crashes})
	})
}

func (node *Node) targetRefused(endpoint celerylanding.Endpoint) {
	node.control.post(context.Background(), func(now time.Time) {
		if node.control.refused(now, endpoint.Target, endpoint.Incarnation) {
			node.control.broadcast("Peer.Refused", &RefusedArgs{Target: endpoint.Target, Incarnation: endpoint.Incarnation})
		}
	})
}

// life returns the state in the node chart.
func (node *Node) life() chart.State {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.state
}

// move carries out an event of the node chart; one that does not apply changes nothing.
func (node *Node) move(event chart.Event) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	next, err := node.chart.Next(node.state, event)
	if err != nil || next == node.state {
		return
	}
	node.state = next
	node.recorder.Record(time.Now(), celerylanding.Event{Kind: "node", Detail: string(next)})
}

// Terminate begins a drain; called again, it ends the node at once.
func (node *Node) Terminate() {
	if node.chart.Has(node.life(), flagReady) || node.life() == node.chart.Initial() {
		node.move(eventTerminate)
		close(node.terminated)
		return
	}
	node.move(eventTerminate)
	node.endDrain()
}

func (node *Node) endDrain() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	select {
	case <-node.drained:
	default:
		close(node.drained)
	}
}

// Run serves until the context ends or the node has drained.
func (node *Node) Run(ctx context.Context) error {
	peerServer, err := rpc.NewServer(node.options.Listeners.Peers, &PeerService{ctx: ctx, control: node.control,
		traffic: node.traffic, status: node.status}, node.clock, node.counters)
	if err != nil {
		return err
	}
	var group run.Group
	add := func(work func(ctx context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
	// The first actor to end stops all others; the drain is the one that ends in good order.
	add(node.drain)
	add(node.control.run)
	add(peerServer.Run)
	add(node.reportDemand)
	add(node.watchLife)
	for _, plane := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{node.options.Listeners.Callers, node.callerHandler()},
		{node.options.Listeners.Targets, node.targetHandler()},
		{node.options.Listeners.Operators, node.operatorHandler()},
	} {
		add(func(ctx context.Context) error { return serveHTTP(ctx, plane.listener, plane.handler) })
	}
	err = group.Run()
	node.stop()
	<-node.tasks.Close()
	node.peers.Close()
	return errors.Join(err, node.closer.Close())
}

func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	// Shutdown lets the answers under way reach their callers; nothing is left to run after the drain.
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
	defer cancel()
	err := server.Shutdown(ending)
	if err != nil {
		err = server.Close()
	}
	<-served
	return err
}

func (node *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		if node.chart.Has(node.life(), flagDraining) {
			// Callers that keep connections open move to another node before this one stops.
			writer.Header().Set("Connection", "close")
		}
		node.gateway.ServeHTTP(writer, request)
	})
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		state := node.life()
		if !node.chart.Has(state, flagReady) {
			http.Error(writer, string(state), http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
	return mux
}

func (node *Node) targetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /targets/announce", node.serveAnnouncement)
	return mux
}

func (node *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /operate/submit", node.serveSubmit)
	mux.HandleFunc("GET /operate/show", node.serveShow)
	mux.Handle("GET /metrics", node.reporter.HTTPHandler())
	return mux
}

// watchLife makes the node ready once it has caught up with a leader, or serves what it has when none is heard of.
func (node *Node) watchLife(ctx context.Context) error {
	ticker := time.NewTicker(lifePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if node.life() != node.chart.Initial() {
				continue
			}
			var ready bool
			isLate := now.Sub(node.began) > joinGrace
			if err := node.control.ask(ctx, func(time.Time) { ready = node.control.isCaughtUp(isLate) }); err != nil || !ready {
				continue
			}
			if node.learnTargets(ctx) || isLate {
				node.move(eventJoined)
			}
		}
	}
}

// learnTargets asks the leader, or any other node, what it has heard of targets; a node without others knows enough.
func (node *Node) learnTargets(ctx context.Context) bool {
	var addresses []string
	err := node.control.ask(ctx, func(time.Time) {
		if leader := node.control.leaderAddress(); leader != node.control.member.Address {
			addresses = append(addresses, leader)
		}
	})
	addresses = append(addresses, node.options.Peers...)
	if err != nil || len(addresses) == 0 {
		return err == nil
	}
	for _, address := range addresses {
		asked, cancel := context.WithTimeout(ctx, lifePoll*4)
		var known AnnounceArgs
		err := node.peers.Call(asked, address, "Peer.Announcements", &Empty{}, &known)
		cancel()
		if err != nil {
			continue
		}
		return node.control.ask(ctx, func(now time.Time) {
			for _, announcement := range known.Announcements {
				node.control.observe(now, announcement)
			}
		}) == nil
	}
	return false
}

// isCaughtUp reports whether the node knows the configuration in force, or the latest one it can get while cut off.
func (ctl *control) isCaughtUp(alone bool) bool {
	if ctl.core.Leader() != "" && ctl.core.CommitIndex() > 0 {
		return true
	}
	return alone && ctl.state.Config() != nil
}

// reportDemand tells the leader what callers wait for, soon after it changes.
func (node *Node) reportDemand(ctx context.Context) error {
	ticker := time.NewTicker(demandPoll)
	defer ticker.Stop()
	var sent time.Time
	waiting := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			count := node.traffic.Waiting()
			interval := idleInterval
			if node.traffic.IsBusy() {
				interval = demandInterval
			}
			if count <= waiting && now.Sub(sent) < interval {
				continue
			}
			waiting, sent = count, now
			node.sendDemand(ctx, now)
		}
	}
}

func (node *Node) sendDemand(ctx context.Context, now time.Time) {
	args := &ReportArgs{Node: node.options.ID, Reports: node.traffic.Demand(now)}
	var leader string
	var coldStart time.Duration
	err := node.control.ask(ctx, func(now time.Time) {
		if node.control.leader != nil {
			coldStart = node.control.report(now, args.Node, args.Reports)
			return
		}
		leader = node.control.leaderAddress()
	})
	if err != nil {
		return
	}
	if leader != "" {
		ctx, cancel := context.WithTimeout(ctx, demandInterval)
		defer cancel()
		var reply ReportReply
		if err := node.peers.Call(ctx, leader, "Peer.Report", args, &reply); err != nil {
			return
		}
		coldStart = reply.ColdStart
	}
	node.control.post(ctx, func(time.Time) { node.control.setColdStart(coldStart) })
}

func (ctl *control) setColdStart(coldStart time.Duration) {
	if coldStart > 0 && coldStart != ctl.coldStart {
		ctl.coldStart = coldStart
		ctl.dirty = true
	}
}

// drain waits until the node is told to stop, then until the balancer has noticed and the last request has ended.
func (node *Node) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-node.terminated:
	}
	node.control.post(ctx, func(time.Time) { node.control.stopping = true })
	notice := time.NewTimer(node.options.Timing.DrainNotice)
	limit := time.NewTimer(node.options.Timing.DrainLimit)
	poll := time.NewTicker(drainPoll)
	defer notice.Stop()
	defer limit.Stop()
	defer poll.Stop()
	noticed := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-node.drained:
			return nil
		case <-limit.C:
			node.move(eventExpired)
			return nil
		case <-notice.C:
			noticed = true
		case <-poll.C:
			if noticed && node.isIdle(ctx) {
				node.move(eventDrained)
				return nil
			}
		}
	}
}

// isIdle reports whether no request and no order is open.
func (node *Node) isIdle(ctx context.Context) bool {
	if node.gateway.Open() > 0 || node.tasks.Open() > 0 {
		return false
	}
	idle := false
	err := node.control.ask(ctx, func(time.Time) { idle = len(node.control.executors) == 0 })
	return err == nil && idle
}
