package tests_test

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/platform/fake"
	"celerylanding.example/celerylanding/preview"
)

// ask runs the command that asks a router of the fleet where a request would go, and returns its output and exit code.
func (fleet *fleet) ask(address string, arguments ...string) (string, int) {
	fleet.t.Helper()
	command := exec.Command(binary, append([]string{"route", "--router", address}, arguments...)...)
	text, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		fleet.t.Fatal(err)
	}
	return string(text), command.ProcessState.ExitCode()
}

// TestRouteOfProcesses asks a running router where requests would go: for a model that no engine has loaded, after a request has loaded it, for a route
// that does not exist, at processes that are no routers, on the address for callers, and after the router has gone.
func TestRouteOfProcesses(t *testing.T) {
	fleet := newFleetWithRouters(t, 1, 2, func(int) fake.Options { return fake.Options{} })
	router := fleet.routers[0].ip + ":9464"
	stream := []string{fake.Host, fake.PathStream + "x", "--model", rareModel, "--prompt-tokens", "100", "--output-tokens", "10", "--deadline", "2s"}

	text, code := fleet.ask(router, stream...)
	for end := time.Now().Add(awaitTimeout); strings.Count(text, "lacks_unit") < 2 && time.Now().Before(end); {
		// The engines' first heartbeats may not have arrived.
		text, code = fleet.ask(router, stream...)
	}
	assert.Equal(t, code, 0, text)
	for _, want := range []string{"waits: no usable target has the model", "route", "model " + rareModel, "lacks_unit", "configuration 1", "callers need no key"} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in\n%s", want, text)
	}
	isAnswered := false
	for end := time.Now().Add(awaitTimeout); !isAnswered && time.Now().Before(end); {
		request, err := fake.NewRequest(t.Context(), fleet.routers[0].ip+":8149", fake.PathStream, "id-1", rareModel, 5*time.Second)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		isAnswered = response.StatusCode == http.StatusOK
		assert.NilError(t, response.Body.Close())
	}
	assert.Assert(t, isAnswered)

	text, code = fleet.ask(router, append(stream, "--json")...)
	assert.Equal(t, code, 0, text)
	var answer preview.Answer
	assert.NilError(t, json.Unmarshal([]byte(text), &answer))
	assert.Equal(t, answer.Outcome, preview.OutcomeSent, text)
	assert.Equal(t, len(answer.Targets), 2)
	assert.Assert(t, answer.Targets[0].Share > 0 && answer.Targets[0].ID == answer.Target)

	text, code = fleet.ask(router, fake.Host, "/none")
	assert.Equal(t, code, 3, text)
	assert.Assert(t, strings.Contains(text, "no route matches"), text)
	for _, address := range []string{fleet.controllers[0].ip + ":9464", fleet.routers[0].ip + ":8149", fleet.routers[0].ip + ":8141"} {
		text, code = fleet.ask(address, stream...)
		assert.Assert(t, code == 1 || code == 2, "%s: %d %s", address, code, text)
	}
	fleet.routers[0].kill()
	text, code = fleet.ask(router, stream...)
	assert.Equal(t, code, 4, text)
}
