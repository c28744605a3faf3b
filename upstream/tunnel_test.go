package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/reach"
	"celerylanding.example/celerylanding/tunnel"
	"celerylanding.example/celerylanding/upstream"
)

// otherRouter starts a router that connects others to targets, and returns the number of its connections.
func otherRouter(t *testing.T) (address string, dials *atomic.Int64) {
	t.Helper()
	return otherRouterWith(t, upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute}).DialForOthers)
}

// otherRouterWith starts such a router that connects to targets with a function.
func otherRouterWith(t *testing.T, dial func(ctx context.Context, address string) (net.Conn, error)) (address string, dials *atomic.Int64) {
	t.Helper()
	dials = &atomic.Int64{}
	server := tunnel.NewServer(tunnel.ServerOptions{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return dial(ctx, address)
		},
		Allows:  func(address string) bool { return address != "127.0.0.1:9" },
		IsCut:   func() bool { return false },
		Settle:  func(context.Context) bool { return true },
		OwnLoad: func() int { return 0 },
		Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := tunnel.Listen(ctx, "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String(), dials
}

// cutPool returns a pool of a router that reaches no target but those through the other routers.
func cutPool(others ...string) *upstream.Pool {
	tracker, peers := reach.NewTracker("d"), reach.NewPeers("d")
	var list []feed.Detour
	for _, address := range others {
		list = append(list, feed.Detour{Address: address, Domain: "d"})
	}
	peers.Set(list, "")
	targets := []*feed.Target{{Address: "0"}, {Address: "1"}, {Address: "2"}}
	tracker.Update(targets)
	for _, target := range targets {
		tracker.RecordFailed(time.Now(), target.Address)
	}
	client := tunnel.NewClient(tunnel.ClientOptions{Tracker: tracker, Peers: peers, Dial: (&net.Dialer{}).DialContext, Timeout: time.Second,
		Changed: func() {}, Clock: time.Now, Log: zerolog.Nop(), Metrics: tally.NoopScope})
	return upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, Tunnels: client,
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH }})
}

func get(t *testing.T, pool *upstream.Pool, now time.Time, address, id string) error {
	t.Helper()
	response, err := pool.Do(t.Context(), now, address, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ID: id})
	if err != nil {
		return err
	}
	_, _ = response.Read(make([]byte, 100))
	_, _ = response.Read(make([]byte, 100))
	response.Close(now)
	return nil
}

// TestTunnelIsReusedForAShortTime guards against requests that are sent through a router which has begun to stop: it takes on no more connections and
// ends three seconds later at the earliest, so that a connection gets no request later than two seconds after its begin.
func TestTunnelIsReusedForAShortTime(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("x")) }))
	defer target.Close()
	other, dials := otherRouter(t)
	pool := cutPool(other)
	address, now := target.Listener.Addr().String(), time.Now()
	for number, tc := range []struct {
		after time.Duration
		dials int64
	}{{0, 1}, {time.Second, 1}, {1900 * time.Millisecond, 1}, {2100 * time.Millisecond, 2}, {3 * time.Second, 2}, {4200 * time.Millisecond, 3}} {
		assert.NilError(t, get(t, pool, now.Add(tc.after), address, fmt.Sprint(number)))
		assert.Equal(t, dials.Load(), tc.dials, "after %v", tc.after)
	}
}

// TestNoConnectionThroughAnotherRouterIsNotSent guards against requests that count as perhaps run although no router has connected to the target: it
// refuses, it is unknown there, the router is gone, or it does not answer.
func TestNoConnectionThroughAnotherRouterIsNotSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	other, dials := otherRouter(t)
	for name, tc := range map[string]struct {
		other, target     string
		isRefused, isLost bool
	}{
		"refused":        {other, closed.Addr().String(), true, false},
		"unknown target": {other, "127.0.0.1:9", false, false},
		"router gone":    {closed.Addr().String(), "127.0.0.1:1", false, true},
		"router silent":  {silent.Addr().String(), "127.0.0.1:1", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			before := dials.Load()
			pool := cutPool(tc.other)
			err := get(t, pool, time.Now(), tc.target, "id")
			assert.Assert(t, isNotSent(err), "%v", err)
			assert.Equal(t, pool.IsStranded(time.Now()), tc.isLost, "the router that failed is tried again at once")
			assert.Equal(t, isRefused(err), tc.isRefused, "%v", err)
			assert.Assert(t, tc.isRefused || dials.Load() == before, "an unknown address was connected to")
			assert.Equal(t, pool.RefusesConnections(t.Context(), time.Now(), tc.target), tc.isRefused)
		})
	}
}

func isNotSent(err error) bool { return errorx.IsOfType(err, upstream.ErrNotSent) }

func isRefused(err error) bool { return errorx.IsOfType(err, upstream.ErrConnRefused) }

// TestSilentTargetGetsALongRequestThroughAnotherRouter guards against a connection that the other router gives up because a living target reads nothing.
func TestSilentTargetGetsALongRequestThroughAnotherRouter(t *testing.T) {
	other, _ := otherRouter(t)
	pool, address := cutPool(other), listenSilently(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, time.Now(), address, &upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: make([]byte, 4<<20)})
	assert.NilError(t, err)
	response.Close(time.Now())
}

// TestSilentRouterLeavesTimeForAnother guards against requests that fail because one of the other routers accepts connections and says nothing.
func TestSilentRouterLeavesTimeForAnother(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("x")) }))
	defer target.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	for number := range 10 {
		other, _ := otherRouter(t)
		assert.NilError(t, get(t, cutPool(silent.Addr().String(), other), time.Now(), target.Listener.Addr().String(), fmt.Sprint(number)))
	}
}

// TestShortRequestsFindACut guards against a cut that is never found since all requests end before a connection counts as failed.
func TestShortRequestsFindACut(t *testing.T) {
	tracker := reach.NewTracker("d")
	tracker.Update([]*feed.Target{{Address: "0"}, {Address: "1"}, {Address: "2"}})
	client := tunnel.NewClient(tunnel.ClientOptions{Tracker: tracker, Peers: reach.NewPeers("d"), Changed: func() {}, Clock: time.Now, Log: zerolog.Nop(),
		Metrics: tally.NoopScope})
	pool := upstream.New(upstream.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, Tunnels: client,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, 350*time.Millisecond)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- client.Run(ctx, func(ctx context.Context, address string) { pool.Probe(ctx, time.Now(), address) })
	}()
	for began := time.Now(); !client.IsCut(); {
		assert.Assert(t, time.Since(began) < 3*time.Second, "no cut is found")
		callCtx, endCall := context.WithTimeout(ctx, 100*time.Millisecond)
		_, err := pool.Do(callCtx, time.Now(), "0", &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		endCall()
		assert.Assert(t, err != nil)
	}
	cancel()
	assert.NilError(t, <-ended)
}
