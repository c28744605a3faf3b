package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// earlyTarget answers a request with a part of a body before it has read that of the request, reads on for a while, and resets the connection.
func earlyTarget(t *testing.T, readsOn int, delay time.Duration) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReaderSize(conn, 4096)
			if _, err = http.ReadRequest(reader); err == nil {
				_ = reply(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part")
				_, _ = io.CopyN(io.Discard, reader, int64(readsOn))
				time.Sleep(delay)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// TestAnswerThatIsResetDuringTheUploadIsNotComplete guards against a part of an answer that looks complete because its target resets the connection while the
// request is being written: the write gets the error, and a read after it finds an end.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, newPool := range map[string]func() *upstream.Pool{"direct": newPool, "through another router": func() *upstream.Pool {
		other, _ := otherRouter(t)
		return cutPool(other)
	}} {
		for _, size := range []int{1 << 10, 64 << 10, 512 << 10, 4 << 20} {
			for _, readsOn := range []int{0, size / 2, size - 512} {
				for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
					t.Run(name+", "+strconv.Itoa(size)+" bytes, "+strconv.Itoa(readsOn)+" read, "+delay.String(), func(t *testing.T) {
						address, pool, body := earlyTarget(t, readsOn, delay), newPool(), strings.Repeat("x", size)
						for range 4 {
							ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
							response, err := pool.Do(ctx, time.Now(), address, &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
								Body: []byte(body), ID: "1"})
							if err == nil {
								var got []byte
								got, err = io.ReadAll(response)
								response.Close(time.Now())
								assert.Check(t, err != nil, "%q looks complete", got)
							}
							assert.Check(t, ctx.Err() == nil)
							cancel()
						}
					})
				}
			}
		}
	}
}

// resetConn is a connection to a target that resets it during the last write, after a part of an answer. As on Linux, the write gets the error, and reads
// find the end of the connection.
type resetConn struct {
	net.Conn
	left  int
	part  string
	reset chan struct{}
}

// Read returns the part of the answer, then io.EOF once the connection is reset.
func (conn *resetConn) Read(buffer []byte) (int, error) {
	if conn.part == "" {
		<-conn.reset
		return 0, io.EOF
	}
	count := copy(buffer, conn.part)
	conn.part = conn.part[count:]
	return count, nil
}

// Write fails with the last bytes of the request, some time after reads have found the end.
func (conn *resetConn) Write(bytes []byte) (int, error) {
	if conn.left -= len(bytes); conn.left > 0 {
		return len(bytes), nil
	}
	close(conn.reset)
	time.Sleep(50 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

// Close does nothing.
func (*resetConn) Close() error { return nil }

// TestResetDuringTheLastWriteIsPassedOn guards against a part of an answer that looks complete because the router in between finds an end after the write
// that was reset, and ends its connection in order.
func TestResetDuringTheLastWriteIsPassedOn(t *testing.T) {
	body := strings.Repeat("x", 10_000)
	other, _ := otherRouterWith(t, func(context.Context, string) (net.Conn, error) {
		return &resetConn{left: len(body), part: "HTTP/1.1 200 OK\r\n\r\na part", reset: make(chan struct{})}, nil
	})
	response, err := cutPool(other).Do(t.Context(), time.Now(), "127.0.0.1:1", &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h",
		Header: http.Header{}, Body: []byte(body), ID: "1"})
	assert.NilError(t, err)
	defer response.Close(time.Now())
	got, err := io.ReadAll(response)
	assert.Assert(t, err != nil, "%q looks complete", got)
}
