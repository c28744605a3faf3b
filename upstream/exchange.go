package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// maxStray is the number of answers to other requests that are skipped on one connection before it is given up.
const maxStray = 3

// maxStrayBytes bounds the answer to another request that is skipped.
const maxStrayBytes = 1 << 20

// Request is one request to a target.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Accept reports whether an answer belongs to this request.
	Accept func(header http.Header) bool
	// Fresh asks for a connection that has not been used before.
	Fresh bool
}

// Response is an answer whose body has not been read yet; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when it is not known beforehand.
	Length  int64
	body    io.Reader
	pool    *Pool
	link    *conn
	address string
	keep    bool
	keepFor time.Duration
	stop    func() bool
	whole   bool
}

// Do sends the request once and reads the answer's header; the context bounds the whole exchange, also the reading of the body.
func (pool *Pool) Do(ctx context.Context, now time.Time, address string, request *Request) (*Response, error) {
	if request.Fresh {
		pool.Drop(address)
	}
	link, isNew, err := pool.get(ctx, now, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrRefused.Wrap(err, "%s", address)
	}
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "%s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = link.SetDeadline(time.Unix(1, 0)) })
	response, err := link.exchange(request)
	if isNew {
		pool.rest.fresh(now, address, err == nil)
	}
	if err != nil {
		stop()
		_ = link.Close()
		if !isNew && ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
			pool.rest.reset(address, now.Sub(link.rests))
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() == nil {
			pool.Drop(address)
		}
		if errors.Is(err, syscall.ETIMEDOUT) {
			return nil, ErrSilent.Wrap(err, "%s", address)
		}
		return nil, ErrBroken.Wrap(err, "%s", address)
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body,
		pool: pool, link: link, address: address, stop: stop}
	answer.keep = !response.Close
	answer.keepFor = keepAlive(response.Header)
	return answer, nil
}

// exchange writes the request and reads the header of its answer.
func (link *conn) exchange(request *Request) (*http.Response, error) {
	outgoing := &http.Request{
		Method: request.Method,
		URL:    &url.URL{Scheme: "http", Host: request.Host, Opaque: request.Target},
		Host:   request.Host,
		Header: request.Header,
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
		outgoing.ContentLength = int64(len(request.Body))
	}
	if outgoing.Header.Get("User-Agent") == "" {
		outgoing.Header["User-Agent"] = []string{""}
	}
	if err := outgoing.Write(link); err != nil {
		return nil, err
	}
	return link.answer(request, outgoing)
}

// answer reads headers until one belongs to the request; an answer to an earlier request may still arrive.
func (link *conn) answer(request *Request, outgoing *http.Request) (*http.Response, error) {
	for range maxStray {
		response, err := http.ReadResponse(link.reader, outgoing)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Accept == nil || request.Accept(response.Header) {
			return response, nil
		}
		if response.Close || response.ContentLength < 0 {
			return nil, errors.New("answer to another request that has no length")
		}
		if _, err := io.CopyN(io.Discard, response.Body, min(response.ContentLength, maxStrayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// Read reads the body; io.EOF means that it is whole.
func (response *Response) Read(into []byte) (int, error) {
	count, err := response.body.Read(into)
	if errors.Is(err, io.EOF) {
		response.whole = true
	}
	return count, err
}

// Close keeps the connection if the answer was read to its end, or else closes it, which tells the target to stop.
func (response *Response) Close(now time.Time) {
	isStopped := response.stop()
	if response.whole && response.keep && isStopped {
		response.pool.put(now, response.address, response.link, response.keepFor)
		return
	}
	_ = response.link.Close()
}

// keepAlive returns how long the target keeps an idle connection, or zero when it does not say.
func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
