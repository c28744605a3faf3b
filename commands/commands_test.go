package commands_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/commands"
)

const validConfig = "revision: 1\nsite: s\ngroups: {g: {target_memory: 80GiB}}\nmodels:\n  m: {group: g, versions: {v: {memory: 1GiB}}}\n"

// TestCommandLine runs commands with valid and invalid arguments and compares exit codes and printed texts.
func TestCommandLine(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	validFile := write("good.yaml", validConfig)
	invalidFile := write("bad.yaml", validConfig+"colour: red\n")
	line := write("a.timeline", `{"process":"a","wall":2,"counter":0,"event":"later"}`+"\n"+`{"process":"a","wall":1,"counter":0,"event":"earlier","model":"m"}`+"\n")
	data := filepath.Join(folder, "data")
	for _, row := range []struct {
		name      string
		arguments string
		code      int
		want      string
	}{
		{"help", "--help", 0, "Serving of rarely used models"},
		{"no command", "", 2, "expected one of"},
		{"unknown flag", "node --colour", 2, "unknown flag"},
		{"valid files", "check " + validFile, 0, "revision 1 of s is valid: 1 models and adapters, 0 services"},
		{"unknown key", "check " + invalidFile, 2, invalidFile + ":6: colour: unknown key"},
		{"missing file", "check " + folder + "/none.yaml", 2, "no such file"},
		{"submit an invalid file", "submit " + invalidFile, 2, "colour: unknown key"},
		{"submit to an unreachable node", "submit " + validFile + " --operator 127.0.0.1:1", 4, "the outcome is unknown"},
		{"show an unreachable node", "show --operator 127.0.0.1:1", 4, "no answer from 127.0.0.1:1"},
		{"init without folder", "init --id a --domain d", 2, "--data is missing"},
		{"init with a bad name", "init --id a/b --domain d --data " + data, 2, "--id"},
		{"init", "init --id a --domain d --data " + data, 0, "new control log with one voter, a/"},
		{"init again", "init --id a --domain d --data " + data, 3, "holds a control log already"},
		{"even number of voters", "node --id a --domain d --voters 2", 2, "--voters: 2 must be an odd number"},
		{"election timeout too short", "node --id a --domain d --election-timeout 200ms", 2, "--election-timeout"},
		{"plain text outside loopback", "node --id a --domain d --peers 192.0.2.1:7003", 2, "--peers: 192.0.2.1:7003 is not a loopback address"},
		{"incomplete TLS flags", "node --id a --domain d --tls-cert x", 2, "mutual TLS needs"},
		{"host name instead of an IP address", "node --id a --domain d --peers host:7003", 2, `"host" is not an IP address`},
		{"timeline", "timeline " + line, 0, "earlier"},
		{"timeline filtered by model", "timeline --model m " + line, 0, "earlier"},
		{"timeline as HTML", "timeline --html " + line, 0, "<!DOCTYPE html>"},
		{"timeline of a missing file", "timeline " + folder + "/none", 2, "no such file"},
		{"targets without nodes", "demo --targets-only", 2, "--nodes is missing"},
		{"route without a path", "route h.example", 2, "expected \"<path>\""},
		{"route with a bad path", "route h.example a", 2, "path"},
		{"route with a bad part", "route h.example / --part head", 2, "--part"},
		{"route with a bad deadline", "route h.example / --deadline=-1s", 2, "--deadline"},
		{"route with a bad number", "route h.example / --prompt-tokens many", 2, "--prompt-tokens"},
		{"route with a negative number", "route h.example / --output-tokens=-1", 2, "--output-tokens"},
		{"route with a bad address", "route h.example / --router here", 2, "--router"},
		{"route with a missing body", "route h.example / --body-file " + folder + "/none", 2, "no such file"},
		{"route of an unreachable router", "route h.example / --router 127.0.0.1:1", 4, "no answer from 127.0.0.1:1"},
		{"invalid load time", "demo --load-time soon", 2, "--load-time"},
	} {
		t.Run(row.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := commands.Execute(strings.Fields(row.arguments), &out, &errOut)
			assert.Equal(t, code, row.code, errOut.String())
			assert.Assert(t, strings.Contains(out.String()+errOut.String(), row.want), "%s%s", out.String(), errOut.String())
		})
	}
}

func TestTimelineOrder(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "a")
	assert.NilError(t, os.WriteFile(path, []byte(`{"process":"a","wall":2,"counter":0,"event":"later"}`+"\n"+`{"process":"a","wall":1,"counter":0,"event":"earlier"}`+"\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, commands.Execute([]string{"timeline", path}, &out, &errOut), 0, errOut.String())
	assert.Assert(t, strings.Index(out.String(), "earlier") < strings.Index(out.String(), "later"))
}

func TestEnvironmentVariables(t *testing.T) {
	t.Setenv("CELERYLANDING_VOTERS", "4")
	var out, errOut bytes.Buffer
	assert.Equal(t, commands.Execute([]string{"node", "--id", "a", "--domain", "d"}, &out, &errOut), 2)
	assert.Assert(t, strings.Contains(errOut.String(), "--voters: 4"), errOut.String())
}
