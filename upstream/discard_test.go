package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/upstream"
)

// TestGivenUpRequestIsNotDeliveredLater guards against an order that arrives after another leader has begun to send orders: a link is cut, the
// order is given up, and the kernel sends it again once the link is back. Here the target reads nothing while the request waits in the buffers.
func TestGivenUpRequestIsNotDeliveredLater(t *testing.T) {
	const bodySize = 64 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	mayRead := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		<-mayRead
		_, err = io.Copy(io.Discard, conn)
		_ = conn.Close()
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = newPool().Do(ctx, time.Now(), listener.Addr().String(), &upstream.Request{Method: http.MethodPost, Target: "/order", Host: "h",
		Header: http.Header{}, Body: make([]byte, bodySize), ID: "1", AnswerID: func(http.Header) string { return "1" }})
	assert.Assert(t, err != nil)
	close(mayRead)
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "the rest of the request was delivered: %v", err)
}
