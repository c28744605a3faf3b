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

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// terminalEvent is the data line that ends a complete stream.
var terminalEvent = []byte("data: [DONE]")

// eventResult is one event of a stream, or the error that ended it.
type eventResult struct {
	event []byte
	err   error
}

// passStream sends each whole event on. A stream that does not reach its terminal event ends in an explicit error event.
func (gateway *Gateway) passStream(ctx context.Context, writer http.ResponseWriter, call *call, answer target.Response) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan eventResult)
	go readEvents(ctx, answer.Body, events)
	err := gateway.forwardEvents(ctx, writer, call, events)
	// Closing the body ends the reader, whose channel is closed when it is done.
	cancel()
	_ = answer.Body.Close()
	for range events {
		continue
	}
	if err != nil && call.begun && celerylanding.ReasonOf(err) != celerylanding.ReasonCallerGone {
		writeErrorEvent(writer, call, err)
	}
	return err
}

func (gateway *Gateway) forwardEvents(ctx context.Context, writer http.ResponseWriter, call *call,
	events <-chan eventResult) error {
	flusher := http.NewResponseController(writer)
	silence := time.NewTimer(gateway.deps.FirstByteTimeout)
	defer silence.Stop()
	for {
		var next eventResult
		select {
		case next = <-events:
		case <-silence.C:
			return incomplete("the stream fell silent")
		case <-ctx.Done():
			return celerylanding.NewCallError(celerylanding.MayHaveRun, streamEndReason(ctx), "the stream was cut: %v", ctx.Err())
		}
		if next.err != nil {
			return incomplete("the stream broke off: %v", next.err)
		}
		if !call.begun {
			beginStream(writer, call)
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
		silence.Reset(gateway.deps.InterTokenTimeout)
	}
}

func streamEndReason(ctx context.Context) celerylanding.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return celerylanding.ReasonDeadline
	}
	return celerylanding.ReasonCallerGone
}

func incomplete(format string, args ...any) error {
	return celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete, format, args...)
}

func beginStream(writer http.ResponseWriter, call *call) {
	call.begun = true
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(target.HeaderRequestID, call.id)
	writer.WriteHeader(http.StatusOK)
}

// readEvents reads events until the terminal one, an error or the end of the context, and closes the channel.
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

// readEvent returns the lines up to the next blank one, without it.
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
		if len(event)+len(line) > maxEvent {
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
	// The caller may be gone; nothing can be done about that here.
	_, _ = writer.Write([]byte("event: error\ndata: " + string(encoded) + "\n\n"))
	_ = http.NewResponseController(writer).Flush()
}
