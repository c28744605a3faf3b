package upstream_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// endless writes a text again and again until the peer closes the connection, then returns.
func endless(conn net.Conn, text string) {
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	for reply(conn, block) {
	}
}

// TestEndlessHeadsEnd guards against a target that sends bytes that are no answer and never end: the exchange must end long before its
// deadline, with an error that says that the request may have run, and the connection must be closed.
func TestEndlessHeadsEnd(t *testing.T) {
	for name, tc := range map[string]struct{ start, repeat string }{
		"status line without end":     {"HTTP/1.1 200 ", "x"},
		"no protocol at all":          {"", "\x00\x01garbage"},
		"one header line without end": {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines without end":    {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"continued line without end":  {"HTTP/1.1 200 OK\r\nA: x\r\n", " y\r\n"},
		"informational answers":       {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				defer close(closed)
				_ = reply(conn, tc.start)
				endless(conn, tc.repeat)
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			began := time.Now()
			_, _, err := exchange(ctx, newPool(), target.address(), "1")
			assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%v", err)
			assert.Assert(t, time.Since(began) < 10*time.Second)
			<-closed
		})
	}
}

// TestEndlessBodiesEnd guards against a body whose framing never ends.
func TestEndlessBodiesEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct{ start, repeat string }{
		"chunk size without end":      {head, "0"},
		"chunk extension without end": {head + "1;", "x"},
		"trailers without end":        {head + "1\r\nx\r\n0\r\n", "A: x\r\n"},
		"one trailer without end":     {head + "1\r\nx\r\n0\r\nA: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				defer close(closed)
				_ = reply(conn, tc.start)
				endless(conn, tc.repeat)
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			began := time.Now()
			_, _, err := exchange(ctx, newPool(), target.address(), "1")
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(began) < 10*time.Second)
			<-closed
		})
	}
}

// maxMemoryPerExchange bounds the memory of an exchange with a target that sends a header without end: its buffers and the header that is
// accepted at most, several times over, since the heap is measured between two collections.
const maxMemoryPerExchange = 1 << 20

// TestEndlessHeadsTakeLittleMemory measures the heap while 100 targets send headers without end.
func TestEndlessHeadsTakeLittleMemory(t *testing.T) {
	const exchanges = 100
	target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_ = reply(conn, "HTTP/1.1 200 OK\r\nA: ")
		endless(conn, "x")
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	pool := newPool()
	ended := make(chan error, exchanges)
	for range exchanges {
		go func() {
			_, _, err := exchange(ctx, pool, target.address(), "1")
			ended <- err
		}()
	}
	peak := uint64(0)
	for left := exchanges; left > 0; {
		select {
		case err := <-ended:
			assert.Assert(t, err != nil)
			left--
		case <-time.After(10 * time.Millisecond):
			runtime.ReadMemStats(&during)
			peak = max(peak, during.HeapAlloc)
			assert.Assert(t, peak < before.HeapAlloc+exchanges*maxMemoryPerExchange, "%d MiB", peak>>20)
		}
	}
}

// TestLateAnswerWithoutIDIsNotTaken guards against a late second answer that does not say to which request it belongs: on a connection that
// was used before, it may belong to an earlier caller.
func TestLateAnswerWithoutIDIsNotTaken(t *testing.T) {
	for name, late := range map[string]string{
		"with length":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
		"no content":     "HTTP/1.1 204 No Content\r\n\r\n",
		"not modified":   "HTTP/1.1 304 Not Modified\r\n\r\n",
		"in chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\n\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			target := newFakeTarget(t, func(number int64, request *http.Request, conn net.Conn) bool {
				if number == 2 {
					_ = reply(conn, late)
				}
				return reply(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 3\r\n\r\nown")
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			pool := newPool()
			_, body, err := exchange(ctx, pool, target.address(), "1")
			assert.NilError(t, err)
			assert.Equal(t, body, "own")
			_, body, err = exchange(ctx, pool, target.address(), "2")
			if err == nil {
				assert.Equal(t, body, "own")
				return
			}
			assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%v", err)
			assert.Equal(t, target.conns.Load(), int64(1))
		})
	}
}
