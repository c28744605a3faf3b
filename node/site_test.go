package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/node"
	"celerylanding.example/celerylanding/target/fake"
)

const gib = 1 << 30

// site runs nodes and fake targets in this process, over real sockets on loopback.
type site struct {
	t       testing.TB
	nodes   []*runningNode
	engines []*fake.Engine
	voters  int
}

// runningNode is one node with its listeners.
type runningNode struct {
	node      *node.Node
	listeners node.Listeners
	// kill stops the node without a drain, as a crash would.
	kill func()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// startSite starts nodes in the given number of failure domains; the first ones vote and the others have no data folder.
func startSite(t testing.TB, count, voters, domains int) *site {
	t.Helper()
	site := &site{t: t, voters: voters}
	var seeds []string
	for i := range count {
		listeners := node.Listeners{Callers: listen(t), Targets: listen(t), Peers: listen(t), Operators: listen(t)}
		options := node.Options{
			ID:            celerylanding.NodeID(fmt.Sprintf("n%d", i)),
			Domain:        celerylanding.FailureDomain(fmt.Sprintf("d%d", i%domains)),
			Peers:         seeds,
			MaxVoters:     voters,
			SnapshotCount: 1000,
			Listeners:     listeners,
			Timing:        node.DefaultTiming(),
			Log:           zerolog.Nop(),
			Timeline:      io.Discard,
			Seed:          uint64(i) + 1,
		}
		options.Timing.DrainNotice = 0
		if i < voters {
			options.DataFolder = t.TempDir()
		}
		if i == 0 {
			_, err := node.Bootstrap(node.BootstrapOptions{ID: options.ID, Domain: options.Domain, DataFolder: options.DataFolder,
				Address: listeners.Peers.Addr().String(), Seed: options.Seed})
			assert.NilError(t, err)
		}
		seeds = []string{seedAddress(site, listeners)}
		started, err := node.New(options)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			_ = started.Run(ctx)
			close(stopped)
		}()
		kill := func() {
			cancel()
			<-stopped
		}
		site.nodes = append(site.nodes, &runningNode{started, listeners, kill})
		t.Cleanup(kill)
	}
	site.await("all nodes have joined", func() bool {
		shown, err := site.show(0)
		votes := 0
		for _, status := range shown.Nodes {
			if status.Voter {
				votes++
			}
		}
		return err == nil && len(shown.Nodes) == count && votes == voters
	})
	return site
}

// seedAddress returns the first node's peer address, through which all others join.
func seedAddress(site *site, own node.Listeners) string {
	if len(site.nodes) > 0 {
		return site.nodes[0].listeners.Peers.Addr().String()
	}
	return own.Peers.Addr().String()
}

func (site *site) await(what string, check func() bool) {
	site.t.Helper()
	for range 3000 {
		if check() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	site.t.Fatalf("timed out: %s", what)
}

func (site *site) show(number int) (node.ShowReply, error) {
	var reply node.ShowReply
	response, err := http.Get("http://" + site.nodes[number].listeners.Operators.Addr().String() + "/operate/show")
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// addTargets starts engines and one ledger service that announce themselves to the nodes in turn.
func (site *site) addTargets(engines, domains int, loadTime time.Duration) {
	site.t.Helper()
	var nodes []string
	for _, member := range site.nodes {
		nodes = append(nodes, member.listeners.Targets.Addr().String())
	}
	for i := range engines {
		listener := listen(site.t)
		engine := fake.NewEngine(fake.EngineOptions{LoadTime: loadTime, Tokens: 1, Announcement: celerylanding.Announcement{
			Target: celerylanding.TargetID(fmt.Sprintf("e%d", i)), Incarnation: 1, Kind: celerylanding.KindEngine, Group: "engines",
			Domain: celerylanding.FailureDomain(fmt.Sprintf("d%d", i%domains)), Address: listener.Addr().String(),
			Memory: 80 * gib, Fencing: true, Slots: 256}})
		site.engines = append(site.engines, engine)
		site.runHost(fake.NewHost(listener, engine, nodes, time.Second))
	}
	listener := listen(site.t)
	ledger := fake.NewService(fake.ServiceOptions{Announcement: celerylanding.Announcement{Target: "l", Incarnation: 1,
		Kind: celerylanding.KindService, Group: "ledgers", Domain: "d0", Address: listener.Addr().String(), Slots: 1024}})
	site.runHost(fake.NewHost(listener, ledger, nodes, time.Second))
}

func (site *site) runHost(host *fake.Host) {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		_ = host.Run(ctx)
		close(stopped)
	}()
	site.t.Cleanup(func() {
		cancel()
		<-stopped
	})
}

// siteText returns a configuration with models that each need little memory.
func siteText(revision, models int) string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "revision: %d\nsite: bench\ngroups:\n  engines: {kind: engine, target_memory: 80GiB}\n  ledgers: {kind: service}\nmodels:\n", revision)
	for i := range models {
		fmt.Fprintf(&text, "  m%d: {group: engines, versions: {v: {memory: 1GiB}}}\n", i)
	}
	text.WriteString("services:\n  ledger: {group: ledgers}\nstore: {loads_per_second: 1000, full_speed_loads: 1000}\n")
	return text.String()
}

func (site *site) submit(number int, text string) {
	site.t.Helper()
	body, err := json.Marshal(config.Document{BaseName: "base", Base: text})
	assert.NilError(site.t, err)
	response, err := http.Post("http://"+site.nodes[number].listeners.Operators.Addr().String()+"/operate/submit", "application/json", bytes.NewReader(body))
	assert.NilError(site.t, err)
	assert.NilError(site.t, response.Body.Close())
	assert.Equal(site.t, response.StatusCode, http.StatusOK)
}

func (site *site) callers(number int) string {
	return "http://" + site.nodes[number].listeners.Callers.Addr().String()
}
