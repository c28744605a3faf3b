package relay

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

// streamBuffer is the size of one read of a stream in bytes.
const streamBuffer = 4 << 10

// stream passes events on as they come; an event is passed on whole or not at all.
func (relay *Relay) stream(ctx context.Context, writer http.ResponseWriter, call *call, target *feed.Target,
	response *upstream.Response, reply celerylanding.Reply) (bool, *refusal) {
	if !reply.IsSigned {
		relay.picker.Done(relay.options.Clock(), target, dispatch.ResultFailed)
		return false, &refusal{status: http.StatusBadGateway, verdict: celerylanding.MayHaveRun,
			reason: celerylanding.ReasonAnswerIncomplete, cause: "answer does not carry the target's mark"}
	}
	err := relay.copyEvents(writer, call, response)
	now := relay.options.Clock()
	if err == nil {
		relay.picker.Done(now, target, dispatch.ResultAnswered)
		return false, nil
	}
	isLate := ctx.Err() != nil
	relay.picker.Done(now, target, endOf(isLate, dispatch.ResultFailed))
	if !isLate && !errors.Is(err, errCallerLeft) {
		relay.crashes.suspect(now, call, target.Endpoint())
	}
	call.cause = err.Error()
	if !isLate && relay.mayRepeat(call) && (!call.began || call.lastEvent != "") {
		call.exclude(target)
		return true, nil
	}
	if call.began {
		call.isCut = true
		return false, nil
	}
	if isLate {
		return false, outOfTime(call)
	}
	return false, &refusal{status: http.StatusBadGateway, verdict: celerylanding.MayHaveRun,
		reason: celerylanding.ReasonAnswerIncomplete, cause: call.cause}
}

// copyEvents passes complete events on until the stream ends; an error means that it broke off.
func (relay *Relay) copyEvents(writer http.ResponseWriter, call *call, response *upstream.Response) error {
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
			if err := relay.passEvents(writer, call, response, partial[:whole]); err != nil {
				return err
			}
			partial = append(partial[:0], partial[whole:]...)
		}
		if isEnd {
			return nil
		}
		if err != nil {
			return errors.Join(errStreamEnd, err)
		}
	}
}

// passEvents hands complete events to the caller at once, the first ones with the header.
func (relay *Relay) passEvents(writer http.ResponseWriter, call *call, response *upstream.Response, events []byte) error {
	if !call.began {
		relay.writeHeader(writer, call, response, response.Length)
	}
	if len(events) == 0 {
		return nil
	}
	call.noteEvents(events)
	if _, err := writer.Write(events); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	if flusher, ok := writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

var (
	errStreamEnd  = errors.New("stream broke off")
	errCallerLeft = errors.New("caller left")
)

// completeEvents returns the length of the complete events at the beginning of the bytes.
func completeEvents(data []byte) int {
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		return at + 2
	}
	return 0
}

// noteEvents remembers the last event that the caller gets.
func (call *call) noteEvents(events []byte) {
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
