package relay

import (
	"sync"

	"celerylanding.example/celerylanding/dispatch"
)

// state holds the table in force and wakes those who wait for another one.
type state struct {
	mutex   sync.Mutex
	current *dispatch.Table
	changed chan struct{}
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
