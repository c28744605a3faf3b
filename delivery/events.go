package delivery

import "bytes"

// RecordEvents records that complete events are sent to the caller.
func (delivery *Delivery) RecordEvents(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	if at < 0 || (at > 0 && events[at-1] != '\n' && events[at-1] != '\r') {
		return
	}
	line := events[at+len("id:"):]
	if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	delivery.position = string(bytes.TrimSpace(line))
}
