package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// TestRequestTargetsAreSentUnchanged guards against a target that runs another path than the caller's, as net/http changes some of them on their way.
func TestRequestTargetsAreSentUnchanged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	lines := make(chan string, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			line, _ := reader.ReadString('\n')
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\n" + readHead(reader))))
			lines <- line
			if err == nil {
				reply(conn, "HTTP/1.1 200 OK\r\nX-Celerylanding-Attempt-Id: "+request.Header.Get("X-Celerylanding-Attempt-Id")+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	long := strings.Repeat("/long", 2000)
	for _, target := range []string{"/a", "//a", "//a//b?c=//d", "///", "//", "//a%2Fb;c|d", "/a?//", "//user@host:80/x", "http://h.example//a", "*", "/" + long, long} {
		pool := newPool()
		response, err := pool.Do(t.Context(), time.Now(), listener.Addr().String(), &upstream.Request{Method: http.MethodPost, Target: target, Host: "h.example",
			Header: http.Header{}, Body: []byte("body")})
		assert.Equal(t, <-lines, "POST "+target+" HTTP/1.1\r\n")
		assert.NilError(t, err)
		response.Close(time.Now())
	}
}

// readHead returns the rest of a head.
func readHead(reader *bufio.Reader) string {
	var text strings.Builder
	for {
		line, err := reader.ReadString('\n')
		text.WriteString(line)
		if err != nil || line == "\r\n" {
			return text.String()
		}
	}
}
