package control

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/routing"
)

// diskRetryInterval is the time between two attempts at a write that the disk has refused.
const diskRetryInterval = 100 * time.Millisecond

// queuedCommand is a command that is proposed with the next batch.
type queuedCommand struct {
	data  []byte
	reply chan<- ProposeReply
}

// pendingProposal is a proposed command whose outcome proposeLocal waits for.
type pendingProposal struct {
	term  uint64
	reply chan<- ProposeReply
}

// flush proposes the queued commands, makes the effects durable, then sends messages and applies entries, until no effects are left or a write takes
// longer than maxWriteWait.
func (ctl *Control) flush(now time.Time) {
	for ctl.write == nil && now.After(ctl.diskRetryAt) {
		ctl.proposeBatch(now)
		if ctl.effects.IsEmpty() {
			return
		}
		effects := ctl.effects
		ctl.effects = quorum.Effects{}
		ctl.beginWrite(now, effects)
		ctl.awaitWrite(now)
	}
	if ctl.write == nil {
		return
	}
	ctl.sendWhileWriting(now)
	if ctl.core.Role() != quorum.Leader {
		// The queued commands are refused, so that callers ask the leader meanwhile.
		ctl.proposeBatch(now)
	}
}

// applyAll installs a received snapshot and applies committed entries.
func (ctl *Control) applyAll(now time.Time, effects quorum.Effects) {
	if effects.InstallSnapshot != nil {
		if err := ctl.restore(*effects.InstallSnapshot); err != nil {
			ctl.stall(now, effects.InstallSnapshot.Index, err)
		} else if ctl.isStalled {
			ctl.isStalled = false
			ctl.effects.Merge(ctl.core.SetElectable(now, true))
		}
		ctl.resolveCompacted(effects.InstallSnapshot.Index)
	}
	for _, entry := range effects.Committed {
		ctl.apply(now, entry)
	}
}

// keepForRetry keeps effects that could not be made durable for the next attempt. Until it succeeds, nothing that depends on them is sent,
// which costs a leader its role. What the file holds does not matter meanwhile, since all of it is in memory.
func (ctl *Control) keepForRetry(now time.Time, effects quorum.Effects, cause error) {
	effects.Merge(ctl.effects)
	ctl.effects = effects
	if ctl.diskFailedAt.IsZero() {
		ctl.diskFailedAt = now
		ctl.options.Metrics.Counter("disk_failures").Inc(1)
		ctl.options.Log.Error().Err(cause).Bool("file_intact", ctl.wal.IsIntact()).
			Msg("disk refuses writes; this node sends no Raft messages until a write succeeds")
	}
	ctl.diskRetryAt = now.Add(diskRetryInterval)
}

// logDiskRecovery logs the first successful write after a failure of the disk.
func (ctl *Control) logDiskRecovery(now time.Time) {
	if !ctl.diskFailedAt.IsZero() {
		ctl.options.Log.Info().Dur("after", now.Sub(ctl.diskFailedAt)).Msg("disk accepts writes again")
		ctl.diskFailedAt = time.Time{}
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
		ctl.proposals[position.Index+uint64(i)] = pendingProposal{position.Term, item.reply}
	}
	ctl.effects.Merge(effects)
}

// send sends all messages to the same member in one call.
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
			ctl.outbox.Send(address, list)
		}
	}
}

// deliver sends messages to the member at an address; errors are ignored, since the log's protocol repeats lost messages.
func (ctl *Control) deliver(ctx context.Context, address string, messages []quorum.Message) {
	for len(messages) > 0 {
		count := countForCall(messages)
		_ = ctl.peers.Call(ctx, address, "Peer.Deliver", &DeliverArgs{Messages: messages[:count], Address: ctl.member.Address}, &struct{}{})
		messages = messages[count:]
	}
}

// countForCall returns how many of the messages fit into one call.
func countForCall(messages []quorum.Message) int {
	size := 0
	for i, message := range messages {
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		if message.Snapshot != nil {
			size += len(message.Snapshot.Data)
		}
		if i > 0 && size > maxCallBytes {
			return i
		}
	}
	return len(messages)
}

// receive processes Raft messages from another member. An invalid one does not keep the others back: messages to a member whose disk was lost arrive
// together with those to its successor at the same address.
func (ctl *Control) receive(now time.Time, args *DeliverArgs) error {
	var errs []error
	for _, message := range args.Messages {
		effects, err := ctl.core.Receive(now, message)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if args.Address != "" {
			ctl.addresses[message.From] = args.Address
		}
		ctl.effects.Merge(effects)
	}
	return errors.Join(errs...)
}

// resolveCompacted ends the wait for proposals up to an index whose entries are not applied here; their outcome is unknown.
func (ctl *Control) resolveCompacted(index uint64) {
	for at, proposal := range ctl.proposals {
		if at <= index {
			delete(ctl.proposals, at)
			proposal.reply <- ProposeReply{Leads: true}
		}
	}
}

// resolveUnwritten ends the wait for proposals of a former leader that applies nothing, since its disk refuses writes. Its successor decides on them, so
// that callers may ask it.
func (ctl *Control) resolveUnwritten() {
	if !ctl.diskFailedAt.IsZero() && ctl.core.Role() != quorum.Leader {
		ctl.resolveCompacted(math.MaxUint64)
	}
}

func (ctl *Control) apply(now time.Time, entry quorum.Entry) {
	if !ctl.isStalled && entry.Kind == quorum.EntryCommand {
		if err := ctl.applyCommand(entry); err != nil {
			ctl.stall(now, entry.Index, err)
		}
	}
	if ctl.isStalled {
		ctl.resolveCompacted(entry.Index)
		return
	}
	ctl.index = entry.Index
	proposal, ok := ctl.proposals[entry.Index]
	if !ok {
		return
	}
	delete(ctl.proposals, entry.Index)
	// An entry of another term at the same index means that another leader overwrote the proposal.
	isOwn := proposal.term == entry.Term
	proposal.reply <- ProposeReply{Leads: isOwn, Committed: isOwn, Version: ctl.version()}
}

// applyCommand applies a committed change of the quarantine, of the settled term, of the departures or of the software versions, or activates a committed
// configuration if its version is higher than the active one.
func (ctl *Control) applyCommand(entry quorum.Entry) error {
	command, err := decodeReplicated(entry.Data)
	if err != nil {
		return err
	}
	ctl.requiredFormat = max(ctl.requiredFormat, command.Format)
	if len(command.Departed) > 0 {
		ctl.applyDepartures(command.Departed)
		return nil
	}
	if command.Versions != nil {
		ctl.versions.history = *command.Versions
		return nil
	}
	ctl.commandsSinceSnapshot++
	if command.hasFingerprints() {
		ctl.applyQuarantine(command)
		return nil
	}
	if command.SettledTerm > 0 {
		ctl.settledTerm = max(ctl.settledTerm, command.SettledTerm)
		return nil
	}
	configuration := &command.Configuration
	if configuration.Version == 0 {
		ctl.options.Log.Warn().Uint64("index", entry.Index).Msg("log entry of an unknown kind skipped")
		return nil
	}
	isNew := configuration.Version > ctl.version()
	ctl.options.Log.Info().Uint64("index", entry.Index).Uint64("version", configuration.Version).Uint64("held", ctl.version()).
		Bool("in_force", isNew).Msg("configuration committed")
	if isNew {
		ctl.activate(configuration)
		ctl.feed.configurationChanged = true
	}
	return nil
}

// activate makes a configuration the active one on this node.
func (ctl *Control) activate(configuration *routing.Configuration) {
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

// compact replaces applied log entries by a snapshot after every commandsPerSnapshot commands, or when the log holds maxLogLength entries. The
// state of a stalled member lacks entries, so that it makes no snapshot.
func (ctl *Control) compact() {
	if ctl.isStalled || ctl.commandsSinceSnapshot < commandsPerSnapshot && ctl.core.LogLength() < maxLogLength {
		return
	}
	state := replicated{Quarantined: ctl.quarantine.fingerprints, SettledTerm: ctl.settledTerm, Departed: ctl.departures.list,
		Format: ctl.requiredFormat}
	if history := ctl.versions.history; history.Term > 0 {
		state.Versions = &history
	}
	if ctl.configuration != nil {
		state.Configuration = *ctl.configuration
	}
	data, err := cbor.Marshal(&state)
	if err != nil {
		ctl.options.Log.Error().Err(err).Msg("snapshot can't be encoded; the log grows")
		return
	}
	ctl.commandsSinceSnapshot = 0
	ctl.effects.Merge(ctl.core.Compact(ctl.index, data))
}

// proposeLocal proposes a command on this node and waits until the command is applied or has failed, or until the context ends.
func (ctl *Control) proposeLocal(ctx context.Context, data []byte) ProposeReply {
	reply := make(chan ProposeReply, 1)
	if !ctl.postUrgent(ctx, func(time.Time) { ctl.batch = append(ctl.batch, queuedCommand{data, reply}) }) {
		return ProposeReply{}
	}
	select {
	case outcome := <-reply:
		return outcome
	case <-ctx.Done():
		return ProposeReply{Leads: true}
	}
}
