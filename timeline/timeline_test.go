package timeline_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
	"celerylanding.example/celerylanding/timeline"
)

// TestCausalOrderAcrossSkewedClocks guards against sorting by wall time alone: two processes whose clocks differ by 3 s exchange messages,
// and the merged timeline must show each cause before its effect. It also covers other log lines and an incomplete last line.
func TestCausalOrderAcrossSkewedClocks(t *testing.T) {
	now := time.Unix(1000, 0)
	var fast, slow bytes.Buffer
	fastClock, slowClock := hlc.New(10*time.Second), hlc.New(10*time.Second)
	fastRecorder := timeline.NewRecorder(&fast, "fast", fastClock)
	slowRecorder := timeline.NewRecorder(&slow, "slow", slowClock)
	var want []string
	for i := range 5 {
		cause, effect := string(rune('a'+2*i)), string(rune('b'+2*i))
		fastRecorder.Record(now.Add(3*time.Second), celerylanding.Event{Kind: cause, Request: "r"})
		slowClock.Observe(now, fastClock.Now(now.Add(3*time.Second)))
		slowRecorder.Record(now, celerylanding.Event{Kind: effect})
		fastClock.Observe(now.Add(3*time.Second), slowClock.Now(now))
		now = now.Add(time.Millisecond)
		want = append(want, cause, effect)
	}
	slow.WriteString(`{"level":"info","message":"another log line"}` + "\n" + `{"process":"slow","ev`)
	entries, err := timeline.Read("slow", &slow)
	assert.NilError(t, err)
	more, err := timeline.Read("fast", &fast)
	assert.NilError(t, err)
	entries = append(entries, more...)
	timeline.Sort(entries)
	var got []string
	for _, entry := range entries {
		got = append(got, entry.Event)
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, len(timeline.Filter{Request: "r"}.Apply(entries)), 5)
}

func TestClockRejectsFarFutureTimestamps(t *testing.T) {
	clock := hlc.New(time.Second)
	now := time.Unix(1000, 0)
	assert.Assert(t, !clock.Observe(now, hlc.Timestamp{Wall: now.Add(time.Hour).UnixNano()}))
	assert.Assert(t, clock.Now(now).Wall == now.UnixNano())
}

func TestReadErrorNamesFileAndLine(t *testing.T) {
	_, err := timeline.Read("file", strings.NewReader("{}\nnot JSON\n{}\n"))
	assert.Assert(t, errorx.IsOfType(err, timeline.ErrUnreadable), "%v", err)
	assert.ErrorContains(t, err, "file:2")
}

func TestHTMLPageIsSelfContained(t *testing.T) {
	var page bytes.Buffer
	entries := []timeline.Entry{{Process: "p", Event: "e", Detail: "</script><b>"}}
	assert.NilError(t, timeline.WriteHTML(&page, entries))
	assert.Assert(t, strings.Contains(page.String(), `"process":"p"`))
	assert.Assert(t, !strings.Contains(page.String(), "</script><b>"))
	assert.Assert(t, !strings.Contains(page.String(), "http://") && !strings.Contains(page.String(), "https://"), "self-contained")
}
