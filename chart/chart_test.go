package chart_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/chart"
)

func TestBadChartsNameTheLine(t *testing.T) {
	for _, row := range []struct{ name, text, want string }{
		{"empty", "", "c.yaml:1: empty chart"},
		{"unknown key", "initial: a\ncolour: red\n", `c.yaml:2: unknown key "colour"`},
		{"unknown key of a state", "initial: a\nstates:\n  a: {off: {}}\n", `c.yaml:3: unknown key "off"`},
		{"initial state missing", "initial: b\nstates:\n  a: {}\n", `c.yaml:1: initial state "b" is not declared`},
		{"transition to nowhere", "initial: a\nstates:\n  a:\n    on:\n      go: b\n", `c.yaml:5: state "b" is not declared`},
		{"unreachable state", "initial: a\nstates:\n  a: {}\n  b: {}\n", `c.yaml:4: state "b" is unreachable`},
		{"state twice", "initial: a\nstates:\n  a: {}\n  a: {}\n", `c.yaml:`},
		{"not a mapping", "initial: a\nstates: [a]\n", `c.yaml:2: must be a mapping`},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := chart.Parse("c.yaml", []byte(row.text))
			assert.Assert(t, errorx.IsOfType(err, chart.ErrInvalid), "%v", err)
			assert.ErrorContains(t, err, row.want)
		})
	}
}

func TestEmbeddedCharts(t *testing.T) {
	for _, row := range []struct {
		file        string
		state       chart.State
		event       chart.Event
		next        chart.State
		isForbidden bool
	}{
		{"replica.yaml", "decided", "loaded", "ready", false},
		{"replica.yaml", "decided", "load_failed", "released", false},
		{"replica.yaml", "ready", "unload", "unloading", false},
		{"replica.yaml", "ready", "absent", "", true},
		{"replica.yaml", "unloading", "absent", "released", false},
		{"replica.yaml", "unloading", "loaded", "", true},
		{"target.yaml", "leaving", "heard", "leaving", false},
		{"target.yaml", "suspect", "heard", "live", false},
		{"node.yaml", "serving", "terminate", "draining", false},
		{"node.yaml", "draining", "joined", "draining", false},
		{"node.yaml", "stopped", "joined", "", true},
	} {
		loaded, err := chart.Load(row.file)
		assert.NilError(t, err)
		next, err := loaded.Next(row.state, row.event)
		assert.Equal(t, err != nil, row.isForbidden, "%s: %s in %s", row.file, row.event, row.state)
		if err == nil {
			assert.Equal(t, next, row.next)
		}
	}
}
