package routing_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/routing"
)

func digest(key celerylanding.Key) celerylanding.KeyDigest { return key.Digest() }

func withWorkspaces() *routing.Configuration {
	valid := configuration()
	valid.Workspaces = []routing.Workspace{
		{ID: "w", Keys: []celerylanding.KeyDigest{digest("k"), digest("l"), digest("l")}, Quota: routing.Quota{Rate: 2, Burst: 1}},
		{ID: "v", Keys: []celerylanding.KeyDigest{digest("m")}}}
	return valid
}

func TestInvalidWorkspacesNameTheField(t *testing.T) {
	assert.NilError(t, withWorkspaces().Validate())
	for want, corrupt := range map[string]func(*routing.Configuration){
		"workspaces[1].keys[0]":    func(c *routing.Configuration) { c.Workspaces[1].Keys[0] = digest("k") },
		"workspaces[1].name":       func(c *routing.Configuration) { c.Workspaces[1].ID = "w" },
		"workspaces[0].name":       func(c *routing.Configuration) { c.Workspaces[0].ID = "" },
		"workspaces[0] (w): rate":  func(c *routing.Configuration) { c.Workspaces[0].Quota.Rate = -1 },
		"workspaces[0] (w): burst": func(c *routing.Configuration) { c.Workspaces[0].Quota.Burst = math.NaN() },
		"workspaces[1] (v): unit":  func(c *routing.Configuration) { c.Workspaces[1].Quota.Unit = 7 },
		"default_tokens":           func(c *routing.Configuration) { c.Workspaces[1].Quota.DefaultTokens = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			invalid := withWorkspaces()
			corrupt(invalid)
			err := invalid.Validate()
			assert.Assert(t, err != nil && strings.Contains(err.Error(), want), "%v", err)
		})
	}
}

func TestWorkspaceOfAKey(t *testing.T) {
	table := routing.NewTable(withWorkspaces())
	assert.Equal(t, table.WorkspaceOf(digest("l")).ID, celerylanding.WorkspaceID("w"))
	assert.Equal(t, table.WorkspaceOf(digest("m")).ID, celerylanding.WorkspaceID("v"))
	assert.Assert(t, table.WorkspaceOf(digest("x")) == nil)
}

// TestPriorityOfWorkspacesGoesFirst guards against a request of a less urgent workspace that overtakes one of a more urgent workspace.
func TestPriorityOfWorkspacesGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.SliceOfN(rapid.IntRange(-2, 12), 1, 6)
		valid := &routing.Configuration{Version: 1}
		for _, priority := range priorities.Draw(t, "workspaces") {
			valid.Workspaces = append(valid.Workspaces, routing.Workspace{Priority: priority})
		}
		for _, priority := range priorities.Draw(t, "routes") {
			valid.Routes = append(valid.Routes, routing.Route{Priority: priority})
		}
		table := routing.NewTable(valid)
		for i := range valid.Workspaces {
			for j := range valid.Routes {
				workspace, route := &valid.Workspaces[i], &valid.Routes[j]
				rank, count := table.Rank(workspace, route)
				assert.Assert(t, 0 <= rank && rank < count)
				for k := range valid.Workspaces {
					for l := range valid.Routes {
						other, _ := table.Rank(&valid.Workspaces[k], &valid.Routes[l])
						isFirst := workspace.Priority < valid.Workspaces[k].Priority ||
							(workspace.Priority == valid.Workspaces[k].Priority && route.Priority < valid.Routes[l].Priority)
						assert.Equal(t, rank < other, isFirst)
					}
				}
				nobody, _ := table.Rank(nil, route)
				assert.Assert(t, nobody >= rank, "a caller without a workspace comes last")
			}
		}
	})
}
