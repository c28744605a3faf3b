package delivery

import (
	"bytes"
	"strconv"
)

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// CompleteEvents returns the length in bytes of the complete events at the start of the data. An event ends with a blank line; a line ends with
// LF, CR or CRLF.
func CompleteEvents(data []byte) int {
	length, offset := 0, 0
	for {
		line, rest, ok := cutLine(data[offset:])
		if !ok {
			return length
		}
		offset = len(data) - len(rest)
		if len(line) == 0 {
			length = offset
		}
	}
}

// cutLine returns the first line without its end, and the data after it; ok is false if no line is complete.
func cutLine(data []byte) (line, rest []byte, ok bool) {
	at := bytes.IndexAny(data, "\r\n")
	if at < 0 {
		return nil, data, false
	}
	end := at + 1
	if data[at] == '\r' && end < len(data) && data[end] == '\n' {
		end++
	}
	return data[:at], data[end:], true
}

// parsedEvent is what decides how a stream can be resumed after an event.
type parsedEvent struct {
	hasData bool
	// id is the value of the last valid ID field.
	id    string
	hasID bool
}

// parseEvents calls visit for each of the complete events; it stops when visit returns false.
func parseEvents(events []byte, visit func(event parsedEvent) bool) {
	var event parsedEvent
	events = bytes.TrimPrefix(events, byteOrderMark)
	for {
		line, rest, ok := cutLine(events)
		if !ok {
			return
		}
		events = rest
		if len(line) == 0 {
			if !visit(event) {
				return
			}
			event = parsedEvent{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data":
			event.hasData = true
		case "id":
			// The specification of server-sent events has IDs with a null character ignored.
			if value = bytes.TrimPrefix(value, []byte(" ")); !bytes.ContainsRune(value, 0) {
				event.id, event.hasID = string(value), true
			}
		}
	}
}

// HasData reports whether one of the complete events has data; comments keep a connection open and are no progress.
func HasData(events []byte) bool {
	hasData := false
	parseEvents(events, func(event parsedEvent) bool {
		hasData = event.hasData
		return !hasData
	})
	return hasData
}

// RecordEvents records that complete events are sent to the caller. It returns ErrRepeatedEvent, and they must not be sent, if they repeat an
// event that the caller has received. After an event without an ID the stream can't be resumed, as no ID names that place.
func (delivery *Delivery) RecordEvents(events []byte) error {
	var err error
	parseEvents(events, func(event parsedEvent) bool {
		if event.hasID {
			if err = delivery.checkOrder(event.id); err != nil {
				return false
			}
		}
		if event.hasID || event.hasData {
			delivery.position = event.id
		}
		delivery.hasData = delivery.hasData || event.hasData
		return true
	})
	return err
}

// checkOrder returns ErrRepeatedEvent if an attempt that resumes the stream begins with an event that the caller has received.
func (delivery *Delivery) checkOrder(id string) error {
	if !delivery.isResuming {
		return nil
	}
	delivery.isResuming = false
	number, err := strconv.ParseUint(id, 10, 64)
	last, errLast := strconv.ParseUint(delivery.position, 10, 64)
	if id == delivery.position || (err == nil && errLast == nil && number <= last) {
		return ErrRepeatedEvent
	}
	return nil
}
