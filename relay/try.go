package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/routing"
	"celerylanding.example/celerylanding/upstream"
)

const (
	// maxAnswer bounds an answer that is held back until it is whole, in bytes; a longer one is passed on as it comes.
	maxAnswer = 256 << 10
	// tryShare is the part of the remaining time that a first try of a repeatable request may take.
	tryShare = 0.45
	// defaultUrgency is what a target assumes of a request that does not say.
	defaultUrgency = 5
	// maxUrgency is the least urgent class of a target.
	maxUrgency = 9
)

// try sends the request to one target; again asks for another one, and otherwise a refusal means that the caller has got nothing.
func (relay *Relay) try(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target) (again bool, ended *refusal) {
	now := relay.options.Clock()
	if call.sends > 0 && !relay.budget.Repeat(now, call.service, relay.state.table().Routers()) {
		relay.picker.Done(now, target, dispatch.ResultAbandoned)
		return false, refuseNotRunOr(call, celerylanding.ReasonTargetRefused, againSoon, "no repeats are left: "+call.cause)
	}
	call.last = target.ID
	tryCtx, cancel := relay.bound(ctx, now, call)
	defer cancel()
	response, err := relay.options.Pool.Do(tryCtx, now, target.Address, relay.outgoing(now, call, target))
	if err != nil {
		return relay.failed(ctx, call, target, err)
	}
	defer func() { response.Close(relay.options.Clock()) }()
	call.sends++
	reply := relay.options.Dialect.Reply(response.Status, response.Header)
	if reply.Slots > 0 {
		relay.picker.Loaded(relay.options.Clock(), target, reply.Load, reply.Slots)
	}
	if reply.NotRun {
		return relay.refused(call, target, response, reply)
	}
	call.verdict = celerylanding.Ran
	if isStream(response) {
		return relay.stream(ctx, writer, call, target, response, reply)
	}
	return relay.answer(ctx, writer, call, target, response, reply)
}

// bound leaves time for a second try of a request that may be repeated.
func (relay *Relay) bound(ctx context.Context, now time.Time, call *call) (context.Context, context.CancelFunc) {
	if call.route.Kind != routing.KindIdempotent || call.sends > 0 || call.route.MaxAttempts < 2 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(tryShare*float64(call.deadline.Sub(now))))
}

func (relay *Relay) outgoing(now time.Time, call *call, target *feed.Target) *upstream.Request {
	urgency := min(defaultUrgency+call.route.Priority-1, maxUrgency)
	header := relay.options.Dialect.Forward(call.header, call.said, celerylanding.Try{Target: target.ID,
		Patience: call.deadline.Sub(now), Urgency: max(0, urgency), ResumeAfter: call.lastEvent})
	return &upstream.Request{
		Method: call.method,
		Target: call.target,
		Host:   call.host,
		Header: header,
		Body:   call.body,
		Accept: func(header http.Header) bool {
			id := relay.options.Dialect.Reply(http.StatusOK, header).CallID
			return id == "" || id == call.said.ID
		},
	}
}

// failed decides what follows when no answer has come.
func (relay *Relay) failed(ctx context.Context, call *call, target *feed.Target, err error) (bool, *refusal) {
	now := relay.options.Clock()
	call.cause = celerylanding.MessageOf(err)
	isLate := ctx.Err() != nil
	if errorx.IsOfType(err, upstream.ErrRefused) {
		relay.crashes.confirm(now, target.Endpoint())
	}
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		relay.picker.Done(now, target, endOf(isLate, dispatch.ResultUnreachable))
		if isLate {
			return false, outOfTime(call)
		}
		call.exclude(target)
		return true, nil
	}
	call.sends++
	call.verdict = celerylanding.MayHaveRun
	result := dispatch.ResultFailed
	if errorx.IsOfType(err, upstream.ErrSilent) {
		// The target or the way to it is gone, also for new connections.
		result = dispatch.ResultUnreachable
	} else if !isLate {
		relay.crashes.suspect(now, call, target.Endpoint())
	}
	relay.picker.Done(now, target, endOf(isLate, result))
	if isLate {
		return false, outOfTime(call)
	}
	if !relay.mayRepeat(call) {
		return false, &refusal{status: http.StatusBadGateway, verdict: call.verdict, reason: celerylanding.ReasonTargetFailed,
			cause: call.cause}
	}
	call.exclude(target)
	return true, nil
}

func endOf(isLate bool, result dispatch.Result) dispatch.Result {
	if isLate {
		return dispatch.ResultAbandoned
	}
	return result
}

// mayRepeat reports whether a request that may have run may be sent to another target.
func (relay *Relay) mayRepeat(call *call) bool {
	return call.route.MayRepeat() && call.sends < max(1, call.route.MaxAttempts)
}

// refused decides what follows when the target says that it has not run the request.
func (relay *Relay) refused(call *call, target *feed.Target, response *upstream.Response, reply celerylanding.Reply) (bool, *refusal) {
	// The rest of a refusal says nothing that is needed; reading it keeps the connection.
	_, _ = io.CopyN(io.Discard, response, maxAnswer)
	relay.picker.Done(relay.options.Clock(), target, dispatch.ResultRefused)
	call.cause = "target answered " + strconv.Itoa(response.Status)
	call.exclude(target)
	if reply.IsElsewhere {
		call.refusals = append(call.refusals, target.Endpoint())
	}
	return true, nil
}

func isStream(response *upstream.Response) bool {
	return response.Status == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// answer passes a whole answer on.
func (relay *Relay) answer(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target,
	response *upstream.Response, reply celerylanding.Reply) (bool, *refusal) {
	body, err := io.ReadAll(io.LimitReader(response, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		return relay.passOn(writer, call, target, response, body)
	}
	if again, refusal := relay.judge(ctx, call, target, response, reply, err); again || refusal != nil {
		return again, refusal
	}
	relay.writeHeader(writer, call, response, int64(len(body)))
	if _, err := writer.Write(body); err != nil {
		call.cause = "caller left: " + err.Error()
	}
	return false, nil
}

// judge decides whether a whole answer is passed on; a failure of the target is, once nothing better can be had.
func (relay *Relay) judge(ctx context.Context, call *call, target *feed.Target, response *upstream.Response, reply celerylanding.Reply,
	err error) (bool, *refusal) {
	now := relay.options.Clock()
	isUnsigned := response.Status < http.StatusMultipleChoices && !reply.IsSigned
	if err == nil && !isUnsigned && response.Status < http.StatusInternalServerError {
		relay.picker.Done(now, target, dispatch.ResultAnswered)
		return false, nil
	}
	isLate := ctx.Err() != nil
	relay.picker.Done(now, target, endOf(isLate, dispatch.ResultFailed))
	call.cause = "target answered " + strconv.Itoa(response.Status)
	if err != nil {
		call.cause = "answer broke off"
		if !isLate {
			relay.crashes.suspect(now, call, target.Endpoint())
		}
	}
	if !isLate && relay.mayRepeat(call) {
		call.exclude(target)
		return true, nil
	}
	if err != nil || !reply.IsSigned || isPromise(response.Status) {
		return false, &refusal{status: http.StatusBadGateway, verdict: celerylanding.MayHaveRun,
			reason: celerylanding.ReasonAnswerIncomplete, cause: call.cause}
	}
	return false, nil
}

// isPromise reports whether callers take the status as word that the request has not run.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// passOn passes a long answer on as it comes.
func (relay *Relay) passOn(writer http.ResponseWriter, call *call, target *feed.Target, response *upstream.Response,
	begun []byte) (bool, *refusal) {
	relay.writeHeader(writer, call, response, response.Length)
	_, err := writer.Write(begun)
	if err == nil {
		_, err = io.Copy(writer, response)
	}
	result := dispatch.ResultAnswered
	if err != nil {
		call.isCut, call.cause, result = true, err.Error(), dispatch.ResultFailed
	}
	relay.picker.Done(relay.options.Clock(), target, result)
	return false, nil
}

// writeHeader passes the status and the header of an answer on.
func (relay *Relay) writeHeader(writer http.ResponseWriter, call *call, response *upstream.Response, length int64) {
	header := writer.Header()
	for name, values := range response.Header {
		if relay.options.Dialect.IsForCaller(name) {
			header[name] = values
		}
	}
	// An answer without a date or a type gets none from this node.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	writer.WriteHeader(response.Status)
	call.status = response.Status
	call.began = true
	call.firstByte = relay.options.Clock().Sub(call.arrived)
}
