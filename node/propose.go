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
	// proposeTry bounds one try to have a command committed.
	proposeTry   = 2 * time.Second
	proposePause = 30 * time.Millisecond
)

// ErrProposalUnknown means that the command may still be committed.
var ErrProposalUnknown = celerylanding.Namespace.NewType("proposal_unknown")

// proposeBatch appends all commands that came together, which then share one durable write.
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
				item.reply <- proposal{err: err, leader: ctl.leaderAddress()}
			}
		}
		return
	}
	for i, item := range batch {
		if item.reply != nil {
			ctl.waiters[position.Index+uint64(i)] = waiter{position.Term, item.reply}
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

// submit queues commands of this node's own decisions, whose outcome shows in the state.
func (ctl *control) submit(commands []state.Command) {
	for _, command := range commands {
		data, err := state.Encode(command)
		if err != nil {
			ctl.log.Error().Err(err).Msg("command can't be encoded")
			continue
		}
		ctl.batch = append(ctl.batch, pending{data: data})
	}
}

// proposeLocal commits the command if this node leads.
func (ctl *control) proposeLocal(ctx context.Context, data []byte) proposal {
	reply := make(chan proposal, 1)
	if !ctl.post(ctx, func(time.Time) { ctl.batch = append(ctl.batch, pending{data, reply}) }) {
		return proposal{err: rpc.ErrUnreachable.Wrap(ctx.Err(), "control state is busy")}
	}
	select {
	case outcome := <-reply:
		return outcome
	case <-ctx.Done():
		return proposal{err: ErrProposalUnknown.Wrap(ctx.Err(), "no quorum has answered")}
	}
}

// propose commits the command on whichever node leads. Every command is idempotent, so a try of unknown outcome is repeated.
// When the context ends first, the error tells whether the command may still be committed.
func (ctl *control) propose(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := state.Encode(command)
	if err != nil {
		return state.Result{}, err
	}
	mayCommit := false
	for {
		try, cancel := context.WithTimeout(ctx, proposeTry)
		outcome := ctl.proposeOnce(try, data)
		cancel()
		if outcome.err == nil {
			return outcome.result, nil
		}
		if !errorx.IsOfType(outcome.err, quorum.ErrNotLeader) && !errorx.IsOfType(outcome.err, rpc.ErrUnreachable) {
			mayCommit = true
		}
		select {
		case <-time.After(proposePause):
			continue
		case <-ctx.Done():
		}
		if mayCommit {
			return state.Result{}, ErrProposalUnknown.Wrap(outcome.err, "no answer in time")
		}
		return state.Result{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonNoQuorum,
			"no leader could be reached: %v", outcome.err)
	}
}

func (ctl *control) proposeOnce(ctx context.Context, data []byte) proposal {
	outcome := ctl.proposeLocal(ctx, data)
	if !errorx.IsOfType(outcome.err, quorum.ErrNotLeader) || outcome.leader == "" {
		return outcome
	}
	var reply ProposeReply
	if err := ctl.peers.Call(ctx, outcome.leader, "Peer.Propose", &ProposeArgs{Command: data}, &reply); err != nil {
		return proposal{err: err}
	}
	if reply.NotLeader {
		return proposal{err: quorum.ErrNotLeader.New("%s does not lead", outcome.leader)}
	}
	if reply.Unknown {
		return proposal{err: ErrProposalUnknown.New("%s does not know the outcome", outcome.leader)}
	}
	return proposal{result: reply.Result}
}
