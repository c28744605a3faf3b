//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "review.example"

// request is one attempt of a caller.
type request struct {
	address, method, path, id string
	limit                     time.Duration
	header                    map[string]string
}

// do sends an attempt on a new channel.
func (attempt request) do(ctx context.Context) (*http.Response, error) {
	sent, err := http.NewRequestWithContext(ctx, attempt.method, "http://"+attempt.address, nil)
	if err != nil {
		return nil, err
	}
	sent.URL.Path = attempt.path
	sent.Host = host
	sent.Header.Set(headerAttempt, attempt.id)
	sent.Header.Set("X-Celerylanding-Deadline-Ms", strconv.FormatInt(attempt.limit.Milliseconds(), 10))
	for name, value := range attempt.header {
		sent.Header.Set(name, value)
	}
	return (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(sent)
}

// event is one event of a stream.
type event struct {
	id   int
	data string
}

// readEvents reads the events of a stream; the error is nil if its end looks complete.
func readEvents(body io.Reader, handle func(event event)) error {
	reader := bufio.NewReader(body)
	var current event
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && line == "" {
				return nil
			}
			return errors.Join(errors.New("stream ends inside an event"), err)
		}
		line = strings.TrimSuffix(line, "\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "":
			handle(current)
			current = event{}
		case name == "id":
			// The stand-in servers send numbers only.
			current.id, _ = strconv.Atoi(value)
		case name == "data":
			current.data = value
		}
	}
}
