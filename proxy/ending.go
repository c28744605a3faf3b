package proxy

import (
	"context"
	"errors"

	"celerylanding.example/celerylanding/delivery"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/upstream"
)

// checkEnd checks that the caller's body may end as the target's answer has ended.
func (handler *Handler) checkEnd(ctx context.Context, call *call, target *feed.Target, response *upstream.Response) error {
	if err := handler.confirmEnd(ctx, call, target, response); err != nil {
		return err
	}
	return call.delivery.CheckEnd(call.head)
}

// confirmEnd checks that an answer that has ended with its connection is complete: a target that is killed ends its connections in the same way, and
// refuses new ones.
func (handler *Handler) confirmEnd(ctx context.Context, call *call, target *feed.Target, response *upstream.Response) error {
	if !call.head.IsUnframed {
		return nil
	}
	endedAt := handler.options.Clock()
	end := delivery.ConnectionEnd{Silence: response.Silence()}
	if end.InterruptsWork() {
		handler.crashes.recordBreak(endedAt, target.Endpoint())
	}
	if !sleep(ctx, probeDelay) {
		return nil
	}
	end.IsGone = handler.options.Pool.MayBeGone(ctx, handler.options.Clock(), target.Address)
	if !end.IsGone {
		return nil
	}
	table := handler.state.table()
	end.IsLeaving, end.HasNotice = table.IsLeaving(target), !table.NoticeEnd(target.Endpoint()).IsZero()
	end.HasOtherBreaks = handler.crashes.hasBroken(target.Endpoint(), endedAt.Add(-probeDelay))
	isComplete := end.IsComplete()
	handler.options.Log.Info().Str("call", call.metadata.ID).Str("target", string(target.ID)).Dur("silence", end.Silence).Bool("leaving", end.IsLeaving).
		Bool("notice", end.HasNotice).Bool("others_broken", end.HasOtherBreaks).Bool("complete", isComplete).
		Msg("target is gone after an answer that ended with its connection")
	if !isComplete {
		return errors.Join(errAnswerBroken, errTargetGone)
	}
	return nil
}
