package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
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
	"celerylanding.example/celerylanding/target"
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

// newControl recovers the control state from the data folder.
func newControl(now time.Time, options Options, recorder celerylanding.Recorder, peers *rpc.Peers, publisher publisher) (*control, error) {
	directory, err := membership.NewDirectory(options.Timing.TargetSilence)
	if err != nil {
		return nil, err
	}
	ctl := &control{
		options:     options,
		log:         options.Log,
		recorder:    recorder,
		peers:       peers,
		publisher:   publisher,
		inbox:       make(chan func(time.Time), inboxDepth),
		directory:   directory,
		executors:   make(map[celerylanding.FailureDomain]*domainExecutor),
		orders:      target.NewOrders(),
		addresses:   make(map[quorum.MemberID]string),
		waiters:     make(map[uint64]waiter),
		loadingFrom: make(map[celerylanding.OrderNumber]time.Time),
		wholeDue:    make(map[celerylanding.TargetID]time.Time),
		dirty:       true,
	}
	incarnation := fmt.Sprintf("%x", options.Seed)
	var recovered wal.Recovered
	if options.DataFolder != "" {
		if ctl.wal, recovered, err = wal.Open(options.DataFolder, true); err != nil {
			return nil, err
		}
		if incarnation, err = folderIncarnation(options.DataFolder, incarnation); err != nil {
			return nil, err
		}
	}
	if ctl.state, err = state.Restore(recovered.Snapshot.Data); err != nil {
		return nil, err
	}
	ctl.member = quorum.Member{
		ID:      MemberID(options.ID, incarnation),
		Node:    options.ID,
		Domain:  options.Domain,
		Address: cmp.Or(options.Advertise, options.Listeners.Peers.Addr().String()),
		Durable: options.DataFolder != "",
	}
	ctl.holderID = fmt.Sprintf("%s#%x", ctl.member.ID, options.Seed)
	ctl.core = quorum.New(now, ctl.settings(), recovered.HardState, recovered.Snapshot, recovered.Entries)
	ctl.leaderSeen = now
	ctl.log.Info().Str("member", string(ctl.member.ID)).Uint64("snapshot", recovered.Snapshot.Index).
		Int("entries", len(recovered.Entries)).Int64("torn_bytes", recovered.Torn).Msg("control state recovered")
	return ctl, nil
}

// MemberID joins a node's name and the incarnation of its data folder.
func MemberID(id celerylanding.NodeID, incarnation string) quorum.MemberID {
	return quorum.MemberID(string(id) + "/" + incarnation)
}

// folderIncarnation returns the name that the folder was given when it was first used.
func folderIncarnation(folder, fresh string) (string, error) {
	path := filepath.Join(folder, incarnationFile)
	text, err := os.ReadFile(path)
	if err == nil && len(text) > 0 {
		return string(text), nil
	}
	if err != nil && !os.IsNotExist(err) {
		return "", err
	}
	return fresh, writeDurably(path, fresh)
}

func writeDurably(path, text string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := file.WriteString(text); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (ctl *control) settings() quorum.Settings {
	return quorum.Settings{
		ID:              ctl.member.ID,
		ElectionTimeout: ctl.options.Timing.ElectionTimeout,
		Heartbeat:       ctl.options.Timing.Heartbeat,
		MaxAppend:       maxAppend,
		// A member without a vote has half an election timeout to spare before it counts the leader as lost.
		LearnerHeartbeat: ctl.options.Timing.ElectionTimeout / 2,
		Random:           rand.New(rand.NewPCG(ctl.options.Seed, 1)),
	}
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

// flush proposes the batch, makes it durable, sends and applies, until nothing is left to do.
func (ctl *control) flush(now time.Time) error {
	for {
		ctl.proposeBatch(now)
		if ctl.effects.IsEmpty() {
			return nil
		}
		effects := ctl.effects
		ctl.effects = quorum.Effects{}
		if err := ctl.persist(effects.Records); err != nil {
			return err
		}
		ctl.send(effects.Messages)
		if err := ctl.install(effects.Install); err != nil {
			return err
		}
		for _, entry := range effects.Committed {
			ctl.apply(now, entry)
		}
		if err := ctl.snapshot(); err != nil {
			return err
		}
	}
}

func (ctl *control) persist(records []quorum.Record) error {
	if ctl.wal == nil || len(records) == 0 {
		return nil
	}
	for _, record := range records {
		if record.Snapshot != nil {
			snapshot, entries := ctl.core.Tail()
			return ctl.wal.Rewrite(ctl.core.HardState(), snapshot, entries)
		}
	}
	return ctl.wal.Append(records)
}

// send hands each member its messages in one call.
func (ctl *control) send(messages []quorum.Message) {
	grouped := make(map[quorum.MemberID][]quorum.Message)
	for _, message := range messages {
		grouped[message.To] = append(grouped[message.To], message)
	}
	for _, member := range ctl.core.Members() {
		ctl.addresses[member.ID] = member.Address
	}
	for id, list := range grouped {
		if address := ctl.addresses[id]; address != "" {
			ctl.peers.Notify(address, "Peer.Deliver", &DeliverArgs{Messages: list, Address: ctl.member.Address})
		}
	}
}

func (ctl *control) install(snapshot *quorum.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	restored, err := state.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	ctl.state = restored
	ctl.dirty = true
	return nil
}

func (ctl *control) apply(now time.Time, entry quorum.Entry) {
	var result state.Result
	if entry.Kind == quorum.EntryCommand {
		result = ctl.state.Apply(entry.Index, entry.Data)
		ctl.dirty = true
		ctl.sinceSnap++
		ctl.noteApplied(now, entry, result)
	}
	waiting, ok := ctl.waiters[entry.Index]
	if !ok {
		return
	}
	delete(ctl.waiters, entry.Index)
	if waiting.reply == nil {
		return
	}
	if waiting.term != entry.Term {
		waiting.reply <- proposal{err: quorum.ErrNotLeader.New("another leader's entry took the place")}
		return
	}
	waiting.reply <- proposal{result: result}
}

// snapshot compacts the log when enough commands have been applied since the last time.
func (ctl *control) snapshot() error {
	if ctl.sinceSnap < ctl.options.SnapshotAt {
		return nil
	}
	data, err := ctl.state.Snapshot()
	if err != nil {
		return err
	}
	ctl.sinceSnap = 0
	ctl.effects.Merge(ctl.core.Compact(ctl.state.Index(), data))
	return nil
}
