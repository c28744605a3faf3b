package proxy

import (
	"bytes"
	"errors"
	"io"

	"celerylanding.example/celerylanding/delivery"
	"celerylanding.example/celerylanding/upstream"
)

const (
	// streamBuffer is the size of the read buffer of a stream in bytes.
	streamBuffer = 4 << 10
	// maxEventBytes bounds the size of an event; a target whose event is longer has failed.
	maxEventBytes = 256 << 10
)

var (
	errAnswerBroken  = errors.New("answer broke off")
	errStreamBroken  = errors.New("stream broke off")
	errEventCutOff   = errors.New("stream ended inside an event")
	errTargetGone    = errors.New("target refuses connections since it has closed that of its answer")
	errNoEvent       = errors.New("target closed the connection before the first event")
	errEventTooLarge = errors.New("event of the stream exceeds the limit")
)

// eventReader reads the complete events of a stream.
type eventReader struct {
	response *upstream.Response
	buffer   []byte
	// pending holds the bytes that were read, of which the first returned ones are already returned.
	pending  []byte
	returned int
	hasEvent bool
}

// next reads once and returns the events that are complete, if any; they are valid until the next call. io.EOF means that the stream is
// complete, another error that it ended early.
func (reader *eventReader) next() ([]byte, error) {
	reader.pending = append(reader.pending[:0], reader.pending[reader.returned:]...)
	count, err := reader.response.Read(reader.buffer)
	reader.pending = append(reader.pending, reader.buffer[:count]...)
	reader.returned = delivery.CompleteEvents(reader.pending)
	reader.hasEvent = reader.hasEvent || reader.returned > 0
	rest := reader.pending[reader.returned:]
	switch {
	case errors.Is(err, io.EOF):
		if err = reader.checkEnd(rest); errors.Is(err, io.EOF) {
			reader.returned = len(reader.pending)
		}
	case err != nil:
		err = errors.Join(errStreamBroken, err)
	case len(rest) > maxEventBytes:
		err = errEventTooLarge
	}
	return reader.pending[:reader.returned], err
}

// checkEnd returns io.EOF if a stream that ends with the rest after its last complete event can be complete. It is not if it ends inside an
// event, or if its connection was closed before the first event, as by a target that crashes.
func (reader *eventReader) checkEnd(rest []byte) error {
	switch {
	case len(bytes.TrimSpace(rest)) > 0:
		return errors.Join(errStreamBroken, errEventCutOff)
	case reader.response.EndsWithConnection && !reader.hasEvent:
		return errors.Join(errStreamBroken, errNoEvent)
	}
	return io.EOF
}
