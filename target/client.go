package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// HeaderRequestID is the header field that carries the request ID to the target and back.
	HeaderRequestID = "X-Request-Id"
	// headerIdempotencyKey is in lower case, because net/http replays requests that carry the canonical form.
	headerIdempotencyKey = "idempotency-key"
	dialTimeout          = 2 * time.Second
	idleTimeout          = 15 * time.Second
	maxIdlePerTarget     = 64
	probeTimeout         = time.Second
)

// Call is one request to a target.
type Call struct {
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	RequestID string
	// FirstByte bounds the wait for the response header.
	FirstByte time.Duration
}

// Response is a target's response whose request ID has been checked; its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed is set when the response has a content length or a transfer encoding, so that a truncated body is detected.
	Framed bool
}

// Client sends requests to targets; it never sends a request twice.
type Client struct {
	mutex sync.Mutex
	pools map[celerylanding.Endpoint]*http.Transport
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pools: make(map[celerylanding.Endpoint]*http.Transport)}
}

// countingConn counts the bytes written, to determine whether a request can have reached the target.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (conn *countingConn) Write(data []byte) (int, error) {
	// The bytes are counted before the write, since a failed write may have sent some of them.
	conn.written.Add(int64(len(data)))
	return conn.Conn.Write(data)
}

// onceBody hides the type of its reader, so that net/http can't rewind the body and replay the request.
type onceBody struct{ reader io.Reader }

func (body onceBody) Read(data []byte) (int, error) { return body.reader.Read(data) }

func (body onceBody) Close() error { return nil }

// writeTracker records the connection of one request and how many bytes were written to it before.
type writeTracker struct {
	mutex         sync.Mutex
	conn          *countingConn
	writtenBefore int64
}

func (tracker *writeTracker) gotConn(info httptrace.GotConnInfo) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if ok {
		tracker.conn = conn
		tracker.writtenBefore = conn.written.Load()
	}
}

// verdict returns NotRun only if no byte of the request can have been sent.
func (tracker *writeTracker) verdict() celerylanding.Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.conn == nil || tracker.conn.written.Load() == tracker.writtenBefore {
		return celerylanding.NotRun
	}
	return celerylanding.MayHaveRun
}

// Do sends the call and returns the response once its header has arrived and carries the call's request ID; an error is a call error with a
// verdict and reason.
func (client *Client) Do(ctx context.Context, endpoint celerylanding.Endpoint, call Call) (Response, error) {
	tracker := &writeTracker{}
	caller := ctx
	ctx, cancel := context.WithCancelCause(caller)
	timer := time.AfterFunc(firstByteTimeout(caller, call.FirstByte), func() { cancel(context.DeadlineExceeded) })
	request, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn}), endpoint, call)
	if err != nil {
		cancel(err)
		return Response{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonBadRequest, "%v", err)
	}
	response, err := client.pool(endpoint).RoundTrip(request)
	timer.Stop()
	if err != nil {
		cancel(err)
		return Response{}, celerylanding.NewCallError(tracker.verdict(), failureReason(caller), "%s: %v", endpoint.Target, err)
	}
	body := &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if id := response.Header.Get(HeaderRequestID); id != call.RequestID {
		closeBody(body)
		return Response{}, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"%s answered request %q instead of %q", endpoint.Target, id, call.RequestID)
	}
	if response.StatusCode < http.StatusOK {
		closeBody(body)
		return Response{}, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"%s answered with status %q, which can answer no request", endpoint.Target, response.Status)
	}
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return Response{Status: response.StatusCode, Header: response.Header, Body: body, Framed: isFramed}, nil
}

// firstByteTimeout extends the limit beyond the caller's deadline if that comes first, so that the deadline ends the request and is
// reported as the reason.
func firstByteTimeout(caller context.Context, limit time.Duration) time.Duration {
	if deadline, ok := caller.Deadline(); ok && time.Until(deadline) <= limit {
		return limit + dialTimeout
	}
	return limit
}

// failureReason distinguishes the caller's deadline and disconnect from a failure of the target.
func failureReason(caller context.Context) celerylanding.Reason {
	switch {
	case errors.Is(caller.Err(), context.DeadlineExceeded):
		return celerylanding.ReasonDeadline
	case caller.Err() != nil:
		return celerylanding.ReasonCallerGone
	}
	return celerylanding.ReasonTargetFailed
}

// cancelBody cancels the request when the body is closed, so that the target stops working on it.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (body *cancelBody) Close() error {
	body.cancel(context.Canceled)
	return body.ReadCloser.Close()
}

// newRequest returns a request that net/http never replays, whatever its method and header.
func newRequest(ctx context.Context, endpoint celerylanding.Endpoint, call Call) (*http.Request, error) {
	body := onceBody{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+endpoint.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	request.GetBody = nil
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	for name, values := range request.Header {
		if strings.EqualFold(name, "Idempotency-Key") || strings.EqualFold(name, "X-Idempotency-Key") {
			delete(request.Header, name)
			request.Header[headerIdempotencyKey] = values
		}
	}
	request.Header.Set(HeaderRequestID, call.RequestID)
	return request, nil
}

func (client *Client) pool(endpoint celerylanding.Endpoint) *http.Transport {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	pool, ok := client.pools[endpoint]
	if !ok {
		pool = newPool()
		client.pools[endpoint] = pool
	}
	return pool
}

func newPool() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Probe checks the target's health endpoint on a new connection, since pooled ones may be dead without an error.
func (client *Client) Probe(ctx context.Context, endpoint celerylanding.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+"/v2/health/ready", nil)
	if err != nil {
		return err
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return err
	}
	defer closeBody(response.Body)
	if response.StatusCode >= http.StatusInternalServerError {
		return errors.New("health check failed with status " + response.Status)
	}
	return nil
}

// Drop removes the connection pool of a target and closes its idle connections, so that the next request opens a new one.
func (client *Client) Drop(endpoint celerylanding.Endpoint) {
	client.mutex.Lock()
	pool, ok := client.pools[endpoint]
	delete(client.pools, endpoint)
	client.mutex.Unlock()
	if ok {
		pool.CloseIdleConnections()
	}
}

// Retain drops the connection pools of all targets for which keep returns false.
func (client *Client) Retain(keep func(celerylanding.Endpoint) bool) {
	client.mutex.Lock()
	var removed []celerylanding.Endpoint
	for endpoint := range client.pools {
		if !keep(endpoint) {
			removed = append(removed, endpoint)
		}
	}
	client.mutex.Unlock()
	for _, endpoint := range removed {
		client.Drop(endpoint)
	}
}
