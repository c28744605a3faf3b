package control_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/boottime"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/soak/netfault"
	"celerylanding.example/celerylanding/watch"
)

var (
	viewSeed   = flag.Uint64("views.seed", 1, "seed of the faults of TestRoutersSeeWhatWasAcknowledged")
	viewLength = flag.Duration("views.length", 20*time.Second, "duration of the faults of TestRoutersSeeWhatWasAcknowledged")
	viewDelay  = flag.Duration("views.delay", 0, "one-way delay of the links of TestRoutersSeeWhatWasAcknowledged")
	viewFaults = flag.Int("views.faults", 1, "number of faults that overlap in TestRoutersSeeWhatWasAcknowledged")
	viewDirect = flag.Bool("views.direct", true, "routers watch the leader in TestRoutersSeeWhatWasAcknowledged, not relays")
	viewLog    = flag.Bool("views.log", false, "log the nodes of TestRoutersSeeWhatWasAcknowledged")
)

const (
	// calmTime is the time without a fault after which a router has to see what was acknowledged.
	calmTime = 3 * time.Second
	// viewBound is the time after an acknowledgement in which routers may act on an older view.
	viewBound = 2 * time.Second
	// answerTime is the time within which operators and targets need the answer to a call.
	answerTime = 900 * time.Millisecond
)

// viewRouter is a router that follows the leader's feed.
type viewRouter struct {
	host   string
	mutex  sync.Mutex
	roster *dispatch.Roster
	table  *dispatch.Table
	seenAt time.Time
}

func (router *viewRouter) apply(sent time.Time, reply *feed.WatchReply) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if table := router.roster.Apply(boottime.Now(), reply); table != nil {
		router.table = table
	}
	router.roster.Confirm(sent.Add(-reply.Age))
	if at := sent.Add(-reply.Age); at.After(router.seenAt) {
		router.seenAt = at
	}
}

func (router *viewRouter) args() feed.WatchArgs {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.roster.Expire(boottime.Now())
	term, revision, version := router.roster.Position()
	return feed.WatchArgs{Node: celerylanding.NodeID(router.host), Term: term, Revision: revision, Version: version, Router: true,
		Unlisted: router.roster.Unlisted(boottime.Now())}
}

// view returns the version in force and the targets in use.
func (router *viewRouter) view() (version uint64, targets map[celerylanding.TargetID]bool, age time.Duration) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	_, _, version = router.roster.Position()
	targets = make(map[celerylanding.TargetID]bool)
	if router.table != nil {
		for _, target := range router.table.Targets("s") {
			targets[target.ID] = true
		}
	}
	return version, targets, boottime.Now().Sub(router.seenAt)
}

// viewWorld plays faults of links and nodes, and records what was acknowledged.
type viewWorld struct {
	*testCluster
	network *netfault.Network
	routers []*viewRouter
	began   time.Time
	mutex   sync.Mutex
	// versions and departures hold the times of the acknowledgements.
	versions   map[uint64]time.Time
	departures map[celerylanding.TargetID]time.Time
	// faults counts the running faults of each host, and changedAt is when the last one began or ended.
	faults    map[string]int
	changedAt map[string]time.Time
	// acknowledged receives a value with an acknowledgement.
	acknowledged chan struct{}
	violations   []string
	// restarts is locked while a node restarts.
	restarts sync.Mutex
	lastKind map[string]time.Time
}

func (world *viewWorld) startRouter(host string) {
	router := &viewRouter{host: host, roster: dispatch.NewRoster()}
	ctx, cancel := context.WithCancel(context.Background())
	log := zerolog.Nop()
	if *viewLog {
		log = zerolog.New(zerolog.NewTestWriter(world.t)).With().Str("router", host).Logger()
	}
	peers := rpc.NewPeers(ctx, rpc.Options{LocalIP: host, Dial: world.network.DialFrom(host), Clock: hlc.New(time.Second), Counters: &rpccodec.Counters{}})
	client := watch.New(watch.Options{Node: celerylanding.NodeID(host), Domain: "d0", Clock: boottime.Now, Peers: peers,
		Seeds: func() []string { return world.seeds }, NextArgs: router.args, Apply: router.apply, Log: log})
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	world.t.Cleanup(func() {
		cancel()
		peers.Close()
		assert.NilError(world.t, <-done)
	})
	world.routers = append(world.routers, router)
}

func (world *viewWorld) nodeHosts() []string {
	var hosts []string
	for _, node := range world.nodes {
		hosts = append(hosts, node.host())
	}
	return hosts
}

func (world *viewWorld) note(format string, args ...any) {
	world.t.Logf("%7.3f %s", time.Since(world.began).Seconds(), fmt.Sprintf(format, args...))
}

// disturb records the begin of a fault of hosts; the returned function records its end.
func (world *viewWorld) disturb(hosts ...string) (end func()) {
	change := func(by int) {
		world.mutex.Lock()
		defer world.mutex.Unlock()
		for _, host := range hosts {
			world.faults[host] += by
			world.changedAt[host] = time.Now()
		}
	}
	change(1)
	return func() { change(-1) }
}

// isCalm reports whether a router has to see what is acknowledged: for calmTime no fault of its own or of a node has begun or ended, it has none, and
// more than half of the nodes have none.
func (world *viewWorld) isCalm(router string) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	hosts := world.nodeHosts()
	sound := 0
	for _, host := range append(hosts, router) {
		if time.Since(world.changedAt[host]) < calmTime {
			return false
		}
		if host != router && world.faults[host] == 0 {
			sound++
		}
	}
	return world.faults[router] == 0 && 2*sound > len(hosts)
}

// check compares the view of each calm router with what was acknowledged.
func (world *viewWorld) check() {
	for _, router := range world.routers {
		if !world.isCalm(router.host) {
			continue
		}
		version, targets, age := router.view()
		world.mutex.Lock()
		for acknowledged, at := range world.versions {
			if acknowledged > version && time.Since(at) > viewBound {
				world.violate(router.host+"/version", "%s has version %d, %v after version %d was acknowledged; its view is %v old", router.host, version,
					time.Since(at).Round(time.Millisecond), acknowledged, age.Round(time.Millisecond))
			}
		}
		for target, at := range world.departures {
			if targets[target] && time.Since(at) > viewBound {
				world.violate(router.host+"/target", "%s uses %s, %v after its departure was acknowledged; its view is %v old", router.host, target,
					time.Since(at).Round(time.Millisecond), age.Round(time.Millisecond))
			}
		}
		world.mutex.Unlock()
	}
}

// violate records a violation, at most one a second of each kind; the mutex must be held.
func (world *viewWorld) violate(kind, format string, args ...any) {
	if time.Since(world.lastKind[kind]) < time.Second {
		return
	}
	world.lastKind[kind] = time.Now()
	line := fmt.Sprintf("%7.3f %s", time.Since(world.began).Seconds(), fmt.Sprintf(format, args...))
	world.violations = append(world.violations, line)
	world.t.Log("VIOLATION " + line)
}

// operate submits configurations and announces targets that come and go, until the context ends.
func (world *viewWorld) operate(ctx context.Context, random *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for number := uint64(2); ctx.Err() == nil; number++ {
		first := random.IntN(len(world.nodes))
		calls.Go(func() {
			for try := 0; try < 4 && ctx.Err() == nil; try++ {
				callCtx, cancel := context.WithTimeout(ctx, answerTime)
				_, err := world.controlOf(first+try).Submit(callCtx, configuration(number))
				cancel()
				if err == nil {
					world.mutex.Lock()
					world.versions[number] = time.Now()
					world.mutex.Unlock()
					world.signalAcknowledged()
					return
				}
			}
		})
		calls.Go(func() { world.runTarget(ctx, fmt.Sprintf("t%d", number), first) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(time.Second)))):
		}
	}
}

// runTarget announces a target, and later that it leaves.
func (world *viewWorld) runTarget(ctx context.Context, id string, first int) {
	for sequence := uint64(1); ctx.Err() == nil && sequence < 60; sequence++ {
		isLeaving := sequence >= 4
		callCtx, cancel := context.WithTimeout(ctx, answerTime)
		err := world.controlOf(first+int(sequence)).Announce(callCtx, announcement(id, sequence, isLeaving))
		cancel()
		if err == nil && isLeaving {
			world.mutex.Lock()
			world.departures[celerylanding.TargetID(id)] = time.Now()
			world.mutex.Unlock()
			world.signalAcknowledged()
			return
		}
		if err == nil {
			time.Sleep(500 * time.Millisecond)
		} else {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (world *viewWorld) signalAcknowledged() {
	select {
	case world.acknowledged <- struct{}{}:
	default:
	}
}

// awaitAcknowledged waits for the next acknowledgement, for a second at the most.
func (world *viewWorld) awaitAcknowledged() {
	select {
	case <-world.acknowledged:
	default:
	}
	select {
	case <-world.acknowledged:
	case <-time.After(time.Second):
	}
}

func (world *viewWorld) controlOf(number int) *control.Control {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.nodes[number%len(world.nodes)].ctl
}

// leaderNumber returns the number of the leader that the first node knows, or that of some node.
func (world *viewWorld) leaderNumber(random *rand.Rand) int {
	for i, node := range world.nodes {
		if node.addr == world.controlOf(0).Leader() {
			return i
		}
	}
	return random.IntN(len(world.nodes))
}

// injectFault plays one fault and waits for its end.
func (world *viewWorld) injectFault(random *rand.Rand) {
	hosts := world.nodeHosts()
	length := 300*time.Millisecond + time.Duration(random.Int64N(int64(8*time.Second)))
	number := random.IntN(len(hosts))
	if random.IntN(2) == 0 {
		number = world.leaderNumber(random)
	}
	router := world.routers[random.IntN(len(world.routers))].host
	var everyone []string
	everyone = append(everyone, hosts...)
	for _, each := range world.routers {
		everyone = append(everyone, each.host)
	}
	if random.IntN(2) == 0 {
		world.awaitAcknowledged()
	}
	switch choice := random.IntN(6); choice {
	case 0:
		world.note("router %s is cut off for %v", router, length)
		world.playCut(length, []string{router}, everyone, router)
	case 1:
		world.note("node %d is cut off from the other nodes for %v", number, length)
		world.playCut(length, hosts[number:number+1], hosts, hosts[number])
	case 2:
		world.note("node %d is cut off from all for %v", number, length)
		world.playCut(length, hosts[number:number+1], everyone, hosts[number])
	case 3:
		world.note("node %d and router %s are cut off for %v", number, router, length)
		world.playCut(length, []string{hosts[number], router}, everyone, hosts[number], router)
	case 4:
		world.note("half of the nodes is cut off from the other for %v", length)
		world.playCut(length, hosts[:2], hosts[2:], hosts...)
	default:
		world.note("node %d loses power for %v", number, length)
		end := world.disturb(hosts[number])
		restore := world.network.Cut(hosts[number:number+1], everyone)
		time.Sleep(length)
		world.restartNode(number)
		restore()
		end()
	}
}

func (world *viewWorld) playCut(length time.Duration, from, to []string, disturbed ...string) {
	end := world.disturb(disturbed...)
	restore := world.network.Cut(from, to)
	time.Sleep(length)
	restore()
	end()
}

func (world *viewWorld) restartNode(number int) {
	world.restarts.Lock()
	defer world.restarts.Unlock()
	node := world.nodes[number]
	world.stop(node)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.start(node, nil, false)
}

// TestRoutersSeeWhatWasAcknowledged guards against routers that act on a view older than an acknowledgement allows, on links that behave like real ones.
func TestRoutersSeeWhatWasAcknowledged(t *testing.T) {
	world := &viewWorld{testCluster: &testCluster{t: t, engines: &fakeEngines{}, clock: boottime.Now, silence: 5 * time.Second},
		network: netfault.New(*viewSeed, *viewDelay), began: time.Now(), versions: make(map[uint64]time.Time), departures: make(map[celerylanding.TargetID]time.Time),
		faults: make(map[string]int), changedAt: make(map[string]time.Time), acknowledged: make(chan struct{}, 1), lastKind: make(map[string]time.Time)}
	if *viewDirect {
		world.maxDirectRouters = 40
	}
	world.testCluster.dialFrom = world.network.DialFrom
	startCluster(world.testCluster, 1)
	world.submit(world.nodes[0], 1)
	for i := range 4 {
		ip := net.ParseIP(world.nodes[0].host()).To4()
		ip[3] = byte(100 + i)
		world.startRouter(ip.String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { world.operate(ctx, rand.New(rand.NewPCG(*viewSeed, 2))) })
	work.Go(func() {
		for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
			world.check()
		}
	})
	var faults sync.WaitGroup
	end := time.Now().Add(*viewLength)
	for number := range *viewFaults {
		random := rand.New(rand.NewPCG(*viewSeed, uint64(10+number)))
		faults.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				world.injectFault(random)
				world.note("end of the fault that began %v ago", time.Since(began).Round(time.Millisecond))
				time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
			}
		})
	}
	faults.Wait()
	time.Sleep(calmTime + 2*viewBound)
	cancel()
	work.Wait()
	assert.Equal(t, len(world.violations), 0, "%d versions and %d departures were acknowledged", len(world.versions), len(world.departures))
	t.Logf("%d versions and %d departures were acknowledged", len(world.versions), len(world.departures))
}
