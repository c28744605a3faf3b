package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/delivery"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/upstream"
)

const (
	// maxBufferedBody is the number of bytes up to which an answer is buffered until it is complete; a longer one is streamed.
	maxBufferedBody = 256 << 10
	// firstAttemptShare is the fraction of the remaining time that the first attempt of an idempotent request may take.
	firstAttemptShare = 0.45
	// defaultTargetPriority is the priority that targets assume for a request without one.
	defaultTargetPriority = 5
	// lowestTargetPriority is the lowest priority that targets accept; larger numbers are less urgent.
	lowestTargetPriority = 9
)

// attempt sends the request to one target and forwards its answer. It reports whether to retry at another target; without a retry, a refusal
// says why this attempt has forwarded no answer.
func (handler *Handler) attempt(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target) (retry bool, ended *refusal) {
	now := handler.options.Clock()
	if call.sends > 0 && !handler.budget.TakeRetry(now, call.service, handler.state.table().Routers()) {
		handler.picker.Done(now, target, dispatch.ResultCanceled)
		return false, unavailableOrFailed(call, celerylanding.ReasonTargetRefused, busyRetryDelay, "retry budget exhausted: "+call.cause)
	}
	call.lastTarget, call.target, call.sentAt = target.ID, target, now
	call.streamedAt, call.longestPause = time.Time{}, 0
	defer handler.beginPrompt(now, call)()
	attemptCtx, cancel := handler.attemptContext(ctx, now, call)
	defer cancel()
	handler.useCharge(call)
	handler.picker.RecordSent(target, call.outlook)
	call.isUnread = true
	defer handler.recordRead(call)
	response, err := handler.options.Pool.Do(attemptCtx, now, target.Address, handler.targetRequest(now, call, target))
	if err != nil {
		return handler.handleFailure(ctx, call, target, err)
	}
	defer func() { response.Close(handler.options.Clock()) }()
	call.sends++
	call.via = response.Via
	reply := handler.options.HeaderCodec.ParseResponse(response.Status, response.Header)
	if reply.Slots > 0 {
		handler.picker.UpdateLoad(handler.options.Clock(), target, reply.Load, reply.Slots)
	}
	if handler.picker.RecordLimit(handler.options.Clock(), target, reply.Limit, reply.HasLimit) {
		handler.options.Log.Info().Str("target", string(target.ID)).Bool("limited", reply.HasLimit).Float64("per_second", reply.Limit).
			Msg("target changed its limit on requests")
		handler.options.Metrics.Counter("target_limit_changes").Inc(1)
	}
	handler.recordAvailability(target, reply)
	handler.recordBrittle(call, target, reply)
	if reply.NotRun {
		return handler.handleNotRun(call, target, response, reply)
	}
	call.verdict = celerylanding.Ran
	call.head = answerOf(response, reply)
	if err := call.delivery.Admit(call.head); err != nil {
		return handler.endBroken(ctx, call, target, fmt.Errorf("target answered %d: %w", response.Status, err))
	}
	if isStream(response) {
		return handler.forwardStream(ctx, cancel, writer, call, target, response)
	}
	return handler.forwardBuffered(ctx, writer, call, target, response)
}

// recordRead records that the target has read the prompt of the current attempt, or will not read it.
func (handler *Handler) recordRead(call *call) {
	if call.isUnread {
		handler.picker.RecordRead(call.target, call.outlook)
		call.isUnread = false
	}
}

// recordAvailability records that the target says that it leaves or wants no requests for a while.
func (handler *Handler) recordAvailability(target *feed.Target, reply celerylanding.ResponseMetadata) {
	if len(reply.InvalidFields) > 0 {
		handler.options.Metrics.Counter("target_fields_invalid").Inc(1)
		if now := handler.options.Clock(); now.Unix() != handler.invalidLoggedAt.Swap(now.Unix()) {
			handler.options.Log.Warn().Str("target", string(target.ID)).Strs("fields", reply.InvalidFields).
				Msg("answer has malformed fields, which are ignored")
		}
	}
	if !reply.IsLeaving && reply.Pause == 0 {
		return
	}
	now := handler.options.Clock()
	if !handler.picker.RecordAvailability(now, target, dispatch.Availability{IsLeaving: reply.IsLeaving, Pause: reply.Pause}) {
		return
	}
	handler.options.Log.Info().Str("target", string(target.ID)).Bool("leaving", reply.IsLeaving).Dur("pause", reply.Pause).
		Msg("target wants no more requests")
	leaving, paused := handler.picker.Unavailable(now)
	handler.options.Metrics.Gauge("targets_leaving").Update(float64(leaving))
	handler.options.Metrics.Gauge("targets_paused").Update(float64(paused))
}

// attemptContext returns the context of one attempt; the first attempt of an idempotent request ends early enough for a second one.
func (handler *Handler) attemptContext(ctx context.Context, now time.Time, call *call) (context.Context, context.CancelFunc) {
	if call.route.Kind != routing.KindIdempotent || call.sends > 0 || call.route.MaxAttempts < 2 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(firstAttemptShare*float64(call.deadline.Sub(now))))
}

func (handler *Handler) targetRequest(now time.Time, call *call, target *feed.Target) *upstream.Request {
	header := handler.options.HeaderCodec.RequestHeader(call.header, call.metadata, celerylanding.Attempt{Target: target.ID,
		Timeout: call.deadline.Sub(now), Urgency: urgencyAt(handler.state.table().Routes(), call), ResumeAfter: call.delivery.Position(),
		SetsWorkspace: call.hidesKey, Workspace: celerylanding.WorkspaceID(call.workspaceName())})
	return &upstream.Request{
		Method: call.method,
		Target: call.requestURI,
		Host:   call.host,
		Header: header,
		Body:   call.body,
		ID:     call.metadata.ID,
		AnswerID: func(header http.Header) string {
			return handler.options.HeaderCodec.ParseResponse(http.StatusOK, header).CallID
		},
	}
}

// urgencyAt returns the urgency of the request at a target, from 0 to lowestTargetPriority. Where the configuration has workspaces and more classes
// of urgency than targets tell apart, neighbouring classes share an urgency.
func urgencyAt(routes *routing.Table, call *call) int {
	if !call.hidesKey {
		return max(0, min(defaultTargetPriority+call.route.Priority-1, lowestTargetPriority))
	}
	const levels = lowestTargetPriority + 1
	rank, count := routes.Rank(call.workspace, call.route)
	if count > levels {
		return rank * levels / count
	}
	return min(defaultTargetPriority-1, levels-count) + rank
}

// handleFailure handles an exchange without an answer: it records the result and decides whether to retry.
func (handler *Handler) handleFailure(ctx context.Context, call *call, target *feed.Target, err error) (bool, *refusal) {
	now := handler.options.Clock()
	call.cause = celerylanding.MessageOf(err)
	isDone := ctx.Err() != nil
	if errorx.IsOfType(err, upstream.ErrConnRefused) {
		handler.confirmRefusal(now, call.sentAt, target.Endpoint())
	}
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		handler.picker.Done(now, target, resultOf(isDone, dispatch.ResultUnreachable))
		if isDone {
			return false, deadlineExceeded(call)
		}
		call.exclude(target)
		if handler.options.Pool.HasChangedSince(call.sentAt) {
			// The targets are reached in another way now.
			call.excluded = nil
		}
		return true, nil
	}
	call.sends++
	call.verdict = celerylanding.MayHaveRun
	result := dispatch.ResultFailed
	if errorx.IsOfType(err, upstream.ErrUnacknowledged) {
		// Bytes were not acknowledged, so the target or the network path to it is down for new connections too.
		result = dispatch.ResultUnreachable
	} else if !isDone {
		handler.suspectCrash(now, call, target.Endpoint())
	}
	handler.picker.Done(now, target, resultOf(isDone, result))
	if isDone {
		return false, deadlineExceeded(call)
	}
	if !handler.mayRetry(call) {
		return false, &refusal{status: http.StatusBadGateway, verdict: call.verdict, reason: celerylanding.ReasonTargetFailed,
			cause: call.cause}
	}
	call.exclude(target)
	return true, nil
}

func resultOf(isDone bool, result dispatch.Result) dispatch.Result {
	if isDone {
		return dispatch.ResultCanceled
	}
	return result
}

// mayRetry reports whether a request that may have run can be retried at another target.
func (handler *Handler) mayRetry(call *call) bool {
	return call.route.IsRetryable() && call.sends < max(1, call.route.MaxAttempts)
}

// handleNotRun handles an answer that says that the target has not run the request; the request is retried at another target.
func (handler *Handler) handleNotRun(call *call, target *feed.Target, response *upstream.Response, reply celerylanding.ResponseMetadata) (bool, *refusal) {
	// Reads the rest of the unused body, so that the connection can be reused.
	_, _ = io.CopyN(io.Discard, response, maxBufferedBody)
	handler.picker.Done(handler.options.Clock(), target, dispatch.ResultRefused)
	call.cause = "target answered " + strconv.Itoa(response.Status)
	call.exclude(target)
	if reply.IsMisdirected {
		handler.picker.RecordMisdirected(handler.options.Clock(), target, call.unit)
		call.refusals = append(call.refusals, target.Endpoint())
	}
	return true, nil
}

func isStream(response *upstream.Response) bool {
	return response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// answerOf returns the head of an answer.
func answerOf(response *upstream.Response, reply celerylanding.ResponseMetadata) delivery.Answer {
	return delivery.Answer{Status: response.Status, IsStream: isStream(response), HasServerStamp: reply.HasServerStamp,
		IsUnframed: response.EndsWithConnection}
}

// forwardBuffered reads an answer and forwards it once it is complete; an answer over maxBufferedBody is streamed. A status of 500 or higher is
// forwarded only if no retry is allowed.
func (handler *Handler) forwardBuffered(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target,
	response *upstream.Response) (bool, *refusal) {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBody+1))
	if err != nil {
		return handler.endBroken(ctx, call, target, errors.Join(errAnswerBroken, err))
	}
	if response.Status >= http.StatusInternalServerError && ctx.Err() == nil && handler.mayRetry(call) {
		return handler.endBroken(ctx, call, target, fmt.Errorf("target answered %d", response.Status))
	}
	if len(body) > maxBufferedBody {
		return handler.forwardUnbuffered(ctx, writer, call, target, response, body)
	}
	if err := handler.confirmEnd(ctx, call, target, response); err != nil {
		return handler.endBroken(ctx, call, target, err)
	}
	handler.endComplete(call, target, response)
	length := int64(len(body))
	if call.head.IsUnframed {
		length = -1
	}
	handler.writeHeader(writer, call, response, length)
	if _, err := writer.Write(body); err != nil {
		call.cause = "caller disconnected: " + err.Error()
	}
	if err := call.delivery.CheckEnd(call.head); err != nil {
		call.isTruncated, call.cause = true, err.Error()
	}
	return false, nil
}

// forwardUnbuffered streams an answer that exceeds maxBufferedBody; prefix holds the bytes that are already read.
func (handler *Handler) forwardUnbuffered(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target,
	response *upstream.Response, prefix []byte) (bool, *refusal) {
	handler.writeHeader(writer, call, response, response.Length)
	_, err := writer.Write(prefix)
	if err == nil {
		_, err = io.Copy(writer, response)
	}
	if err == nil {
		err = handler.checkEnd(ctx, call, target, response)
	}
	if err != nil {
		call.isTruncated, call.cause = true, err.Error()
		handler.picker.Done(handler.options.Clock(), target, dispatch.ResultFailed)
		return false, nil
	}
	handler.endComplete(call, target, response)
	return false, nil
}

// endComplete records that a whole answer has arrived; a status of 500 or higher counts as a failure of the target.
func (handler *Handler) endComplete(call *call, target *feed.Target, response *upstream.Response) {
	now := handler.options.Clock()
	if response.Status < http.StatusInternalServerError {
		handler.recordAnswer(now, call, target)
		return
	}
	call.cause = "target answered " + strconv.Itoa(response.Status)
	handler.picker.Done(now, target, dispatch.ResultFailed)
}

// recordAnswer records that the target has answered the request completely.
func (handler *Handler) recordAnswer(now time.Time, call *call, target *feed.Target) {
	call.isAnswered = true
	handler.picker.Done(now, target, dispatch.ResultAnswered)
	if !call.streamedAt.IsZero() {
		handler.picker.RecordStream(now, target, call.longestPause, now.Sub(call.streamedAt), call.outlook)
	}
	handler.crashes.recordAnswer(now, call)
}

// writeHeader forwards the status and the header of an answer.
func (handler *Handler) writeHeader(writer http.ResponseWriter, call *call, response *upstream.Response, length int64) {
	header := writer.Header()
	for name, values := range response.Header {
		if handler.options.HeaderCodec.IsForwarded(name) {
			header[name] = values
		}
	}
	// Setting nil keeps net/http from adding a Date or Content-Type that the target did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	isUnframed := false
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	} else if isUnframed = (call.head.IsUnframed || !call.hasChunks) && call.caller.beginBody(); isUnframed {
		// net/http then ends the body with the connection.
		header.Set("Transfer-Encoding", "identity")
	}
	writer.WriteHeader(response.Status)
	call.delivery.Begin(call.head, isUnframed)
	now := handler.options.Clock()
	call.firstByte = now.Sub(call.arrived)
	took := now.Sub(call.sentAt)
	handler.recordRead(call)
	handler.picker.RecordFirstByte(now, call.target, took, call.outlook)
	handler.recordPromptRead(now, call, took)
	if took > call.route.LatencyObjective && call.route.LatencyObjective > 0 {
		handler.usage.recordLate(call.unit)
	}
}
