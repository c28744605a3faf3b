package tasks

import (
	"context"
	"sync"
)

// Group owns goroutines that end with its context.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	mutex  sync.Mutex
	open   int
	closed bool
	ended  chan struct{}
}

// New returns a group without goroutines.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ended: make(chan struct{})}
}

// Go runs the function in a goroutine of its own; after Close it does nothing.
func (group *Group) Go(run func(ctx context.Context)) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.closed {
		return
	}
	group.open++
	go func() {
		defer group.end()
		run(group.ctx)
	}()
}

// Running returns the number of goroutines that have not ended.
func (group *Group) Running() int {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.open
}

func (group *Group) end() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.open--
	if group.closed && group.open == 0 {
		close(group.ended)
	}
}

// Close ends the context and returns a channel that is closed when the last goroutine has ended.
func (group *Group) Close() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.cancel()
	if !group.closed && group.open == 0 {
		close(group.ended)
	}
	group.closed = true
	return group.ended
}
