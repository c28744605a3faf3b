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
	// lastContact is the time as of which the leader's state was last known, with the newest configuration.
	lastContact time.Time
	// proof covers the configuration of the current table, and proven is closed when it is extended.
	proof   access.Proof
	proven  chan struct{}
	renewal access.Renewal
}

func newTableState() *tableState {
	return &tableState{current: &dispatch.Table{}, changed: make(chan struct{}), proven: make(chan struct{})}
}

func (state *tableState) table() *dispatch.Table {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.current
}

// freshness is a table, what proves that it is the newest one, and a channel that is closed when more is proven.
type freshness struct {
	table   *dispatch.Table
	proof   access.Proof
	renewal access.Renewal
	changed <-chan struct{}
}

// freshness returns the table with the proof of its freshness.
func (state *tableState) freshness() freshness {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return freshness{state.current, state.proof, state.renewal, state.proven}
}

// recordRequest records that a request for word on the newest configuration was sent.
func (state *tableState) recordRequest(now time.Time) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.renewal = state.renewal.Request(now)
}

// extendProof extends the proof for the table in force.
func (state *tableState) extendProof(word access.Word) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	routes := state.current.Routes()
	if routes == nil {
		return
	}
	before := state.proof
	if state.proof = state.proof.Extend(word, routes.Version()); state.proof == before {
		return
	}
	if at := state.proof.AsOf(); at.After(state.lastContact) {
		state.lastContact = at
	}
	state.renewal = state.renewal.Succeed()
	close(state.proven)
	state.proven = make(chan struct{})
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

// announce notifies those who wait for another table, although it is the same.
func (state *tableState) announce() {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	close(state.changed)
	state.changed = make(chan struct{})
}

// age returns the time since the leader's state was last known, and false if it has never been.
func (state *tableState) age(now time.Time) (time.Duration, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return now.Sub(state.lastContact), !state.lastContact.IsZero()
}

// sinceContact returns the time since the leader's last answer.
func (state *tableState) sinceContact(now time.Time) time.Duration {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return now.Sub(state.lastContact)
}
