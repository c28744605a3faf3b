package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/delivery"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/upstream"
)

const (
	// minStallTimeout, stallObjectives and stallGaps define when a stream without a new event has stalled: after the longest of
	// minStallTimeout, stallObjectives times the latency objective and stallGaps times the longest pause that the route allows between events.
	// Callers wait no longer than that.
	minStallTimeout = 2 * time.Second
	stallObjectives = 4
	stallGaps       = 8
	// resumeStallShare is the share of the stall timeout after which a stream that can be resumed moves to another target.
	resumeStallShare = 0.5
	// minMoveTimeout is the shortest such time: a living target may be silent for a second or so.
	minMoveTimeout = 1500 * time.Millisecond
)

// forwardStream forwards server-sent events as they arrive; a partial event is not forwarded if the stream ends early.
//
// stop ends the attempt; it is called when the stream stalls.
func (handler *Handler) forwardStream(ctx context.Context, stop context.CancelFunc, writer http.ResponseWriter, call *call, target *feed.Target,
	response *upstream.Response) (bool, *refusal) {
	stall := handler.newStallTimer(call, target, stop)
	err := handler.copyEvents(writer, call, response, stall)
	if stall.end() && err != nil {
		err = errors.Join(errStreamStalled, err)
	}
	if err == nil {
		err = handler.checkEnd(ctx, call, target, response)
	}
	if err == nil {
		handler.recordAnswer(handler.options.Clock(), call, target)
		return false, nil
	}
	return handler.endBroken(ctx, call, target, err)
}

// endBroken ends an attempt whose answer broke off or can't be passed on, and decides whether to retry.
func (handler *Handler) endBroken(ctx context.Context, call *call, target *feed.Target, err error) (bool, *refusal) {
	now := handler.options.Clock()
	isDone := ctx.Err() != nil
	result := dispatch.ResultFailed
	if errors.Is(err, delivery.ErrEndUnknown) {
		// The target has done nothing wrong.
		result = dispatch.ResultAnswered
	}
	handler.picker.Done(now, target, resultOf(isDone, result))
	if !isDone && (errors.Is(err, errStreamBroken) || errors.Is(err, errAnswerBroken)) {
		handler.suspectCrash(now, call, target.Endpoint())
	}
	call.cause = err.Error()
	if !isDone && handler.mayRetry(call) && call.delivery.CanContinue() {
		call.exclude(target)
		return true, nil
	}
	if call.delivery.HasBegun() {
		call.isTruncated = true
		return false, nil
	}
	if isDone {
		return false, deadlineExceeded(call)
	}
	return false, &refusal{status: http.StatusBadGateway, verdict: celerylanding.MayHaveRun,
		reason: celerylanding.ReasonAnswerIncomplete, cause: call.cause}
}

// copyEvents forwards complete events until the stream ends, and then the remaining bytes. An error means that the stream ended early or
// the caller disconnected.
func (handler *Handler) copyEvents(writer http.ResponseWriter, call *call, response *upstream.Response, stall *stallTimer) error {
	reader := &eventReader{response: response, buffer: make([]byte, streamBuffer)}
	for {
		events, err := reader.next()
		isEnd := errors.Is(err, io.EOF)
		if delivery.HasData(events) {
			stall.restart()
		}
		if len(events) > 0 || isEnd {
			if err := handler.forwardEvents(writer, call, response, events); err != nil {
				return err
			}
		}
		if isEnd {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamPatience returns the time for which callers wait for the next event of a stream, the first one included.
func streamPatience(route *routing.Route) time.Duration {
	return max(minStallTimeout, stallObjectives*route.LatencyObjective, stallGaps*route.MaxEventGap)
}

// newStallTimer returns the timer of a stream's attempt. A stream that can be resumed moves to another target before its caller gives up, except that a
// router that stops leaves it where it is if no other target is usable.
func (handler *Handler) newStallTimer(call *call, target *feed.Target, stop context.CancelFunc) *stallTimer {
	stall := &stallTimer{patience: streamPatience(call.route), stop: stop}
	stall.timeout = stall.patience
	if call.route.Resumable && handler.mayRetry(call) {
		stall.timeout = max(minMoveTimeout, time.Duration(resumeStallShare*float64(stall.patience)))
		needs := call.requirements()
		needs.Excluded = append(slices.Clone(needs.Excluded), target.ID)
		needs.Software = target.Software
		stall.mayMove = func() bool {
			return !handler.draining.Load() || handler.picker.HasTarget(handler.options.Clock(), handler.state.table(), needs)
		}
	}
	stall.timer = time.AfterFunc(stall.timeout, stall.expire)
	return stall
}

// stallTimer ends an attempt whose stream makes no progress.
type stallTimer struct {
	// timeout is the time without an event after which the attempt ends if mayMove, and patience that after which it ends in any case.
	timeout, patience time.Duration
	mayMove           func() bool
	stop              context.CancelFunc
	mutex             sync.Mutex
	timer             *time.Timer
	// isExtended is set between the timeout and the end of the patience.
	isExtended bool
	fired      bool
}

func (stall *stallTimer) expire() {
	mayMove := stall.mayMove == nil || stall.mayMove()
	stall.mutex.Lock()
	defer stall.mutex.Unlock()
	if !mayMove && !stall.isExtended {
		stall.isExtended = true
		stall.timer.Reset(stall.patience - stall.timeout)
		return
	}
	stall.fired = true
	stall.stop()
}

// restart restarts the timeout after an event.
func (stall *stallTimer) restart() {
	stall.mutex.Lock()
	defer stall.mutex.Unlock()
	stall.isExtended = false
	stall.timer.Reset(stall.timeout)
}

// end stops the timer and reports whether the stream had stalled.
func (stall *stallTimer) end() bool {
	stall.mutex.Lock()
	defer stall.mutex.Unlock()
	stall.timer.Stop()
	return stall.fired
}

// forwardEvents writes events to the caller and flushes them; the header is sent before the first ones.
func (handler *Handler) forwardEvents(writer http.ResponseWriter, call *call, response *upstream.Response, events []byte) error {
	if err := call.delivery.RecordEvents(events); err != nil {
		return err
	}
	if !call.delivery.HasBegun() {
		length := response.Length
		if call.route.Resumable {
			// A stream that is resumed may get another length.
			length = -1
		}
		handler.writeHeader(writer, call, response, length)
	}
	if len(events) == 0 {
		return nil
	}
	handler.recordEvent(call)
	if _, err := writer.Write(events); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	if flusher, ok := writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

var (
	errStreamStalled      = errors.New("stream sent no event in time")
	errCallerDisconnected = errors.New("caller disconnected")
)

// recordEvent records that the target has sent an event, and its software, for the caller's next attempt to go on at.
func (handler *Handler) recordEvent(call *call) {
	if call.origin == "" {
		call.origin = call.target.Software
	}
	if !call.hasEvent && call.route.Resumable {
		handler.recordOrigin(call)
	}
	now := handler.options.Clock()
	if call.streamedAt.IsZero() {
		handler.recordRead(call)
		call.streamedAt = now
	} else {
		call.longestPause = max(call.longestPause, now.Sub(call.lastEventAt))
	}
	call.hasEvent, call.lastEventAt = true, now
	call.isMixed = call.isMixed || call.origin != call.target.Software
}
