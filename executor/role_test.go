package executor_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/executor"
	"celerylanding.example/celerylanding/state"
)

// TestRoleIsOrderedUntilItIsAnnounced guards against a role order that is lost or never stops: an engine whose group is configured with
// another role gets the order repeatedly until it announces the role, and none after that.
func TestRoleIsOrderedUntilItIsAnnounced(t *testing.T) {
	current := newState()
	index := uint64(0)
	apply := func(command state.Command) {
		data, err := state.Encode(command)
		assert.NilError(t, err)
		index++
		assert.Equal(t, current.Apply(index, data).Code, state.CodeAccepted)
	}
	target := state.Target{ID: "e", Incarnation: 1, Domain: domain, Group: "engines", Address: "127.0.0.1:1",
		Kind: celerylanding.KindEngine, Memory: gib, Fencing: true, Role: celerylanding.RoleMixed}
	apply(state.Command{Submit: &state.Submit{Document: config.Document{BaseName: "b",
		Base: strings.Replace(siteText, "kind: engine,", "kind: engine, role: prefill,", 1)}}})
	apply(state.Command{Register: &state.Register{Target: target}})
	subject := executor.New(executorSettings(), domain)
	now := time.Unix(1_000_000, 0)
	var roles int
	step := func() {
		for _, action := range subject.Decide(now, current, 1) {
			if action.Order.Kind == celerylanding.OrderRole {
				assert.Equal(t, action.Order.Role, celerylanding.RolePrefill)
				assert.Equal(t, action.Order.Fence, celerylanding.FencingToken(1))
				roles++
			}
			subject.Complete(now, current, executor.Completion{Action: action, Started: now, Outcome: executor.OutcomeDone})
		}
		now = now.Add(100 * time.Millisecond)
	}
	for range 15 {
		step()
	}
	assert.Equal(t, roles, 1, "ordered once, after the fence and the inventory")
	for range 30 {
		step()
	}
	assert.Assert(t, roles > 1, "repeated until the engine announces it")
	target.Role = celerylanding.RolePrefill
	apply(state.Command{Register: &state.Register{Target: target}})
	roles = 0
	for range 30 {
		step()
	}
	assert.Equal(t, roles, 0)
}
