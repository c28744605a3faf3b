package commands_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/commands"
	"celerylanding.example/celerylanding/preview"
)

// runRoute asks a fake router, and returns its question with the output and the exit code of the command.
func runRoute(t *testing.T, status int, answer any, arguments ...string) (question preview.Request, text string, code int) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		assert.Check(t, json.NewDecoder(request.Body).Decode(&question))
		writer.WriteHeader(status)
		assert.Check(t, json.NewEncoder(writer).Encode(answer))
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	code = commands.Execute(append([]string{"route", "--router", server.Listener.Addr().String()}, arguments...), &out, &errOut)
	return question, out.String() + errOut.String(), code
}

// TestRouteAsksWhatItIsAsked checks that the flags reach the router.
func TestRouteAsksWhatItIsAsked(t *testing.T) {
	question, _, code := runRoute(t, http.StatusOK, preview.Answer{Outcome: preview.OutcomeSent, Target: "t1"}, "h.example", "/a?b=c", "--method", "GET",
		"--workspace", "w", "--model", "m/a", "--prompt-tokens", "6500", "--output-tokens", "200", "--expected-output", "90", "--part", "x:y:6300", "--part", "own:200",
		"--deadline", "1500ms", "--id", "i", "--resumes", "j")
	assert.Equal(t, code, 0)
	assert.DeepEqual(t, question, preview.Request{ID: "i", Method: "GET", Host: "h.example", Path: "/a?b=c", Workspace: "w", Model: "m/a",
		PromptTokens: 6500, OutputTokens: 200, ExpectedOutput: 90, PromptParts: []celerylanding.PromptPart{{ID: "x:y", Tokens: 6300}, {ID: "own", Tokens: 200}},
		MaxWaitSeconds: 1.5, Resumes: "j"})
}

// TestRoutePrintsTheAnswer checks the text for people, the JSON for programs, and the exit codes.
func TestRoutePrintsTheAnswer(t *testing.T) {
	sent := preview.Answer{Node: "n", Domain: "d", Version: 7, Outcome: preview.OutcomeSent, Target: "t1", Service: "s", Unit: "m/a",
		Route: &preview.Route{Name: "r", Host: "h.example", Prefix: "/", Kind: "stream", ObjectiveSeconds: 0.8, TimeoutSeconds: 3},
		Workspace: &preview.Workspace{Name: "w", IsKnown: true, HasKeys: true, Rank: 1, Classes: 4, HasProof: true, ProofAgeSeconds: 0.25, MaxProofAgeSeconds: 5,
			Quota: &preview.Quota{Unit: "tokens", Rate: 100, Burst: 50, Cost: 6, Held: 40, Queued: 2}},
		Targets: []preview.Target{
			{ID: "t1", Domain: "d", Rank: 1, Share: 1, Loss: 0.31, Terms: []preview.Term{{Name: "busy", Value: 0.31}}, HasReport: true,
				Slowdown: 1.5, ExpectedFirstSeconds: 0.42, ReadTokens: 200, Running: 3, Waiting: 1, Slots: 8, ReportAgeSeconds: 0.4},
			{ID: "t2", Domain: "e", Excluded: preview.ExcludedPaused, ExcludedSeconds: 2}}}
	refused := preview.Answer{Outcome: preview.OutcomeRefused, Refusal: &preview.Refusal{Status: 429, Reason: celerylanding.ReasonQuotaUsed,
		Cause: "used up", RetryAfterSeconds: 1, RetrySpreadSeconds: 0.2}}
	unknown := preview.Answer{Version: 7, Outcome: preview.OutcomeRefused, Refusal: &preview.Refusal{Status: 404, Reason: celerylanding.ReasonUnknownService}}
	waits := preview.Answer{Outcome: preview.OutcomeWaits, WaitsFor: preview.WaitForLoad, Load: &preview.Load{Waiting: 2, HasAnswer: true, ExpectedSeconds: 3}}
	for name, tc := range map[string]struct {
		status int
		answer any
		flags  []string
		code   int
		want   []string
	}{
		"sent": {200, sent, nil, 0, []string{"sent to t1", "configuration 7", "r (h.example/, stream)", "model m/a", "w; urgency 2 of 4", "proven 250ms ago",
			"40 tokens held here", "3+1 of 8, x1.50", "busy 0.31", "420ms", "paused for 2s"}},
		"JSON":          {200, sent, []string{"--json"}, 0, []string{`"target":"t1"`, `"excluded":"paused"`}},
		"refused":       {200, refused, nil, 0, []string{"refused with 429 quota_used: used up; Retry-After 1.00 to 1.20"}},
		"waits":         {200, waits, nil, 0, []string{"waits: no usable target has the model", "2 requests wait here", "loaded within 3s"}},
		"unknown route": {200, unknown, nil, 3, []string{"no route matches h.example/a in version 7"}},
		"no router":     {404, nil, nil, 1, []string{"answers 404", "no router"}},
		"bad request":   {400, "what", nil, 2, []string{"what"}},
		"no answer":     {200, "text", nil, 1, []string{"can't be read"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, text, code := runRoute(t, tc.status, tc.answer, append([]string{"h.example", "/a"}, tc.flags...)...)
			assert.Equal(t, code, tc.code, text)
			for _, want := range tc.want {
				assert.Assert(t, strings.Contains(text, want), "%q is missing in\n%s", want, text)
			}
		})
	}
}
