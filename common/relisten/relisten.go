package relisten

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minPause and maxPause bound the time between two attempts, which doubles with each failure.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
	// reopenLimit is how long an address may stay closed before Accept returns an error.
	reopenLimit = 10 * time.Second
)

// Options configure a listener.
type Options struct {
	// Open opens the address again.
	Open func(ctx context.Context) (net.Listener, error)
	// Report gets each error that is not returned by Accept.
	Report func(err error)
}

// Listener is a listener whose Accept returns an error only after Close, or if its address can't be opened again.
type Listener struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	// mutex guards current against Close.
	mutex   sync.Mutex
	current net.Listener
}

// New returns a listener that accepts connections from the given one.
func New(listener net.Listener, options Options) *Listener {
	ctx, cancel := context.WithCancel(context.Background())
	return &Listener{options: options, ctx: ctx, cancel: cancel, current: listener}
}

// Accept returns the next connection.
func (lis *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := lis.inner().Accept()
		if err == nil {
			return conn, nil
		}
		if lis.ctx.Err() != nil {
			return nil, net.ErrClosed
		}
		lis.options.Report(err)
		if !lis.sleep(pause) {
			return nil, net.ErrClosed
		}
		if isTransient(err) {
			continue
		}
		if err := lis.reopen(time.Now()); err != nil {
			return nil, err
		}
	}
}

// isTransient reports whether the listener can accept connections after the error: the process or its VM lacks a resource, or a client has gone away.
func isTransient(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// reopen replaces the listener by a new one at the same address.
func (lis *Listener) reopen(now time.Time) error {
	_ = lis.inner().Close()
	deadline := now.Add(reopenLimit)
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		next, err := lis.options.Open(lis.ctx)
		if err == nil {
			return lis.replace(next)
		}
		if lis.ctx.Err() != nil {
			return net.ErrClosed
		}
		if time.Now().After(deadline) {
			return err
		}
		lis.options.Report(err)
		if !lis.sleep(pause) {
			return net.ErrClosed
		}
	}
}

func (lis *Listener) replace(next net.Listener) error {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	if lis.ctx.Err() != nil {
		_ = next.Close()
		return net.ErrClosed
	}
	lis.current = next
	return nil
}

func (lis *Listener) inner() net.Listener {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	return lis.current
}

// sleep waits, and reports false after Close.
func (lis *Listener) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-lis.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Close closes the address; Accept returns net.ErrClosed from now on.
func (lis *Listener) Close() error {
	lis.mutex.Lock()
	defer lis.mutex.Unlock()
	lis.cancel()
	return lis.current.Close()
}

// Addr returns the address.
func (lis *Listener) Addr() net.Addr { return lis.inner().Addr() }
