package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

const (
	silence      = 1200 * time.Millisecond
	silentAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
)

// listenSilently starts a target that handles each connection after a silence in which it neither reads nor writes.
func listenSilently(t *testing.T, receiveBuffer int) string {
	t.Helper()
	config := net.ListenConfig{}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if receiveBuffer > 0 {
				_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					time.Sleep(silence)
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					_, _ = io.WriteString(conn, silentAnswer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSilentTargetsGetWholeRequests guards against a connection that is given up because a living target reads nothing for a while.
func TestSilentTargetsGetWholeRequests(t *testing.T) {
	for name, tc := range map[string]struct{ body, receiveBuffer int }{
		"short body":                 {100, 0},
		"long body":                  {4 << 20, 0},
		"body and a narrow window":   {110 << 10, 4 << 10},
		"two requests on one target": {32 << 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pool, address := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute}), listenSilently(t, tc.receiveBuffer)
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				response, err := pool.Do(ctx, time.Now(), address, &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
					Body: bytes.Repeat([]byte("x"), tc.body)})
				assert.NilError(t, err)
				text, err := io.ReadAll(response)
				assert.NilError(t, err)
				assert.Equal(t, string(text), "whole")
				response.Close(time.Now())
			}
		})
	}
}

// TestUnreadBodyIsNotTakenForAFailure guards against a target that can't be reached any more, and counts as one that has failed the request, since the
// connection was closed while its body was written.
func TestUnreadBodyIsNotTakenForAFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	pool := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = pool.Do(ctx, time.Now(), listener.Addr().String(), &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: make([]byte, 16<<20)})
	assert.Assert(t, errorx.IsOfType(err, upstream.ErrUnacknowledged), "%v", err)
}
