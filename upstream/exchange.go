package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// maxUnrelatedAnswers is the number of informational answers and answers to other requests after which a connection is closed.
const maxUnrelatedAnswers = 3

// maxUnrelatedBytes bounds the size in bytes of a skipped answer to another request.
const maxUnrelatedBytes = 1 << 20

// maxHeaderBytes bounds the size of the headers that a target sends before the body of an answer, informational answers included.
const maxHeaderBytes = 64 << 10

var (
	errHeaderTooLarge = errors.New("header of the answer exceeds the limit")
	errUnrelated      = errors.New("answer may belong to an earlier request on the connection")
	errInvalidStatus  = errors.New("status is none that can answer a request")
)

// Request is one request to a target.
type Request struct {
	Method string
	// Target is the request target of the request line: the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request, and AnswerID returns the ID of the request that an answer names, or "" if it names none. A nil AnswerID accepts
	// any answer.
	ID       string
	AnswerID func(header http.Header) string
	// NewConnection closes the idle connections to the address first, so that the request is sent on a new one.
	NewConnection bool
}

// answerID returns the ID of the request that an answer names; without AnswerID every answer counts as naming this request.
func (request *Request) answerID(header http.Header) string {
	if request.AnswerID == nil {
		return request.ID
	}
	return request.AnswerID(header)
}

// Response is an answer whose body is unread; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when it is not known beforehand.
	Length int64
	// EndsWithConnection is set when the body has neither a length nor chunks, so that only the end of the connection ends it.
	EndsWithConnection bool
	// Via is the address of the router through which the answer came, or "" if it came directly.
	Via string

	body        io.Reader
	pool        *Pool
	conn        *pooledConn
	address     string
	isReusable  bool
	idleTimeout time.Duration
	// stopCancel detaches the connection from the context; it reports false if the context has ended before.
	stopCancel func() bool
	isComplete bool
	// silence is how long the last read has waited.
	silence time.Duration
}

// Do sends the request once and reads the header of its answer. The context bounds the whole exchange, including the read of the body.
// Errors are of type ErrNotSent or ErrBroken.
func (pool *Pool) Do(ctx context.Context, now time.Time, address string, request *Request) (*Response, error) {
	if request.NewConnection {
		pool.CloseIdle(address)
	}
	conn, isNew, err := pool.get(ctx, now, address, request.ID)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrConnRefused.Wrap(err, "%s", address)
	}
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "%s", address)
	}
	conn.recordSent(request.ID)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, err := conn.exchange(request)
	if isNew {
		pool.idleLimit.recordFirstUse(now, address, err == nil)
	}
	if err != nil {
		stop()
		return nil, pool.endFailed(ctx, now, address, conn, isNew, err)
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body,
		pool: pool, conn: conn, address: address, stopCancel: stop, Via: conn.via}
	answer.EndsWithConnection = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	answer.isReusable = !response.Close
	answer.idleTimeout = keepAlive(response.Header)
	return answer, nil
}

// endFailed closes a connection whose exchange has failed, and returns the error for it.
func (pool *Pool) endFailed(ctx context.Context, now time.Time, address string, conn *pooledConn, isNew bool, err error) error {
	conn.discard()
	if !isNew && ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		pool.idleLimit.recordReset(address, now.Sub(conn.idleSince))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() == nil {
		pool.CloseIdle(address)
	}
	if !errors.Is(err, syscall.ETIMEDOUT) {
		return ErrBroken.Wrap(err, "%s", address)
	}
	if conn.via == "" {
		pool.settings.Tunnels.RecordFailed(address)
	}
	return ErrUnacknowledged.Wrap(err, "%s", address)
}

// discard closes the connection and drops the bytes that the target has not acknowledged. The kernel would otherwise go on sending them, and a
// request that was given up during a network partition would arrive after its end.
func (conn *pooledConn) discard() {
	if lingerer, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// Without the option, the connection is closed in order.
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}

// exchange writes the request and reads the header of its answer.
func (conn *pooledConn) exchange(request *Request) (*http.Response, error) {
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
	if err := conn.expectBytes(len(request.Body)); err != nil {
		return nil, err
	}
	if err := conn.writeRequest(outgoing); err != nil {
		return nil, err
	}
	return conn.readAnswer(request, outgoing)
}

// writeRequest writes a request. It returns the error of the connection, which net/http hides if it occurs in the body.
func (conn *pooledConn) writeRequest(outgoing *http.Request) error {
	recorder := &errorRecorder{writer: conn}
	var writer io.Writer = recorder
	if strings.HasPrefix(outgoing.URL.Opaque, "//") {
		// net/http takes such a target for an authority, and puts the scheme before it.
		writer = &schemeRemover{writer: recorder, at: len(outgoing.Method) + len(" "), length: len(outgoing.URL.Scheme) + len(":")}
	}
	err := outgoing.Write(writer)
	return cmp.Or(recorder.err, err)
}

// schemeRemover removes bytes from the first write, which holds the request line.
type schemeRemover struct {
	writer     io.Writer
	at, length int
}

// Write writes to the writer what is not removed.
func (remover *schemeRemover) Write(bytes []byte) (int, error) {
	if remover.length == 0 {
		return remover.writer.Write(bytes)
	}
	removed := remover.length
	remover.length = 0
	count, err := remover.writer.Write(append(slices.Clone(bytes[:remover.at]), bytes[remover.at+removed:]...))
	return count + removed, err
}

// errorRecorder keeps the first error of a writer.
type errorRecorder struct {
	writer io.Writer
	err    error
}

// Write writes to the writer.
func (recorder *errorRecorder) Write(bytes []byte) (int, error) {
	count, err := recorder.writer.Write(bytes)
	recorder.err = cmp.Or(recorder.err, err)
	return count, err
}

// readAnswer reads answers until one belongs to the request, since a late answer to an earlier request may come first.
func (conn *pooledConn) readAnswer(request *Request, outgoing *http.Request) (*http.Response, error) {
	conn.limit.set(maxHeaderBytes)
	defer conn.limit.clear()
	for range maxUnrelatedAnswers {
		response, err := http.ReadResponse(conn.reader, outgoing)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: %s", errInvalidStatus, response.Status)
		case response.StatusCode < http.StatusOK:
			continue
		}
		named := request.answerID(response.Header)
		if named == request.ID || (named == "" && !conn.namesRequests) {
			conn.namesRequests = named != ""
			return response, nil
		}
		// An answer that names no request, from a target that names them, may be a late one or the answer to this request.
		if named == "" || response.Close || response.ContentLength < 0 {
			return nil, errUnrelated
		}
		conn.limit.clear()
		if _, err := io.CopyN(io.Discard, response.Body, min(response.ContentLength, maxUnrelatedBytes)); err != nil {
			return nil, err
		}
		conn.limit.set(maxHeaderBytes)
	}
	return nil, errUnrelated
}

// Read reads the body; io.EOF means that the body is complete.
func (response *Response) Read(buffer []byte) (int, error) {
	began := time.Now()
	count, err := response.body.Read(buffer)
	response.silence = 0
	if count == 0 {
		response.silence = time.Since(began)
	}
	if errors.Is(err, io.EOF) {
		response.isComplete = true
	}
	return count, err
}

// Silence returns how long the target sent nothing before the end of the body that the last read has found.
func (response *Response) Silence() time.Duration { return response.silence }

// Close returns the connection to the pool if the answer was read to its end; otherwise it closes the connection, which signals the target
// to stop.
func (response *Response) Close(now time.Time) {
	isStopped := response.stopCancel()
	if response.isComplete && response.isReusable && isStopped {
		response.pool.put(now, response.address, response.conn, response.idleTimeout)
		return
	}
	_ = response.conn.Close()
}

// keepAlive returns the timeout of the Keep-Alive header, or zero if there is none.
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
