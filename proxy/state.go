package proxy

import (
	"sync"
	"time"

	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/dispatch"
)

// tableState holds the current table and notifies waiters when it is replaced.
type tableState struct {
	mutex   sync.Mutex
	current *dispatch.Table
	changed chan struct{}
	// lastContact is the time of the leader's last answer.
	lastContact time.Time
	// proof covers the configuration of the current table.
	proof access.Proof
}

func newTableState() *tableState {
	return &tableState{current: &dispatch.Table{}, changed: make(chan struct{})}
}

func (state *tableState) table() *dispatch.Table {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current
}

// proven returns the table and the proof of its freshness.
func (state *tableState) proven() (*dispatch.Table, access.Proof) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current, state.proof
}

// extendProof extends the proof for the table in force.
func (state *tableState) extendProof(word access.Word) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if routes := state.current.Routes(); routes != nil {
		state.proof = state.proof.Extend(word, routes.Version())
	}
}

// watch returns the table and a channel that is closed when the table is replaced.
func (state *tableState) watch() (*dispatch.Table, <-chan struct{}) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current, state.changed
}

func (state *tableState) set(table *dispatch.Table) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.current = table
	close(state.changed)
	state.changed = make(chan struct{})
}

func (state *tableState) recordContact(now time.Time) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if now.After(state.lastContact) {
		state.lastContact = now
	}
}

// sinceContact returns the time since the leader's last answer.
func (state *tableState) sinceContact(now time.Time) time.Duration {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return now.Sub(state.lastContact)
}
