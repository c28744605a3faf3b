package upstream_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// TestStatusThatIsNoneEndsTheExchange guards against an answer with a status below 100 that is skipped like an informational one: the request then waits for
// another answer, or gets one that belongs to no request.
func TestStatusThatIsNoneEndsTheExchange(t *testing.T) {
	const another = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 7\r\n\r\nanother"
	for _, status := range []string{"000", "001", "099", "+99", "-01", "0x1", "20", "2000"} {
		for name, rest := range map[string]string{
			"no body, connection open": "Id: 1\r\nContent-Length: 0\r\n\r\n",
			"body":                     "Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
			"no length":                "Id: 1\r\n\r\nwhole",
			"another answer follows":   "\r\n" + another,
			"it names no request":      "Content-Length: 0\r\n\r\n" + another,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
					return reply(conn, "HTTP/1.1 "+status+" Trouble\r\n"+rest) && name != "no length"
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				status, body, err := exchange(ctx, newPool(), target.address(), "1")
				assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%d, %q, %v", status, body, err)
				assert.Assert(t, ctx.Err() == nil, "the exchange does not end")
			})
		}
	}
}

// TestProtocolIsNotSwitched guards against the bytes after an answer with status 101 that are read as an answer.
func TestProtocolIsNotSwitched(t *testing.T) {
	target := newFakeTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		return reply(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
	})
	_, body, err := exchange(t.Context(), newPool(), target.address(), "1")
	assert.Assert(t, errorx.IsOfType(err, upstream.ErrBroken), "%q, %v", body, err)
}
