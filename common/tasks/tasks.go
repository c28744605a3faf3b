package tasks

import (
	"context"
	"sync"
)

// Group runs goroutines that share a context; it is safe for concurrent use.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	mutex   sync.Mutex
	running int
	closed  bool
	done    chan struct{}
}

// New returns an empty group whose context is derived from the given one.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Go runs the function in a new goroutine; after Close it does nothing.
func (group *Group) Go(run func(ctx context.Context)) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.closed {
		return
	}
	group.running++
	go func() {
		defer group.finish()
		run(group.ctx)
	}()
}

// Running returns the number of running goroutines.
func (group *Group) Running() int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.running
}

func (group *Group) finish() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running--
	if group.closed && group.running == 0 {
		close(group.done)
	}
}

// Close cancels the context and returns a channel that is closed when the last goroutine has ended.
func (group *Group) Close() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.cancel()
	if !group.closed && group.running == 0 {
		close(group.done)
	}
	group.closed = true
	return group.done
}
