package control_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/boottime"
	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/waking"
)

// within bounds each step of these tests; elections take up to two seconds on a busy machine.
const within = 15 * time.Second

// engines records the orders of all nodes of a test and accepts every one.
type engines struct {
	mutex  sync.Mutex
	fences []control.Fence
	orders []waking.Order
}

func (eng *engines) Send(_ context.Context, _ time.Time, order waking.Order, _ string, fence control.Fence) waking.Outcome {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.fences = append(eng.fences, fence)
	eng.orders = append(eng.orders, order)
	return waking.OutcomeAccepted
}

func (eng *engines) Inspect(_ context.Context, _ time.Time, endpoint celerylanding.Endpoint) (*waking.Report, error) {
	return &waking.Report{Incarnation: endpoint.Incarnation, Ready: endpoint.Target != leavingEngine}, nil
}

// leavingEngine is an engine that takes no new work by its own account.
const leavingEngine = "leaving"

// member is one control node of a test.
type member struct {
	node   *control.Control
	folder string
	addr   string
	domain string
	cancel context.CancelFunc
	done   chan error
}

// site runs control nodes on loopback.
type site struct {
	t       *testing.T
	seeds   []string
	members []*member
	engines *engines
	clock   func() time.Time
	// silence is how long targets may be silent.
	silence time.Duration
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	return listener
}

// newSite starts three seeds and further nodes, all at once.
func newSite(t *testing.T, further int) *site { return newSiteWithSilence(t, further, 5*time.Second) }

func newSiteWithSilence(t *testing.T, further int, silence time.Duration) *site {
	place := &site{t: t, engines: &engines{}, clock: boottime.Now, silence: silence}
	listeners := make([]net.Listener, 3+further)
	for i := range listeners {
		listeners[i] = listen(t, "127.0.0.1:0")
		if i < 3 {
			place.seeds = append(place.seeds, listeners[i].Addr().String())
		}
	}
	for i, listener := range listeners {
		mem := &member{folder: t.TempDir(), addr: listener.Addr().String(), domain: fmt.Sprintf("d%d", i%4)}
		place.members = append(place.members, mem)
		place.start(mem, listener, true)
	}
	t.Cleanup(func() {
		for _, mem := range place.members {
			place.stop(mem)
		}
	})
	return place
}

func (place *site) start(mem *member, listener net.Listener, bootstrap bool) {
	if listener == nil {
		listener = listen(place.t, mem.addr)
	}
	node, err := control.New(place.clock(), control.Options{
		Node:          celerylanding.NodeID(mem.addr),
		Domain:        celerylanding.FailureDomain(mem.domain),
		DataFolder:    mem.folder,
		Peers:         listener,
		Seeds:         func() []string { return place.seeds },
		Bootstrap:     bootstrap,
		MaxVoters:     3,
		Fencing:       true,
		LeaseTime:     time.Second,
		TargetSilence: place.silence,
		Engines:       place.engines,
		Clock:         place.clock,
		Log:           zerolog.Nop(),
		Metrics:       tally.NoopScope,
		Seed:          uint64(time.Now().UnixNano()),
	})
	assert.NilError(place.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	mem.node, mem.cancel, mem.done = node, cancel, make(chan error, 1)
	go func() { mem.done <- node.Run(ctx) }()
}

func (place *site) stop(mem *member) {
	if mem.cancel == nil {
		return
	}
	mem.cancel()
	assert.NilError(place.t, <-mem.done)
	mem.cancel = nil
}

func configuration(version uint64) *routing.Configuration {
	text := fmt.Sprintf("version %d", version)
	return &routing.Configuration{Version: version, Source: []byte(text), Services: []routing.Service{{ID: "s"}}}
}

// submit sends a version to a node until it is acknowledged.
func (place *site) submit(mem *member, version uint64) {
	place.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	held, err := mem.node.Submit(ctx, configuration(version))
	assert.NilError(place.t, err)
	assert.Assert(place.t, held >= version)
}

// read asks a node until it is sure.
func (place *site) read(mem *member) string {
	place.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		text, err := mem.node.Read(ctx)
		cancel()
		if err == nil {
			return string(text)
		}
	}
	place.t.Fatal("no node is sure of the configuration")
	return ""
}

func TestSeedsStartOneLogInAnyOrder(t *testing.T) {
	place := newSite(t, 1)
	for i, mem := range place.members {
		place.submit(mem, uint64(i+1))
	}
	for _, mem := range place.members {
		assert.Equal(t, place.read(mem), "version 4")
	}
}

func TestLowerVersionsAreAcknowledgedAndChangeNothing(t *testing.T) {
	place := newSite(t, 0)
	place.submit(place.members[0], 7)
	place.submit(place.members[1], 3)
	place.submit(place.members[2], 7)
	for _, mem := range place.members {
		assert.Equal(t, place.read(mem), "version 7")
	}
}

// TestAcknowledgedVersionOutlastsLostDisks loses the disk of each node in turn, right after an acknowledgement.
func TestAcknowledgedVersionOutlastsLostDisks(t *testing.T) {
	place := newSite(t, 1)
	for i, mem := range place.members {
		version := uint64(10 * (i + 1))
		place.submit(place.members[(i+1)%4], version)
		place.stop(mem)
		mem.folder = filepath.Join(t.TempDir(), "empty")
		place.start(mem, nil, false)
		assert.Equal(t, place.read(place.members[(i+2)%4]), fmt.Sprintf("version %d", version))
		// The empty disk counts again once the node answers with what it has learned.
		assert.Equal(t, place.read(mem), fmt.Sprintf("version %d", version))
		time.Sleep(time.Second)
	}
}

func TestAllNodesRestartAtOnce(t *testing.T) {
	place := newSite(t, 1)
	for version := uint64(1); version <= 70; version++ {
		place.submit(place.members[version%4], version)
	}
	for _, mem := range place.members {
		place.stop(mem)
	}
	for _, mem := range place.members {
		place.start(mem, nil, false)
	}
	assert.Equal(t, place.read(place.members[3]), "version 70")
}

// TestWipedSeedsStartNoSecondLog restarts one seed, and two that would make a majority, with empty folders and without the third.
func TestWipedSeedsStartNoSecondLog(t *testing.T) {
	place := newSite(t, 0)
	place.submit(place.members[0], 1)
	for _, mem := range place.members {
		place.stop(mem)
	}
	for wiped := 1; wiped <= 2; wiped++ {
		mem := place.members[wiped-1]
		mem.folder = t.TempDir()
		place.start(mem, nil, false)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		_, err := mem.node.Submit(ctx, configuration(2))
		assert.Assert(t, err != nil, "%d nodes without the log must not accept anything by themselves", wiped)
		_, err = mem.node.Read(ctx)
		assert.Assert(t, err != nil)
		cancel()
	}
}

func announcement(id string, sequence uint64, leaving bool) *control.AnnounceArgs {
	return &control.AnnounceArgs{Announcement: &celerylanding.Announcement{Target: celerylanding.TargetID(id), Incarnation: 1,
		Sequence: sequence, Group: "s", Address: "127.0.0.1:1", Slots: 1, Leaving: leaving}}
}

func TestAnnouncementsReachTheLeaderFromAnyNode(t *testing.T) {
	place := newSite(t, 0)
	place.submit(place.members[0], 1)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for i, mem := range place.members {
		assert.NilError(t, mem.node.Announce(ctx, announcement(fmt.Sprintf("t%d", i), 1, false)))
	}
	place.stop(place.members[0])
	place.stop(place.members[1])
	short, end := context.WithTimeout(ctx, 3*time.Second)
	defer end()
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	err := place.members[2].node.Announce(short, announcement("t9", 1, true))
	assert.Assert(t, err != nil, "a node without a quorum must not acknowledge that a target leaves")
}

// TestFencesRise follows orders over a change of the leader.
func TestFencesRise(t *testing.T) {
	place := newSite(t, 0)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := place.members[0].node.Submit(ctx, withEngine(1))
	assert.NilError(t, err)
	for round := range 2 {
		place.announceIdleEngine(ctx, round)
		place.awaitOrders(round + 1)
		if round == 0 {
			place.stopLeader()
		}
	}
	assert.Assert(t, slices.IsSorted(place.engines.fences))
	assert.Assert(t, place.engines.fences[0] < place.engines.fences[len(place.engines.fences)-1], "fences %v", place.engines.fences)
}

// announceIdleEngine announces an engine whose memory is free and on whose disk the weights lie, so that the leader has the model loaded.
func (place *site) announceIdleEngine(ctx context.Context, number int) {
	place.t.Helper()
	target := announcement(fmt.Sprintf("t%d", number), 1, false)
	target.Announcement.Cached = []celerylanding.CachedCheckpoint{{Model: "m", Tier: celerylanding.TierDisk}}
	place.announceUntilTaken(ctx, target)
}

func (place *site) announceUntilTaken(ctx context.Context, args *control.AnnounceArgs) {
	place.t.Helper()
	for ctx.Err() == nil {
		for _, mem := range place.members {
			if mem.cancel != nil && mem.node.Announce(ctx, args) == nil {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	place.t.Fatal("no node takes announcements")
}

func (place *site) awaitOrders(count int) {
	place.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		place.engines.mutex.Lock()
		found := len(place.engines.orders)
		place.engines.mutex.Unlock()
		if found >= count {
			return
		}
	}
	place.t.Fatalf("fewer than %d orders were given", count)
}

func (place *site) stopLeader() {
	leader := place.members[0].node.Leader()
	for _, mem := range place.members {
		if mem.addr == leader {
			place.stop(mem)
			return
		}
	}
	place.t.Fatal("no leader is known")
}
