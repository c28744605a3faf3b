package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/dispatch"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/upstream"
)

// streamBuffer is the size of the read buffer of a stream in bytes.
const streamBuffer = 4 << 10

// forwardStream forwards server-sent events as they arrive; a partial event is not forwarded if the stream ends early.
func (handler *Handler) forwardStream(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target,
	response *upstream.Response, reply celerylanding.ResponseMetadata) (bool, *refusal) {
	if !reply.HasServerStamp {
		handler.picker.Done(handler.options.Clock(), target, dispatch.ResultFailed)
		return false, &refusal{status: http.StatusBadGateway, verdict: celerylanding.MayHaveRun,
			reason: celerylanding.ReasonAnswerIncomplete, cause: "answer lacks the target's server stamp"}
	}
	err := handler.copyEvents(writer, call, response)
	now := handler.options.Clock()
	if err == nil {
		handler.picker.Done(now, target, dispatch.ResultAnswered)
		return false, nil
	}
	isDone := ctx.Err() != nil
	handler.picker.Done(now, target, resultOf(isDone, dispatch.ResultFailed))
	if !isDone && !errors.Is(err, errCallerDisconnected) {
		handler.crashes.suspect(now, call, target.Endpoint())
	}
	call.cause = err.Error()
	if !isDone && handler.mayRetry(call) && (!call.hasStarted || call.lastEvent != "") {
		call.exclude(target)
		return true, nil
	}
	if call.hasStarted {
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
func (handler *Handler) copyEvents(writer http.ResponseWriter, call *call, response *upstream.Response) error {
	var partial []byte
	buffer := make([]byte, streamBuffer)
	for {
		count, err := response.Read(buffer)
		partial = append(partial, buffer[:count]...)
		isEnd := errors.Is(err, io.EOF)
		whole := completeEvents(partial)
		if isEnd {
			whole = len(partial)
		}
		if whole > 0 || isEnd {
			if err := handler.forwardEvents(writer, call, response, partial[:whole]); err != nil {
				return err
			}
			partial = append(partial[:0], partial[whole:]...)
		}
		if isEnd {
			return nil
		}
		if err != nil {
			return errors.Join(errStreamBroken, err)
		}
	}
}

// forwardEvents writes events to the caller and flushes them; the header is sent before the first ones.
func (handler *Handler) forwardEvents(writer http.ResponseWriter, call *call, response *upstream.Response, events []byte) error {
	if !call.hasStarted {
		handler.writeHeader(writer, call, response, response.Length)
	}
	if len(events) == 0 {
		return nil
	}
	call.recordLastEvent(events)
	if _, err := writer.Write(events); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	if flusher, ok := writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

var (
	errStreamBroken       = errors.New("stream broke off")
	errCallerDisconnected = errors.New("caller disconnected")
)

// completeEvents returns the length in bytes of the complete events at the start of the data.
func completeEvents(data []byte) int {
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		return at + 2
	}
	return 0
}

// recordLastEvent records the ID of the last event, for resuming the stream at another target.
func (call *call) recordLastEvent(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return
	}
	line := events[at+len("id:"):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	call.lastEvent = string(bytes.TrimSpace(line))
}
