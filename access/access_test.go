package access_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/access"
	"celerylanding.example/celerylanding/routing"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	bounds = access.Bounds{Revocation: 5 * time.Second, Propagation: 2 * time.Second}
)

// table returns the routes of a version in which workspace "w" has the keys.
func table(version uint64, keys ...celerylanding.Key) *routing.Table {
	workspace := routing.Workspace{ID: "w"}
	for _, key := range keys {
		workspace.Keys = append(workspace.Keys, key.Digest())
	}
	return routing.NewTable(&routing.Configuration{Version: version, Workspaces: []routing.Workspace{workspace}})
}

// TestAccess checks the decision on each kind of request by the age of the proof.
func TestAccess(t *testing.T) {
	const fresh, recent, old = time.Second, 4 * time.Second, 6 * time.Second
	for name, tc := range map[string]struct {
		age      time.Duration
		key      celerylanding.Key
		isPublic bool
		want     access.Cause
		belongs  bool
	}{
		"known key":                        {fresh, "k", false, access.CauseNone, true},
		"known key, recent proof":          {recent, "k", false, access.CauseNone, true},
		"known key, old proof":             {old, "k", false, access.CauseNotFresh, false},
		"unknown key":                      {fresh, "x", false, access.CauseUnknownKey, false},
		"unknown key, recent proof":        {recent, "x", false, access.CauseKeyMayBeNew, false},
		"unknown key, old proof":           {old, "x", false, access.CauseKeyMayBeNew, false},
		"no key":                           {fresh, "", false, access.CauseNoKey, false},
		"no key, recent proof":             {recent, "", false, access.CauseKeyMayBeNew, false},
		"public route":                     {fresh, "", true, access.CauseNone, false},
		"public route, known key":          {recent, "k", true, access.CauseNone, true},
		"public route, old proof":          {old, "k", true, access.CauseNone, false},
		"public route, unknown key":        {fresh, "x", true, access.CauseNone, false},
		"public route, no key, old proof":  {old, "", true, access.CauseNone, false},
		"public route, unknown, old proof": {old, "x", true, access.CauseNone, false},
	} {
		t.Run(name, func(t *testing.T) {
			proof := access.Proof{}.Extend(access.NewWord(start.Add(-tc.age), 0, 1), 1)
			request := access.Request{Received: start, IsPublic: tc.isPublic, Digest: tc.key.Digest(), HasKey: tc.key != ""}
			decision := bounds.Check(table(1, "k"), proof, request)
			assert.Equal(t, decision.Cause, tc.want)
			assert.Equal(t, decision.Workspace != nil, tc.belongs)
		})
	}
}

func TestKeysAreNeededOnlyWithWorkspaces(t *testing.T) {
	request := access.Request{Received: start}
	open := routing.NewTable(&routing.Configuration{Version: 1})
	assert.Equal(t, bounds.Check(open, access.Proof{}, request), access.Decision{})
	emptied := routing.NewTable(&routing.Configuration{Version: 1, NeedsKeys: true})
	assert.Equal(t, bounds.Check(emptied, access.Proof{}, request).Cause, access.CauseKeyMayBeNew)
}

// TestKeysWithoutRevocationBound checks that a deployment without a bound accepts keys without a proof.
func TestKeysWithoutRevocationBound(t *testing.T) {
	request := access.Request{Received: start, Digest: celerylanding.Key("k").Digest(), HasKey: true}
	decision := access.Bounds{Propagation: time.Second}.Check(table(1, "k"), access.Proof{}, request)
	assert.Equal(t, decision.Workspace.ID, celerylanding.WorkspaceID("w"))
}

// TestWaitingRequestIsCheckedAgain guards against a request that runs with a key that was withdrawn, or moved, while it waited.
func TestWaitingRequestIsCheckedAgain(t *testing.T) {
	proof := access.Proof{}.Extend(access.NewWord(start, 0, 1), 1)
	request := access.Request{Received: start, Digest: celerylanding.Key("k").Digest(), HasKey: true}
	before := bounds.Check(table(1, "k"), proof, request).Workspace
	assert.Equal(t, bounds.Recheck(table(2, "k", "l"), proof, request, before).Cause, access.CauseNone)
	assert.Equal(t, bounds.Recheck(table(2, "l"), proof, request, before).Cause, access.CauseUnknownKey)
	moved := routing.NewTable(&routing.Configuration{Version: 2, Workspaces: []routing.Workspace{
		{ID: "other", Keys: []celerylanding.KeyDigest{request.Digest}}}})
	assert.Equal(t, bounds.Recheck(moved, proof, request, before).Cause, access.CauseMoved)
}

// TestProof checks which replies prove that the configuration in force is new enough.
func TestProof(t *testing.T) {
	for name, tc := range map[string]struct {
		age             time.Duration
		newest, inForce uint64
		want            bool
	}{
		"leader":                          {0, 3, 3, true},
		"later version in force":          {0, 3, 4, true},
		"older version in force":          {0, 3, 2, false},
		"node can't say":                  {0, 0, 3, false},
		"relay":                           {900 * time.Millisecond, 3, 3, true},
		"relay, with its clock's drift":   {999 * time.Millisecond, 3, 3, false},
		"relay whose clock went backward": {-time.Second, 3, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			proof := access.Proof{}.Extend(access.NewWord(start, tc.age, tc.newest), tc.inForce)
			assert.Equal(t, proof.Covers(start.Add(3950*time.Millisecond), 5*time.Second), tc.want)
			assert.Assert(t, !proof.Covers(start.Add(4960*time.Millisecond), 5*time.Second), "the drift of this VM's clock")
		})
	}
	proof := access.Proof{}.Extend(access.NewWord(start, 0, 1), 1)
	assert.Equal(t, proof.Extend(access.NewWord(start.Add(-time.Second), 0, 1), 1), proof, "a late reply proves less")
}

// manyKeys returns a configuration with keys in 16 workspaces, and one of the keys.
func manyKeys(count int) (*routing.Configuration, celerylanding.Key) {
	configuration := &routing.Configuration{Version: 1, Workspaces: make([]routing.Workspace, 16)}
	var last celerylanding.Key
	for i := range count {
		last = celerylanding.Key(fmt.Sprintf("key-%d", i))
		workspace := &configuration.Workspaces[i%16]
		workspace.ID = celerylanding.WorkspaceID(fmt.Sprintf("w%d", i%16))
		workspace.Keys = append(workspace.Keys, last.Digest())
	}
	return configuration, last
}

func BenchmarkCheckAmong10000Keys(b *testing.B) {
	configuration, key := manyKeys(10_000)
	routes := routing.NewTable(configuration)
	proof := access.Proof{}.Extend(access.NewWord(start, 0, 1), 1)
	for b.Loop() {
		decision := bounds.Check(routes, proof, access.Request{Received: start, Digest: key.Digest(), HasKey: true})
		if decision.Workspace == nil {
			b.Fatal("the key is unknown")
		}
	}
}

// BenchmarkMemoryOf100000Keys reports the memory of a router's table.
func BenchmarkMemoryOf100000Keys(b *testing.B) {
	configuration, _ := manyKeys(100_000)
	var before, after runtime.MemStats
	var routes *routing.Table
	for b.Loop() {
		routes = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		routes = routing.NewTable(configuration)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	runtime.KeepAlive(routes)
	runtime.KeepAlive(configuration)
}
