package explain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/explain"
)

const routerLog = `  12.1 edge-1 {"node":"edge-1","request":"r1","unit":"m/a3","target":"t1","took":3200,"status":503,"verdict":"not_run","cause":"the time is up","time":"2026-01-01T10:00:05.000Z","message":"deadline_exceeded"}
not a log line
{"node":"edge-1","request":"r2","unit":"m","took":10,"answered":200,"time":"2026-01-01T10:00:04.000Z","message":"answered"}
{"node":"edge-1","leader":"10.0.0.1:7","time":"2026-01-01T10:00:02.500Z","message":"leader lost"}
{"broken
`

const controllerLog = `{"node":"core-1","unit":"m/a3","router":"edge-1","expected":100,"time":"2026-01-01T10:00:02.000Z","message":"wake asked for"}
{"node":"core-1","unit":"other","target":"t9","time":"2026-01-01T10:00:03.000Z","message":"order given"}
{"node":"core-1","unit":"m","target":"t1","outcome":"unknown","time":"2026-01-01T10:00:02.100Z","message":"order given"}
{"node":"core-1","unit":"m","target":"t1","outcome":"accepted","time":"2026-01-01T09:00:00.000Z","message":"order given"}
`

// TestHistoryOfOneRequest guards against a history that misses lines of other processes about the request's model, targets and leader, or
// contains lines about other requests, other models or events long before the request.
func TestHistoryOfOneRequest(t *testing.T) {
	lines, skipped, err := explain.Read(strings.NewReader(routerLog + controllerLog))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 2)
	history, err := explain.NewHistory("r1", lines)
	assert.NilError(t, err)
	assert.Equal(t, history.Cause(), "deadline_exceeded (status 503): the time is up")
	var texts []string
	for _, line := range history.Lines() {
		texts = append(texts, line.String())
	}
	assert.Equal(t, len(texts), 4, strings.Join(texts, "\n"))
	assert.Assert(t, strings.Contains(texts[0], "wake asked for"))
	assert.Assert(t, strings.Contains(texts[1], "outcome=unknown"))
	assert.Assert(t, strings.Contains(texts[2], "leader lost"))
	assert.Assert(t, strings.Contains(texts[3], "cause=the time is up"))
	_, err = explain.NewHistory("r9", lines)
	assert.Assert(t, err != nil)
}

// TestHistoryNamesTargetsThatWantNoRequests guards against a refusal whose cause lies long before the request: a target that leaves, or a pause
// that has not ended; pauses that have ended, and what other routers were told, don't matter.
func TestHistoryNamesTargetsThatWantNoRequests(t *testing.T) {
	const told = `{"node":"edge-1","target":"t7","leaving":true,"pause":0,"time":"2026-01-01T09:00:00.000Z","message":"target wants no more requests"}
{"node":"edge-1","target":"t8","leaving":false,"pause":300000,"time":"2026-01-01T09:58:00.000Z","message":"target wants no more requests"}
{"node":"edge-1","target":"t9","leaving":false,"pause":2000,"time":"2026-01-01T09:58:00.000Z","message":"target wants no more requests"}
{"node":"edge-2","target":"t6","leaving":true,"pause":0,"time":"2026-01-01T09:00:00.000Z","message":"target wants no more requests"}
{"node":"edge-1","target":"t5","leaving":true,"pause":0,"time":"2026-01-01T10:00:09.000Z","message":"target wants no more requests"}
`
	lines, _, err := explain.Read(strings.NewReader(told + routerLog))
	assert.NilError(t, err)
	history, err := explain.NewHistory("r1", lines)
	assert.NilError(t, err)
	var text strings.Builder
	for _, line := range history.Lines() {
		text.WriteString(line.String() + "\n")
	}
	for target, isNamed := range map[string]bool{"t5": false, "t6": false, "t7": true, "t8": true, "t9": false} {
		assert.Equal(t, strings.Contains(text.String(), "target="+target), isNamed, "%s: %s", target, text.String())
	}
}
