package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMalformedInputIsCountedAndChangesNothing sends malformed and invalid submissions and announcements. Each must get status 400
// and be counted, and none may change the configuration or register a target.
func TestMalformedInputIsCountedAndChangesNothing(t *testing.T) {
	site := startSite(t, 1, 1, 1)
	site.submit(0, siteText(1, 1))
	site.await("the revision is in force", func() bool { return site.allAtRevision(1) })
	operators := "http://" + site.nodes[0].listeners.Operators.Addr().String()
	targets := "http://" + site.nodes[0].listeners.Targets.Addr().String()
	valid := `{"target":"t","incarnation":1,"sequence":1,"failure_domain":"d","group":"g","address":"127.0.0.1:1","kind":"engine","memory":1}`
	for _, row := range []struct {
		name, url, body, want string
	}{
		{"submission cut short", operators + "/operate/submit", `{"base":"rev`, "unexpected EOF"},
		{"submission of another form", operators + "/operate/submit", `[1]`, "cannot unmarshal"},
		{"submission with mistakes", operators + "/operate/submit", `{"base_name":"b","base":"colour: red"}`, "b:1: colour: unknown key"},
		{"submission that is too large", operators + "/operate/submit", `{"base":"` + strings.Repeat("x", 33<<20) + `"}`, "too large"},
		{"announcement cut short", targets + "/targets/announce", valid[:40], "unexpected EOF"},
		{"announcement without a name", targets + "/targets/announce", strings.Replace(valid, `"target":"t"`, `"target":""`, 1), "target: must hold"},
		{"announcement without incarnation", targets + "/targets/announce", strings.Replace(valid, `"incarnation":1,`, ``, 1), "incarnation: must be"},
		{"announcement with a host name", targets + "/targets/announce", strings.Replace(valid, "127.0.0.1:1", "host:1", 1), "address: must be an IP"},
		{"announcement of another kind", targets + "/targets/announce", strings.Replace(valid, `"engine"`, `"toaster"`, 1), "kind: must be"},
		{"announcement without memory", targets + "/targets/announce", strings.Replace(valid, `"memory":1`, `"memory":-1`, 1), "memory: must be"},
		{"announcement with a bad role", targets + "/targets/announce", strings.Replace(valid, `"memory":1`, `"memory":1,"role":"chief"`, 1), "role: must be"},
		{"announcement with a bad inventory", targets + "/targets/announce", strings.Replace(valid, `"memory":1`, `"memory":1,"inventory":[{"bytes":1}]`, 1), "inventory[0]: needs"},
	} {
		t.Run(row.name, func(t *testing.T) {
			response, err := http.Post(row.url, "application/json", strings.NewReader(row.body))
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusBadRequest, string(text))
			assert.Assert(t, strings.Contains(string(text), row.want), string(text))
		})
	}
	shown, err := site.show(0)
	assert.NilError(t, err)
	assert.Equal(t, shown.Revision, uint64(1))
	assert.Equal(t, len(shown.Targets), 0)
	site.await("the counters are reported", func() bool {
		response, err := http.Get(operators + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		counts := string(text)
		return err == nil && strings.Contains(counts, "celerylanding_submissions_malformed 3") &&
			strings.Contains(counts, "celerylanding_submissions_invalid 1") && strings.Contains(counts, "celerylanding_announcements_refused 8")
	})
}
