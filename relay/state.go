package relay

import (
	"sync"
	"time"

	"celerylanding.example/celerylanding/dispatch"
)

// state holds the table in force and wakes those who wait for another one.
type state struct {
	mutex   sync.Mutex
	current *dispatch.Table
	changed chan struct{}
	// heard is when the leader last answered.
	heard time.Time
}

func newState() *state {
	return &state{current: &dispatch.Table{}, changed: make(chan struct{})}
}

func (state *state) table() *dispatch.Table {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current
}

// watch returns the table and a channel that is closed when another one takes its place.
func (state *state) watch() (*dispatch.Table, <-chan struct{}) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current, state.changed
}

func (state *state) set(table *dispatch.Table) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.current = table
	close(state.changed)
	state.changed = make(chan struct{})
}

func (state *state) touch(now time.Time) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.heard = now
}

// age returns how long ago the leader last answered.
func (state *state) age(now time.Time) time.Duration {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return now.Sub(state.heard)
}
