package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/oklog/run"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/common/rpccodec"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/forecast"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/quorum/wal"
	"celerylanding.example/celerylanding/reach"
	"celerylanding.example/celerylanding/resume"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/throttle"
)

const (
	// tickInterval is the interval of periodic work: log ticks, timeouts and retries.
	tickInterval = 20 * time.Millisecond
	// maxAppend bounds the log entries in one message between members.
	maxAppend = 64
	// electionTimeout is the shortest silence of a leader after which another one is elected: eight heartbeats, so that scheduling
	// pauses of a small VM do not cost a leader its role.
	electionTimeout = 600 * time.Millisecond
	// logHeartbeatInterval is the time between two messages from the leader to a voter.
	logHeartbeatInterval = 75 * time.Millisecond
	// commandsPerSnapshot is the number of commands between two snapshots, without departures, which are small; most hold a whole configuration.
	commandsPerSnapshot = 32
	// maxLogLength is the number of entries after which there is a snapshot in any case.
	maxLogLength = 1024
	// maxClockOffset is how far ahead of this node's clock an observed timestamp may be; the hybrid logical clock ignores later ones.
	maxClockOffset = 10 * time.Second
)

// Control is a control node: a member of the replicated log that can become the leader of the serving system.
type Control struct {
	options Options
	clock   *hlc.Clock
	peers   *rpc.Peers
	stop    context.CancelFunc
	tasks   *tasks.Group
	inbox   inbox
	outbox  *rpc.Mailbox[quorum.Message]
	rounds  roundTimer

	// The fields below are owned by the control goroutine.
	member quorum.Member
	core   *quorum.Core
	wal    *wal.WAL
	// write is the write of the log that goes on; nil if there is none.
	write         *pendingWrite
	configuration *routing.Configuration
	// index is the log position of the last applied entry.
	index uint64
	// isStalled is set when the log holds an entry or a snapshot that this build can't read.
	isStalled             bool
	commandsSinceSnapshot int
	effects               quorum.Effects
	batch                 []queuedCommand
	proposals             map[uint64]pendingProposal
	addresses             map[quorum.MemberID]string
	lastRole              quorum.Role
	lastLeader            quorum.MemberID
	joinDue               time.Time
	joinAttempts          int

	// diskFailedAt is when the disk began to refuse writes, or zero while it accepts them; diskRetryAt is when to retry.
	diskFailedAt time.Time
	diskRetryAt  time.Time

	directory  *membership.Directory
	departures departures
	// requiredFormat is the highest format that the applied part of the log needs, and lowestFormat the format that all members apply, as last logged.
	requiredFormat uint64
	lowestFormat   uint64
	planner        *loadplan.Planner
	outliers       *membership.OutlierDetector
	feed           feedState
	relay          *relayReports
	quarantine     quarantineState
	// limits are the limits on requests that targets announce, as routers have reported them to this leader.
	limits *throttle.Ledger
	// brittle holds the brittle targets, as routers have reported them to this leader.
	brittle *throttle.Tally
	// quotas are what this leader has granted of the quotas of workspaces; nil before this node has led.
	quotas *throttle.Allocator
	// settledTerm is the last term whose leader has outlasted all grants of its predecessors, by the log; isSettling is set while this leader has not
	// proposed its own.
	settledTerm uint64
	isSettling  bool
	// detours lists the routers that reach targets.
	detours *reach.Directory
	// board holds the load of the targets as all routers know it; on a relay, the news of its own routers come before those of the others.
	board *forecast.Board
	// origins are the software versions that began streams, as routers have reported them to this leader, or the leader to this node.
	origins      *resume.Ledger
	originWriter originWriter
	// versions are the software versions that services have had lately, by the log.
	versions versionState
	// unknownOriginLogDue is when an unknown origin is logged again.
	unknownOriginLogDue time.Time
	// started is when this process started.
	started time.Time
	// leaderSince is when this node became the leader; zero while it is not.
	leaderSince time.Time
	// leaseLostAt is when the leader's lease was found to have ended while its role goes on; zero while it holds.
	leaseLostAt time.Time
	handover    handover
	// stopping is set when this node has given up leadership in order to shut down.
	stopping    bool
	engineCache engineCache
	heartbeats  heartbeatBatch
	// lastOrder is when this process last sent an order to an engine; zero if never.
	lastOrder time.Time
	expireDue time.Time
	planDue   time.Time
	// summaryDue is when the next summary of the engines is logged.
	summaryDue time.Time

	// mutex guards the fields that other goroutines read: the address of the leader and the number of known targets.
	mutex   sync.Mutex
	leader  string
	targets int
}

// New recovers a control node's state from its data folder; Run starts the node. New waits while the disk fails, until the context ends.
func New(ctx context.Context, now time.Time, options Options) (*Control, error) {
	directory, err := membership.NewDirectory(options.TargetSilence)
	if err != nil {
		return nil, err
	}
	lifetime, stop := context.WithCancel(context.Background())
	ctl := &Control{
		options:    options,
		started:    now,
		clock:      hlc.New(maxClockOffset),
		stop:       stop,
		tasks:      tasks.New(lifetime),
		inbox:      newInbox(),
		rounds:     newRoundTimer(options.Metrics),
		proposals:  make(map[uint64]pendingProposal),
		addresses:  make(map[quorum.MemberID]string),
		directory:  directory,
		departures: newDepartures(),
		planner:    loadplan.New(time.Time{}),
		outliers:   membership.NewOutlierDetector(),
		quarantine: newQuarantineState(),
		limits:     throttle.NewLedger(),
		brittle:    throttle.NewTally(),
		board:      forecast.NewBoard(),
		detours:    reach.NewDirectory(),
		origins:    resume.NewLedger(now),
		relay:      newRelayReports(),
	}
	ctl.feed = newFeedState()
	ctl.heartbeats = newHeartbeatBatch()
	if err := ctl.recoverWithRetries(ctx, now); err != nil {
		stop()
		return nil, err
	}
	local, _, err := net.SplitHostPort(options.Peers.Addr().String())
	if err != nil {
		stop()
		return nil, err
	}
	ctl.peers = rpc.NewPeers(lifetime, rpc.Options{LocalIP: local, Dial: options.Dial, Clock: ctl.clock, Counters: &rpccodec.Counters{}})
	ctl.outbox = rpc.NewMailbox(lifetime, ctl.deliver)
	return ctl, nil
}

func (ctl *Control) recover(now time.Time) error {
	address := ctl.options.Peers.Addr().String()
	newID := quorum.MemberID(fmt.Sprintf("%s/%x", address, ctl.options.Seed))
	log, recovered, err := ctl.openLog(newID)
	if err != nil {
		return err
	}
	ctl.wal = log
	id, err := loadMemberID(ctl.options, log, &recovered, address, newID)
	if err != nil {
		return errors.Join(err, log.Close())
	}
	unreadable := ctl.restore(recovered.Snapshot)
	ctl.member = quorum.Member{ID: id, Node: celerylanding.NodeID(address), Domain: ctl.options.Domain, Address: address, Durable: true}
	ctl.core = quorum.New(now, quorum.Settings{
		ID:                       id,
		ElectionTimeout:          electionTimeout,
		HeartbeatInterval:        logHeartbeatInterval,
		LearnerHeartbeatInterval: electionTimeout / 2,
		MaxAppendEntries:         maxAppend,
		MaxAppendBytes:           maxCommandBytes,
		Random:                   rand.New(rand.NewPCG(ctl.options.Seed, 1)),
	}, recovered.HardState, recovered.Snapshot, recovered.Entries)
	if unreadable != nil {
		ctl.stall(now, recovered.Snapshot.Index, unreadable)
	}
	ctl.loadEngineCache()
	ctl.loadOrigins(now)
	ctl.options.Log.Info().Str("member", string(id)).Uint64("snapshot", recovered.Snapshot.Index).Int("entries", len(recovered.Entries)).
		Int64("torn_bytes", recovered.TornBytes).Msg("control state recovered")
	return nil
}

// restore replaces the replicated state by that of a snapshot; if it can't be read, the state is empty.
func (ctl *Control) restore(snapshot quorum.Snapshot) error {
	ctl.index = snapshot.Index
	ctl.configuration = nil
	ctl.quarantine.fingerprints = nil
	ctl.settledTerm = 0
	state := &replicated{}
	if len(snapshot.Data) > 0 {
		var err error
		if state, err = decodeReplicated(snapshot.Data); err != nil {
			return err
		}
	}
	ctl.requiredFormat = state.Format
	if state.Version > 0 {
		ctl.activate(&state.Configuration)
	}
	ctl.quarantine.fingerprints = state.Quarantined
	ctl.settledTerm = state.SettledTerm
	ctl.versions.restore(state.Versions)
	ctl.departures.replace(state.Departed)
	ctl.markDeparted(ctl.departures.list)
	return nil
}

// Run serves until the context is cancelled.
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
	add(ctl.watchLeader)
	err = group.Run()
	ctl.stop()
	<-ctl.tasks.Close()
	ctl.peers.Close()
	ctl.outbox.Close()
	ctl.closeLog()
	return errors.Join(err, ctl.originWriter.log.Close())
}

// Leader returns the peer address of the leader, or "" while none is known.
func (ctl *Control) Leader() string {
	ctl.mutex.Lock()
	defer ctl.mutex.Unlock()
	return ctl.leader
}

// Address returns the address at which other nodes reach this one.
func (ctl *Control) Address() string { return ctl.member.Address }

func (ctl *Control) leaderAddress() string {
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.core.Leader() {
			return member.Address
		}
	}
	return ""
}
