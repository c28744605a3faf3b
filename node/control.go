package node

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/tasks"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/placement"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/quorum/wal"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/state"
)

const (
	tickInterval = 20 * time.Millisecond
	inboxDepth   = 4096
	// maxBatch bounds the events that share one durable write.
	maxBatch = 512
	// maxAppend bounds the entries of one message.
	maxAppend = 512
	// incarnationFile names a data folder for good.
	incarnationFile = "incarnation"
)

// publisher takes the snapshots that routing works with.
type publisher interface {
	Update(now time.Time, view *router.View)
}

// waiter is a proposal whose outcome somebody waits for.
type waiter struct {
	term  uint64
	reply chan<- proposal
}

// proposal is the outcome of a proposal on this node.
type proposal struct {
	result state.Result
	err    error
	leader string
}

// pending is a command that joins the next batch.
type pending struct {
	data  []byte
	reply chan<- proposal
}

// control owns the control state; all its methods but post run on its one goroutine.
type control struct {
	options   Options
	log       zerolog.Logger
	recorder  celerylanding.Recorder
	peers     *rpc.Peers
	publisher publisher
	inbox     chan func(now time.Time)

	member quorum.Member
	// holderID names this start of the process in leases: a restarted process knows nothing of the orders it gave before, so
	// it needs a fence of its own.
	holderID  string
	core      *quorum.Core
	wal       *wal.WAL
	state     *state.State
	directory *membership.Directory
	planner   *placement.Planner
	leader    *leaderDuties
	executors map[celerylanding.FailureDomain]*domainExecutor
	orders    celerylanding.OrderClient
	tasks     *tasks.Group
	// addresses holds where members were last reached or heard from; a newcomer does not know the membership yet.
	addresses map[quorum.MemberID]string

	effects   quorum.Effects
	batch     []pending
	waiters   map[uint64]waiter
	sinceSnap int
	dirty     bool
	// heartbeats wait to be passed on; wholeDue is when a target's whole announcement is due again.
	heartbeats    []celerylanding.Heartbeat
	heartbeatsDue time.Time
	wholeDue      map[celerylanding.TargetID]time.Time
	loadingFrom   map[celerylanding.OrderNumber]time.Time
	coldStart     time.Duration
	joinDue       time.Time
	joinTurn      int
	lastLeader    quorum.MemberID
	lastRole      quorum.Role
	leaderSeen    time.Time
	lastNumber    uint64
	stopping      bool
	lastPublish   time.Time
	lastConfig    *config.Config
}

// post runs the function on the control goroutine; it is false when the context ended first.
func (ctl *control) post(ctx context.Context, run func(now time.Time)) bool {
	select {
	case ctl.inbox <- run:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask runs the function on the control goroutine and waits for it.
func (ctl *control) ask(ctx context.Context, run func(now time.Time)) error {
	done := make(chan struct{})
	posted := ctl.post(ctx, func(now time.Time) {
		run(now)
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

// run is the control goroutine.
func (ctl *control) run(ctx context.Context) error {
	ctl.tasks = tasks.New(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event func(time.Time)
		select {
		case <-ctx.Done():
			return ctl.close()
		case <-ticker.C:
		case event = <-ctl.inbox:
		}
		now := time.Now()
		ctl.handle(now, event)
		if event == nil {
			ctl.tick(now)
		}
		if err := ctl.flush(now); err != nil {
			return fmt.Errorf("control log: %w", err)
		}
		ctl.publish(now)
	}
}

func (ctl *control) close() error {
	<-ctl.tasks.Close()
	if ctl.wal == nil {
		return nil
	}
	return ctl.wal.Close()
}

// handle runs the event and those that wait behind it, so that they share one durable write.
func (ctl *control) handle(now time.Time, event func(time.Time)) {
	for handled := 0; event != nil && handled < maxBatch; handled++ {
		event(now)
		select {
		case event = <-ctl.inbox:
		default:
			event = nil
		}
	}
	if event != nil {
		event(now)
	}
}

func (ctl *control) tick(now time.Time) {
	ctl.effects.Merge(ctl.core.Tick(now))
	for _, id := range ctl.directory.Expire(now) {
		ctl.dirty = true
		ctl.recorder.Record(now, celerylanding.Event{Kind: "target_suspected", Target: id})
	}
	ctl.noteRole(now)
	ctl.passHeartbeats(now)
	ctl.join(now)
	ctl.lead(now)
	ctl.execute(now)
}

// noteRole records changes of leadership.
func (ctl *control) noteRole(now time.Time) {
	if role := ctl.core.Role(); role != ctl.lastRole {
		ctl.lastRole = role
		ctl.recorder.Record(now, celerylanding.Event{Kind: "role", Detail: fmt.Sprintf("%s in term %d", role, ctl.core.Term())})
		if role != quorum.Leader {
			ctl.leader = nil
		}
	}
	if leader := ctl.core.Leader(); leader != ctl.lastLeader {
		ctl.lastLeader = leader
		ctl.recorder.Record(now, celerylanding.Event{Kind: "leader", Detail: string(leader)})
	}
	if ctl.core.Leader() != "" {
		ctl.leaderSeen = now
	}
}
