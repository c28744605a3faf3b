package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// standIn answers each request on a connection with the next script.
type standIn struct {
	listener net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	// script handles one request; false closes the connection.
	script func(number int64, request *http.Request, conn net.Conn) bool
	ended  chan struct{}
}

func newStandIn(t *testing.T, script func(number int64, request *http.Request, conn net.Conn) bool) *standIn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stand := &standIn{listener: listener, script: script, ended: make(chan struct{})}
	go stand.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		<-stand.ended
	})
	return stand
}

func (stand *standIn) accept() {
	defer close(stand.ended)
	for {
		conn, err := stand.listener.Accept()
		if err != nil {
			return
		}
		stand.conns.Add(1)
		go stand.serve(conn)
	}
}

func (stand *standIn) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !stand.script(stand.requests.Add(1), request, conn) {
			return
		}
	}
}

func (stand *standIn) address() string { return stand.listener.Addr().String() }

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
		Accept: func(header http.Header) bool { return header.Get("Id") == "" || header.Get("Id") == id }})
	if err != nil {
		return 0, "", err
	}
	defer response.Close(time.Now())
	body, err := io.ReadAll(response)
	return response.Status, string(body), err
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	stand := newStandIn(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		assert.Check(t, request.RequestURI == "/a/b?c=d" && request.Host == "h.example")
		return reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	pool := newPool()
	for range 3 {
		status, body, err := exchange(t.Context(), pool, stand.address(), "1")
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, stand.conns.Load(), int64(1))
}

// TestNothingIsSentTwice closes a kept connection at each phase; the request must not reach the target again by itself.
func TestNothingIsSentTwice(t *testing.T) {
	for name, script := range map[string]func(conn net.Conn) bool{
		"closed without an answer": func(net.Conn) bool { return false },
		"closed in the header":     func(conn net.Conn) bool { reply(conn, "HTTP/1.1 200 OK\r\nConte"); return false },
		"no answer in the protocol": func(conn net.Conn) bool {
			reply(conn, "nonsense\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			stand := newStandIn(t, func(number int64, _ *http.Request, conn net.Conn) bool {
				if number == 1 {
					return reply(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				return script(conn)
			})
			pool := newPool()
			_, _, err := exchange(t.Context(), pool, stand.address(), "1")
			assert.NilError(t, err)
			_, _, err = exchange(t.Context(), pool, stand.address(), "2")
			assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%v", err)
			assert.Equal(t, stand.requests.Load(), int64(2))
		})
	}
}

func TestTruncatedAnswersFail(t *testing.T) {
	for name, text := range map[string]string{
		"short of its length":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"without its last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"with a malformed length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			stand := newStandIn(t, func(_ int64, _ *http.Request, conn net.Conn) bool { reply(conn, text); return false })
			_, _, err := exchange(t.Context(), newPool(), stand.address(), "1")
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	stand := newStandIn(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		reply(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
		return false
	})
	_, body, err := exchange(t.Context(), newPool(), stand.address(), "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

// TestSecondAnswerBelongsToNobody lets a target answer a request twice, at once or where the next answer is due.
func TestSecondAnswerBelongsToNobody(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
	for name, tc := range map[string]struct{ atOnce, late string }{
		"at once": {first, ""}, "late": {"", first}, "at once and unnamed": {unnamed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			stand := newStandIn(t, func(number int64, request *http.Request, conn net.Conn) bool {
				if number == 1 {
					return reply(conn, first+tc.atOnce)
				}
				return reply(conn, tc.late+"HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 3\r\n\r\ntwo")
			})
			pool := newPool()
			_, body, err := exchange(t.Context(), pool, stand.address(), "1")
			assert.NilError(t, err)
			assert.Equal(t, body, "one")
			time.Sleep(20 * time.Millisecond)
			_, body, err = exchange(t.Context(), pool, stand.address(), "2")
			assert.NilError(t, err)
			assert.Equal(t, body, "two")
		})
	}
}

func TestUnreachableTargetHasNotGotTheRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, _, err = exchange(t.Context(), newPool(), address, "1")
	assert.Assert(t, errorx.IsOfType(err, upstream.ErrNotSent), "%v", err)
}

// TestCancelClosesTheConnection shows the target that its caller has left, before and in the midst of an answer.
func TestCancelClosesTheConnection(t *testing.T) {
	left := make(chan struct{}, 2)
	stand := newStandIn(t, func(number int64, _ *http.Request, conn net.Conn) bool {
		if number == 2 {
			reply(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}
		_, err := conn.Read(make([]byte, 1))
		assert.Check(t, err != nil)
		left <- struct{}{}
		return false
	})
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, _, err := exchange(ctx, newPool(), stand.address(), "1")
		cancel()
		assert.Assert(t, err != nil)
		select {
		case <-left:
		case <-time.After(2 * time.Second):
			t.Fatal("the target was not told that the caller has left")
		}
	}
}

// TestSilentlyDroppedConnectionsAreNotReused resets whatever is sent on a connection that has rested for a tenth of a second.
func TestSilentlyDroppedConnectionsAreNotReused(t *testing.T) {
	const forgets = 100 * time.Millisecond
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
				for answered := time.Now(); ; answered = time.Now() {
					request, err := http.ReadRequest(reader)
					if err != nil {
						_ = conn.Close()
						return
					}
					if time.Since(answered) > forgets && request.Header.Get("Again") != "" {
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	pool := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: 10 * time.Second})
	failed := 0
	for i := range 6 {
		header := http.Header{}
		if _, reused := pool.Counts(); i > 0 && reused == 0 {
			header.Set("Again", "1")
		}
		response, err := pool.Do(t.Context(), time.Now(), listener.Addr().String(), &upstream.Request{Method: "GET", Target: "/", Host: "h", Header: header})
		if err != nil {
			failed++
		} else {
			_, err = io.ReadAll(response)
			assert.NilError(t, err)
			response.Close(time.Now())
		}
		time.Sleep(2 * forgets)
	}
	assert.Equal(t, failed, 1, "one request is lost for the lesson")
	limit, isLimited := pool.IdleLimit(time.Now())
	assert.Assert(t, isLimited && limit < 2*forgets, "%s", limit)
	_, isLimited = pool.IdleLimit(time.Now().Add(time.Minute))
	assert.Assert(t, !isLimited, "targets that keep connections again are trusted again")
}

// TestFailingTargetDoesNotLowerIdleLimit resets all that is sent to it once it has answered the first request.
func TestFailingTargetDoesNotLowerIdleLimit(t *testing.T) {
	stand := newStandIn(t, func(number int64, _ *http.Request, conn net.Conn) bool {
		if number > 1 {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	pool := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: 10 * time.Second})
	for range 3 {
		response, err := pool.Do(t.Context(), time.Now(), stand.listener.Addr().String(), &upstream.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
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
