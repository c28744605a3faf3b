package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/target"
)

// maxEventBytes is the largest event that is accepted in a stream.
const maxEventBytes = 1 << 20

// terminalEvent is the event that ends a complete OpenAI stream.
var terminalEvent = []byte("data: [DONE]")

// eventResult is one event of a stream, or the error that ended the stream.
type eventResult struct {
	event []byte
	err   error
}

// forwardStream sends each complete event to the caller. If the stream ends without its terminal event after events have been sent, an
// error event follows.
func (gateway *Gateway) forwardStream(ctx context.Context, writer http.ResponseWriter, call *call, response target.Response) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan eventResult)
	go readEvents(ctx, response.Body, events)
	err := gateway.forwardEvents(ctx, writer, call, events)
	// Closing the body unblocks readEvents, which closes the channel when it returns.
	cancel()
	_ = response.Body.Close()
	for range events {
		continue
	}
	if err != nil && call.responseStarted && celerylanding.ReasonOf(err) != celerylanding.ReasonCallerGone {
		writeErrorEvent(writer, call, err)
	}
	return err
}

func (gateway *Gateway) forwardEvents(ctx context.Context, writer http.ResponseWriter, call *call,
	events <-chan eventResult) error {
	flusher := http.NewResponseController(writer)
	idleTimer := time.NewTimer(gateway.deps.FirstByteTimeout)
	defer idleTimer.Stop()
	for {
		var next eventResult
		select {
		case next = <-events:
		case <-idleTimer.C:
			return incompleteError("the stream fell silent")
		case <-ctx.Done():
			return celerylanding.NewCallError(celerylanding.MayHaveRun, streamEndReason(ctx), "the stream was cut: %v", ctx.Err())
		}
		if next.err != nil {
			return incompleteError("the stream broke off: %v", next.err)
		}
		if !call.responseStarted {
			writeStreamHeader(writer, call)
		}
		if _, err := writer.Write(append(next.event, '\n', '\n')); err != nil {
			return celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonCallerGone, "%v", err)
		}
		if err := flusher.Flush(); err != nil {
			return celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonCallerGone, "%v", err)
		}
		if bytes.Equal(bytes.TrimSpace(next.event), terminalEvent) {
			return nil
		}
		idleTimer.Reset(gateway.deps.InterTokenTimeout)
	}
}

func streamEndReason(ctx context.Context) celerylanding.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return celerylanding.ReasonDeadline
	}
	return celerylanding.ReasonCallerGone
}

func incompleteError(format string, args ...any) error {
	return celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete, format, args...)
}

func writeStreamHeader(writer http.ResponseWriter, call *call) {
	call.responseStarted = true
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(target.HeaderRequestID, call.id)
	writer.WriteHeader(http.StatusOK)
}

// readEvents sends events to the channel until the terminal event, an error or the end of the context, and then closes it.
func readEvents(ctx context.Context, body io.Reader, events chan<- eventResult) {
	defer close(events)
	reader := bufio.NewReader(body)
	for {
		event, err := readEvent(reader)
		select {
		case events <- eventResult{event, err}:
		case <-ctx.Done():
			return
		}
		if err != nil || bytes.Equal(bytes.TrimSpace(event), terminalEvent) {
			return
		}
	}
}

// readEvent returns the lines of the next event without the blank line that ends it.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(event) > 0 {
			return event, nil
		}
		if len(line) == 0 {
			continue
		}
		if len(event)+len(line) > maxEventBytes {
			return nil, errors.New("event is too large")
		}
		if len(event) > 0 {
			event = append(event, '\n')
		}
		event = append(event, line...)
	}
}

func writeErrorEvent(writer http.ResponseWriter, call *call, err error) {
	encoded, encodeErr := json.Marshal(newErrorBody(call.id, err))
	if encodeErr != nil {
		return
	}
	// A write error means that the caller has disconnected, so no error event can reach it either.
	_, _ = writer.Write([]byte("event: error\ndata: " + string(encoded) + "\n\n"))
	_ = http.NewResponseController(writer).Flush()
}
