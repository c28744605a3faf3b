package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// fakeTarget is a TCP server that passes each HTTP request to a script.
type fakeTarget struct {
	listener net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	// script answers one request, whose number counts from 1 over all connections; it returns false to close the connection.
	script func(number int64, request *http.Request, conn net.Conn) bool
	ended  chan struct{}
}

func newFakeTarget(t *testing.T, script func(number int64, request *http.Request, conn net.Conn) bool) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &fakeTarget{listener: listener, script: script, ended: make(chan struct{})}
	go target.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		<-target.ended
	})
	return target
}

func (target *fakeTarget) accept() {
	defer close(target.ended)
	for {
		conn, err := target.listener.Accept()
		if err != nil {
			return
		}
		target.conns.Add(1)
		go target.serve(conn)
	}
}

func (target *fakeTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !target.script(target.requests.Add(1), request, conn) {
			return
		}
	}
}

func (target *fakeTarget) address() string { return target.listener.Addr().String() }

func reply(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func newPool() *upstream.Pool {
	return upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute})
}

// exchange sends one request and reads the answer to its end.
func exchange(ctx context.Context, pool *upstream.Pool, address, id string) (int, string, error) {
	response, err := pool.Do(ctx, time.Now(), address, &upstream.Request{Method: http.MethodPost, Target: "/a/b?c=d", Host: "h.example",
		Header: http.Header{"Id": {id}}, Body: []byte("body"),
		ID: id, AnswerID: func(header http.Header) string { return header.Get("Id") }})
	if err != nil {
		return 0, "", err
	}
	defer response.Close(time.Now())
	body, err := io.ReadAll(response)
	return response.Status, string(body), err
}

func TestConnectionsAreReused(t *testing.T) {
	target := newFakeTarget(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		assert.Check(t, request.RequestURI == "/a/b?c=d" && request.Host == "h.example")
		return reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	pool := newPool()
	for id := range 3 {
		status, body, err := exchange(t.Context(), pool, target.address(), strconv.Itoa(id))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, target.conns.Load(), int64(1))
}

// TestNothingIsSentTwice guards against a transparent retry of a request that may have run. The target closes a reused connection in each
// phase of an exchange.
func TestNothingIsSentTwice(t *testing.T) {
	for name, script := range map[string]func(conn net.Conn) bool{
		"closed without an answer": func(net.Conn) bool { return false },
		"closed in the header":     func(conn net.Conn) bool { reply(conn, "HTTP/1.1 200 OK\r\nConte"); return false },
		"answer that is not HTTP": func(conn net.Conn) bool {
			reply(conn, "nonsense\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, func(number int64, _ *http.Request, conn net.Conn) bool {
				if number == 1 {
					return reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				return script(conn)
			})
			pool := newPool()
			_, _, err := exchange(t.Context(), pool, target.address(), "1")
			assert.NilError(t, err)
			_, _, err = exchange(t.Context(), pool, target.address(), "2")
			assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%v", err)
			assert.Equal(t, target.requests.Load(), int64(2))
		})
	}
}

func TestTruncatedAnswersFail(t *testing.T) {
	for name, text := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"without its last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"with a malformed length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { reply(conn, text); return false })
			_, _, err := exchange(t.Context(), newPool(), target.address(), "1")
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		reply(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
		return false
	})
	_, body, err := exchange(t.Context(), newPool(), target.address(), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

// TestDuplicateAnswersAreSkipped guards against a duplicate answer being taken for the answer to the next request on the connection. The
// target answers a request twice: immediately after the first answer, or before the answer to the next request.
func TestDuplicateAnswersAreSkipped(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
	for name, tc := range map[string]struct{ atOnce, late string }{
		"at once": {first, ""}, "late": {"", first}, "at once and unnamed": {unnamed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, func(number int64, request *http.Request, conn net.Conn) bool {
				if number == 1 {
					return reply(conn, first+tc.atOnce)
				}
				return reply(conn, tc.late+"HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 3\r\n\r\ntwo")
			})
			pool := newPool()
			_, body, err := exchange(t.Context(), pool, target.address(), "1")
			assert.NilError(t, err)
			assert.Equal(t, body, "one")
			time.Sleep(20 * time.Millisecond)
			_, body, err = exchange(t.Context(), pool, target.address(), "2")
			assert.NilError(t, err)
			assert.Equal(t, body, "two")
		})
	}
}

// TestLateCopyIsNotTakenForTheAnswerToASecondSend guards against a request that runs twice, because a late copy of the answer to its first send,
// which names the same request, is taken for the answer to the second.
func TestLateCopyIsNotTakenForTheAnswerToASecondSend(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 4\r\n\r\nfull"
	for name, tc := range map[string]struct {
		between []string
		pieces  []string
	}{
		"next request":              {nil, []string{refusal}},
		"split copy":                {nil, []string{refusal[:20], refusal[20:]}},
		"after another request":     {[]string{"2"}, []string{refusal}},
		"after many other requests": {strings.Split("2 3 4 5 6 7 8 9", " "), []string{refusal}},
	} {
		t.Run(name, func(t *testing.T) {
			var first atomic.Value
			target := newFakeTarget(t, func(number int64, request *http.Request, conn net.Conn) bool {
				if number == 1 {
					first.Store(conn.RemoteAddr().String())
					return reply(conn, refusal)
				}
				id := request.Header.Get("Id")
				if id == "1" && conn.RemoteAddr().String() == first.Load() {
					for _, piece := range tc.pieces {
						reply(conn, piece)
						time.Sleep(10 * time.Millisecond)
					}
				}
				return reply(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 3\r\n\r\nran")
			})
			pool := newPool()
			status, _, err := exchange(t.Context(), pool, target.address(), "1")
			assert.NilError(t, err)
			assert.Equal(t, status, 503)
			for _, id := range tc.between {
				_, _, err := exchange(t.Context(), pool, target.address(), id)
				assert.NilError(t, err)
			}
			status, body, err := exchange(t.Context(), pool, target.address(), "1")
			assert.NilError(t, err)
			assert.Equal(t, status, 200)
			assert.Equal(t, body, "ran")
			assert.Equal(t, target.conns.Load(), int64(2))
			// The first connection is kept for other requests.
			_, _, err = exchange(t.Context(), pool, target.address(), "last")
			assert.NilError(t, err)
			assert.Equal(t, target.conns.Load(), int64(2))
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, _, err = exchange(t.Context(), newPool(), address, "1")
	assert.Assert(t, errorx.IsOfType(err, upstream.ErrNotSent), "%v", err)
}

// TestCancelClosesTheConnection guards against targets that continue to work for a caller that has disconnected: cancelling the context
// before or during an answer must close the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	target := newFakeTarget(t, func(number int64, _ *http.Request, conn net.Conn) bool {
		if number == 2 {
			reply(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}
		_, err := conn.Read(make([]byte, 1))
		assert.Check(t, err != nil)
		closed <- struct{}{}
		return false
	})
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, _, err := exchange(ctx, newPool(), target.address(), "1")
		cancel()
		assert.Assert(t, err != nil)
		select {
		case <-closed:
		case <-time.After(2 * time.Second):
			t.Fatal("the connection to the target was not closed")
		}
	}
}

// TestSilentlyDroppedConnectionsAreNotReused guards against repeated failures on idle connections that the target dropped without closing
// them. The target resets each reuse of a connection that was idle for more than 100 ms.
func TestSilentlyDroppedConnectionsAreNotReused(t *testing.T) {
	const dropAfter = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				served := 0
				for idleSince := time.Now(); ; idleSince = time.Now() {
					_, err := http.ReadRequest(reader)
					if err != nil {
						_ = conn.Close()
						return
					}
					if served > 0 && time.Since(idleSince) > dropAfter {
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
						return
					}
					served++
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	pool := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: 10 * time.Second})
	failed := 0
	for range 6 {
		response, err := pool.Do(t.Context(), time.Now(), listener.Addr().String(), &upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			failed++
		} else {
			_, err = io.ReadAll(response)
			assert.NilError(t, err)
			response.Close(time.Now())
		}
		time.Sleep(2 * dropAfter)
	}
	assert.Equal(t, failed, 1, "exactly one request fails before the idle limit is lowered")
	limit, isLimited := pool.IdleLimit(time.Now())
	assert.Assert(t, isLimited && limit < 2*dropAfter, "%s", limit)
	_, isLimited = pool.IdleLimit(time.Now().Add(time.Minute))
	assert.Assert(t, !isLimited, "the idle limit is lifted after a time without resets")
}

// TestFailingTargetDoesNotLowerIdleLimit guards against a lower idle limit for all targets because of a single failing target. The target
// answers its first request and resets all later ones, also on new connections.
func TestFailingTargetDoesNotLowerIdleLimit(t *testing.T) {
	target := newFakeTarget(t, func(number int64, _ *http.Request, conn net.Conn) bool {
		if number > 1 {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	pool := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: 10 * time.Second})
	for range 3 {
		response, err := pool.Do(t.Context(), time.Now(), target.listener.Addr().String(), &upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
		if err == nil {
			_, err = io.ReadAll(response)
			assert.NilError(t, err)
			response.Close(time.Now())
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, isLimited := pool.IdleLimit(time.Now())
	assert.Assert(t, !isLimited)
}
