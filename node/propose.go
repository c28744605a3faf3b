package node

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/quorum"
	"celerylanding.example/celerylanding/quorum/rpc"
	"celerylanding.example/celerylanding/state"
)

const (
	// proposeAttemptTimeout bounds one attempt to commit a command.
	proposeAttemptTimeout = 2 * time.Second
	// proposeRetryDelay is the time between two attempts.
	proposeRetryDelay = 30 * time.Millisecond
)

// ErrProposalUnknown means that the command may still be committed.
var ErrProposalUnknown = celerylanding.ErrorNamespace.NewType("proposal_unknown")

// proposeBatch proposes all queued commands together, so that they share one durable write.
func (ctl *control) proposeBatch(now time.Time) {
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
			if item.reply != nil {
				item.reply <- proposalResult{err: err, leader: ctl.leaderAddress()}
			}
		}
		return
	}
	for i, item := range batch {
		if item.reply != nil {
			ctl.pendingProposals[position.Index+uint64(i)] = pendingProposal{position.Term, item.reply}
		}
	}
	ctl.effects.Merge(effects)
}

func (ctl *control) leaderAddress() string {
	for _, member := range ctl.core.Members() {
		if member.ID == ctl.core.Leader() {
			return member.Address
		}
	}
	return ""
}

// queueCommands queues commands that this node has decided on, without waiting for their results, which show in the state.
func (ctl *control) queueCommands(commands []state.Command) {
	for _, command := range commands {
		data, err := state.Encode(command)
		if err != nil {
			ctl.log.Error().Err(err).Msg("command can't be encoded")
			continue
		}
		ctl.batch = append(ctl.batch, queuedCommand{data: data})
	}
}

// proposeLocal commits the command if this node leads.
func (ctl *control) proposeLocal(ctx context.Context, data []byte) proposalResult {
	reply := make(chan proposalResult, 1)
	if !ctl.post(ctx, func(time.Time) { ctl.batch = append(ctl.batch, queuedCommand{data, reply}) }) {
		return proposalResult{err: rpc.ErrUnreachable.Wrap(ctx.Err(), "control state is busy")}
	}
	select {
	case outcome := <-reply:
		return outcome
	case <-ctx.Done():
		return proposalResult{err: ErrProposalUnknown.Wrap(ctx.Err(), "no quorum has answered")}
	}
}

// propose commits the command on whichever node leads. Every command is idempotent, so an attempt of unknown result is retried.
// If the context ends first, the error is an ErrProposalUnknown if the command may still be committed, or else an ErrCallFailed with the verdict
// NotRun.
func (ctl *control) propose(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	mayCommit := false
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, proposeAttemptTimeout)
		outcome := ctl.proposeOnce(attemptCtx, data)
		cancel()
		if outcome.err == nil {
			return outcome.result, nil
		}
		if !errorx.IsOfType(outcome.err, quorum.ErrNotLeader) && !errorx.IsOfType(outcome.err, rpc.ErrUnreachable) {
			mayCommit = true
		}
		select {
		case <-time.After(proposeRetryDelay):
			continue
		case <-ctx.Done():
		}
		if mayCommit {
			return state.Result{}, ErrProposalUnknown.Wrap(outcome.err, "no result of the proposal before the deadline")
		}
		return state.Result{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoQuorum,
			"no leader could be reached: %v", outcome.err)
	}
}

func (ctl *control) proposeOnce(ctx context.Context, data []byte) proposalResult {
	outcome := ctl.proposeLocal(ctx, data)
	if !errorx.IsOfType(outcome.err, quorum.ErrNotLeader) || outcome.leader == "" {
		return outcome
	}
	var reply ProposeReply
	if err := ctl.peers.Call(ctx, outcome.leader, "Peer.Propose", &ProposeArgs{Command: data}, &reply); err != nil {
		return proposalResult{err: err}
	}
	if reply.NotLeader {
		return proposalResult{err: quorum.ErrNotLeader.New("%s replied that it is not the leader", outcome.leader)}
	}
	if reply.Unknown {
		return proposalResult{err: ErrProposalUnknown.New("%s does not know the outcome", outcome.leader)}
	}
	return proposalResult{result: reply.Result}
}
