package control

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/wal"
	"celerylanding.example/celerylanding/routing"
)

// diskPause is the time between two tries of a write that the disk has refused.
const diskPause = 100 * time.Millisecond

// pending is a command that joins the next batch.
type pending struct {
	data  []byte
	reply chan<- ProposeReply
}

// waiter is a proposal whose outcome somebody waits for.
type waiter struct {
	term  uint64
	reply chan<- ProposeReply
}

// flush proposes the batch, makes it durable, sends and applies, until nothing is left to do.
func (ctl *Control) flush(now time.Time) error {
	for now.After(ctl.diskRetry) {
		ctl.proposeBatch(now)
		if ctl.effects.IsEmpty() {
			return nil
		}
		effects := ctl.effects
		ctl.effects = quorum.Effects{}
		if err := ctl.persist(effects.Records); err != nil {
			return ctl.postpone(now, effects, err)
		}
		ctl.noteDisk(now)
		ctl.send(effects.Messages)
		if err := ctl.applyAll(effects); err != nil {
			return err
		}
		if err := ctl.snapshot(); err != nil {
			return err
		}
	}
	return nil
}

// applyAll installs the snapshot and applies the entries that have been committed.
func (ctl *Control) applyAll(effects quorum.Effects) error {
	if effects.Install != nil {
		if err := ctl.restore(*effects.Install); err != nil {
			return err
		}
		ctl.dropWaiters(effects.Install.Index)
	}
	for _, entry := range effects.Committed {
		if err := ctl.apply(entry); err != nil {
			return err
		}
	}
	return nil
}

// postpone keeps what could not be made durable for another try; nothing that depends on it leaves this node meanwhile, which costs
// a leader its role.
func (ctl *Control) postpone(now time.Time, effects quorum.Effects, cause error) error {
	if !errorx.IsOfType(cause, wal.ErrNotWritten) {
		return cause
	}
	effects.Merge(ctl.effects)
	ctl.effects = effects
	if ctl.diskFailed.IsZero() {
		ctl.diskFailed = now
		ctl.options.Metrics.Counter("disk_failures").Inc(1)
		ctl.options.Log.Error().Err(cause).Msg("disk refuses writes; this node takes no part until it accepts them")
	}
	ctl.diskRetry = now.Add(diskPause)
	return nil
}

// noteDisk tells that the disk accepts writes again.
func (ctl *Control) noteDisk(now time.Time) {
	if !ctl.diskFailed.IsZero() {
		ctl.options.Log.Info().Dur("after", now.Sub(ctl.diskFailed)).Msg("disk accepts writes again")
		ctl.diskFailed = time.Time{}
	}
}

func (ctl *Control) proposeBatch(now time.Time) {
	if len(ctl.batch) == 0 {
		return
	}
	batch := ctl.batch
	ctl.batch = nil
	commands := make([][]byte, 0, len(batch))
	for _, item := range batch {
		commands = append(commands, item.data)
	}
	position, effects, err := ctl.core.Propose(now, commands)
	if err != nil {
		for _, item := range batch {
			item.reply <- ProposeReply{}
		}
		return
	}
	for i, item := range batch {
		ctl.waiters[position.Index+uint64(i)] = waiter{position.Term, item.reply}
	}
	ctl.effects.Merge(effects)
}

func (ctl *Control) persist(records []quorum.Record) error {
	if len(records) == 0 {
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
func (ctl *Control) send(messages []quorum.Message) {
	if len(messages) == 0 {
		return
	}
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

// receive takes messages of another member.
func (ctl *Control) receive(now time.Time, args *DeliverArgs) error {
	for _, message := range args.Messages {
		effects, err := ctl.core.Receive(now, message)
		if err != nil {
			return err
		}
		if args.Address != "" {
			ctl.addresses[message.From] = args.Address
		}
		ctl.effects.Merge(effects)
	}
	return nil
}

// dropWaiters answers the proposals whose entries are hidden in a snapshot.
func (ctl *Control) dropWaiters(index uint64) {
	for at, waiting := range ctl.waiters {
		if at <= index {
			delete(ctl.waiters, at)
			waiting.reply <- ProposeReply{Leads: true}
		}
	}
}

func (ctl *Control) apply(entry quorum.Entry) error {
	ctl.index = entry.Index
	if entry.Kind == quorum.EntryCommand {
		if err := ctl.applyCommand(entry); err != nil {
			return err
		}
	}
	waiting, ok := ctl.waiters[entry.Index]
	if !ok {
		return nil
	}
	delete(ctl.waiters, entry.Index)
	// Another leader's entry in the place means that the proposal was lost.
	isOwn := waiting.term == entry.Term
	waiting.reply <- ProposeReply{Leads: isOwn, Committed: isOwn, Version: ctl.version()}
	return nil
}

// applyCommand puts a configuration in force if its version is higher than the one held.
func (ctl *Control) applyCommand(entry quorum.Entry) error {
	configuration := &routing.Configuration{}
	if err := cbor.Unmarshal(entry.Data, configuration); err != nil {
		return err
	}
	ctl.sinceSnap++
	isNew := configuration.Version > ctl.version()
	ctl.options.Log.Info().Uint64("index", entry.Index).Uint64("version", configuration.Version).Uint64("held", ctl.version()).
		Bool("in_force", isNew).Msg("configuration committed")
	if isNew {
		ctl.adopt(configuration)
		ctl.feed.configurationChanged = true
	}
	return nil
}

// adopt puts a configuration in force on this node.
func (ctl *Control) adopt(configuration *routing.Configuration) {
	for _, service := range configuration.Services {
		if service.Engine != nil {
			service.Engine.BuildIndex()
		}
	}
	ctl.configuration = configuration
}

func (ctl *Control) version() uint64 {
	if ctl.configuration == nil {
		return 0
	}
	return ctl.configuration.Version
}

// snapshot compacts the log when enough commands have been applied since the last time.
func (ctl *Control) snapshot() error {
	if ctl.sinceSnap < snapshotAt {
		return nil
	}
	data, err := cbor.Marshal(ctl.configuration)
	if err != nil {
		return err
	}
	ctl.sinceSnap = 0
	ctl.effects.Merge(ctl.core.Compact(ctl.index, data))
	return nil
}

// proposeLocal commits the command if this node leads.
func (ctl *Control) proposeLocal(ctx context.Context, data []byte) ProposeReply {
	reply := make(chan ProposeReply, 1)
	if !ctl.post(ctx, func(time.Time) { ctl.batch = append(ctl.batch, pending{data, reply}) }) {
		return ProposeReply{}
	}
	select {
	case outcome := <-reply:
		return outcome
	case <-ctx.Done():
		return ProposeReply{Leads: true}
	}
}
