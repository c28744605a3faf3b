package node

import (
	"context"
	"fmt"
	"sync/atomic"
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
	// tickInterval is the time between two runs of the periodic tasks.
	tickInterval = 20 * time.Millisecond
	// inboxDepth bounds the functions queued for the control goroutine.
	inboxDepth = 4096
	// maxBatch bounds the queued functions that share one durable write.
	maxBatch = 512
	// maxAppend bounds the log entries of one message.
	maxAppend = 512
	// incarnationFile is the file in the data folder that holds the folder's permanent incarnation.
	incarnationFile = "incarnation"
)

// publisher receives the snapshots on which routing is based.
type publisher interface {
	Update(now time.Time, view *router.View)
}

// pendingProposal is a proposed log entry whose result a caller waits for.
type pendingProposal struct {
	term  uint64
	reply chan<- proposalResult
}

// proposalResult is the result of a proposal on this node.
type proposalResult struct {
	result state.Result
	err    error
	leader string
}

// queuedCommand is a command for the next batch; reply is nil if no caller waits for the result.
type queuedCommand struct {
	data  []byte
	reply chan<- proposalResult
}

// control owns the control state, which only the control goroutine reads and changes; other goroutines go through post and call.
type control struct {
	options   Options
	log       zerolog.Logger
	recorder  celerylanding.Recorder
	peers     *rpc.Peers
	outbox    *rpc.Mailbox[quorum.Message]
	publisher publisher
	inbox     chan func(now time.Time)

	member quorum.Member
	// holderID identifies this start of the process in leases: a restarted process no longer has the orders that it issued before,
	// so it needs a new fencing token.
	holderID    string
	core        *quorum.Core
	wal         *wal.WAL
	state       *state.State
	directory   *membership.Directory
	planner     *placement.Planner
	leaderState *leaderState
	executors   map[celerylanding.FailureDomain]*domainExecutor
	orders      celerylanding.OrderClient
	tasks       *tasks.Group
	// addresses holds the latest address of each member, from the membership or from a message that it sent, since a joining node
	// does not have the membership yet.
	addresses map[quorum.MemberID]string

	effects              quorum.Effects
	batch                []queuedCommand
	pendingProposals     map[uint64]pendingProposal
	appliedSinceSnapshot int
	dirty                bool
	// heartbeatBatch holds the heartbeats to broadcast; fullAnnouncementDue is when a target's full announcement is due again.
	heartbeatBatch      []celerylanding.Heartbeat
	heartbeatBatchDue   time.Time
	fullAnnouncementDue map[celerylanding.TargetID]time.Time
	loadingSince        map[celerylanding.OrderNumber]time.Time
	coldStart           time.Duration
	joinDue             time.Time
	joinAttempts        int
	lastLeader          quorum.MemberID
	lastRole            quorum.Role
	leaderLastSeen      time.Time
	// leaderSeenAt is leaderLastSeen for other goroutines.
	leaderSeenAt atomic.Pointer[time.Time]
	lastRevision uint64
	stopping     bool
	lastPublish  time.Time
	lastConfig   *config.Config
}

// post queues the function for the control goroutine; it returns false if the context ended first.
func (ctl *control) post(ctx context.Context, run func(now time.Time)) bool {
	select {
	case ctl.inbox <- run:
		return true
	case <-ctx.Done():
		return false
	}
}

// call runs the function on the control goroutine and waits for it to return.
func (ctl *control) call(ctx context.Context, run func(now time.Time)) error {
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

// run is the loop of the control goroutine.
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
			ctl.runPeriodicTasks(now)
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

// handle runs the event and those queued behind it, so that they share one durable write.
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

func (ctl *control) runPeriodicTasks(now time.Time) {
	ctl.effects.Merge(ctl.core.Tick(now))
	for _, id := range ctl.directory.Expire(now) {
		ctl.dirty = true
		ctl.recorder.Record(now, celerylanding.Event{Kind: "target_suspected", Target: id})
	}
	ctl.updateRole(now)
	ctl.broadcastHeartbeats(now)
	ctl.ensureMembership(now)
	ctl.runLeaderTasks(now)
	ctl.runExecutors(now)
}

// updateRole records changes of this node's role and of the leader, and the time at which a leader was last known.
func (ctl *control) updateRole(now time.Time) {
	if role := ctl.core.Role(); role != ctl.lastRole {
		ctl.lastRole = role
		ctl.recorder.Record(now, celerylanding.Event{Kind: "role", Detail: fmt.Sprintf("%s in term %d", role, ctl.core.Term())})
		if role != quorum.Leader {
			ctl.leaderState = nil
		}
	}
	if leader := ctl.core.Leader(); leader != ctl.lastLeader {
		ctl.lastLeader = leader
		ctl.recorder.Record(now, celerylanding.Event{Kind: "leader", Detail: string(leader)})
	}
	if ctl.core.Leader() != "" {
		ctl.leaderLastSeen = now
		ctl.leaderSeenAt.Store(&now)
	}
}

// leaderSeen returns when a leader was last known, or the zero time; any goroutine may call it.
func (ctl *control) leaderSeen() time.Time {
	if seen := ctl.leaderSeenAt.Load(); seen != nil {
		return *seen
	}
	return time.Time{}
}
