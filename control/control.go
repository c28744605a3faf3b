package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/run"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/quorum/wal"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/waking"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 20 * time.Millisecond
	// inboxDepth bounds the calls that wait for the control goroutine.
	inboxDepth = 4096
	// maxBatch bounds the calls that share one durable write.
	maxBatch = 256
	// maxAppend bounds the entries of one message between members.
	maxAppend = 64
	// electionTimeout is the shortest silence of a leader after which another one is elected; eight heartbeats, so that the
	// pauses of a small VM do not cost a leader its role.
	electionTimeout = 600 * time.Millisecond
	// logHeartbeat is the time between two messages of the leader to a voter.
	logHeartbeat = 75 * time.Millisecond
	// snapshotAt is the number of commands between two snapshots; each holds a whole configuration.
	snapshotAt = 32
	// clockLead is how far ahead another process's clock is followed.
	clockLead = 10 * time.Second
)

// Control is one control node.
type Control struct {
	options Options
	clock   *hlc.Clock
	peers   *rpc.Peers
	stop    context.CancelFunc
	tasks   *tasks.Group
	inbox   chan func(now time.Time)

	// All below belongs to the control goroutine.
	member        quorum.Member
	core          *quorum.Core
	wal           *wal.WAL
	configuration *routing.Configuration
	// index is the log position of the last command that was applied.
	index     uint64
	sinceSnap int
	effects   quorum.Effects
	batch     []pending
	waiters   map[uint64]waiter
	addresses map[quorum.MemberID]string
	lastRole  quorum.Role
	lastHeard quorum.MemberID
	joinDue   time.Time
	joinTurn  int

	// diskFailed is since when the disk refuses writes, and diskRetry when to try again.
	diskFailed time.Time
	diskRetry  time.Time

	directory *membership.Directory
	planner   *waking.Planner
	ailing    *membership.Ailing
	feed      feedState
	// quarantine counts the targets that requests have crashed, and quarantined are the requests that routers refuse.
	quarantine  *router.Quarantine
	quarantined []uint64
	// leadSince is when this node began to lead; zero while it does not.
	leadSince time.Time
	handover  handover
	// stops is set when this node has given up its lead in order to stop.
	stops    bool
	recall   recall
	absorbed absorbed
	// lastOrder is when this start of the process last gave an order; zero if never.
	lastOrder time.Time
	expireDue time.Time
	planDue   time.Time
	// summaryDue is when the next line on the state of the engines is written.
	summaryDue time.Time

	// mutex guards what other goroutines read: the leader's address and the number of known targets.
	mutex   sync.Mutex
	leader  string
	targets int
}

// New recovers a control node's state; Run starts it.
func New(now time.Time, options Options) (*Control, error) {
	directory, err := membership.NewDirectory(options.TargetSilence)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	ctl := &Control{
		options:    options,
		clock:      hlc.New(clockLead),
		stop:       stop,
		tasks:      tasks.New(ctx),
		inbox:      make(chan func(time.Time), inboxDepth),
		waiters:    make(map[uint64]waiter),
		addresses:  make(map[quorum.MemberID]string),
		directory:  directory,
		planner:    waking.New(time.Time{}),
		ailing:     membership.NewAiling(),
		quarantine: router.NewQuarantine(),
	}
	ctl.feed = newFeedState()
	ctl.absorbed = newAbsorbed()
	if err := ctl.recover(now); err != nil {
		stop()
		return nil, err
	}
	local, _, err := net.SplitHostPort(options.Peers.Addr().String())
	if err != nil {
		stop()
		return nil, err
	}
	ctl.peers = rpc.NewPeers(ctx, rpc.Options{Local: local, Clock: ctl.clock, Counters: &rpccodec.Counters{}})
	return ctl, nil
}

func (ctl *Control) recover(now time.Time) error {
	log, recovered, err := wal.Open(ctl.options.DataFolder, true)
	if err != nil {
		return err
	}
	ctl.wal = log
	address := ctl.options.Peers.Addr().String()
	id, err := identify(ctl.options, log, &recovered, address, fmt.Sprintf("%x", ctl.options.Seed))
	if err != nil {
		return err
	}
	if err := ctl.restore(recovered.Snapshot); err != nil {
		return err
	}
	ctl.member = quorum.Member{ID: id, Node: celerylanding.NodeID(address), Domain: ctl.options.Domain, Address: address, Durable: true}
	ctl.core = quorum.New(now, quorum.Settings{
		ID:               id,
		ElectionTimeout:  electionTimeout,
		Heartbeat:        logHeartbeat,
		LearnerHeartbeat: electionTimeout / 2,
		MaxAppend:        maxAppend,
		Random:           rand.New(rand.NewPCG(ctl.options.Seed, 1)),
	}, recovered.HardState, recovered.Snapshot, recovered.Entries)
	ctl.loadRecall()
	ctl.options.Log.Info().Str("member", string(id)).Uint64("snapshot", recovered.Snapshot.Index).Int("entries", len(recovered.Entries)).
		Int64("torn_bytes", recovered.Torn).Msg("control state recovered")
	return nil
}

func (ctl *Control) restore(snapshot quorum.Snapshot) error {
	ctl.index = snapshot.Index
	ctl.configuration = nil
	if len(snapshot.Data) == 0 {
		return nil
	}
	configuration := &routing.Configuration{}
	if err := cbor.Unmarshal(snapshot.Data, configuration); err != nil {
		return err
	}
	if configuration.Version > 0 {
		ctl.adopt(configuration)
	}
	return nil
}

// Run serves until the context ends.
func (ctl *Control) Run(ctx context.Context) error {
	server, err := rpc.NewServer(ctl.options.Peers, &PeerService{ctx: ctx, control: ctl}, ctl.clock, &rpccodec.Counters{})
	if err != nil {
		return err
	}
	var group run.Group
	add := func(work func(ctx context.Context) error) {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
	add(ctl.loop)
	add(server.Run)
	add(ctl.follow)
	err = group.Run()
	ctl.stop()
	<-ctl.tasks.Close()
	ctl.peers.Close()
	return errors.Join(err, ctl.wal.Close())
}

// post runs the function on the control goroutine; it is false when the context ended first.
func (ctl *Control) post(ctx context.Context, work func(now time.Time)) bool {
	select {
	case ctl.inbox <- work:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask runs the function on the control goroutine and waits for it.
func (ctl *Control) ask(ctx context.Context, work func(now time.Time)) error {
	done := make(chan struct{})
	posted := ctl.post(ctx, func(now time.Time) {
		work(now)
		close(done)
	})
	if posted {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// loop is the control goroutine.
func (ctl *Control) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case work := <-ctl.inbox:
			work(ctl.options.Clock())
			ctl.drainInbox()
		}
		now := ctl.options.Clock()
		ctl.effects.Merge(ctl.core.Tick(now))
		if err := ctl.flush(now); err != nil {
			return fmt.Errorf("control state can't be made durable: %w", err)
		}
		ctl.duties(now)
		if err := ctl.flush(now); err != nil {
			return fmt.Errorf("control state can't be made durable: %w", err)
		}
		ctl.answerWatchers(now)
	}
}

func (ctl *Control) drainInbox() {
	for range maxBatch {
		select {
		case work := <-ctl.inbox:
			work(ctl.options.Clock())
		default:
			return
		}
	}
}

// Leader returns the peer address of the leader, or "" while none is known.
func (ctl *Control) Leader() string {
	ctl.mutex.Lock()
	defer ctl.mutex.Unlock()
	return ctl.leader
}

// Address returns where other nodes reach this one.
func (ctl *Control) Address() string { return ctl.member.Address }

func (ctl *Control) leaderAddress() string {
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.core.Leader() {
			return member.Address
		}
	}
	return ""
}
