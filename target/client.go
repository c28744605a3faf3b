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
	// HeaderRequestID carries the request's ID to the target and back.
	HeaderRequestID = "X-Request-Id"
	// headerIdempotencyKey is written in lower case: net/http replays requests that carry the canonical form.
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
	// FirstByte bounds the wait for the head of the answer.
	FirstByte time.Duration
}

// Response is a target's answer whose head has been checked; the body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed is set when the answer states its length or carries an end marker.
	Framed bool
}

// Client sends requests to targets and never sends one twice.
type Client struct {
	mutex sync.Mutex
	pools map[celerylanding.Endpoint]*http.Transport
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pools: make(map[celerylanding.Endpoint]*http.Transport)}
}

// countingConn counts the bytes written, to know whether a request can have reached the target.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (conn *countingConn) Write(data []byte) (int, error) {
	// Counted before the call: a failed write may have sent a part.
	conn.written.Add(int64(len(data)))
	return conn.Conn.Write(data)
}

// onceBody hides the kind of its reader, so that net/http can't rewind and replay it.
type onceBody struct{ reader io.Reader }

func (body onceBody) Read(data []byte) (int, error) { return body.reader.Read(data) }

func (body onceBody) Close() error { return nil }

// exchange follows one request on its connection.
type exchange struct {
	mutex  sync.Mutex
	conn   *countingConn
	before int64
}

func (exchange *exchange) gotConn(info httptrace.GotConnInfo) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	conn, ok := info.Conn.(*countingConn)
	if ok {
		exchange.conn = conn
		exchange.before = conn.written.Load()
	}
}

// verdict is NotRun only while no byte of the request can have left.
func (exchange *exchange) verdict() celerylanding.Verdict {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.conn == nil || exchange.conn.written.Load() == exchange.before {
		return celerylanding.NotRun
	}
	return celerylanding.MayHaveRun
}

// Do sends the call and returns the answer once its head has arrived and carries the call's request ID.
func (client *Client) Do(ctx context.Context, endpoint celerylanding.Endpoint, call Call) (Response, error) {
	exchange := &exchange{}
	caller := ctx
	ctx, cancel := context.WithCancelCause(caller)
	timer := time.AfterFunc(firstByteLimit(caller, call.FirstByte), func() { cancel(context.DeadlineExceeded) })
	request, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: exchange.gotConn}), endpoint, call)
	if err != nil {
		cancel(err)
		return Response{}, celerylanding.NewCallError(celerylanding.NotRun, celerylanding.ReasonBadRequest, "%v", err)
	}
	response, err := client.pool(endpoint).RoundTrip(request)
	timer.Stop()
	if err != nil {
		cancel(err)
		return Response{}, celerylanding.NewCallError(exchange.verdict(), failureReason(caller), "%s: %v", endpoint.Target, err)
	}
	body := &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if id := response.Header.Get(HeaderRequestID); id != call.RequestID {
		closeBody(body)
		return Response{}, celerylanding.NewCallError(celerylanding.MayHaveRun, celerylanding.ReasonAnswerIncomplete,
			"%s answered request %q instead of %q", endpoint.Target, id, call.RequestID)
	}
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return Response{Status: response.StatusCode, Header: response.Header, Body: body, Framed: isFramed}, nil
}

// firstByteLimit leaves the end to the caller's deadline where that comes first, so that the reason is certain.
func firstByteLimit(caller context.Context, limit time.Duration) time.Duration {
	if deadline, ok := caller.Deadline(); ok && time.Until(deadline) <= limit {
		return limit + dialTimeout
	}
	return limit
}

// failureReason tells the caller's own end apart from the target's failure.
func failureReason(caller context.Context) celerylanding.Reason {
	switch {
	case errors.Is(caller.Err(), context.DeadlineExceeded):
		return celerylanding.ReasonDeadline
	case caller.Err() != nil:
		return celerylanding.ReasonCallerGone
	}
	return celerylanding.ReasonTargetFailed
}

// cancelBody ends the target's work when the body is closed early.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (body *cancelBody) Close() error {
	body.cancel(context.Canceled)
	return body.ReadCloser.Close()
}

// newRequest builds a request that net/http does not regard as replayable, whatever its method and headers.
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

// Probe asks the target for its health on a new connection, since pooled ones may have gone silent.
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
		return errors.New("health check answered " + response.Status)
	}
	return nil
}

// Drop forgets the connections to a target, so that the next request opens a new one.
func (client *Client) Drop(endpoint celerylanding.Endpoint) {
	client.mutex.Lock()
	pool, ok := client.pools[endpoint]
	delete(client.pools, endpoint)
	client.mutex.Unlock()
	if ok {
		pool.CloseIdleConnections()
	}
}

// Retain drops the connections to all targets that the predicate does not keep.
func (client *Client) Retain(keep func(celerylanding.Endpoint) bool) {
	client.mutex.Lock()
	var gone []celerylanding.Endpoint
	for endpoint := range client.pools {
		if !keep(endpoint) {
			gone = append(gone, endpoint)
		}
	}
	client.mutex.Unlock()
	for _, endpoint := range gone {
		client.Drop(endpoint)
	}
}
